#include "store_fixture.h"

namespace camphorferry::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bounds of the default settings.
constexpr seconds kChangeBound(4);
constexpr seconds kSettlingTime(5);

/// A daemon without peers at a store that loses calls.
class SilentStoreTest : public StoreTest {
 protected:
  SilentStoreTest() {
    this->PutConfiguration(2);
    this->daemon = this->NewDaemon("own");
    this->RunFor(milliseconds(300));
    EXPECT_EQ(VersionOf(this->daemon), 2U);
  }

  /// Ends the fault of the store, writes a version soon after, and checks that
  /// it is in force once the bound of a change and the settling time are over.
  void ExpectNextChangeInTime(std::uint64_t version) {
    constexpr milliseconds kPause(150);
    this->store.SetState(StoreState::kUp);
    this->RunFor(kPause);
    this->PutConfiguration(version);
    this->RunFor(
        std::max<common::Duration>(kChangeBound, kSettlingTime - kPause));
    EXPECT_EQ(VersionOf(this->daemon), version);
  }

  Daemon daemon;
};

// Guards against a watch that is lost at the end of an outage and keeps the
// daemon from withdrawn keys for longer than the settling time (review/4).
TEST_F(SilentStoreTest, ResetsThenSilence_NextChange_IsInForceInTime) {
  this->store.SetState(StoreState::kResets);
  this->RunFor(seconds(2));
  this->store.SetState(StoreState::kLosesCalls);
  this->RunFor(seconds(1));
  this->ExpectNextChangeInTime(3);
}

// Guards against the same loss without an earlier failure: after a change, all
// daemons watch again at the same moment.
TEST_F(SilentStoreTest, SilenceAfterChange_NextChange_IsInForceInTime) {
  this->PutConfiguration(3);
  this->RunFor(milliseconds(100));
  ASSERT_EQ(VersionOf(this->daemon), 3U);
  this->store.SetState(StoreState::kLosesCalls);
  this->RunFor(milliseconds(300));
  this->ExpectNextChangeInTime(4);
}

}  // namespace
}  // namespace camphorferry::platform
