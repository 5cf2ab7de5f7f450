#include "Session/directory_watcher.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

using common::LogLevel;
using common::Subsystem;

/// Pause after a watch that has returned changes. Changes come in groups, when
/// databases start or change roles together, and each watch has a cost. Short
/// compared with the bound within which a change must be in force (4,000 ms).
constexpr std::chrono::milliseconds kBatchPause(200);
/// Backoff after a call without a result, doubled up to the maximum. Every call
/// has a cost, even while the store is down.
constexpr std::chrono::milliseconds kInitialBackoff(150);
constexpr std::chrono::milliseconds kMaxBackoff(600);
/// Longest watch while the store has not answered the last call, or while the
/// objects are followed closely. It shows soon whether the store has returned,
/// and is soon noticed if the store loses it.
constexpr std::chrono::milliseconds kMaxProbeLength(500);
/// Longest pause between listings while no watch succeeds because the store
/// lacks its history. Below the bound within which a change must be in force
/// (4,000 ms), since changes are then learned from the listings alone.
constexpr std::chrono::milliseconds kMaxRelistPause(2000);

/// A watcher that has been behind for this long queries other daemons. Above
/// the pause between two watches plus a slow answer of the store, so that a
/// change which is about to arrive is not requested twice.
constexpr std::chrono::milliseconds kQueryPeersAfter(1000);

/// A read that lags may show the store as it was this long ago.
constexpr std::chrono::seconds kMaxLag(10);

/// Members may be listed late, because the status that a member reports itself
/// takes precedence over its entry.
DirectoryFreshness FreshnessOf(DirectoryKind kind) {
  return kind == DirectoryKind::kMembers ? DirectoryFreshness::kAllowStale
                                         : DirectoryFreshness::kLatest;
}

/// The version that the writer of an object gave it; none if objects of its
/// kind have no versions.
std::optional<std::uint64_t> VersionOf(const DirectoryValue& value) {
  const auto* configuration =
      std::get_if<std::shared_ptr<const DirectoryConfiguration>>(&value);
  if (configuration == nullptr || *configuration == nullptr) {
    return std::nullopt;
  }
  return (*configuration)->version;
}

}  // namespace

DirectoryWatcher::DirectoryWatcher(connection::EventLoop* loop,
                                   Platform* platform, ProxyMetrics* metrics,
                                   const DirectoryWatcherSettings& settings,
                                   Observer observer)
    : loop(loop),
      platform(platform),
      metrics(metrics),
      settings(settings),
      observer(std::move(observer)) {}

DirectoryWatcher::~DirectoryWatcher() { *this->alive = false; }

void DirectoryWatcher::Start() { this->List(); }

void DirectoryWatcher::List() {
  this->listing = true;
  // After a gap in the history, a listing that lags could lack objects that are
  // already known.
  const bool must_not_lag =
      this->revision.has_value() || !this->refreshes.empty();
  const DirectoryFreshness freshness =
      must_not_lag ? DirectoryFreshness::kLatest : this->Freshness();
  this->platform->List(
      this->settings.kind, freshness,
      [this, still_alive = this->alive, call = ++this->last_call,
       freshness](const DirectoryResult& result) {
        if (!*still_alive || call != this->last_call) return;
        this->OnListed(freshness, result);
      });
}

void DirectoryWatcher::Relist() {
  this->needs_listing = true;
  const common::Duration pause = this->relist_pause;
  this->relist_pause =
      std::clamp<common::Duration>(pause * 2, kInitialBackoff, kMaxRelistPause);
  if (pause == common::Duration::zero()) {
    this->List();
    return;
  }
  this->timer = this->loop->After(pause, [this] { this->List(); });
}

void DirectoryWatcher::Watch() {
  const StoreRevision after = *this->revision;
  const bool may_lag = this->settings.watches_may_lag && this->ReadsMayLag();
  this->platform->Watch(
      this->settings.kind, after, this->TakeWatchLength(),
      may_lag ? DirectoryFreshness::kAllowStale : this->Freshness(),
      [this, still_alive = this->alive, call = ++this->last_call,
       after](const DirectoryResult& result) {
        if (!*still_alive || call != this->last_call) return;
        this->OnWatched(after, result);
      });
}

common::Duration DirectoryWatcher::TakeWatchLength() {
  const WatchLengths& lengths = this->settings.watch_lengths;
  if (this->backoff != common::Duration::zero() || this->IsFollowedClosely()) {
    return std::min<common::Duration>(kMaxProbeLength, lengths.regular);
  }
  return std::exchange(this->first_watch, false) ? lengths.first
                                                 : lengths.regular;
}

DirectoryFreshness DirectoryWatcher::Freshness() const {
  return this->ReadsMayLag() ? FreshnessOf(this->settings.kind)
                             : DirectoryFreshness::kLatest;
}

bool DirectoryWatcher::ReadsMayLag() const {
  if (this->IsFollowedClosely()) return false;
  return !this->era_known_since.has_value() ||
         common::SteadyNow() - *this->era_known_since >= kMaxLag;
}

void DirectoryWatcher::AdvanceEra(std::uint64_t store_era) {
  if (store_era <= this->era) return;
  this->era = store_era;
  this->era_known_since = common::SteadyNow();
}

void DirectoryWatcher::OnEra(std::uint64_t store_era) {
  if (store_era <= this->era) return;
  this->AdvanceEra(store_era);
  // A listing in progress, or the first one, is checked when it is answered.
  if (this->listing || !this->revision.has_value()) return;
  this->ListInstead();
}

void DirectoryWatcher::Refresh(std::function<void(bool)> done) {
  this->refreshes.push_back(std::move(done));
  // A listing in progress may already have been answered by the store, so it is
  // replaced as well.
  this->ListInstead();
}

CloseFollowing DirectoryWatcher::FollowClosely() {
  CloseFollowing following = this->close_following.lock();
  if (following == nullptr) {
    following = std::make_shared<const bool>(true);
    this->close_following = following;
  }
  return following;
}

void DirectoryWatcher::ListInstead() {
  this->needs_listing = true;
  this->timer.reset();
  this->List();
}

void DirectoryWatcher::FinishRefreshes(bool listed) {
  const auto finished = std::exchange(this->refreshes, {});
  for (const auto& done : finished) done(listed);
}

void DirectoryWatcher::CountAnswer(const DirectoryResult& result) {
  const char* outcome =
      std::visit(common::Overloaded{
                     [](const DirectoryChanges& changes) {
                       return changes.changes.empty() ? "unchanged" : "changed";
                     },
                     [](const HistoryGone&) { return "history_gone"; },
                     [](const StoreUnavailable&) { return "unavailable"; },
                 },
                 result);
  this->metrics->Count(
      "store_calls", "Lists and watches of the store by kind and result.",
      "result", std::string(ToString(this->settings.kind)) + "_" + outcome);
}

void DirectoryWatcher::OnListed(DirectoryFreshness freshness,
                                const DirectoryResult& result) {
  this->listing = false;
  this->CountAnswer(result);
  if (const auto* failure = std::get_if<StoreUnavailable>(&result)) {
    this->OnUnavailable(*failure);
    return;
  }
  const auto* changes = std::get_if<DirectoryChanges>(&result);
  if (changes == nullptr) {
    this->OnUnavailable({"history gone"});
    return;
  }
  this->AdvanceEra(changes->revision.era);
  if (changes->revision.era < this->era) {
    this->OnUnavailable({"answer of an earlier era"});
    return;
  }
  this->OnAvailable();
  if (freshness == DirectoryFreshness::kAllowStale && !this->ReadsMayLag()) {
    this->List();
    return;
  }
  this->needs_listing = false;
  this->first_watch = true;
  std::set<std::string> present;
  for (const DirectoryChange& change : changes->changes) {
    present.insert(change.name);
    this->Apply(change);
  }
  this->MarkAbsentRemoved(present);
  this->AdvanceRevision(changes->revision);
  this->NotifyObserver();
  this->Watch();
  this->FinishRefreshes(true);
}

void DirectoryWatcher::OnWatched(StoreRevision after,
                                 const DirectoryResult& result) {
  this->CountAnswer(result);
  std::visit(
      common::Overloaded{
          [&](const DirectoryChanges& changes) {
            this->OnAvailable();
            this->AdvanceEra(changes.revision.era);
            if (changes.revision.era != after.era || after.era != this->era) {
              this->Relist();
              return;
            }
            this->relist_pause = common::Duration::zero();
            for (const DirectoryChange& change : changes.changes) {
              this->Apply(change);
            }
            this->AdvanceRevision(changes.revision);
            if (changes.changes.empty()) {
              this->Watch();
              return;
            }
            this->first_watch = true;
            this->NotifyObserver();
            if (this->IsFollowedClosely()) {
              this->Watch();
              return;
            }
            this->timer =
                this->loop->After(kBatchPause, [this] { this->Watch(); });
          },
          [&](const HistoryGone&) {
            common::Log(Subsystem::kVersion, LogLevel::kInfo,
                        "store_history_gone",
                        {{"kind", ToString(this->settings.kind)},
                         {"era", after.era},
                         {"revision", after.number}});
            this->Relist();
          },
          [this](const StoreUnavailable& failure) {
            this->OnUnavailable(failure);
          },
      },
      result);
}

void DirectoryWatcher::OnUnavailable(const StoreUnavailable& failure) {
  this->first_watch = true;
  if (this->backoff == common::Duration::zero()) {
    common::Log(
        Subsystem::kVersion, LogLevel::kWarning, "store_lost",
        {{"kind", ToString(this->settings.kind)}, {"reason", failure.reason}});
    this->backoff = kInitialBackoff;
    this->unavailable_since = common::SteadyNow();
  } else {
    this->backoff = std::min<common::Duration>(this->backoff * 2, kMaxBackoff);
  }
  this->timer = this->loop->After(this->backoff, [this] {
    if (this->needs_listing || !this->revision.has_value()) {
      this->List();
    } else {
      this->Watch();
    }
  });
  this->FinishRefreshes(false);
}

void DirectoryWatcher::OnAvailable() {
  if (this->backoff == common::Duration::zero()) return;
  this->backoff = common::Duration::zero();
  this->unavailable_since.reset();
  common::Log(Subsystem::kVersion, LogLevel::kInfo, "store_regained",
              {{"kind", ToString(this->settings.kind)}});
}

bool DirectoryWatcher::Apply(const DirectoryChange& change) {
  Entry& entry = this->entries[change.name];
  const std::optional<std::uint64_t> known = VersionOf(entry.value);
  const std::optional<std::uint64_t> offered = VersionOf(change.value);
  const bool is_later =
      known.has_value() ? offered > known : change.revision >= entry.revision;
  entry.revision = std::max(entry.revision, change.revision);
  if (const auto* unreadable = std::get_if<UnreadableObject>(&change.value);
      unreadable != nullptr && !change.removed) {
    common::Log(Subsystem::kVersion, LogLevel::kWarning, "object_unreadable",
                {{"kind", ToString(this->settings.kind)},
                 {"name", change.name},
                 {"revision", change.revision.number},
                 {"reason", unreadable->reason}});
  }
  if (!is_later) return false;
  if (change.removed) {
    if (!entry.removed_at.has_value()) entry.removed_at = common::SteadyNow();
    return true;
  }
  entry.removed_at.reset();
  entry.value = change.value;
  entry.document = change.document;
  return true;
}

void DirectoryWatcher::MarkAbsentRemoved(const std::set<std::string>& present) {
  for (auto& [name, entry] : this->entries) {
    if (!present.contains(name) && !entry.removed_at.has_value() &&
        !VersionOf(entry.value).has_value()) {
      entry.removed_at = common::SteadyNow();
    }
  }
}

void DirectoryWatcher::AdvanceRevision(StoreRevision reached) {
  // A call that may lag, or that began before another daemon's state was taken
  // over, may return an earlier revision.
  this->revision = std::max(this->Revision(), reached);
  this->behind_since.reset();
}

void DirectoryWatcher::OnPeerAhead(common::SteadyTime now) {
  if (!this->behind_since.has_value()) this->behind_since = now;
}

bool DirectoryWatcher::NeedsPeers(common::SteadyTime now) const {
  const auto is_due = [now](const auto& since) {
    return since.has_value() && now - *since >= kQueryPeersAfter;
  };
  return is_due(this->unavailable_since) || is_due(this->behind_since);
}

std::uint64_t DirectoryWatcher::Version() const {
  std::uint64_t latest = 0;
  for (const auto& [name, entry] : this->entries) {
    latest = std::max(latest, VersionOf(entry.value).value_or(0));
  }
  return latest;
}

SharedDirectory DirectoryWatcher::ObjectsSince(
    StoreRevision known, std::uint64_t known_version) const {
  SharedDirectory shared;
  shared.revision = this->Revision();
  bool is_newer = shared.revision > known;
  for (const auto& [name, entry] : this->entries) {
    if (entry.removed_at.has_value()) continue;
    const std::optional<std::uint64_t> version = VersionOf(entry.value);
    const bool is_later =
        version.has_value() ? *version > known_version : entry.revision > known;
    SharedObject object{name, entry.revision, std::nullopt};
    if (is_later) object.document = entry.document;
    shared.objects.push_back(std::move(object));
    is_newer = is_newer || is_later;
  }
  if (!is_newer) shared.objects.clear();
  return shared;
}

bool DirectoryWatcher::MergeFromPeer(const SharedDirectory& shared) {
  const bool is_newer =
      shared.revision > this->Revision() && shared.revision.era >= this->era;
  bool changed = is_newer;
  std::set<std::string> present;
  for (const SharedObject& object : shared.objects) {
    present.insert(object.name);
    if (!object.document.has_value()) continue;
    DirectoryChange change;
    change.name = object.name;
    change.revision = object.revision;
    change.document = *object.document;
    change.value = this->platform->Decode(this->settings.kind, object.name,
                                          *object.document);
    // An object with a version counts whatever the revision: a restored store
    // may hold an older one than this daemon's peers.
    if (!is_newer && !VersionOf(change.value).has_value()) continue;
    changed = this->Apply(change) || changed;
  }
  if (!changed) return false;
  if (is_newer) {
    this->AdvanceEra(shared.revision.era);
    this->MarkAbsentRemoved(present);
    this->AdvanceRevision(shared.revision);
  }
  this->behind_since.reset();
  this->NotifyObserver();
  return true;
}

void DirectoryWatcher::ExpireRemoved() {
  const common::SteadyTime now = common::SteadyNow();
  const std::size_t removed =
      std::erase_if(this->entries, [&](const auto& item) {
        return item.second.removed_at.has_value() &&
               now - *item.second.removed_at >= this->settings.removal_grace;
      });
  if (removed > 0) this->NotifyObserver();
}

void DirectoryWatcher::NotifyObserver() {
  std::map<std::string, DirectoryValue> present;
  bool removals_pending = false;
  const common::SteadyTime now = common::SteadyNow();
  for (const auto& [name, entry] : this->entries) {
    if (entry.removed_at.has_value()) {
      if (now - *entry.removed_at >= this->settings.removal_grace) continue;
      removals_pending = true;
    }
    if (std::holds_alternative<UnreadableObject>(entry.value)) continue;
    present.emplace(name, entry.value);
  }
  if (removals_pending) {
    this->expiry_timer = this->loop->After(
        this->settings.removal_grace + std::chrono::milliseconds(50),
        [this] { this->ExpireRemoved(); });
  }
  this->observer(present);
}

}  // namespace camphorferry::session
