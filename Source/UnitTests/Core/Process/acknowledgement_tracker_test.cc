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
  AcknowledgementTracker MakeTracker(AcknowledgementPolicy policy = {}) {
    return AcknowledgementTracker({a, 3, {3, 7}}, {a, b, c},
                                  this->now + milliseconds(1000), policy);
  }

  static EndpointId RequestedReplica(const AcknowledgementDecision& decision) {
    const auto* request = std::get_if<RequestConfirmation>(&decision);
    return request == nullptr ? EndpointId() : request->endpoint;
  }

  const EndpointId a{"a"};
  const EndpointId b{"b"};
  const EndpointId c{"c"};
  common::SteadyTime now{std::chrono::hours(1)};
};

// Guards against acknowledgements without a copy at a second database, or after
// a promotion has superseded the primary.
RC_GTEST_FIXTURE_PROP(AcknowledgementTrackerTest, AnyReplies_Handle_NeedsCopy,
                      ()) {
  AcknowledgementTracker tracker = this->MakeTracker();
  tracker.Start(this->now);
  bool confirmed = false;
  const int steps = *rc::gen::inRange(1, 20);
  for (int step = 0; step < steps; ++step) {
    this->now += milliseconds(*rc::gen::inRange(0, 120));
    const ConfirmReply reply{*rc::gen::element(this->a, this->b, this->c),
                             *rc::gen::arbitrary<bool>(),
                             *rc::gen::inRange<common::Term>(2, 5),
                             {}};
    const bool deadline_passed =
        this->now >=
        common::SteadyTime(std::chrono::hours(1)) + milliseconds(1000);
    confirmed = confirmed || (reply.held && reply.fence <= 3 &&
                              !deadline_passed && reply.endpoint != this->a);
    const auto decision = tracker.Handle(reply, this->now);
    if (std::holds_alternative<ReportUnknown>(decision)) return;
    RC_ASSERT(std::holds_alternative<Acknowledge>(decision) == confirmed);
  }
}

// Guards against writes that stay unconfirmed because one replica does not
// respond.
TEST_F(AcknowledgementTrackerTest, SilentReplica_Tick_AsksOtherReplica) {
  AcknowledgementTracker tracker = this->MakeTracker();
  EXPECT_EQ(this->RequestedReplica(tracker.Start(this->now)), this->b);
  this->now += milliseconds(100);
  EXPECT_EQ(
      this->RequestedReplica(tracker.Handle(AcknowledgementTick{}, this->now)),
      this->c);
  const auto decision = tracker.Handle(ConfirmReply{c, true, 3, {3, 7}}, now);
  EXPECT_TRUE(std::holds_alternative<Acknowledge>(decision));
}

// Guards against giving up because one replica is lagging or unreachable.
TEST_F(AcknowledgementTrackerTest, ReplicaLacksEntry_Handle_AsksOtherReplica) {
  AcknowledgementTracker tracker = this->MakeTracker();
  tracker.Start(this->now);
  EXPECT_EQ(this->RequestedReplica(
                tracker.Handle(ConfirmReply{b, false, 3, {3, 5}}, now)),
            this->c);
  EXPECT_EQ(this->RequestedReplica(tracker.Handle(ConfirmFailed{c}, this->now)),
            EndpointId());
  this->now += milliseconds(10);
  EXPECT_EQ(
      this->RequestedReplica(tracker.Handle(AcknowledgementTick{}, this->now)),
      this->b);
}

// Guards against clients that wait for a primary that has already been
// replaced.
TEST_F(AcknowledgementTrackerTest, AllFencedAbove_Handle_IsUnknownAtOnce) {
  AcknowledgementTracker tracker = this->MakeTracker();
  tracker.Start(this->now);
  tracker.Handle(ConfirmReply{b, true, 4, {3, 7}}, this->now);
  const auto decision = tracker.Handle(ConfirmReply{c, true, 5, {3, 7}}, now);
  ASSERT_TRUE(std::holds_alternative<ReportUnknown>(decision));
  EXPECT_EQ(std::get<ReportUnknown>(decision).superseded_by, 5U);
}

// Guards against an outcome that is reported as unknown and later acknowledged.
TEST_F(AcknowledgementTrackerTest, DeadlinePassed_LateReply_StaysUnknown) {
  AcknowledgementTracker tracker = this->MakeTracker();
  tracker.Start(this->now);
  this->now += milliseconds(1000);
  const ConfirmReply late_reply{b, true, 3, {3, 7}};
  EXPECT_TRUE(std::holds_alternative<ReportUnknown>(
      tracker.Handle(late_reply, this->now)));
  this->now -= milliseconds(500);
  EXPECT_TRUE(std::holds_alternative<ReportUnknown>(
      tracker.Handle(late_reply, this->now)));
}

// Guards against acknowledging an entry of an older term, which a later primary
// may replace although two databases hold it.
TEST_F(AcknowledgementTrackerTest, OlderTermPosition_Start_IsUnknown) {
  AcknowledgementTracker tracker({a, 3, {2, 7}}, {b, c},
                                 now + milliseconds(1000));
  EXPECT_TRUE(std::holds_alternative<ReportUnknown>(tracker.Start(this->now)));
}

}  // namespace
}  // namespace camphorferry::process
