#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "fake_platform.h"

namespace camphorferry::session {
namespace {

class PromotionLeaseTest : public testing::Test {
 protected:
  static bool Acquire(PromotionLease* lease) {
    bool held = false;
    lease->Acquire([&held](bool now_held) { held = now_held; });
    return held;
  }

  FakePlatform platform;
  PromotionLease first{&this->platform, common::HostId("h1")};
  PromotionLease second{&this->platform, common::HostId("h2")};
};

// Guards against two daemons that order promotions at the same time.
TEST_F(PromotionLeaseTest, HeldByAnother_Acquire_Fails) {
  EXPECT_TRUE(Acquire(&this->first));
  EXPECT_FALSE(Acquire(&this->second));
  this->first.Release();
  EXPECT_TRUE(Acquire(&this->second));
}

// Guards against a fencing token that does not rise when the holder changes.
TEST_F(PromotionLeaseTest, HolderChanges_Token_Rises) {
  std::uint64_t first_token = 0;
  std::uint64_t second_token = 0;
  ASSERT_TRUE(Acquire(&this->first));
  this->first.Confirm(
      [&](const auto& record) { first_token = record->revision; });
  this->first.Release();
  ASSERT_TRUE(Acquire(&this->second));
  this->second.Confirm(
      [&](const auto& record) { second_token = record->revision; });
  EXPECT_GT(second_token, first_token);
}

// Guards against an order by a daemon that has lost the lease in the meantime.
TEST_F(PromotionLeaseTest, TakenOver_Confirm_GivesNoToken) {
  ASSERT_TRUE(Acquire(&this->first));
  // Another daemon has taken over the record.
  this->platform.lease_record.holder = common::HostId("h2");
  this->platform.lease_record.revision = ++this->platform.revision;
  const common::SteadyTime later =
      common::SteadyNow() + std::chrono::seconds(2);
  EXPECT_FALSE(this->first.MayOrder(later));
}

// Guards against a daemon that lost the lease and takes the record back from
// the new holder when it confirms or releases.
TEST_F(PromotionLeaseTest, TakenOver_ConfirmAndRelease_KeepTheNewHolder) {
  ASSERT_TRUE(Acquire(&this->first));
  this->platform.lease_record.holder = common::HostId("h2");
  this->platform.lease_record.revision = ++this->platform.revision;
  std::this_thread::sleep_for(std::chrono::milliseconds(650));
  bool has_token = true;
  for (int attempt = 0; attempt < 2; ++attempt) {
    this->first.Confirm(
        [&](const auto& record) { has_token = record.has_value(); });
    EXPECT_FALSE(has_token);
  }
  this->first.Release();
  EXPECT_EQ(this->platform.lease_record.holder.Value(), "h2");
  EXPECT_TRUE(this->platform.lease_record.active);
}

// Guards against orders while the store cannot confirm the lease.
TEST_F(PromotionLeaseTest, StoreDown_Acquire_Fails) {
  this->platform.store_down = true;
  EXPECT_FALSE(Acquire(&this->first));
}

}  // namespace
}  // namespace camphorferry::session
