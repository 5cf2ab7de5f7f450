#include "guarantee_checker.h"

#include <gtest/gtest.h>

#include "fault_schedule.h"

namespace camphorferry::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::SteadyTime kStart{std::chrono::hours(1)};

/// Each test violates one guarantee. Guards against a checker that misses a
/// violation, with which the soak would pass without checking anything.
class GuaranteeCheckerTest : public testing::Test {
 protected:
  SentStatement Send(const std::string& id, milliseconds at,
                     bool commits = false) {
    SentStatement statement;
    statement.id = id;
    statement.service = "s";
    statement.session = "session";
    statement.workspace = "w";
    statement.commits = commits;
    statement.sent = kStart + at;
    statement.fresh_as_of = kStart + at;
    statement.guarantee = this->guarantee;
    statement.max_staleness = milliseconds(1500);
    statement.starts_operation = true;
    this->checker.OnSent(statement);
    return statement;
  }

  void Run(const std::string& id, milliseconds at,
           const std::set<std::string>& held_commits = {},
           const std::string& caller = "w",
           const std::map<std::string, std::string>& values = {}) {
    this->checker.OnExecuted({id, caller, values, &held_commits}, kStart + at);
  }

  void Commit(const std::string& id, milliseconds at) {
    this->Send(id, at, true);
    this->Run(id, at);
    this->checker.OnOutcome(id, ClientOutcome::kDone,
                            kStart + at + milliseconds(1));
  }

  bool HasViolation(const std::string& violation) const {
    for (const std::string& text : this->checker.Violations()) {
      if (text.starts_with(violation)) return true;
    }
    return false;
  }

  session::ReadGuarantee guarantee = session::ReadGuarantee::kLatest;
  GuaranteeChecker checker;
};

TEST_F(GuaranteeCheckerTest, CheckFinalLog_NoViolation_FindsNothing) {
  this->Commit("a", milliseconds(0));
  this->Send("r", milliseconds(10));
  this->Run("r", milliseconds(11), {"a"});
  this->checker.CheckFinalLog("s", {"a"});
  EXPECT_TRUE(this->checker.Violations().empty());
}

TEST_F(GuaranteeCheckerTest, CheckFinalLog_AcknowledgedCommitMissing_IsLost) {
  this->Commit("a", milliseconds(0));
  this->checker.CheckFinalLog("s", {});
  EXPECT_TRUE(this->HasViolation("lost"));
}

TEST_F(GuaranteeCheckerTest, CheckFinalLog_CommitTwiceInTheLog_IsDoubled) {
  this->Commit("a", milliseconds(0));
  this->checker.CheckFinalLog("s", {"a", "a"});
  EXPECT_TRUE(this->HasViolation("doubled"));
}

TEST_F(GuaranteeCheckerTest, CheckFinalLog_RejectedWriteInTheLog_IsViolation) {
  this->Send("a", milliseconds(0), true);
  this->checker.OnOutcome("a", ClientOutcome::kNotApplied, kStart);
  this->checker.CheckFinalLog("s", {"a"});
  EXPECT_TRUE(this->HasViolation("kept_though_refused"));
}

// Guards against a loss that no read meets.
TEST_F(GuaranteeCheckerTest, OnPromoted_LogWithoutACommit_IsViolation) {
  this->Commit("a", milliseconds(0));
  this->Commit("b", milliseconds(10));
  this->checker.OnPromoted("s", "s-1", {"a", "b"});
  this->checker.OnPromoted("other", "other-1", {});
  EXPECT_TRUE(this->checker.Violations().empty());
  this->checker.OnPromoted("s", "s-1", {"a"});
  EXPECT_EQ(this->checker.Violations(),
            std::vector<std::string>{
                "promotion_lacks_commit endpoint=s-1 lacks=b missing=1"});
}

// A commit whose outcome its client does not know may be missing.
TEST_F(GuaranteeCheckerTest, OnPromoted_LogWithoutUnknownCommit_IsNoViolation) {
  this->Send("a", milliseconds(0), true);
  this->Run("a", milliseconds(1));
  this->checker.OnOutcome("a", ClientOutcome::kUnknown, kStart);
  this->checker.OnPromoted("s", "s-1", {});
  EXPECT_TRUE(this->checker.Violations().empty());
}

TEST_F(GuaranteeCheckerTest, OnExecuted_LatestReadWithoutACommit_IsStale) {
  this->Commit("a", milliseconds(0));
  this->Send("r", milliseconds(10));
  this->Run("r", milliseconds(11));
  EXPECT_TRUE(this->HasViolation("stale_read"));
}

TEST_F(GuaranteeCheckerTest,
       OnExecuted_BoundedReadWithoutCommits_IsStaleForOldOnes) {
  this->guarantee = session::ReadGuarantee::kBoundedStaleness;
  this->Commit("a", milliseconds(0));
  this->Send("r", milliseconds(1000));
  this->Run("r", milliseconds(1001));
  EXPECT_TRUE(this->checker.Violations().empty());
  this->Send("q", milliseconds(2000));
  this->Run("q", milliseconds(2001));
  EXPECT_TRUE(this->HasViolation("stale_read"));
}

TEST_F(GuaranteeCheckerTest, OnExecuted_OwnCommitNotSeen_IsStale) {
  this->guarantee = session::ReadGuarantee::kReadYourWrites;
  this->Commit("a", milliseconds(0));
  this->Send("r", milliseconds(10));
  this->Run("r", milliseconds(11));
  EXPECT_TRUE(this->HasViolation("stale_read"));
}

TEST_F(GuaranteeCheckerTest, OnExecuted_StatementNeverSent_IsUnasked) {
  this->Run("x", milliseconds(0));
  EXPECT_TRUE(this->HasViolation("unasked"));
}

TEST_F(GuaranteeCheckerTest, OnExecuted_OtherCallerOrValues_AreViolations) {
  this->Send("a", milliseconds(0));
  this->Run("a", milliseconds(1), {}, "other", {{"mode", "m"}});
  EXPECT_TRUE(this->HasViolation("wrong_workspace"));
  EXPECT_TRUE(this->HasViolation("wrong_values"));
}

TEST_F(GuaranteeCheckerTest, OnExecuted_AboveTheWindowLimit_IsOverTheRate) {
  this->checker.SetWindowLimit("w", 2);
  for (int count = 0; count < 3; ++count) {
    const std::string id = "a" + std::to_string(count);
    this->Send(id, milliseconds(count));
    this->Run(id, milliseconds(count));
  }
  EXPECT_TRUE(this->HasViolation("over_rate"));
}

TEST_F(GuaranteeCheckerTest, OnExecuted_WithdrawnKey_IsViolation) {
  SentStatement statement = this->Send("a", milliseconds(0));
  statement.key_revoked = true;
  this->checker.OnSent(statement);
  this->Run("a", milliseconds(1));
  EXPECT_TRUE(this->HasViolation("withdrawn_key"));
}

TEST_F(GuaranteeCheckerTest, OnOutcome_StatementNeverSent_IsCrossedAnswer) {
  this->checker.OnOutcome("x", ClientOutcome::kDone, kStart);
  EXPECT_TRUE(this->HasViolation("crossed_answer"));
}

TEST_F(GuaranteeCheckerTest,
       OnConnectionLost_PlannedOperationsOnly_IsViolation) {
  this->Send("a", milliseconds(0));
  this->checker.OnConnectionLost("a", false, kStart + milliseconds(300));
  EXPECT_TRUE(this->checker.Violations().empty());
  this->checker.OnConnectionLost("a", true, kStart + milliseconds(300));
  EXPECT_TRUE(this->HasViolation("cut_by_stop"));
}

TEST_F(GuaranteeCheckerTest,
       OnConnectionLost_SoonAfterSending_IsViolationOnlyIfExecuted) {
  this->Send("a", milliseconds(0));
  this->checker.OnConnectionLost("a", true, kStart + milliseconds(100));
  EXPECT_TRUE(this->checker.Violations().empty());
  this->Run("a", milliseconds(50));
  this->checker.OnConnectionLost("a", true, kStart + milliseconds(100));
  EXPECT_TRUE(this->HasViolation("cut_by_stop"));
}

class FaultScheduleTest : public testing::Test {};

// Guards against a failed seed that can't be reproduced.
TEST_F(FaultScheduleTest, MakeSchedule_SameSeed_IsTheSame) {
  const auto first = MakeSchedule(7, seconds(60));
  const auto second = MakeSchedule(7, seconds(60));
  ASSERT_EQ(first.size(), second.size());
  for (std::size_t index = 0; index < first.size(); ++index) {
    EXPECT_EQ(first[index].kind, second[index].kind);
    EXPECT_EQ(first[index].at, second[index].at);
    EXPECT_EQ(first[index].duration, second[index].duration);
  }
}

// Guards against runs that end during a fault.
TEST_F(FaultScheduleTest, MakeSchedule_AnySeed_LeavesTheEndWithoutFaults) {
  for (std::uint64_t seed = 1; seed < 200; ++seed) {
    for (const Fault& fault : MakeSchedule(seed, seconds(25))) {
      EXPECT_LE(fault.at + fault.duration, seconds(25) - seconds(9));
    }
  }
}

// Guards against delayed promotions that leave clients without a primary in the
// quiet end, and against a fault that no run injects.
TEST_F(FaultScheduleTest, MakeSchedule_SlowPromotions_EndEarlyInHalfOfSeeds) {
  int slow = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    for (const Fault& fault : MakeSchedule(seed, seconds(25))) {
      if (fault.kind != FaultKind::kSlowPromotions) continue;
      ++slow;
      EXPECT_EQ(fault.at + fault.duration, seconds(25) - seconds(14));
    }
  }
  EXPECT_GT(slow, 70);
  EXPECT_LT(slow, 130);
}

}  // namespace
}  // namespace camphorferry::soak
