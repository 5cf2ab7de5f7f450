#include <gtest/gtest.h>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;

constexpr common::SteadyTime kStart{std::chrono::hours(1)};

class PrimaryMonitorTest : public testing::Test {
 protected:
  PrimaryMonitorTest() { this->monitor.OnPrimaryChanged(kStart, true); }

  void LoseContactUntil(common::SteadyTime end) {
    for (common::SteadyTime now = kStart; now <= end;
         now += milliseconds(100)) {
      this->monitor.OnUnresponsive(now);
    }
  }

  PrimaryMonitor monitor;
};

// Guards against a promotion because of one lost connection.
TEST_F(PrimaryMonitorTest, OneFailure_Decide_OnlyProbes) {
  this->monitor.OnUnresponsive(kStart);
  const FailoverDecision decision =
      this->monitor.Decide(kStart + milliseconds(900));
  EXPECT_TRUE(decision.probe);
  EXPECT_FALSE(decision.replace.has_value());
}

// Guards against a dead primary that is never replaced.
TEST_F(PrimaryMonitorTest, SilentPrimary_Decide_Replaces) {
  this->LoseContactUntil(kStart + milliseconds(600));
  EXPECT_EQ(this->monitor.Decide(kStart + milliseconds(600)).replace,
            FailoverReason::kDead);
}

// Guards against replacing a primary although only this daemon cannot reach it.
TEST_F(PrimaryMonitorTest, ReplicasStillReceive_Decide_Waits) {
  this->LoseContactUntil(kStart + milliseconds(1000));
  this->monitor.OnReplicaPosition(kStart + milliseconds(900), {1, 9});
  EXPECT_FALSE(
      this->monitor.Decide(kStart + milliseconds(1000)).replace.has_value());
  EXPECT_EQ(this->monitor.Decide(kStart + milliseconds(2000)).replace,
            FailoverReason::kUnreachable);
}

// Guards against keeping a primary that answers but has no replica to confirm
// commits.
TEST_F(PrimaryMonitorTest, UnansweredCommits_Decide_Replaces) {
  this->monitor.OnCommitUnanswered(kStart);
  this->monitor.OnCommitUnanswered(kStart + milliseconds(100));
  EXPECT_EQ(this->monitor.Decide(kStart + milliseconds(400)).replace,
            FailoverReason::kStalled);
  this->monitor.OnCommitSuccess(kStart + milliseconds(450));
  EXPECT_FALSE(
      this->monitor.Decide(kStart + milliseconds(500)).replace.has_value());
}

// Guards against a daemon that waits for the store to name the new primary,
// because the replaced one still answers it.
TEST_F(PrimaryMonitorTest, UnansweredCommits_Decide_Probes) {
  this->monitor.OnCommitUnanswered(kStart);
  this->monitor.OnCommitUnanswered(kStart + milliseconds(100));
  EXPECT_FALSE(this->monitor.Decide(kStart + milliseconds(200)).probe);
  EXPECT_TRUE(this->monitor.Decide(kStart + milliseconds(400)).probe);
}

// Guards against a replica that is never asked.
TEST_F(PrimaryMonitorTest, Replicas_NextReplica_TakesTurns) {
  const common::EndpointId a("a");
  const common::EndpointId b("b");
  const common::EndpointId c("c");
  EXPECT_EQ(this->monitor.NextReplica({}), std::nullopt);
  EXPECT_EQ(this->monitor.NextReplica({a, b, c}), a);
  EXPECT_EQ(this->monitor.NextReplica({a, b, c}), b);
  EXPECT_EQ(this->monitor.NextReplica({a, c}), c);
  EXPECT_EQ(this->monitor.NextReplica({a, b, c}), a);
}

// Guards against a group that stays without a primary.
TEST_F(PrimaryMonitorTest, NoPrimary_Decide_ReplacesAfterADelay) {
  this->monitor.OnPrimaryChanged(kStart, false);
  EXPECT_FALSE(
      this->monitor.Decide(kStart + milliseconds(1000)).replace.has_value());
  EXPECT_EQ(this->monitor.Decide(kStart + milliseconds(1500)).replace,
            FailoverReason::kNoPrimary);
}

// Guards against a promotion while another one is in progress, and against one
// for a replica whose last status is old.
TEST_F(PrimaryMonitorTest, ReplicaHeld_Decide_ReplacesOnlyIfItStaysHeld) {
  const common::EndpointId replica("a");
  for (int ms = 0; ms <= 3000; ms += 500) {
    this->monitor.OnReplicaHeld(kStart + milliseconds(ms), replica, true);
  }
  EXPECT_FALSE(
      this->monitor.Decide(kStart + milliseconds(3100)).replace.has_value());
  this->monitor.OnReplicaHeld(kStart + milliseconds(3500), replica, true);
  EXPECT_EQ(this->monitor.Decide(kStart + milliseconds(3600)).replace,
            FailoverReason::kReplicasHeld);
  EXPECT_FALSE(
      this->monitor.Decide(kStart + milliseconds(6000)).replace.has_value());
  this->monitor.OnReplicaHeld(kStart + milliseconds(6100), replica, true);
  EXPECT_FALSE(
      this->monitor.Decide(kStart + milliseconds(6200)).replace.has_value());
  this->monitor.OnReplicaHeld(kStart + milliseconds(6300), replica, false);
  EXPECT_TRUE(this->monitor.HeldReplicas().empty());
}

}  // namespace
}  // namespace camphorferry::session
