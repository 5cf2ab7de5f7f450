#include "StandIns/network_fault_injector.h"

#include <gtest/gtest.h>

namespace camphorferry::standins {
namespace {

class AnswerGateTest : public testing::Test {
 protected:
  AnswerGate gate;
};

// Guards against a connection that pays for its setup, or is counted as new,
// more than once.
TEST_F(AnswerGateTest, SecondRequest_NoteConnection_IsNotFirst) {
  EXPECT_TRUE(this->gate.NoteConnection(1));
  EXPECT_FALSE(this->gate.NoteConnection(1));
  EXPECT_TRUE(this->gate.NoteConnection(2));
  EXPECT_FALSE(this->gate.NoteConnection(1));
}

// Guards against a silent connection that answers again, and against new
// connections that are silent too.
TEST_F(AnswerGateTest, SilenceOpen_AffectsOnlyOpenConnections) {
  this->gate.NoteConnection(1);
  this->gate.SilenceOpen();
  this->gate.NoteConnection(2);
  EXPECT_TRUE(this->gate.IsSilent(1));
  EXPECT_FALSE(this->gate.IsSilent(2));
}

// Guards against an isolated database that is reached by a new connection.
TEST_F(AnswerGateTest, Isolated_AllConnections_AreSilentUntilItEnds) {
  this->gate.SetIsolated(true);
  EXPECT_TRUE(this->gate.IsSilent(1));
  EXPECT_TRUE(this->gate.IsSilent(2));
  this->gate.SetIsolated(false);
  EXPECT_FALSE(this->gate.IsSilent(2));
}

}  // namespace
}  // namespace camphorferry::standins
