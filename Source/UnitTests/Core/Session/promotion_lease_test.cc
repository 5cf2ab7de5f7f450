#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "fake_platform.h"

namespace camphorferry::session {
namespace {

class DutyKeeperTest : public testing::Test {
 protected:
  static bool Acquire(DutyKeeper* lease) {
    bool held = false;
    lease->Acquire([&held](bool now_held) { held = now_held; });
    return held;
  }

  FakePlatform platform;
  DutyKeeper first{&this->platform, common::HostId("h1")};
  DutyKeeper second{&this->platform, common::HostId("h2")};
};

// Guards against two daemons that order promotions at the same time.
TEST_F(DutyKeeperTest, HeldByAnother_Acquire_Fails) {
  EXPECT_TRUE(Acquire(&this->first));
  EXPECT_FALSE(Acquire(&this->second));
  this->first.Release();
  EXPECT_TRUE(Acquire(&this->second));
}

// Guards against a fencing token that does not rise when the holder changes.
TEST_F(DutyKeeperTest, HolderChanges_Token_Rises) {
  std::uint64_t first_token = 0;
  std::uint64_t second_token = 0;
  ASSERT_TRUE(Acquire(&this->first));
  this->first.Confirm([&](const auto& duty) { first_token = duty->revision; });
  this->first.Release();
  ASSERT_TRUE(Acquire(&this->second));
  this->second.Confirm(
      [&](const auto& duty) { second_token = duty->revision; });
  EXPECT_GT(second_token, first_token);
}

// Guards against an order by a daemon that has lost the duty in the meantime.
TEST_F(DutyKeeperTest, TakenOver_Confirm_GivesNoToken) {
  ASSERT_TRUE(Acquire(&this->first));
  // Another daemon has taken over the record.
  this->platform.duty.holder = common::HostId("h2");
  this->platform.duty.revision = ++this->platform.revision;
  const common::SteadyTime later =
      common::SteadyNow() + std::chrono::seconds(2);
  EXPECT_FALSE(this->first.MayOrder(later));
}

// Guards against a daemon that lost the duty and takes the record back from the
// new holder when it confirms or releases.
TEST_F(DutyKeeperTest, TakenOver_ConfirmAndRelease_KeepTheNewHolder) {
  ASSERT_TRUE(Acquire(&this->first));
  this->platform.duty.holder = common::HostId("h2");
  this->platform.duty.revision = ++this->platform.revision;
  std::this_thread::sleep_for(std::chrono::milliseconds(650));
  bool has_token = true;
  for (int attempt = 0; attempt < 2; ++attempt) {
    this->first.Confirm(
        [&](const auto& duty) { has_token = duty.has_value(); });
    EXPECT_FALSE(has_token);
  }
  this->first.Release();
  EXPECT_EQ(this->platform.duty.holder.Value(), "h2");
  EXPECT_TRUE(this->platform.duty.active);
}

// Guards against orders while the store cannot confirm the duty.
TEST_F(DutyKeeperTest, StoreDown_Acquire_Fails) {
  this->platform.store_down = true;
  EXPECT_FALSE(Acquire(&this->first));
}

}  // namespace
}  // namespace camphorferry::session
