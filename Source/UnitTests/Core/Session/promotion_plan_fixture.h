#ifndef CAMPHORFERRY_UNIT_TESTS_SESSION_PROMOTION_PLAN_FIXTURE_H_
#define CAMPHORFERRY_UNIT_TESTS_SESSION_PROMOTION_PLAN_FIXTURE_H_

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Session/session.h"

namespace camphorferry::session {

inline constexpr common::SteadyTime kStart{std::chrono::hours(1)};

inline GroupMember Member(const std::string& id,
                          std::uint64_t incarnation = 1) {
  GroupMember member;
  member.id = common::EndpointId(id);
  member.state = MemberState::kReady;
  member.incarnation = incarnation;
  return member;
}

inline std::vector<GroupMember> Members(const std::vector<std::string>& ids) {
  std::vector<GroupMember> members;
  members.reserve(ids.size());
  for (const std::string& id : ids) members.push_back(Member(id));
  return members;
}

inline EndpointStatus Held(common::Term term, common::LogIndex index,
                           common::Term held) {
  return {GroupRole::kReplica, term, {term, index}, held};
}

inline EndpointStatus Leads(common::Term term, common::LogIndex index) {
  return {GroupRole::kPrimary, term, {term, index}, 0};
}

template <typename Action>
const Action* Find(const std::vector<PromotionAction>& actions) {
  for (const PromotionAction& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) return found;
  }
  return nullptr;
}

/// The terms below the given one are closed. Nothing is known to have been
/// acknowledged, and the members have been followed for long enough.
inline TermsClosed ClosedBelow(common::Term below) {
  TermsClosed closed;
  closed.below = below;
  closed.followed = std::chrono::seconds(10);
  return closed;
}

/// The members that actions of a kind are for, in the order of the actions.
template <typename Action>
std::vector<std::string> Targets(const std::vector<PromotionAction>& actions) {
  std::vector<std::string> targets;
  for (const PromotionAction& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) {
      targets.push_back(found->endpoint.Value());
    }
  }
  return targets;
}

/// A plan for a group whose primary p of term 3 has failed. Members other than
/// those of a test are silent.
class PromotionPlanClosingTest : public testing::Test {
 protected:
  static PromotionPlan Plan(const std::vector<std::string>& members,
                            FormerMembers former = {},
                            std::set<common::EndpointId> ended = {}) {
    return {Members(members), std::move(former), common::EndpointId("p"), 3, 3,
            kStart,           std::move(ended)};
  }

  /// Closes the terms below the given one with what the test has set.
  std::vector<PromotionAction> Close(PromotionPlan* plan, common::SteadyTime at,
                                     common::Term below = 4) {
    this->closed.below = below;
    return plan->OnTermsClosed(this->closed, at);
  }

  /// A replica answers a status, and then its hold.
  static std::vector<PromotionAction> AnswerHeld(PromotionPlan* plan,
                                                 const common::EndpointId& id,
                                                 common::LogIndex index,
                                                 common::SteadyTime at,
                                                 common::Term held = 4) {
    plan->OnStatus(id, Held(3, index, 0), at);
    return plan->OnStatus(id, Held(3, index, held), at);
  }

  /// Whether a plan orders nothing in a time in which the given members answer
  /// each tick that they are held with the given index. Their first answer is
  /// that they are not: a hold that the plan finds raises its term.
  static bool OrdersNothing(
      PromotionPlan* plan,
      const std::vector<std::pair<common::EndpointId, common::LogIndex>>& held,
      common::SteadyTime from, common::SteadyTime until) {
    for (const auto& [id, index] : held) {
      plan->OnStatus(id, Held(3, index, 0), from);
    }
    for (common::SteadyTime at = from; at < until;
         at += kPromotionTickInterval) {
      for (const auto& [id, index] : held) {
        const auto answered = plan->OnStatus(id, Held(3, index, 4), at);
        if (Find<OrderPromotion>(answered) != nullptr) return false;
      }
      if (Find<OrderPromotion>(plan->OnTick(at)) != nullptr) return false;
    }
    return true;
  }

  const common::EndpointId p{"p"};
  const common::EndpointId a{"a"};
  const common::EndpointId b{"b"};
  const common::EndpointId c{"c"};
  const common::EndpointId d{"d"};
  TermsClosed closed = ClosedBelow(0);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_UNIT_TESTS_SESSION_PROMOTION_PLAN_FIXTURE_H_
