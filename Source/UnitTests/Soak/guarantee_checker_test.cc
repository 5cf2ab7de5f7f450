#include "guarantee_checker.h"

#include <gtest/gtest.h>

#include "fault_schedule.h"

namespace camphorferry::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::SteadyTime kStart{std::chrono::hours(1)};

/// Each test takes one promise away; a checker that overlooks it would let the
/// soak pass for nothing.
class PromiseCheckerTest : public testing::Test {
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
           const std::set<std::string>& held = {},
           const std::string& caller = "w",
           const std::map<std::string, std::string>& values = {}) {
    this->checker.OnRun({id, caller, values, &held}, kStart + at);
  }

  void Commit(const std::string& id, milliseconds at) {
    this->Send(id, at, true);
    this->Run(id, at);
    this->checker.OnTold(id, ToldOutcome::kDone, kStart + at + milliseconds(1));
  }

  bool Broke(const std::string& promise) const {
    for (const std::string& text : this->checker.Broken()) {
      if (text.starts_with(promise)) return true;
    }
    return false;
  }

  session::ReadGuarantee guarantee = session::ReadGuarantee::kLatest;
  PromiseChecker checker;
};

TEST_F(PromiseCheckerTest, AllPromisesKept_Finish_FindsNothing) {
  this->Commit("a", milliseconds(0));
  this->Send("r", milliseconds(10));
  this->Run("r", milliseconds(11), {"a"});
  this->checker.Finish("s", {"a"});
  EXPECT_TRUE(this->checker.Broken().empty());
}

TEST_F(PromiseCheckerTest, AcknowledgedCommitMissing_Finish_IsLost) {
  this->Commit("a", milliseconds(0));
  this->checker.Finish("s", {});
  EXPECT_TRUE(this->Broke("lost"));
}

TEST_F(PromiseCheckerTest, CommitTwiceInTheLog_Finish_IsDoubled) {
  this->Commit("a", milliseconds(0));
  this->checker.Finish("s", {"a", "a"});
  EXPECT_TRUE(this->Broke("doubled"));
}

TEST_F(PromiseCheckerTest, RefusedWriteInTheLog_Finish_IsKept) {
  this->Send("a", milliseconds(0), true);
  this->checker.OnTold("a", ToldOutcome::kNotKept, kStart);
  this->checker.Finish("s", {"a"});
  EXPECT_TRUE(this->Broke("kept_though_refused"));
}

TEST_F(PromiseCheckerTest, LatestReadLacksACommit_Run_IsStale) {
  this->Commit("a", milliseconds(0));
  this->Send("r", milliseconds(10));
  this->Run("r", milliseconds(11));
  EXPECT_TRUE(this->Broke("stale_read"));
}

TEST_F(PromiseCheckerTest, BoundedReadLacksCommits_Run_CountsOnlyOldOnes) {
  this->guarantee = session::ReadGuarantee::kBoundedStaleness;
  this->Commit("a", milliseconds(0));
  this->Send("r", milliseconds(1000));
  this->Run("r", milliseconds(1001));
  EXPECT_TRUE(this->checker.Broken().empty());
  this->Send("q", milliseconds(2000));
  this->Run("q", milliseconds(2001));
  EXPECT_TRUE(this->Broke("stale_read"));
}

TEST_F(PromiseCheckerTest, OwnCommitNotSeen_Run_IsStale) {
  this->guarantee = session::ReadGuarantee::kReadYourWrites;
  this->Commit("a", milliseconds(0));
  this->Send("r", milliseconds(10));
  this->Run("r", milliseconds(11));
  EXPECT_TRUE(this->Broke("stale_read"));
}

TEST_F(PromiseCheckerTest, StatementNobodySent_Run_IsUnasked) {
  this->Run("x", milliseconds(0));
  EXPECT_TRUE(this->Broke("unasked"));
}

TEST_F(PromiseCheckerTest, OtherCallerOrValues_Run_AreNoticed) {
  this->Send("a", milliseconds(0));
  this->Run("a", milliseconds(1), {}, "other", {{"mode", "m"}});
  EXPECT_TRUE(this->Broke("wrong_workspace"));
  EXPECT_TRUE(this->Broke("wrong_values"));
}

TEST_F(PromiseCheckerTest, MoreThanTheWindowAllows_Run_IsOverTheRate) {
  this->checker.SetWindowLimit("w", 2);
  for (int count = 0; count < 3; ++count) {
    const std::string id = "a" + std::to_string(count);
    this->Send(id, milliseconds(count));
    this->Run(id, milliseconds(count));
  }
  EXPECT_TRUE(this->Broke("over_rate"));
}

TEST_F(PromiseCheckerTest, WithdrawnKey_Run_IsNoticed) {
  SentStatement statement = this->Send("a", milliseconds(0));
  statement.key_gone = true;
  this->checker.OnSent(statement);
  this->Run("a", milliseconds(1));
  EXPECT_TRUE(this->Broke("withdrawn_key"));
}

TEST_F(PromiseCheckerTest, AnswerForAnotherStatement_Told_IsCrossed) {
  this->checker.OnTold("x", ToldOutcome::kDone, kStart);
  EXPECT_TRUE(this->Broke("crossed_answer"));
}

TEST_F(PromiseCheckerTest, PlannedStopAlone_Cut_IsNoticed) {
  this->Send("a", milliseconds(0));
  this->checker.OnCut("a", false, kStart + milliseconds(300));
  EXPECT_TRUE(this->checker.Broken().empty());
  this->checker.OnCut("a", true, kStart + milliseconds(300));
  EXPECT_TRUE(this->Broke("cut_by_stop"));
}

TEST_F(PromiseCheckerTest, CutOnItsWay_Cut_CountsOnlyIfItHasRun) {
  this->Send("a", milliseconds(0));
  this->checker.OnCut("a", true, kStart + milliseconds(100));
  EXPECT_TRUE(this->checker.Broken().empty());
  this->Run("a", milliseconds(50));
  this->checker.OnCut("a", true, kStart + milliseconds(100));
  EXPECT_TRUE(this->Broke("cut_by_stop"));
}

class FaultScheduleTest : public testing::Test {};

// Guards against a failed seed that can't be played again.
TEST_F(FaultScheduleTest, SameSeed_MakeSchedule_IsTheSame) {
  const auto first = MakeSchedule(7, seconds(60));
  const auto second = MakeSchedule(7, seconds(60));
  ASSERT_EQ(first.size(), second.size());
  for (std::size_t index = 0; index < first.size(); ++index) {
    EXPECT_EQ(first[index].kind, second[index].kind);
    EXPECT_EQ(first[index].at, second[index].at);
    EXPECT_EQ(first[index].lasts, second[index].lasts);
  }
}

// Guards against runs that end in the middle of a fault.
TEST_F(FaultScheduleTest, AnySeed_MakeSchedule_LeavesTheEndQuiet) {
  for (std::uint64_t seed = 1; seed < 200; ++seed) {
    for (const Fault& fault : MakeSchedule(seed, seconds(25))) {
      EXPECT_LE(fault.at + fault.lasts, seconds(25) - seconds(9));
    }
  }
}

}  // namespace
}  // namespace camphorferry::soak
