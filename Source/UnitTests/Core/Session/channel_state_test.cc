#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

class ChannelStateTest : public testing::Test {
 protected:
  /// Applies preparations until the channel is ready and returns their number.
  static int ApplyPreparations(ChannelState* state, const SessionValues& values,
                               const std::optional<PreparedShape>& shape) {
    int commands = 0;
    while (const auto next = state->NextPreparation(values, shape)) {
      state->OnApplied(*next);
      ++commands;
    }
    return commands;
  }

  ChannelState state;
  PreparedShape read{AccessKind::kRead, "q1"};
  PreparedShape write{AccessKind::kWrite, "q1"};
};

// Guards against a statement that runs with the values of another session.
TEST_F(ChannelStateTest, ValueOfOtherSession_NextPreparation_IsReset) {
  ApplyPreparations(&this->state, {{"zone", "a"}}, std::nullopt);
  const auto next = this->state.NextPreparation({{"lang", "mn"}}, std::nullopt);
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(*next, ChannelPreparation(ResetChannel{}));
}

// Guards against setting values that the channel already has.
TEST_F(ChannelStateTest, SameValues_NextPreparation_IsNone) {
  EXPECT_EQ(
      ApplyPreparations(&this->state, {{"a", "1"}, {"b", "2"}}, std::nullopt),
      2);
  EXPECT_FALSE(
      this->state.NextPreparation({{"a", "1"}, {"b", "2"}}, std::nullopt)
          .has_value());
  EXPECT_EQ(this->state.PreparationCount({{"a", "1"}, {"b", "3"}}), 1U);
}

// Guards against two shapes that share one name on a channel.
TEST_F(ChannelStateTest, TwoShapes_PreparedName_Differs) {
  ApplyPreparations(&this->state, {}, this->read);
  ApplyPreparations(&this->state, {}, this->write);
  EXPECT_NE(this->state.PreparedName(this->read),
            this->state.PreparedName(this->write));
}

// Guards against treating a prepared statement as still present after a reset.
TEST_F(ChannelStateTest, PreparedThenReset_NextPreparation_PreparesAgain) {
  ApplyPreparations(&this->state, {{"a", "1"}}, this->read);
  const int commands = ApplyPreparations(&this->state, {}, this->read);
  EXPECT_EQ(commands, 2);
}

// Guards against a prepared statement that is not prepared again after the
// endpoint has reported it as unknown.
TEST_F(ChannelStateTest, ForgottenShape_NextPreparation_PreparesAgain) {
  ApplyPreparations(&this->state, {}, this->read);
  this->state.ForgetPrepared(this->read);
  EXPECT_EQ(ApplyPreparations(&this->state, {}, this->read), 1);
}

// Guards against sequences of sessions after which a channel has other values
// than the session that uses it.
RC_GTEST_PROP(ChannelStatePropertyTest, AnySessions_Values_AreExact, ()) {
  ChannelState state;
  SessionValues at_endpoint;
  const auto sessions = *rc::gen::inRange(1, 30);
  for (int session = 0; session < sessions; ++session) {
    SessionValues wanted;
    for (const char* name : {"a", "b", "c"}) {
      const int value = *rc::gen::inRange(0, 3);
      if (value > 0) wanted[name] = std::to_string(value);
    }
    while (const auto next = state.NextPreparation(wanted, std::nullopt)) {
      if (std::holds_alternative<ResetChannel>(*next)) at_endpoint.clear();
      if (const auto* set = std::get_if<SetChannelValue>(&*next)) {
        at_endpoint[set->name] = set->value;
      }
      state.OnApplied(*next);
    }
    RC_ASSERT(at_endpoint == wanted);
  }
}

}  // namespace
}  // namespace camphorferry::session
