#ifndef CAMPHORFERRY_SESSION_DIRECTORY_WATCHER_H_
#define CAMPHORFERRY_SESSION_DIRECTORY_WATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Connection/connection.h"
#include "Session/directory.h"
#include "Session/proxy_metrics.h"

namespace camphorferry::session {

/// What a feed follows and how.
struct DirectoryWatcherSettings {
  DirectoryKind kind = DirectoryKind::kMembers;
  /// Removed objects are reported after this time, unless they return.
  common::Duration removal_grace = common::Duration::zero();
  /// Length of one watch, after which a connection or a store that has
  /// swallowed it is noticed.
  common::Duration watch_length = std::chrono::seconds(6);
};

/// Follows all objects of one kind in the platform's store: lists them once,
/// then watches, and lists again only when the history is gone. While the store
/// is silent the last known state stays, and may be brought up to date from
/// other daemons that the store still answers.
class DirectoryWatcher {
 public:
  /// Called with the objects that are present after something has changed.
  using Observer =
      std::function<void(const std::map<std::string, DirectoryValue>&)>;

  DirectoryWatcher(connection::EventLoop* loop, Platform* platform,
                   ProxyMetrics* metrics,
                   const DirectoryWatcherSettings& settings, Observer observer);
  ~DirectoryWatcher();
  DirectoryWatcher(const DirectoryWatcher&) = delete;
  DirectoryWatcher& operator=(const DirectoryWatcher&) = delete;

  /// Sets the length of later watches.
  void SetWatchLength(common::Duration length) {
    this->settings.watch_length = length;
  }

  /// Starts to follow; to be called once.
  void Start();

  /// Some daemon knows a newer state.
  void OnPeerAhead(common::SteadyTime now);

  /// True if this feed is behind for so long that other daemons should be asked
  /// for what they know.
  bool NeedsPeers(common::SteadyTime now) const;

  /// The revision up to which changes are known; 0 before the first listing.
  std::uint64_t Revision() const { return this->revision.value_or(0); }

  /// What this feed knows, for a daemon that knows the state at a revision.
  SharedDirectory ObjectsSince(std::uint64_t known) const;

  /// Takes what another daemon knows; false if that is not newer.
  bool MergeFromPeer(const SharedDirectory& shared);

 private:
  struct Entry {
    DirectoryValue value;
    std::string document;
    std::uint64_t revision = 0;
    std::optional<common::SteadyTime> removed_at;
  };

  void List();
  void Watch();
  void OnListed(const DirectoryResult& result);
  void OnWatched(const DirectoryResult& result);
  void CountAnswer(const DirectoryResult& result);
  void OnUnavailable(const StoreUnavailable& failure);
  void OnAvailable();
  void Apply(const DirectoryChange& change);
  /// Marks the entries that a whole listing does not name.
  void MarkAbsentRemoved(const std::set<std::string>& present);
  void AdvanceRevision(std::uint64_t reached);
  void ExpireRemoved();
  void NotifyObserver();

  connection::EventLoop* loop;
  Platform* platform;
  ProxyMetrics* metrics;
  DirectoryWatcherSettings settings;
  Observer observer;
  std::map<std::string, Entry> entries;
  std::optional<std::uint64_t> revision;
  /// Since when the store has not answered, and since when another daemon is
  /// known to be ahead.
  std::optional<common::SteadyTime> unavailable_since;
  std::optional<common::SteadyTime> behind_since;
  common::Duration backoff = common::Duration::zero();
  std::unique_ptr<connection::Timer> timer;
  std::unique_ptr<connection::Timer> expiry_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_DIRECTORY_WATCHER_H_
