#ifndef CAMPHORFERRY_SESSION_DIRECTORY_WATCHER_H_
#define CAMPHORFERRY_SESSION_DIRECTORY_WATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Connection/connection.h"
#include "Session/directory.h"
#include "Session/proxy_metrics.h"
#include "Session/watch_lengths.h"

namespace camphorferry::session {

/// What a watcher follows and how.
struct DirectoryWatcherSettings {
  DirectoryKind kind = DirectoryKind::kMembers;
  /// Removals are reported after this time, unless the object returns before.
  common::Duration removal_grace = common::Duration::zero();
  /// Lengths of the watch calls. A connection or a store that has lost a call
  /// without a trace is noticed after this time.
  WatchLengths watch_lengths;
  /// Watches of any kind of object may lag; listings of configurations never.
  bool watches_may_lag = false;
};

/// Follows all objects of one kind in the platform's store. Lists them once,
/// then watches for changes, and lists again only if the store no longer has
/// the history or has been restored from a backup. While the store does not
/// answer, the last known state stays in use and can be updated from other
/// daemons that the store still answers.
class DirectoryWatcher {
 public:
  /// Called with all existing objects after a change.
  using Observer =
      std::function<void(const std::map<std::string, DirectoryValue>&)>;

  DirectoryWatcher(connection::EventLoop* loop, Platform* platform,
                   ProxyMetrics* metrics,
                   const DirectoryWatcherSettings& settings, Observer observer);
  ~DirectoryWatcher();
  DirectoryWatcher(const DirectoryWatcher&) = delete;
  DirectoryWatcher& operator=(const DirectoryWatcher&) = delete;

  /// Sets the lengths of watches that start later.
  void SetWatchLengths(const WatchLengths& lengths) {
    this->settings.watch_lengths = lengths;
  }

  /// Sets whether watches that start later may lag by seconds, at a lower cost,
  /// because other daemons tell of changes.
  void SetWatchesMayLag(bool may_lag) {
    this->settings.watches_may_lag = may_lag;
  }

  /// Starts to follow the store. Must be called once.
  void Start();

  /// The store has been restored from a backup and is in the given era, unless
  /// that is already known. Objects that the store has lost are reported as
  /// removed after the removal grace.
  void OnEra(std::uint64_t store_era);

  /// Lists the objects anew, without lag. Calls back, once the observer has got
  /// them, with true, or with false if the store did not answer.
  void Refresh(std::function<void(bool listed)> done);

  /// Makes the watches and listings that start from now on neither lag nor
  /// pause, as long as the returned object, or one from another call, exists.
  /// Watches then last half a second at most.
  CloseFollowing FollowClosely();

  /// Another daemon knows a newer state.
  void OnPeerAhead(common::SteadyTime now);

  /// Whether this watcher has been behind for so long that other daemons should
  /// be asked for their state.
  bool NeedsPeers(common::SteadyTime now) const;

  /// The revision up to which changes are known; number 0 before the first
  /// listing.
  StoreRevision Revision() const {
    return this->revision.value_or(StoreRevision());
  }

  /// The latest version of an object with versions; 0 if there is none.
  std::uint64_t Version() const;

  /// The state known here, for a daemon that knows the state at the given
  /// revision, and objects with versions up to the given one. Documents that it
  /// has are left out.
  SharedDirectory ObjectsSince(StoreRevision known,
                               std::uint64_t known_version) const;

  /// Takes over another daemon's state if it is newer, or else its objects with
  /// later versions. Returns whether anything was newer.
  bool MergeFromPeer(const SharedDirectory& shared);

 private:
  struct Entry {
    DirectoryValue value;
    std::string document;
    StoreRevision revision;
    std::optional<common::SteadyTime> removed_at;
  };

  void List();
  /// Lists at once, instead of the call or the pause in progress.
  void ListInstead();
  /// Lists again because the store lacks the history of the last watch; at once
  /// the first time, after a growing pause if no watch has succeeded since.
  void Relist();
  void Watch();
  /// Length of the watch that starts now.
  common::Duration TakeWatchLength();
  void OnListed(DirectoryFreshness freshness, const DirectoryResult& result);
  void OnWatched(StoreRevision after, const DirectoryResult& result);
  bool IsFollowedClosely() const { return !this->close_following.expired(); }
  /// Whether reads may lag: nobody needs to know of changes at once, and they
  /// show no objects of an earlier era.
  bool ReadsMayLag() const;
  DirectoryFreshness Freshness() const;
  void AdvanceEra(std::uint64_t store_era);
  void CountAnswer(const DirectoryResult& result);
  void OnUnavailable(const StoreUnavailable& failure);
  void OnAvailable();
  void FinishRefreshes(bool listed);
  /// Takes over the state of an object if it is later: by its version if it has
  /// one, as a restored store may hold an older version at a later revision,
  /// otherwise by its revision. An object with a version is never removed.
  /// Returns whether it was later.
  bool Apply(const DirectoryChange& change);
  /// Marks the entries that are missing in a complete listing as removed,
  /// except those with a version.
  void MarkAbsentRemoved(const std::set<std::string>& present);
  void AdvanceRevision(StoreRevision reached);
  void ExpireRemoved();
  void NotifyObserver();

  connection::EventLoop* loop;
  Platform* platform;
  ProxyMetrics* metrics;
  DirectoryWatcherSettings settings;
  Observer observer;
  std::map<std::string, Entry> entries;
  std::optional<StoreRevision> revision;
  /// Latest known era of the store, and since when it is known.
  std::uint64_t era = 0;
  std::optional<common::SteadyTime> era_known_since;
  /// The next call must be a listing, although a revision is known.
  bool needs_listing = false;
  /// The next watch is the first one after a change, a listing or a failure.
  bool first_watch = true;
  /// A listing is in progress.
  bool listing = false;
  /// Callbacks of the refreshes that wait for the listing in progress.
  std::vector<std::function<void(bool)>> refreshes;
  /// What FollowClosely has returned last.
  std::weak_ptr<const void> close_following;
  /// Number of the last call; answers to earlier ones are ignored.
  std::uint64_t last_call = 0;
  /// Since when the store has not answered, and since when another daemon has
  /// been known to be ahead.
  std::optional<common::SteadyTime> unavailable_since;
  std::optional<common::SteadyTime> behind_since;
  common::Duration backoff = common::Duration::zero();
  /// Pause before the next listing that Relist starts.
  common::Duration relist_pause = common::Duration::zero();
  std::unique_ptr<connection::Timer> timer;
  std::unique_ptr<connection::Timer> expiry_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_DIRECTORY_WATCHER_H_
