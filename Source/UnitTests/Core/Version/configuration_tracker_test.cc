#include "Version/configuration_tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace camphorferry::version {
namespace {

using common::HostId;

/// A configuration whose content depends on its version only.
ConfigurationPointer AtVersion(ConfigurationVersion version,
                               std::uint32_t rate = 1) {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = version;
  configuration->workspaces[common::WorkspaceId("w")] = Workspace{rate, 1, 1};
  return configuration;
}

class ConfigurationTrackerTest : public testing::Test {
 protected:
  void SetUp() override {
    this->tracker.SetDomainPeers({HostId("a"), HostId("b")});
  }

  ConfigurationTracker tracker;
};

// Guards against a late or repeated push that reverts a configuration that was
// already in force.
RC_GTEST_PROP(ConfigurationTrackerPropertyTest,
              OffersInAnyOrder_Offer_NeverRevertsAndEndsAtHighest,
              (const std::vector<std::uint8_t>& versions)) {
  ConfigurationTracker tracker;
  ConfigurationVersion highest = 0;
  for (const std::uint8_t version : versions) {
    const OfferResult result = tracker.Offer(AtVersion(version));
    RC_ASSERT(std::holds_alternative<OfferAccepted>(result) ==
              (version > highest));
    highest = std::max<ConfigurationVersion>(highest, version);
    RC_ASSERT(tracker.Version() == highest);
  }
}

/// Something that a starting daemon learns.
struct StartEvent {
  enum class Kind { kStoreSilent, kPeerAnswered, kPeerEmpty, kPeerSilent };
  Kind kind;
  int peer;
  ConfigurationVersion version;
};

StartEvent GenStartEvent() {
  const auto kind = static_cast<StartEvent::Kind>(*rc::gen::inRange(0, 4));
  return StartEvent{kind, *rc::gen::inRange(0, 3),
                    *rc::gen::inRange<ConfigurationVersion>(1, 9)};
}

// Guards against a daemon that serves an old configuration because it trusted
// the first peer, a stale one, before it asked the others.
RC_GTEST_PROP(ConfigurationTrackerPropertyTest,
              StoreDown_AnyPeerEvents_ReadyOnlyAfterAllWereAsked,
              (std::uint8_t event_count)) {
  ConfigurationTracker tracker;
  tracker.SetDomainPeers({HostId("0"), HostId("1"), HostId("2")});
  bool store_silent = false;
  std::set<int> asked;
  ConfigurationVersion highest = 0;
  for (int i = 0; i < event_count % 16; ++i) {
    const StartEvent event = GenStartEvent();
    const HostId peer(std::to_string(event.peer));
    switch (event.kind) {
      case StartEvent::Kind::kStoreSilent:
        tracker.StoreSilent();
        store_silent = true;
        continue;
      case StartEvent::Kind::kPeerAnswered:
        tracker.PeerAnswered(peer, AtVersion(event.version));
        highest = std::max(highest, event.version);
        break;
      case StartEvent::Kind::kPeerEmpty:
        tracker.PeerAnswered(peer, nullptr);
        break;
      case StartEvent::Kind::kPeerSilent:
        tracker.PeerSilent(peer);
        break;
    }
    asked.insert(event.peer);
  }
  RC_ASSERT(tracker.Version() == highest);
  RC_ASSERT(tracker.Ready() ==
            (store_silent && asked.size() == 3 && highest > 0));
  const bool asks = !tracker.PeersToAsk().empty();
  RC_ASSERT(asks == (store_silent && !tracker.Ready()));
}

// Guards against a daemon that stays unready although the store answered, as on
// a first run without any configuration.
TEST_F(ConfigurationTrackerTest, StoreEmpty_Ready_IsTrue) {
  EXPECT_FALSE(this->tracker.Ready());
  this->tracker.StoreAnswered(nullptr);
  EXPECT_TRUE(this->tracker.Ready());
  EXPECT_EQ(this->tracker.Current(), nullptr);
}

// Guards against a store that lags behind its peers and reverts them.
TEST_F(ConfigurationTrackerTest, PeerAheadOfStore_StoreAnswers_PeerStays) {
  this->tracker.PeerAnswered(HostId("a"), AtVersion(7));
  const OfferResult result = this->tracker.StoreAnswered(AtVersion(6));
  ASSERT_TRUE(std::holds_alternative<OfferOlder>(result));
  EXPECT_EQ(this->tracker.Version(), 7U);
  EXPECT_TRUE(this->tracker.IsBehind(8));
  EXPECT_FALSE(this->tracker.IsBehind(7));
}

// Guards against a peer of another failure domain that counts as asked.
TEST_F(ConfigurationTrackerTest, ForeignPeerAnswers_Ready_IsFalse) {
  this->tracker.StoreSilent();
  this->tracker.PeerAnswered(HostId("foreign"), AtVersion(1));
  this->tracker.PeerSilent(HostId("a"));
  this->tracker.PeerSilent(HostId("b"));
  EXPECT_FALSE(this->tracker.Ready());
  EXPECT_EQ(this->tracker.Version(), 1U);
}

// Guards against a peer that left and keeps a starting daemon waiting.
TEST_F(ConfigurationTrackerTest, UnaskedPeerLeaves_Ready_IsTrue) {
  this->tracker.StoreSilent();
  this->tracker.PeerAnswered(HostId("a"), AtVersion(1));
  EXPECT_FALSE(this->tracker.Ready());
  this->tracker.SetDomainPeers({HostId("a")});
  EXPECT_TRUE(this->tracker.Ready());
}

// Guards against a silent replacement of content under the same version.
TEST_F(ConfigurationTrackerTest, SameVersionOtherContent_Offer_KeepsTheFirst) {
  const ConfigurationPointer first = AtVersion(2, /*rate=*/10);
  this->tracker.Offer(first);
  const OfferResult same = this->tracker.Offer(AtVersion(2, /*rate=*/10));
  const OfferResult other = this->tracker.Offer(AtVersion(2, /*rate=*/11));
  EXPECT_TRUE(std::holds_alternative<OfferAlreadyHeld>(same));
  EXPECT_TRUE(std::holds_alternative<OfferConflict>(other));
  EXPECT_EQ(this->tracker.Current(), first);
}

}  // namespace
}  // namespace camphorferry::version
