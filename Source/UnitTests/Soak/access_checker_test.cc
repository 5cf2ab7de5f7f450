#include "access_checker.h"

#include <gtest/gtest.h>

namespace camphorferry::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A proxy at which a key belongs to a workspace, until the store acknowledges
/// a second version at 10 s.
class AccessCheckerTest : public testing::Test {
 protected:
  AccessCheckerTest() {
    this->checker.OnRestarted(0, At(milliseconds(0)));
    this->checker.OnVersion({{"key", "tenant"}}, At(milliseconds(0)));
  }

  static common::SteadyTime At(milliseconds time) {
    return common::SteadyTime(time);
  }

  void Change(KeyHolders holders) {
    this->checker.OnVersion(std::move(holders), At(seconds(10)));
  }

  void Send(const std::string& id, milliseconds at, bool open = false) {
    this->checker.OnSent(id, {"key", open, 0, At(at)});
  }

  /// A statement that a database executes as soon as it is sent.
  void Execute(const std::string& caller, milliseconds at, bool open = false) {
    const std::string id = "c" + std::to_string(++this->statements);
    this->Send(id, at, open);
    this->checker.OnExecuted(id, caller, At(at));
  }

  std::size_t Broken() const { return this->checker.Violations().size(); }

  AccessChecker checker{1, seconds(4), milliseconds(250)};
  int statements = 0;
};

// Guards against a soak that doesn't see a key that stays in use.
TEST_F(AccessCheckerTest, WithdrawnKey_ExecutedAfterBound_IsReported) {
  this->Change({});
  this->Execute("tenant", milliseconds(13900));
  EXPECT_EQ(this->Broken(), 0U);
  this->Execute("tenant", milliseconds(14100));
  EXPECT_EQ(this->Broken(), 1U);
}

// Guards against a soak that doesn't see a former workspace's name on an open
// route.
TEST_F(AccessCheckerTest, OpenRoute_ExecutedForFormerCaller_IsReported) {
  this->Change({});
  this->Execute("-", milliseconds(14100), true);
  EXPECT_EQ(this->Broken(), 0U);
  this->Execute("tenant", milliseconds(14100), true);
  EXPECT_EQ(this->Broken(), 1U);
}

// Guards against a soak that doesn't see a proxy that returns to an earlier
// version.
TEST_F(AccessCheckerTest, MovedKey_ExecutedForFormerCallerAgain_IsReported) {
  this->Change({{"key", "other"}});
  this->Execute("other", milliseconds(11000));
  this->Execute("tenant", milliseconds(11200));
  EXPECT_EQ(this->Broken(), 0U);
  this->Execute("tenant", milliseconds(11300));
  EXPECT_EQ(this->Broken(), 1U);
}

// Guards against findings that the rule allows: a disturbed proxy learns late.
TEST_F(AccessCheckerTest, DisturbedProxy_LearnsLate_IsAllowed) {
  this->Change({});
  this->checker.OnDisturbed(0, At(seconds(12)));
  this->checker.OnUndisturbed(0, At(seconds(15)));
  this->Execute("tenant", milliseconds(18900));
  EXPECT_EQ(this->Broken(), 0U);
  this->Execute("tenant", milliseconds(19100));
  EXPECT_EQ(this->Broken(), 1U);
}

// Guards against a bound that a disturbance after it takes back.
TEST_F(AccessCheckerTest, DisturbedAfterBound_ExecutedForFormer_IsReported) {
  this->Change({});
  this->checker.OnDisturbed(0, At(seconds(15)));
  this->Execute("tenant", seconds(16));
  EXPECT_EQ(this->Broken(), 1U);
}

// Guards against a process that is started again and need not learn anything.
TEST_F(AccessCheckerTest, RestartedProxy_AfterBound_MustKnow) {
  this->Change({});
  this->checker.OnRestarted(0, At(seconds(15)));
  this->Execute("tenant", seconds(18));
  EXPECT_EQ(this->Broken(), 0U);
  this->Execute("tenant", milliseconds(19100));
  EXPECT_EQ(this->Broken(), 1U);
}

// Guards against a soak that doesn't see clients that are refused in spite of
// their key.
TEST_F(AccessCheckerTest, DeclaredKey_Refused_IsReported) {
  this->Send("a", seconds(9));
  this->checker.OnKeyRefused("a", At(seconds(9)));
  EXPECT_EQ(this->Broken(), 1U);
  this->Change({});
  this->Send("b", seconds(11));
  this->checker.OnKeyRefused("b", At(seconds(11)));
  this->Send("c", seconds(20), true);
  this->checker.OnKeyRefused("c", At(seconds(20)));
  EXPECT_EQ(this->Broken(), 2U);
}

}  // namespace
}  // namespace camphorferry::soak
