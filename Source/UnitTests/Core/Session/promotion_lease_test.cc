#include <gtest/gtest.h>

#include <chrono>
#include <optional>
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
      [&](const auto& record) { first_token = FencingToken(*record); });
  this->first.Release();
  ASSERT_TRUE(Acquire(&this->second));
  this->second.Confirm(
      [&](const auto& record) { second_token = FencingToken(*record); });
  EXPECT_GT(second_token, first_token);
}

// Guards against an order by a daemon that has lost the lease in the meantime.
TEST_F(PromotionLeaseTest, TakenOver_Confirm_GivesNoToken) {
  ASSERT_TRUE(Acquire(&this->first));
  // Another daemon has taken over the record.
  this->platform.lease_record.holder = common::HostId("h2");
  this->platform.lease_record.revision.number = ++this->platform.revision;
  const common::SteadyTime later =
      common::SteadyNow() + std::chrono::seconds(2);
  EXPECT_FALSE(this->first.MayOrder(later));
  std::this_thread::sleep_for(std::chrono::milliseconds(650));
  int answers = 0;
  std::optional<PromotionLeaseRecord> confirmed;
  this->first.Confirm([&](const auto& record) {
    ++answers;
    confirmed = record;
  });
  EXPECT_EQ(answers, 1);
  EXPECT_FALSE(confirmed.has_value());
  EXPECT_FALSE(this->first.MayOrder(common::SteadyNow()));
}

// Guards against a daemon that lost the lease and takes the record back from
// the new holder when it confirms or releases.
TEST_F(PromotionLeaseTest, TakenOver_ConfirmAndRelease_KeepTheNewHolder) {
  ASSERT_TRUE(Acquire(&this->first));
  this->platform.lease_record.holder = common::HostId("h2");
  this->platform.lease_record.revision.number = ++this->platform.revision;
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

// Guards against a daemon that takes its own write, whose answer was lost, for
// that of another holder and can order no more.
TEST_F(PromotionLeaseTest, OwnWriteWithoutAnswer_Confirm_KeepsTheLease) {
  ASSERT_TRUE(Acquire(&this->first));
  this->platform.lease_record.revision.number = ++this->platform.revision;
  std::this_thread::sleep_for(std::chrono::milliseconds(650));
  bool has_token = false;
  for (int attempt = 0; attempt < 2; ++attempt) {
    this->first.Confirm(
        [&](const auto& record) { has_token = record.has_value(); });
  }
  EXPECT_TRUE(has_token);
}

// Guards against a promotion that begins while a command of an abandoned one
// may still be executed, because another group uses the lease.
TEST_F(PromotionLeaseTest, AbandonedByOneUse_Acquire_FailsForAll) {
  ASSERT_TRUE(Acquire(&this->first));
  ASSERT_TRUE(Acquire(&this->first));
  this->first.Abandon();
  EXPECT_FALSE(Acquire(&this->first));
  this->first.Release();
  EXPECT_TRUE(this->platform.lease_record.active);
  EXPECT_FALSE(Acquire(&this->second));
}

// Guards against orders while the store cannot confirm the lease.
TEST_F(PromotionLeaseTest, StoreDown_Acquire_Fails) {
  this->platform.store_down = true;
  EXPECT_FALSE(Acquire(&this->first));
}

/// A store that states eras and has been restored while the first daemon holds
/// the lease. Its copy of the record is the one before that.
class RestoredPromotionLeaseTest : public PromotionLeaseTest {
 protected:
  static constexpr std::chrono::milliseconds kLongerThanTakeoverDelay{3050};

  void Restore() {
    this->platform.lease_record = this->copy;
    this->platform.revision = this->copy.revision.number;
    ++this->platform.era;
  }

  static std::optional<std::uint64_t> Token(PromotionLease* lease) {
    std::optional<std::uint64_t> token;
    lease->Confirm([&](const auto& record) {
      if (record.has_value()) token = FencingToken(*record);
    });
    return token;
  }

  PromotionLeaseRecord copy;
};

// Guards against an order under a lease that the store has lost.
TEST_F(RestoredPromotionLeaseTest, HeldInEarlierEra_Confirm_GivesNoToken) {
  ASSERT_TRUE(Acquire(&this->first));
  this->Restore();
  this->first.OnEra(1, common::SteadyNow());
  EXPECT_FALSE(this->first.MayOrder(common::SteadyNow()));
  EXPECT_FALSE(Token(&this->first).has_value());
}

// Guards against a renewal that succeeds because the restored store has given
// the revision of the lease out again, to another daemon's record.
TEST_F(RestoredPromotionLeaseTest, RevisionGivenOutAgain_Confirm_IsNotCounted) {
  ASSERT_TRUE(Acquire(&this->first));
  const std::uint64_t held = this->platform.lease_record.revision.number;
  this->Restore();
  this->platform.lease_record.holder = common::HostId("h2");
  this->platform.lease_record.active = true;
  this->platform.lease_record.revision.number = held;
  std::this_thread::sleep_for(std::chrono::milliseconds(650));
  EXPECT_FALSE(Token(&this->first).has_value());
  EXPECT_FALSE(this->first.MayOrder(common::SteadyNow()));
}

// Guards against a second holder while the first one, whose record the store
// has lost, may still give orders.
TEST_F(RestoredPromotionLeaseTest, RecordLost_Acquire_WaitsForTakeoverDelay) {
  ASSERT_TRUE(Acquire(&this->first));
  this->Restore();
  EXPECT_FALSE(Acquire(&this->second));
  std::this_thread::sleep_for(kLongerThanTakeoverDelay);
  EXPECT_TRUE(Acquire(&this->second));
  // Only the first holder of an era waits.
  this->second.Release();
  EXPECT_TRUE(Acquire(&this->second));
}

// Guards against a fencing token that goes back with the store's revision.
TEST_F(RestoredPromotionLeaseTest, StoreRestored_Token_Rises) {
  ASSERT_TRUE(Acquire(&this->first));
  const std::optional<std::uint64_t> before = Token(&this->first);
  this->Restore();
  this->platform.revision = 1;
  this->second.OnEra(1, common::SteadyNow() - kLongerThanTakeoverDelay);
  ASSERT_TRUE(Acquire(&this->second));
  const std::optional<std::uint64_t> after = Token(&this->second);
  ASSERT_TRUE(before.has_value() && after.has_value());
  EXPECT_GT(*after, *before);
  EXPECT_LT(*after, std::uint64_t{1} << 53);
}

}  // namespace
}  // namespace camphorferry::session
