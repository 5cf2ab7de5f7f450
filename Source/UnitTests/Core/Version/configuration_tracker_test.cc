#include "Version/configuration_tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace camphorferry::version {
namespace {

using common::HostId;

/// A configuration with the version and one workspace with the rate.
ConfigurationPointer MakeConfiguration(ConfigurationVersion version,
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

// Guards against a late or repeated push that replaces the configuration in
// force by an older one.
RC_GTEST_PROP(ConfigurationTrackerPropertyTest,
              OffersInAnyOrder_Offer_NeverRevertsAndEndsAtHighest,
              (const std::vector<std::uint8_t>& versions)) {
  ConfigurationTracker tracker;
  ConfigurationVersion highest = 0;
  for (const std::uint8_t version : versions) {
    const OfferResult result = tracker.Offer(MakeConfiguration(version));
    RC_ASSERT(std::holds_alternative<OfferAccepted>(result) ==
              (version > highest));
    highest = std::max<ConfigurationVersion>(highest, version);
    RC_ASSERT(tracker.Version() == highest);
  }
}

/// Event that a starting daemon observes.
struct StartEvent {
  enum class Kind {
    kStoreUnavailable,
    kPeerAnswered,
    kPeerWithoutConfiguration,
    kPeerUnavailable
  };
  Kind kind;
  int peer;
  ConfigurationVersion version;
};

StartEvent GenStartEvent() {
  const auto kind = static_cast<StartEvent::Kind>(*rc::gen::inRange(0, 4));
  return StartEvent{kind, *rc::gen::inRange(0, 3),
                    *rc::gen::inRange<ConfigurationVersion>(1, 9)};
}

// Guards against a daemon that serves an outdated configuration because it
// became ready after the answer of the first peer.
RC_GTEST_PROP(ConfigurationTrackerPropertyTest,
              StoreDown_AnyPeerEvents_ReadyOnlyAfterAllWereQueried,
              (std::uint8_t event_count)) {
  ConfigurationTracker tracker;
  tracker.SetDomainPeers({HostId("0"), HostId("1"), HostId("2")});
  bool store_unavailable = false;
  std::set<int> queried;
  ConfigurationVersion highest = 0;
  for (int i = 0; i < event_count % 16; ++i) {
    const StartEvent event = GenStartEvent();
    const HostId peer(std::to_string(event.peer));
    switch (event.kind) {
      case StartEvent::Kind::kStoreUnavailable:
        tracker.StoreUnavailable();
        store_unavailable = true;
        continue;
      case StartEvent::Kind::kPeerAnswered:
        tracker.PeerAnswered(peer, MakeConfiguration(event.version));
        highest = std::max(highest, event.version);
        break;
      case StartEvent::Kind::kPeerWithoutConfiguration:
        tracker.PeerAnswered(peer, nullptr);
        break;
      case StartEvent::Kind::kPeerUnavailable:
        tracker.PeerUnavailable(peer);
        break;
    }
    queried.insert(event.peer);
  }
  RC_ASSERT(tracker.Version() == highest);
  RC_ASSERT(tracker.Ready() ==
            (store_unavailable && queried.size() == 3 && highest > 0));
  const bool queries_peers = !tracker.PeersToQuery().empty();
  RC_ASSERT(queries_peers == (store_unavailable && !tracker.Ready()));
}

// Guards against a daemon that does not become ready although the store
// answered, as on a first start without any configuration.
TEST_F(ConfigurationTrackerTest, StoreEmpty_Ready_IsTrue) {
  EXPECT_FALSE(this->tracker.Ready());
  this->tracker.StoreAnswered(nullptr);
  EXPECT_TRUE(this->tracker.Ready());
  EXPECT_EQ(this->tracker.Current(), nullptr);
}

// Guards against an older version in the store that replaces a newer one from a
// peer.
TEST_F(ConfigurationTrackerTest, PeerAheadOfStore_StoreAnswers_PeerStays) {
  this->tracker.PeerAnswered(HostId("a"), MakeConfiguration(7));
  const OfferResult result = this->tracker.StoreAnswered(MakeConfiguration(6));
  ASSERT_TRUE(std::holds_alternative<OfferOlder>(result));
  EXPECT_EQ(this->tracker.Version(), 7U);
  EXPECT_TRUE(this->tracker.IsBehind(8));
  EXPECT_FALSE(this->tracker.IsBehind(7));
}

// Guards against readiness based on a peer in another failure domain.
TEST_F(ConfigurationTrackerTest, PeerOfOtherDomainAnswers_Ready_IsFalse) {
  this->tracker.StoreUnavailable();
  this->tracker.PeerAnswered(HostId("foreign"), MakeConfiguration(1));
  this->tracker.PeerUnavailable(HostId("a"));
  this->tracker.PeerUnavailable(HostId("b"));
  EXPECT_FALSE(this->tracker.Ready());
  EXPECT_EQ(this->tracker.Version(), 1U);
}

// Guards against a starting daemon that waits for a peer that has left.
TEST_F(ConfigurationTrackerTest, UnqueriedPeerLeaves_Ready_IsTrue) {
  this->tracker.StoreUnavailable();
  this->tracker.PeerAnswered(HostId("a"), MakeConfiguration(1));
  EXPECT_FALSE(this->tracker.Ready());
  this->tracker.SetDomainPeers({HostId("a")});
  EXPECT_TRUE(this->tracker.Ready());
}

// Guards against replacing the content of a version without reporting it.
TEST_F(ConfigurationTrackerTest, SameVersionOtherContent_Offer_KeepsTheFirst) {
  const ConfigurationPointer first = MakeConfiguration(2, /*rate=*/10);
  this->tracker.Offer(first);
  const OfferResult same =
      this->tracker.Offer(MakeConfiguration(2, /*rate=*/10));
  const OfferResult other =
      this->tracker.Offer(MakeConfiguration(2, /*rate=*/11));
  EXPECT_TRUE(std::holds_alternative<OfferAlreadyInForce>(same));
  EXPECT_TRUE(std::holds_alternative<OfferConflict>(other));
  EXPECT_EQ(this->tracker.Current(), first);
}

}  // namespace
}  // namespace camphorferry::version
