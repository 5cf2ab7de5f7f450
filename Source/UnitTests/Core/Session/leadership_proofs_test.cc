#include <gtest/gtest.h>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;

constexpr common::SteadyTime kStart{std::chrono::hours(1)};

class LeadershipProofsTest : public testing::Test {
 protected:
  static LeadershipRound Round(common::SteadyTime started,
                               common::LogPosition position) {
    LeadershipRound round;
    round.started = started;
    round.primary = {GroupRole::kPrimary, position.term, position, 0};
    round.replica =
        EndpointStatus{GroupRole::kReplica, position.term, position, 0};
    return round;
  }

  LeadershipProofs proofs;
};

// Guards against using a position for reads that were received after its proof.
TEST_F(LeadershipProofsTest, ProofBeforeRead_RequiredPosition_IsNone) {
  ASSERT_TRUE(this->proofs.Record(Round(kStart, {3, 10})));
  EXPECT_FALSE(
      this->proofs.RequiredPosition(kStart + milliseconds(1)).has_value());
  EXPECT_EQ(this->proofs.RequiredPosition(kStart),
            (common::LogPosition{3, 10}));
}

// Guards against requiring a newer position from a replica than the route
// needs.
TEST_F(LeadershipProofsTest, TwoProofs_RequiredPosition_IsTheOldestSufficient) {
  this->proofs.Record(Round(kStart, {3, 10}));
  this->proofs.Record(Round(kStart + milliseconds(500), {3, 20}));
  EXPECT_EQ(this->proofs.RequiredPosition(kStart - milliseconds(100)),
            (common::LogPosition{3, 10}));
  EXPECT_EQ(this->proofs.RequiredPosition(kStart + milliseconds(100)),
            (common::LogPosition{3, 20}));
}

// Guards against trusting a primary whose replica is fenced for a promotion.
TEST_F(LeadershipProofsTest, HeldReplica_Record_ProvesNothing) {
  LeadershipRound round = Round(kStart, {3, 10});
  round.replica->held = 4;
  EXPECT_FALSE(this->proofs.Record(round));
}

// Guards against trusting a replaced primary that does not know that it was
// replaced.
TEST_F(LeadershipProofsTest, ReplicaOfALaterTerm_Record_ProvesNothing) {
  LeadershipRound round = Round(kStart, {3, 10});
  round.replica->term = 4;
  EXPECT_FALSE(this->proofs.Record(round));
}

// Guards against a proof by a member that has stepped down.
TEST_F(LeadershipProofsTest, PrimarySteppedDown_Record_ProvesNothing) {
  LeadershipRound round = Round(kStart, {3, 10});
  round.primary.role = GroupRole::kReplica;
  EXPECT_FALSE(this->proofs.Record(round));
  EXPECT_FALSE(this->proofs.LatestTime().has_value());
}

// Guards against a peer's older proof that hides a younger one of this daemon.
TEST_F(LeadershipProofsTest, OlderProofAdded_LatestTime_IsUnchanged) {
  this->proofs.Record(Round(kStart + milliseconds(500), {3, 20}));
  this->proofs.Add(kStart, {3, 10});
  EXPECT_EQ(this->proofs.LatestTime(), kStart + milliseconds(500));
  EXPECT_EQ(this->proofs.RequiredPosition(kStart),
            (common::LogPosition{3, 10}));
}

}  // namespace
}  // namespace camphorferry::session
