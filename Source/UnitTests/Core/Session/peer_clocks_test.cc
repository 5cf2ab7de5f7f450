#include "Session/peer_clocks.h"

#include <gtest/gtest.h>

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// A peer whose clock shows 100 s when that of this process shows 0 s.
class PeerClocksTest : public testing::Test {
 protected:
  static constexpr std::uint64_t kProcess = 7;

  static common::SteadyTime At(common::Duration time) {
    return common::SteadyTime(time);
  }

  /// The peer states its time in a message that travels for some time.
  void State(milliseconds sent, milliseconds travelled,
             std::uint64_t process = kProcess) {
    this->clocks.OnStated("peer", {process, seconds(100) + sent},
                          At(sent + travelled));
  }

  milliseconds Estimate(milliseconds at) const {
    return this->clocks.At("peer", At(at)).value().time - seconds(100);
  }

  PeerClocks clocks;
};

TEST_F(PeerClocksTest, UnknownPeer_At_IsNone) {
  EXPECT_EQ(this->clocks.At("peer", At(seconds(1))), std::nullopt);
  this->State(seconds(1), milliseconds(1), 0);
  EXPECT_EQ(this->clocks.At("peer", At(seconds(1))), std::nullopt);
  this->State(seconds(1), milliseconds(1));
  EXPECT_TRUE(this->clocks.At("peer", At(seconds(1))).has_value());
  this->clocks.Forget("peer");
  EXPECT_EQ(this->clocks.At("peer", At(seconds(1))), std::nullopt);
}

// Guards against an estimate that is ahead of the peer's clock, by which a call
// that was held would seem to be in time.
TEST_F(PeerClocksTest, HeldStatement_At_IsNotAhead) {
  this->State(seconds(1), milliseconds(20));
  EXPECT_EQ(this->Estimate(seconds(2)), milliseconds(1980));
  this->State(seconds(3), seconds(12));
  EXPECT_EQ(this->Estimate(seconds(16)), milliseconds(15980));
  this->State(seconds(17), milliseconds(5));
  EXPECT_EQ(this->Estimate(seconds(18)), milliseconds(17995));
}

// Guards against an estimate that the drift of the clocks takes ahead.
TEST_F(PeerClocksTest, OldStatement_LaterOne_ReplacesIt) {
  this->State(seconds(1), milliseconds(5));
  const milliseconds later = minutes(2);
  // The peer's clock has lost 10 ms.
  this->clocks.OnStated(
      "peer", {kProcess, seconds(100) + later - milliseconds(10)}, At(later));
  EXPECT_EQ(this->Estimate(later), later - milliseconds(10));
}

// Guards against the clock of a former process of the peer, which may have been
// ahead by hours.
TEST_F(PeerClocksTest, RestartedPeer_At_StatesItsProcess) {
  this->State(seconds(1), milliseconds(5));
  this->clocks.OnStated("peer", {8, seconds(2)}, At(seconds(3)));
  EXPECT_EQ(this->clocks.At("peer", At(seconds(4))),
            (ProcessTime{8, seconds(3)}));
}

TEST(ProcessTimeTest, Text_Parsed_IsTheSame) {
  const ProcessTime time{12345678901234567890U, milliseconds(86'400'123)};
  EXPECT_EQ(ParseProcessTime(ToText(time)), time);
  for (const char* malformed : {"", ":", "1", "1:", ":1", "1:x", "1:2 "}) {
    EXPECT_EQ(ParseProcessTime(malformed), std::nullopt) << malformed;
  }
}

}  // namespace
}  // namespace camphorferry::session
