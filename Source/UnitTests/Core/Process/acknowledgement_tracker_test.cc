#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <variant>

#include "Process/process.h"

namespace camphorferry::process {
namespace {

using common::EndpointId;
using std::chrono::milliseconds;

class AcknowledgementTrackerTest : public testing::Test {
 protected:
  AcknowledgementTracker MakeRule(AcknowledgementPolicy policy = {}) {
    return AcknowledgementTracker({a, 3, {3, 7}}, {a, b, c},
                                  this->now + milliseconds(1000), policy);
  }

  static EndpointId Asked(const AcknowledgementDecision& decision) {
    const auto* ask = std::get_if<RequestConfirmation>(&decision);
    return ask == nullptr ? EndpointId() : ask->endpoint;
  }

  const EndpointId a{"a"};
  const EndpointId b{"b"};
  const EndpointId c{"c"};
  common::SteadyTime now{std::chrono::hours(1)};
};

// Guards against acknowledgements that no second database backs, and against
// ones that a promotion has already overtaken.
RC_GTEST_FIXTURE_PROP(AcknowledgementTrackerTest, AnyReplies_Handle_NeedsCopy,
                      ()) {
  AcknowledgementTracker rule = this->MakeRule();
  rule.Start(this->now);
  bool backed = false;
  const int steps = *rc::gen::inRange(1, 20);
  for (int step = 0; step < steps; ++step) {
    this->now += milliseconds(*rc::gen::inRange(0, 120));
    const ConfirmReply reply{*rc::gen::element(this->a, this->b, this->c),
                             *rc::gen::arbitrary<bool>(),
                             *rc::gen::inRange<common::Term>(2, 5),
                             {}};
    const bool late = this->now >= common::SteadyTime(std::chrono::hours(1)) +
                                       milliseconds(1000);
    backed = backed || (reply.held && reply.fence <= 3 && !late &&
                        reply.endpoint != this->a);
    const auto decision = rule.Handle(reply, this->now);
    if (std::holds_alternative<ReportUnknown>(decision)) return;
    RC_ASSERT(std::holds_alternative<Acknowledge>(decision) == backed);
  }
}

// Guards against writes that stay unconfirmed because one replica is silent.
TEST_F(AcknowledgementTrackerTest, SilentReplica_Tick_AsksTheOther) {
  AcknowledgementTracker rule = this->MakeRule();
  EXPECT_EQ(this->Asked(rule.Start(this->now)), this->b);
  this->now += milliseconds(100);
  EXPECT_EQ(this->Asked(rule.Handle(AcknowledgementTick{}, this->now)),
            this->c);
  const auto decision = rule.Handle(ConfirmReply{c, true, 3, {3, 7}}, now);
  EXPECT_TRUE(std::holds_alternative<Acknowledge>(decision));
}

// Guards against a lagging or lost replica that ends the attempt early.
TEST_F(AcknowledgementTrackerTest, ReplicaLacksEntry_Handle_AsksTheOther) {
  AcknowledgementTracker rule = this->MakeRule();
  rule.Start(this->now);
  EXPECT_EQ(this->Asked(rule.Handle(ConfirmReply{b, false, 3, {3, 5}}, now)),
            this->c);
  EXPECT_EQ(this->Asked(rule.Handle(ConfirmFailed{c}, this->now)),
            EndpointId());
  this->now += milliseconds(10);
  EXPECT_EQ(this->Asked(rule.Handle(AcknowledgementTick{}, this->now)),
            this->b);
}

// Guards against clients that wait for a primary that was already replaced.
TEST_F(AcknowledgementTrackerTest, AllFencedAbove_Handle_IsUnknownAtOnce) {
  AcknowledgementTracker rule = this->MakeRule();
  rule.Start(this->now);
  rule.Handle(ConfirmReply{b, true, 4, {3, 7}}, this->now);
  const auto decision = rule.Handle(ConfirmReply{c, true, 5, {3, 7}}, now);
  ASSERT_TRUE(std::holds_alternative<ReportUnknown>(decision));
  EXPECT_EQ(std::get<ReportUnknown>(decision).superseded_by, 5U);
}

// Guards against an unknown outcome that later turns into an acknowledgement.
TEST_F(AcknowledgementTrackerTest, DeadlinePassed_LateReply_StaysUnknown) {
  AcknowledgementTracker rule = this->MakeRule();
  rule.Start(this->now);
  this->now += milliseconds(1000);
  const ConfirmReply late{b, true, 3, {3, 7}};
  EXPECT_TRUE(
      std::holds_alternative<ReportUnknown>(rule.Handle(late, this->now)));
  this->now -= milliseconds(500);
  EXPECT_TRUE(
      std::holds_alternative<ReportUnknown>(rule.Handle(late, this->now)));
}

// Guards against an entry of an older term that a later primary may replace
// although two databases hold it.
TEST_F(AcknowledgementTrackerTest, OlderTermPosition_Start_IsUnknown) {
  AcknowledgementTracker rule({a, 3, {2, 7}}, {b, c}, now + milliseconds(1000));
  EXPECT_TRUE(std::holds_alternative<ReportUnknown>(rule.Start(this->now)));
}

}  // namespace
}  // namespace camphorferry::process
