#ifndef CAMPHORFERRY_UNIT_TESTS_SESSION_PROMOTION_LOSS_FIXTURE_H_
#define CAMPHORFERRY_UNIT_TESTS_SESSION_PROMOTION_LOSS_FIXTURE_H_

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <set>
#include <vector>

#include "Session/session.h"
#include "promotion_plan_fixture.h"

namespace camphorferry::session {

/// Age of the plan at which it has waited long enough for the old primary.
inline constexpr std::chrono::milliseconds kFencePause(400);
/// The platform executes an unanswered order within this time.
inline constexpr std::chrono::milliseconds kLongestOrder(3000);
/// An order that was accepted takes effect within this time.
inline constexpr std::chrono::milliseconds kLongestPromotion(1000);

/// A plan for term 4 that replaces the primary p of the replicas a and b, and a
/// record of every order that it gives.
class PromotionLossTest : public testing::Test {
 protected:
  PromotionLossTest()
      : plan({Member("p"), Member("a"), Member("b")}, {}, this->p, 3, 3,
             kStart) {
    this->Begin();
  }

  /// Begins the plan and has the terms below its own closed.
  void Begin() {
    this->Record(this->plan.Begin(kStart), std::chrono::milliseconds(0));
    this->Close(4, std::chrono::milliseconds(0));
  }

  /// Closes the terms below the given one at all daemons, at an age of the
  /// plan. Nothing is known to have been acknowledged, and the members have
  /// been followed for long enough.
  std::vector<PromotionAction> Close(common::Term below,
                                     std::chrono::milliseconds age) {
    return this->Record(
        this->plan.OnTermsClosed(ClosedBelow(below), kStart + age), age);
  }

  /// Passes a member's answer to the plan, at an age of the plan.
  std::vector<PromotionAction> Answer(
      const common::EndpointId& id, const EndpointStatus& status,
      std::chrono::milliseconds age = kFencePause) {
    // A member is asked for its status before it is held.
    if (this->introduced.insert(id).second && status.held > 0) {
      EndpointStatus before = status;
      before.held = 0;
      this->plan.OnStatus(id, before, kStart + age);
    }
    return this->Record(this->plan.OnStatus(id, status, kStart + age), age);
  }

  std::vector<PromotionAction> Members(
      const std::vector<GroupMember>& members,
      std::chrono::milliseconds age = kFencePause) {
    for (const GroupMember& member : members) {
      if (member.incarnation != 1) this->introduced.erase(member.id);
    }
    return this->Record(this->plan.OnMembers(members, kStart + age), age);
  }

  std::vector<PromotionAction> OrderAnswer(PromotionAnswer answer,
                                           std::chrono::milliseconds age) {
    return this->Record(this->plan.OnOrderAnswer(answer, kStart + age), age);
  }

  /// Ticks the plan until it reaches an age, without any answer.
  std::vector<PromotionAction> TickUntil(std::chrono::milliseconds age) {
    std::vector<PromotionAction> all;
    while (this->ticked + kPromotionTickInterval <= age) {
      this->ticked += kPromotionTickInterval;
      const auto actions =
          this->Record(this->plan.OnTick(kStart + this->ticked), this->ticked);
      all.insert(all.end(), actions.begin(), actions.end());
    }
    return all;
  }

  std::vector<PromotionAction> Record(std::vector<PromotionAction> actions,
                                      std::chrono::milliseconds age) {
    if (const auto* order = Find<OrderPromotion>(actions)) {
      this->ordered = order->endpoint;
      this->ordered_at = age;
    }
    return actions;
  }

  common::EndpointId p{"p"};
  common::EndpointId a{"a"};
  common::EndpointId b{"b"};
  /// Endpoint and time of the latest order.
  std::optional<common::EndpointId> ordered;
  std::chrono::milliseconds ordered_at{0};
  std::chrono::milliseconds ticked{0};
  /// Members that have answered the plan.
  std::set<common::EndpointId> introduced;
  PromotionPlan plan;
};

/// The same plan while an order of an earlier one for the replica a is open.
class EarlierOrderTest : public PromotionLossTest {
 protected:
  EarlierOrderTest() { this->BeginPlan(false); }

  /// Begins a plan while an order is open, which may still have to arrive.
  void BeginPlan(bool may_arrive) {
    this->plan = PromotionPlan({Member("p"), Member("a"), Member("b")}, {},
                               this->p, 3, 3, kStart);
    this->plan.SetEarlierOrder(
        {{this->a, 3, 1, 7}, kStart + kOpen, may_arrive});
    this->Begin();
  }

  /// Age of the plan at which the earlier order can no longer be executed.
  static constexpr std::chrono::milliseconds kOpen{5000};
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_UNIT_TESTS_SESSION_PROMOTION_LOSS_FIXTURE_H_
