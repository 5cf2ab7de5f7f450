#include <gtest/gtest.h>

#include "fake_platform.h"

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr DirectoryKind kKind = DirectoryKind::kMembers;

class DirectoryWatcherTest : public testing::Test {
 protected:
  DirectoryWatcherTest()
      : watcher(&this->loop, &this->platform, &this->metrics,
                {kKind, milliseconds(30), {milliseconds(6000)}},
                [this](const auto& objects) {
                  this->names.clear();
                  for (const auto& [name, value] : objects) {
                    this->names.push_back(name);
                  }
                }) {
    this->watcher.Start();
  }

  static DirectoryChange Change(const std::string& name, std::uint64_t revision,
                                bool removed = false) {
    GroupMember member;
    member.id = common::EndpointId(name);
    return {name, {0, revision}, removed, member, ""};
  }

  static DirectoryChange ChangeOfEra(std::uint64_t era, const std::string& name,
                                     std::uint64_t number) {
    DirectoryChange change = Change(name, number);
    change.revision.era = era;
    return change;
  }

  void AnswerList(std::vector<DirectoryChange> changes,
                  std::uint64_t revision) {
    this->AnswerList(DirectoryChanges{std::move(changes), {0, revision}});
  }

  void AnswerList(const DirectoryResult& result) {
    auto done = std::move(this->platform.lists[kKind].front());
    this->platform.lists[kKind].pop_front();
    done(result);
  }

  void AnswerWatch(const DirectoryResult& result) {
    // The watcher pauses between a watch with changes and the next one.
    while (this->platform.watches[kKind].empty()) this->RunFor(milliseconds(5));
    auto call = std::move(this->platform.watches[kKind].front());
    this->platform.watches[kKind].pop_front();
    call.done(result);
  }

  void RunFor(common::Duration time) {
    this->loop.RunLater(time, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  connection::EventLoop loop;
  FakePlatform platform;
  ProxyMetrics metrics;
  std::vector<std::string> names;
  DirectoryWatcher watcher;
};

// Guards against an empty routing table while the store does not answer.
TEST_F(DirectoryWatcherTest, StoreUnavailable_Objects_AreKept) {
  this->AnswerList({Change("a", 1), Change("b", 2)}, 5);
  this->AnswerWatch(StoreUnavailable{"down"});
  EXPECT_EQ(this->names, (std::vector<std::string>{"a", "b"}));
}

// Guards against dropping an entry that expires during an outage and is
// registered again.
TEST_F(DirectoryWatcherTest, RemovedAndReturned_Objects_AlwaysContainIt) {
  this->AnswerList({Change("a", 1)}, 5);
  this->AnswerWatch(DirectoryChanges{{Change("a", 6, true)}, {0, 6}});
  EXPECT_EQ(this->names, (std::vector<std::string>{"a"}));
  this->AnswerWatch(DirectoryChanges{{Change("a", 7)}, {0, 7}});
  this->RunFor(milliseconds(120));
  EXPECT_EQ(this->names, (std::vector<std::string>{"a"}));
}

// Guards against a fleet of which every daemon pays the full price of a watch
// for each change, and against a first listing that may be old.
TEST_F(DirectoryWatcherTest, WatchesMayLag_Configuration_OnlyWatchesLag) {
  DirectoryWatcherSettings settings;
  settings.kind = DirectoryKind::kConfiguration;
  DirectoryWatcher configurations(&this->loop, &this->platform, &this->metrics,
                                  settings, [](const auto&) {});
  configurations.SetWatchesMayLag(true);
  configurations.Start();
  EXPECT_EQ(this->platform.list_freshness[settings.kind].front(),
            DirectoryFreshness::kLatest);
  this->platform.lists[settings.kind].front()(DirectoryChanges{{}, {0, 5}});
  EXPECT_EQ(this->platform.watches[settings.kind].front().freshness,
            DirectoryFreshness::kAllowStale);
}

// Guards against a promotion that hears late of a member that has joined.
TEST_F(DirectoryWatcherTest, FollowedClosely_Watches_NeitherLagNorPause) {
  this->AnswerList({Change("a", 1)}, 5);
  CloseFollowing following = this->watcher.FollowClosely();
  this->watcher.Refresh([](bool) {});
  this->AnswerList({Change("a", 1)}, 5);
  this->platform.watches[kKind].pop_front();
  const auto& watches = this->platform.watches[kKind];
  EXPECT_EQ(watches.front().freshness, DirectoryFreshness::kLatest);
  EXPECT_LE(watches.front().wait, milliseconds(500));
  this->AnswerWatch(DirectoryChanges{{Change("b", 6)}, {0, 6}});
  ASSERT_EQ(watches.size(), 1U);
  following.reset();
  this->AnswerWatch(DirectoryChanges{{}, {0, 6}});
  EXPECT_EQ(watches.front().freshness, DirectoryFreshness::kAllowStale);
  EXPECT_EQ(watches.front().wait, seconds(6));
}

// Guards against a removed database that stays in the routing table.
TEST_F(DirectoryWatcherTest, RemovedPermanently_Objects_DropItAfterTheGrace) {
  this->AnswerList({Change("a", 1)}, 5);
  this->AnswerWatch(DirectoryChanges{{Change("a", 6, true)}, {0, 6}});
  this->RunFor(milliseconds(120));
  EXPECT_TRUE(this->names.empty());
}

// Guards against calls to the store that are not counted in the metrics.
TEST_F(DirectoryWatcherTest, ListAndWatches_Metrics_CountThemByResult) {
  this->AnswerList({Change("a", 1)}, 5);
  this->AnswerWatch(DirectoryChanges{{}, {0, 5}});
  this->AnswerWatch(StoreUnavailable{"down"});
  const std::string text = this->metrics.ToText();
  for (const char* result :
       {"members_changed", "members_unchanged", "members_unavailable"}) {
    EXPECT_NE(
        text.find(std::string("camphorferry_store_calls_total{result=\"") +
                  result + "\"} 1"),
        std::string::npos)
        << text;
  }
}

// Guards against a listing that lags behind the known state, which would remove
// newer objects.
TEST_F(DirectoryWatcherTest, HistoryGone_SecondListing_IsTheLatest) {
  this->AnswerList({Change("a", 1)}, 5);
  this->AnswerWatch(HistoryGone{});
  EXPECT_EQ(this->platform.list_freshness[kKind],
            (std::vector<DirectoryFreshness>{DirectoryFreshness::kAllowStale,
                                             DirectoryFreshness::kLatest}));
}

TEST_F(DirectoryWatcherTest, WatchLengthsChanged_NextWatches_HaveThem) {
  this->AnswerList({Change("a", 1)}, 5);
  this->watcher.SetWatchLengths({seconds(25), seconds(10)});
  this->AnswerWatch(DirectoryChanges{{}, {0, 5}});
  ASSERT_EQ(this->platform.watches[kKind].size(), 1U);
  EXPECT_EQ(this->platform.watches[kKind].front().wait, seconds(25));
  this->AnswerWatch(DirectoryChanges{{Change("b", 6)}, {0, 6}});
  this->RunFor(milliseconds(400));
  EXPECT_EQ(this->platform.watches[kKind].front().wait, seconds(10));
  this->AnswerWatch(DirectoryChanges{{}, {0, 6}});
  EXPECT_EQ(this->platform.watches[kKind].front().wait, seconds(25));
}

// Guards against a store that loses the first watch after an outage, which
// would be noticed only after the whole length of a watch.
TEST_F(DirectoryWatcherTest, StoreUnavailable_Watches_AreShortUntilAnswered) {
  this->AnswerList({Change("a", 1)}, 5);
  EXPECT_EQ(this->platform.watches[kKind].front().wait, seconds(6));
  this->AnswerWatch(StoreUnavailable{"down"});
  this->RunFor(milliseconds(200));
  ASSERT_EQ(this->platform.watches[kKind].size(), 1U);
  EXPECT_LE(this->platform.watches[kKind].front().wait, seconds(1));
  this->AnswerWatch(StoreUnavailable{"still down"});
  this->RunFor(milliseconds(400));
  ASSERT_EQ(this->platform.watches[kKind].size(), 1U);
  EXPECT_LE(this->platform.watches[kKind].front().wait, seconds(1));
  this->AnswerWatch(DirectoryChanges{{}, {0, 5}});
  ASSERT_EQ(this->platform.watches[kKind].size(), 1U);
  EXPECT_EQ(this->platform.watches[kKind].front().wait, seconds(6));
}

// Guards against one call to the store per change when many changes come
// together.
TEST_F(DirectoryWatcherTest, SeveralChanges_Watch_PausesBeforeTheNext) {
  this->AnswerList({Change("a", 1)}, 5);
  this->AnswerWatch(DirectoryChanges{{Change("b", 6)}, {0, 6}});
  EXPECT_TRUE(this->platform.watches[kKind].empty());
  this->RunFor(milliseconds(400));
  ASSERT_EQ(this->platform.watches[kKind].size(), 1U);
  EXPECT_EQ(this->platform.watches[kKind].front().after.number, 6U);
}

// Guards against a promotion by the members of before a cut, whose changes the
// pending watch has not reported yet.
TEST_F(DirectoryWatcherTest, WatchPending_Refresh_ListsWithoutLag) {
  this->AnswerList({Change("a", 1)}, 5);
  std::vector<bool> results;
  this->watcher.Refresh([&](bool listed) {
    EXPECT_EQ(this->names, (std::vector<std::string>{"a", "b"}));
    results.push_back(listed);
  });
  EXPECT_EQ(this->platform.list_freshness[kKind].back(),
            DirectoryFreshness::kLatest);
  this->AnswerList({Change("a", 1), Change("b", 7)}, 7);
  EXPECT_EQ(results, (std::vector<bool>{true}));
  // The answer to the earlier watch is ignored.
  this->AnswerWatch(DirectoryChanges{{Change("c", 6)}, {0, 6}});
  EXPECT_EQ(this->names, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(this->platform.watches[kKind].front().after.number, 7U);
}

// Guards against a promotion that waits for a store that does not answer.
TEST_F(DirectoryWatcherTest, StoreUnavailable_Refresh_Fails) {
  this->AnswerList({Change("a", 1)}, 5);
  std::vector<bool> results;
  this->watcher.Refresh([&](bool listed) { results.push_back(listed); });
  this->AnswerList(StoreUnavailable{"down"});
  EXPECT_EQ(results, (std::vector<bool>{false}));
}

// Guards against missing changes after the store has dropped its history.
TEST_F(DirectoryWatcherTest, HistoryGone_Watch_ListsAgain) {
  this->AnswerList({Change("a", 1)}, 5);
  this->AnswerWatch(HistoryGone{});
  ASSERT_EQ(this->platform.lists[kKind].size(), 1U);
  this->AnswerList({Change("b", 9)}, 10);
  this->RunFor(milliseconds(120));
  EXPECT_EQ(this->names, (std::vector<std::string>{"b"}));
  EXPECT_EQ(this->platform.watches[kKind].front().after.number, 10U);
}

// Guards against listings and watches without pause when the store lacks the
// history of each watch, as after it was restored from a backup.
TEST_F(DirectoryWatcherTest, HistoryGoneRepeatedly_Listings_ArePaused) {
  this->AnswerList({Change("a", 1)}, 5);
  this->AnswerWatch(HistoryGone{});
  this->AnswerList({Change("a", 1)}, 5);
  this->AnswerWatch(HistoryGone{});
  EXPECT_TRUE(this->platform.lists[kKind].empty());
  this->RunFor(milliseconds(400));
  ASSERT_EQ(this->platform.lists[kKind].size(), 1U);
  // A watch that succeeds ends the series.
  this->AnswerList({Change("a", 1)}, 5);
  this->AnswerWatch(DirectoryChanges{{}, {0, 5}});
  this->AnswerWatch(HistoryGone{});
  EXPECT_EQ(this->platform.lists[kKind].size(), 1U);
}

// Guards against an older state that replaces a newer one.
TEST_F(DirectoryWatcherTest, OlderRevision_Apply_IsIgnored) {
  this->AnswerList({Change("a", 8)}, 8);
  this->AnswerWatch(DirectoryChanges{{Change("a", 3, true)}, {0, 9}});
  this->RunFor(milliseconds(120));
  EXPECT_EQ(this->names, (std::vector<std::string>{"a"}));
}

// Guards against a daemon that stays behind while the store refuses its calls
// and serves other daemons.
TEST_F(DirectoryWatcherTest,
       StoreUnavailable_MergeFromPeer_AppliesChangesAndRemovals) {
  this->AnswerList({Change("a", 1), Change("b", 2)}, 5);
  this->AnswerWatch(StoreUnavailable{"busy"});
  this->platform.documents["new c"] = Change("c", 7).value;
  EXPECT_TRUE(this->watcher.MergeFromPeer(
      {{0, 8},
       {{"b", {0, 2}, std::nullopt}, {"c", {0, 7}, std::string("new c")}}}));
  this->RunFor(milliseconds(120));
  EXPECT_EQ(this->names, (std::vector<std::string>{"b", "c"}));
  while (this->platform.watches[kKind].empty()) this->RunFor(milliseconds(5));
  EXPECT_EQ(this->platform.watches[kKind].front().after.number, 8U);
}

// Guards against replacing the state by an older one of a slower daemon.
TEST_F(DirectoryWatcherTest, OlderState_MergeFromPeer_IsIgnored) {
  this->AnswerList({Change("a", 4)}, 5);
  EXPECT_FALSE(this->watcher.MergeFromPeer({{0, 5}, {}}));
  this->RunFor(milliseconds(120));
  EXPECT_EQ(this->names, (std::vector<std::string>{"a"}));
}

// Guards against a watch that began before a peer's state was merged and sets
// the state back.
TEST_F(DirectoryWatcherTest,
       WatchOfEarlierRevision_AfterMerge_KeepsTheLaterState) {
  this->AnswerList({Change("a", 1)}, 5);
  this->platform.documents["later"] = Change("a", 9).value;
  EXPECT_TRUE(this->watcher.MergeFromPeer(
      {{0, 9}, {{"a", {0, 9}, std::string("later")}}}));
  this->AnswerWatch(DirectoryChanges{{Change("a", 6, true)}, {0, 6}});
  this->RunFor(milliseconds(400));
  EXPECT_EQ(this->names, (std::vector<std::string>{"a"}));
  EXPECT_EQ(this->watcher.Revision().number, 9U);
}

// Guards against sending documents to a daemon that already has them.
TEST_F(DirectoryWatcherTest,
       PeerKnowsSome_ObjectsSince_SendsOnlyLaterDocuments) {
  DirectoryChange old_entry = Change("a", 1);
  old_entry.document = "old";
  DirectoryChange new_entry = Change("b", 6);
  new_entry.document = "new";
  this->AnswerList({old_entry, new_entry}, 6);
  const SharedDirectory shared = this->watcher.ObjectsSince({0, 5}, 0);
  ASSERT_EQ(shared.objects.size(), 2U);
  EXPECT_FALSE(shared.objects[0].document.has_value());
  EXPECT_EQ(shared.objects[1].document, "new");
  EXPECT_TRUE(this->watcher.ObjectsSince({0, 6}, 0).objects.empty());
}

// Guards against queries to other daemons for changes that are about to arrive
// from the store.
TEST_F(DirectoryWatcherTest, PeerAhead_NeedsPeers_OnlyAfterADelay) {
  this->AnswerList({Change("a", 1)}, 5);
  const common::SteadyTime now = common::SteadyNow();
  this->watcher.OnPeerAhead(now);
  EXPECT_FALSE(this->watcher.NeedsPeers(now + milliseconds(900)));
  EXPECT_TRUE(this->watcher.NeedsPeers(now + milliseconds(1000)));
  this->AnswerWatch(DirectoryChanges{{Change("a", 6)}, {0, 6}});
  EXPECT_FALSE(this->watcher.NeedsPeers(now + milliseconds(1000)));
}

// Guards against keeping the state of a store that has been restored from a
// backup because its numbers are higher.
TEST_F(DirectoryWatcherTest, StoreRestored_Listing_ReplacesHigherNumbers) {
  this->AnswerList({Change("a", 40), Change("b", 50)}, 60);
  this->AnswerWatch(HistoryGone{});
  this->AnswerList(DirectoryChanges{
      {ChangeOfEra(1, "a", 40), ChangeOfEra(1, "c", 41)}, {1, 41}});
  EXPECT_EQ(this->names, (std::vector<std::string>{"a", "b", "c"}));
  this->RunFor(milliseconds(120));
  EXPECT_EQ(this->names, (std::vector<std::string>{"a", "c"}));
  EXPECT_EQ(this->platform.watches[kKind].front().after,
            (StoreRevision{1, 41}));
}

// Guards against missing changes when the numbers of a restored store have
// already passed the revision of a watch.
TEST_F(DirectoryWatcherTest, RestoredWhileWatching_Changes_AreListedAgain) {
  this->AnswerList({Change("a", 1)}, 5);
  this->AnswerWatch(DirectoryChanges{{ChangeOfEra(1, "b", 6)}, {1, 6}});
  EXPECT_EQ(this->names, (std::vector<std::string>{"a"}));
  EXPECT_EQ(this->platform.lists[kKind].size(), 1U);
}

// Guards against applying an answer that was written before the store was
// restored.
TEST_F(DirectoryWatcherTest, LaterEraKnown_AnswerOfEarlierEra_IsNotApplied) {
  this->AnswerList({Change("a", 1)}, 5);
  this->AnswerWatch(HistoryGone{});
  this->watcher.OnEra(2);
  this->AnswerList(DirectoryChanges{{ChangeOfEra(1, "b", 6)}, {1, 6}});
  EXPECT_EQ(this->names, (std::vector<std::string>{"a"}));
  this->RunFor(milliseconds(250));
  this->AnswerList(DirectoryChanges{{ChangeOfEra(2, "c", 3)}, {2, 3}});
  this->RunFor(milliseconds(120));
  EXPECT_EQ(this->names, (std::vector<std::string>{"c"}));
}

// Guards against waiting for the end of a watch that the store has lost while
// it was restored.
TEST_F(DirectoryWatcherTest, EraAnnounced_Watch_IsReplacedByOneListing) {
  this->AnswerList({Change("a", 1)}, 5);
  this->watcher.OnEra(1);
  this->watcher.OnEra(1);
  ASSERT_EQ(this->platform.lists[kKind].size(), 1U);
  // The watch from before the restore must not start a second series of calls.
  this->AnswerWatch(HistoryGone{});
  EXPECT_EQ(this->platform.lists[kKind].size(), 1U);
  this->AnswerList(DirectoryChanges{{ChangeOfEra(1, "a", 1)}, {1, 2}});
  EXPECT_EQ(this->platform.watches[kKind].size(), 1U);
}

// Guards against reads that lag so far that they show the store as it was
// before it was restored.
TEST_F(DirectoryWatcherTest, EraJustLearned_Reads_DoNotLag) {
  this->AnswerList(DirectoryChanges{{ChangeOfEra(1, "a", 1)}, {1, 5}});
  EXPECT_TRUE(this->names.empty());
  this->AnswerList(DirectoryChanges{{ChangeOfEra(1, "b", 1)}, {1, 5}});
  EXPECT_EQ(this->names, (std::vector<std::string>{"b"}));
  EXPECT_EQ(this->platform.list_freshness[kKind],
            (std::vector<DirectoryFreshness>{DirectoryFreshness::kAllowStale,
                                             DirectoryFreshness::kLatest}));
  EXPECT_EQ(this->platform.watches[kKind].front().freshness,
            DirectoryFreshness::kLatest);
}

// Guards against a daemon that the store turns away after it was restored and
// that refuses the state of its peers because of the lower numbers.
TEST_F(DirectoryWatcherTest, PeerInLaterEra_MergeFromPeer_ReplacesTheState) {
  this->AnswerList({Change("a", 4)}, 9);
  this->platform.documents["b"] = Change("b", 2).value;
  EXPECT_TRUE(
      this->watcher.MergeFromPeer({{1, 3}, {{"b", {1, 2}, std::string("b")}}}));
  this->RunFor(milliseconds(120));
  EXPECT_EQ(this->names, (std::vector<std::string>{"b"}));
  EXPECT_EQ(this->watcher.Revision(), (StoreRevision{1, 3}));
}

// Guards against taking over the state of a peer that doesn't know yet that the
// store was restored.
TEST_F(DirectoryWatcherTest, PeerInEarlierEra_MergeFromPeer_IsIgnored) {
  this->AnswerList({Change("a", 4)}, 5);
  this->watcher.OnEra(1);
  this->platform.documents["b"] = Change("b", 8).value;
  EXPECT_FALSE(
      this->watcher.MergeFromPeer({{0, 9}, {{"b", {0, 8}, std::string("b")}}}));
  EXPECT_EQ(this->names, (std::vector<std::string>{"a"}));
}

// Guards against leaving out documents that a requester knows under the same
// number of an earlier era.
TEST_F(DirectoryWatcherTest, RequesterInEarlierEra_ObjectsSince_SendsAll) {
  this->AnswerList(DirectoryChanges{{}, {1, 5}});
  DirectoryChange entry = ChangeOfEra(1, "a", 2);
  entry.document = "text";
  this->AnswerList(DirectoryChanges{{entry}, {1, 5}});
  const SharedDirectory shared = this->watcher.ObjectsSince({0, 9}, 0);
  ASSERT_EQ(shared.objects.size(), 1U);
  EXPECT_EQ(shared.objects[0].document, "text");
}

/// A watcher of the configuration, whose object has a version.
class ConfigurationWatcherTest : public testing::Test {
 protected:
  ConfigurationWatcherTest() { this->watcher.Start(); }

  static DirectoryValue Configuration(std::uint64_t version) {
    auto configuration = std::make_shared<DirectoryConfiguration>();
    configuration->version = version;
    return std::shared_ptr<const DirectoryConfiguration>(configuration);
  }

  void AnswerList(std::vector<DirectoryChange> changes,
                  StoreRevision revision) {
    auto done =
        std::move(this->platform.lists[DirectoryKind::kConfiguration].front());
    this->platform.lists[DirectoryKind::kConfiguration].pop_front();
    done(DirectoryChanges{std::move(changes), revision});
  }

  connection::EventLoop loop;
  FakePlatform platform;
  ProxyMetrics metrics;
  std::uint64_t version = 0;
  DirectoryWatcher watcher{
      &this->loop,
      &this->platform,
      &this->metrics,
      {DirectoryKind::kConfiguration, milliseconds(0), {milliseconds(6000)}},
      [this](const auto& objects) {
        this->version = 0;
        for (const auto& [name, value] : objects) {
          this->version =
              std::get<std::shared_ptr<const DirectoryConfiguration>>(value)
                  ->version;
        }
      }};
};

// Guards against a daemon that relays the older configuration of a restored
// store instead of the one in force.
TEST_F(ConfigurationWatcherTest, StoreRestoredWithOlder_Configuration_IsKept) {
  this->AnswerList({{"main", {0, 9}, false, Configuration(3), "third"}},
                   {0, 9});
  this->watcher.OnEra(1);
  this->AnswerList({{"main", {1, 4}, false, Configuration(2), "second"}},
                   {1, 5});
  EXPECT_EQ(this->version, 3U);
  const SharedDirectory shared = this->watcher.ObjectsSince({1, 5}, 2);
  ASSERT_EQ(shared.objects.size(), 1U);
  EXPECT_EQ(shared.objects[0].document, "third");
  EXPECT_TRUE(this->watcher.ObjectsSince({1, 5}, 3).objects.empty());
}

// Guards against losing the configuration if it is missing in the copy that the
// store was restored from.
TEST_F(ConfigurationWatcherTest, StoreRestoredWithout_Configuration_IsKept) {
  this->AnswerList({{"main", {0, 9}, false, Configuration(3), "third"}},
                   {0, 9});
  this->watcher.OnEra(1);
  this->AnswerList({}, {1, 5});
  this->loop.RunLater(milliseconds(120), [this] { this->loop.Stop(); });
  this->loop.Run();
  EXPECT_EQ(this->version, 3U);
  EXPECT_EQ(this->watcher.ObjectsSince({1, 5}, 0).objects.size(), 1U);
}

// Guards against a daemon that starts with the older configuration of a
// restored store and refuses the one in force because the store's revision is
// the same.
TEST_F(ConfigurationWatcherTest, StartedWithOlder_MergeFromPeer_TakesTheLater) {
  this->AnswerList({{"main", {1, 4}, false, Configuration(2), "second"}},
                   {1, 5});
  this->platform.documents["third"] = Configuration(3);
  EXPECT_TRUE(this->watcher.MergeFromPeer(
      {{1, 5}, {{"main", {1, 4}, std::string("third")}}}));
  EXPECT_EQ(this->version, 3U);
  EXPECT_FALSE(this->watcher.MergeFromPeer(
      {{1, 5}, {{"main", {1, 4}, std::string("third")}}}));
  this->platform.documents["second"] = Configuration(2);
  EXPECT_TRUE(this->watcher.MergeFromPeer(
      {{1, 8}, {{"main", {1, 7}, std::string("second")}}}));
  EXPECT_EQ(this->version, 3U);
}

}  // namespace
}  // namespace camphorferry::session
