#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;

constexpr common::SteadyTime kStart{std::chrono::hours(1)};
/// Age of the plan at which it has waited long enough for the old primary.
constexpr milliseconds kFencePause(400);
/// The platform executes an unanswered order within this time.
constexpr milliseconds kLongestOrder(3000);
/// An order that was accepted takes effect within this time.
constexpr milliseconds kLongestPromotion(1000);

GroupMember Member(const std::string& id, std::uint64_t incarnation = 1) {
  GroupMember member;
  member.id = common::EndpointId(id);
  member.incarnation = incarnation;
  return member;
}

EndpointStatus Replica(common::Term term, common::LogIndex index,
                       common::Term held) {
  return {GroupRole::kReplica, term, {term, index}, held};
}

EndpointStatus Primary(common::Term term, common::LogIndex index) {
  return {GroupRole::kPrimary, term, {term, index}, 0};
}

template <typename Action>
const Action* Find(const std::vector<PromotionAction>& actions) {
  for (const PromotionAction& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) return found;
  }
  return nullptr;
}

/// A plan for term 4 that replaces the primary p of the replicas a and b, and a
/// record of every order that it gives.
class PromotionLossTest : public testing::Test {
 protected:
  PromotionLossTest()
      : plan({Member("p"), Member("a"), Member("b")}, {}, this->p, 3, kStart) {
    this->Record(this->plan.Begin(kStart), milliseconds(0));
  }

  /// Passes a member's answer to the plan, at an age of the plan.
  std::vector<PromotionAction> Answer(const common::EndpointId& id,
                                      const EndpointStatus& status,
                                      milliseconds age = kFencePause) {
    return this->Record(this->plan.OnStatus(id, status, kStart + age), age);
  }

  std::vector<PromotionAction> Members(const std::vector<GroupMember>& members,
                                       milliseconds age = kFencePause) {
    return this->Record(this->plan.OnMembers(members, kStart + age), age);
  }

  std::vector<PromotionAction> OrderAnswer(PromotionAnswer answer,
                                           milliseconds age) {
    return this->Record(this->plan.OnOrderAnswer(answer, kStart + age), age);
  }

  /// Ticks the plan until it reaches an age, without any answer.
  std::vector<PromotionAction> TickUntil(milliseconds age) {
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
                                      milliseconds age) {
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
  milliseconds ordered_at{0};
  milliseconds ticked{0};
  PromotionPlan plan;
};

// Guards against counting a former primary as fenced that follows the real
// primary and confirms its commits (incident of 2026-12-05).
TEST_F(PromotionLossTest, FormerPrimaryNotHeld_OtherMemberLeads_IsNotCounted) {
  this->Answer(this->p, Replica(3, 10, 0));
  this->Answer(this->a, Primary(3, 10));
  this->Answer(this->b, Replica(3, 10, 4));
  // Until it steps down, a commits 11 and 12 with p's confirmation.
  this->Answer(this->a, Replica(3, 12, 0));
  EXPECT_NE(this->ordered, this->p);
  EXPECT_NE(this->ordered, this->b);
}

// Guards against taking the position of a former primary, which follows the
// real primary, for the end of the log.
TEST_F(PromotionLossTest, FormerPrimaryNotHeld_LeaderSilent_OrdersNothing) {
  this->Answer(this->p, Replica(3, 10, 0));
  this->Answer(this->b, Replica(3, 10, 4));
  // The silent a leads and commits 11 with p's confirmation.
  EXPECT_FALSE(this->ordered.has_value());
}

// Guards against taking the empty log of a restarted primary for the end of the
// log, so that a silent replica's commits are not waited for.
TEST_F(PromotionLossTest, PrimaryReborn_OtherReplicaSilent_OrdersNothing) {
  this->Members({Member("p", 2), Member("a"), Member("b")});
  this->Answer(this->p, Replica(3, 0, 4));
  this->Answer(this->b, Replica(3, 10, 4));
  this->TickUntil(milliseconds(1900));
  // The silent a has confirmed 11.
  EXPECT_FALSE(this->ordered.has_value());
}

// Guards against choosing a replica that lacks a commit which another replica
// has reported before it was restarted.
TEST_F(PromotionLossTest, ReportedReplicaReborn_PrimarySilent_OrdersNothing) {
  this->Answer(this->a, Replica(3, 10, 4));
  this->Members({Member("p"), Member("a", 2), Member("b")});
  this->Answer(this->a, Replica(3, 0, 4));
  this->Answer(this->b, Replica(3, 9, 4));
  this->TickUntil(milliseconds(1900));
  EXPECT_FALSE(this->ordered.has_value());
}

// Guards against forgetting a replica whose store entry has expired while it
// lives: it receives and confirms the silent primary's commits.
TEST_F(PromotionLossTest, ReplicaEntryExpires_PrimarySilent_OrdersNothing) {
  this->Answer(this->b, Replica(3, 10, 4));
  this->Members({Member("p"), Member("b")});
  this->TickUntil(milliseconds(1900));
  EXPECT_FALSE(this->ordered.has_value());
}

// Guards against relying on a hold that a delayed resume of another daemon has
// ended.
TEST_F(PromotionLossTest, HoldEnded_OtherReplicaAnswers_OrdersNothing) {
  this->Answer(this->a, Replica(3, 10, 4));
  this->Answer(this->a, Replica(3, 10, 0));
  this->Answer(this->b, Replica(3, 10, 4));
  EXPECT_FALSE(this->ordered.has_value());
}

// Guards against resuming replicas after the platform has accepted an order
// that has not taken effect yet.
TEST_F(PromotionLossTest, OrderAccepted_EndBeforeTheEffect_DoesNotResume) {
  this->Answer(this->a, Replica(3, 10, 4));
  this->Answer(this->b, Replica(3, 10, 4));
  milliseconds accepted(0);
  for (milliseconds age(500); age <= milliseconds(12000);
       age += kPromotionTickInterval) {
    const auto actions = this->TickUntil(age);
    if (Find<SendResume>(actions) != nullptr) {
      EXPECT_GE(age, this->ordered_at + kLongestPromotion);
    }
    if (Find<PromotionFinished>(actions) != nullptr) return;
    if (accepted == this->ordered_at) continue;
    accepted = this->ordered_at;
    this->OrderAnswer(PromotionAnswer::kAccepted, age + milliseconds(50));
  }
}

// Guards against resuming replicas after one order was rejected, while an
// earlier order without an answer may still be executed.
TEST_F(PromotionLossTest, RetryRejected_FirstOrderUnanswered_DoesNotResume) {
  this->Answer(this->a, Replica(3, 10, 4));
  this->Answer(this->b, Replica(3, 10, 4));
  const milliseconds unanswered = this->ordered_at;
  this->OrderAnswer(PromotionAnswer::kNoAnswer, milliseconds(1400));
  for (milliseconds age(500); age <= milliseconds(12000);
       age += kPromotionTickInterval) {
    auto actions = this->TickUntil(age);
    if (Find<OrderPromotion>(actions) != nullptr) {
      const auto rejected = this->OrderAnswer(PromotionAnswer::kRejected, age);
      actions.insert(actions.end(), rejected.begin(), rejected.end());
    }
    if (Find<SendResume>(actions) != nullptr) {
      EXPECT_GE(age, unanswered + kLongestOrder);
    }
    if (Find<PromotionFinished>(actions) != nullptr) return;
  }
}

// Guards against ending, and so releasing the lease to a daemon that promotes
// another member, while an order may still be executed.
TEST_F(PromotionLossTest, OrdersUnanswered_End_IsAfterTheLongestOrder) {
  this->Answer(this->a, Replica(3, 10, 4));
  this->Answer(this->b, Replica(3, 10, 4));
  std::optional<milliseconds> ended;
  for (milliseconds age(500); age <= milliseconds(12000) && !ended.has_value();
       age += kPromotionTickInterval) {
    if (Find<PromotionFinished>(this->TickUntil(age)) != nullptr) ended = age;
  }
  ASSERT_TRUE(ended.has_value());
  EXPECT_GE(*ended, this->ordered_at + kLongestOrder);
}

// Guards against repeating an order after another member was promoted: the
// chosen replica may lack commits of the new primary.
TEST_F(PromotionLossTest, ChosenFollowsNewPrimary_RetryInterval_OrdersNothing) {
  this->Answer(this->a, Replica(3, 10, 4));
  this->Answer(this->b, Replica(3, 10, 4));
  ASSERT_TRUE(this->ordered.has_value());
  this->Answer(*this->ordered, Replica(4, 11, 0), milliseconds(1500));
  this->TickUntil(milliseconds(5900));
  EXPECT_EQ(this->ordered_at, kFencePause);
}

// Guards against repeating an order for a replica that has lost its log.
TEST_F(PromotionLossTest, ChosenReborn_RetryInterval_OrdersNothing) {
  this->Answer(this->a, Replica(3, 11, 4));
  this->Answer(this->b, Replica(3, 10, 4));
  ASSERT_EQ(this->ordered, this->a);
  this->Members({Member("p"), Member("a", 2), Member("b")}, milliseconds(500));
  this->TickUntil(milliseconds(5900));
  EXPECT_EQ(this->ordered_at, kFencePause);
}

// Guards against a member that registers after the order and confirms commits
// of the old primary until the promotion takes effect.
TEST_F(PromotionLossTest, MemberJoins_OrderPending_IsHeld) {
  this->Answer(this->a, Replica(3, 10, 4));
  this->Answer(this->b, Replica(3, 10, 4));
  ASSERT_TRUE(this->ordered.has_value());
  std::vector<PromotionAction> actions = this->Members(
      {Member("p"), Member("a"), Member("b"), Member("c")}, milliseconds(450));
  const auto ticked = this->TickUntil(milliseconds(600));
  actions.insert(actions.end(), ticked.begin(), ticked.end());
  bool held = false;
  for (const PromotionAction& action : actions) {
    const auto* hold = std::get_if<SendHold>(&action);
    held = held || (hold != nullptr && hold->endpoint.Value() == "c");
  }
  EXPECT_TRUE(held);
}

}  // namespace
}  // namespace camphorferry::session
