#include "Session/directory_feed.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

using common::LogLevel;
using common::Subsystem;

/// Pause between a watch that has brought changes and the next one. Changes
/// come in groups, when databases start or change roles together, and each
/// watch has a price; beside the bound of a change (4,000 ms) it is short.
constexpr std::chrono::milliseconds kGatherPause(200);
/// Pauses after a call without result, doubled up to the second value. Every
/// call has a price, also while the store is down.
constexpr std::chrono::milliseconds kFirstBackoff(150);
constexpr std::chrono::milliseconds kLongestBackoff(600);

/// A feed that is behind for so long asks other daemons. Above the pause
/// between two watches and a slow answer of the store, so that a change which
/// is on its way is not asked for twice.
constexpr std::chrono::milliseconds kPeersAfter(1000);

/// Members may be learnt late: what they say of themselves when asked counts
/// before their entries.
DirectoryFreshness FreshnessOf(DirectoryKind kind) {
  return kind == DirectoryKind::kMembers ? DirectoryFreshness::kMayLag
                                         : DirectoryFreshness::kLatest;
}

}  // namespace

DirectoryFeed::DirectoryFeed(connection::EventLoop* loop, Platform* platform,
                             ProxyMetrics* metrics,
                             const DirectoryFeedSettings& settings,
                             Observer observer)
    : loop(loop),
      platform(platform),
      metrics(metrics),
      settings(settings),
      observer(std::move(observer)) {}

DirectoryFeed::~DirectoryFeed() { *this->alive = false; }

void DirectoryFeed::Start() { this->List(); }

void DirectoryFeed::List() {
  // After a gap in the history, a listing that lags could lack objects that are
  // known already.
  const DirectoryFreshness freshness = this->revision.has_value()
                                           ? DirectoryFreshness::kLatest
                                           : FreshnessOf(this->settings.kind);
  this->platform->List(
      this->settings.kind, freshness,
      [this, still_alive = this->alive](const DirectoryResult& result) {
        if (*still_alive) this->OnListed(result);
      });
}

void DirectoryFeed::Watch() {
  this->platform->Watch(
      this->settings.kind, *this->revision, this->settings.watch_length,
      FreshnessOf(this->settings.kind),
      [this, still_alive = this->alive](const DirectoryResult& result) {
        if (*still_alive) this->OnWatched(result);
      });
}

void DirectoryFeed::CountAnswer(const DirectoryResult& result) {
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

void DirectoryFeed::OnListed(const DirectoryResult& result) {
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
  this->OnAvailable();
  std::set<std::string> present;
  for (const DirectoryChange& change : changes->changes) {
    present.insert(change.name);
    this->Apply(change);
  }
  this->RemoveAbsent(present);
  this->Advance(changes->revision);
  this->Report();
  this->Watch();
}

void DirectoryFeed::OnWatched(const DirectoryResult& result) {
  this->CountAnswer(result);
  std::visit(common::Overloaded{
                 [this](const DirectoryChanges& changes) {
                   this->OnAvailable();
                   for (const DirectoryChange& change : changes.changes) {
                     this->Apply(change);
                   }
                   this->Advance(changes.revision);
                   if (changes.changes.empty()) {
                     this->Watch();
                     return;
                   }
                   this->Report();
                   this->timer = this->loop->After(kGatherPause,
                                                   [this] { this->Watch(); });
                 },
                 [this](const HistoryGone&) {
                   common::Log(Subsystem::kVersion, LogLevel::kInfo,
                               "store_history_gone",
                               {{"kind", ToString(this->settings.kind)},
                                {"revision", *this->revision}});
                   this->List();
                 },
                 [this](const StoreUnavailable& failure) {
                   this->OnUnavailable(failure);
                 },
             },
             result);
}

void DirectoryFeed::OnUnavailable(const StoreUnavailable& failure) {
  if (this->backoff == common::Duration::zero()) {
    common::Log(
        Subsystem::kVersion, LogLevel::kWarning, "store_lost",
        {{"kind", ToString(this->settings.kind)}, {"reason", failure.reason}});
    this->backoff = kFirstBackoff;
    this->lost_since = common::SteadyNow();
  } else {
    this->backoff =
        std::min<common::Duration>(this->backoff * 2, kLongestBackoff);
  }
  this->timer = this->loop->After(this->backoff, [this] {
    if (this->revision.has_value()) {
      this->Watch();
    } else {
      this->List();
    }
  });
}

void DirectoryFeed::OnAvailable() {
  if (this->backoff == common::Duration::zero()) return;
  this->backoff = common::Duration::zero();
  this->lost_since.reset();
  common::Log(Subsystem::kVersion, LogLevel::kInfo, "store_regained",
              {{"kind", ToString(this->settings.kind)}});
}

void DirectoryFeed::Apply(const DirectoryChange& change) {
  Entry& entry = this->entries[change.name];
  if (change.revision < entry.revision) return;
  entry.revision = change.revision;
  if (change.removed) {
    if (!entry.removed_at.has_value()) entry.removed_at = common::SteadyNow();
    return;
  }
  entry.removed_at.reset();
  entry.value = change.value;
  entry.document = change.document;
  if (const auto* unreadable = std::get_if<UnreadableObject>(&entry.value)) {
    common::Log(Subsystem::kVersion, LogLevel::kWarning, "object_unreadable",
                {{"kind", ToString(this->settings.kind)},
                 {"name", change.name},
                 {"revision", change.revision},
                 {"reason", unreadable->reason}});
  }
}

void DirectoryFeed::RemoveAbsent(const std::set<std::string>& present) {
  for (auto& [name, entry] : this->entries) {
    if (!present.contains(name) && !entry.removed_at.has_value()) {
      entry.removed_at = common::SteadyNow();
    }
  }
}

void DirectoryFeed::Advance(std::uint64_t reached) {
  // A call that may lag, or that began before another daemon's state was
  // adopted, may answer for an earlier revision.
  this->revision = std::max(this->Revision(), reached);
  this->behind_since.reset();
}

void DirectoryFeed::OnPeerAhead(common::SteadyTime now) {
  if (!this->behind_since.has_value()) this->behind_since = now;
}

bool DirectoryFeed::NeedsPeers(common::SteadyTime now) const {
  const auto is_due = [now](const auto& since) {
    return since.has_value() && now - *since >= kPeersAfter;
  };
  return is_due(this->lost_since) || is_due(this->behind_since);
}

SharedDirectory DirectoryFeed::Share(std::uint64_t known) const {
  SharedDirectory shared;
  shared.revision = this->Revision();
  if (shared.revision <= known) return shared;
  for (const auto& [name, entry] : this->entries) {
    if (entry.removed_at.has_value()) continue;
    SharedObject object{name, entry.revision, std::nullopt};
    if (entry.revision > known) object.document = entry.document;
    shared.objects.push_back(std::move(object));
  }
  return shared;
}

bool DirectoryFeed::Adopt(const SharedDirectory& shared) {
  if (shared.revision <= this->Revision()) return false;
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
    this->Apply(change);
  }
  this->RemoveAbsent(present);
  this->Advance(shared.revision);
  this->Report();
  return true;
}

void DirectoryFeed::Sweep() {
  const common::SteadyTime now = common::SteadyNow();
  const std::size_t removed =
      std::erase_if(this->entries, [&](const auto& item) {
        return item.second.removed_at.has_value() &&
               now - *item.second.removed_at >= this->settings.removal_grace;
      });
  if (removed > 0) this->Report();
}

void DirectoryFeed::Report() {
  std::map<std::string, DirectoryValue> present;
  bool removals_wait = false;
  const common::SteadyTime now = common::SteadyNow();
  for (const auto& [name, entry] : this->entries) {
    if (entry.removed_at.has_value()) {
      if (now - *entry.removed_at >= this->settings.removal_grace) continue;
      removals_wait = true;
    }
    if (std::holds_alternative<UnreadableObject>(entry.value)) continue;
    present.emplace(name, entry.value);
  }
  if (removals_wait) {
    this->sweep_timer = this->loop->After(
        this->settings.removal_grace + std::chrono::milliseconds(50),
        [this] { this->Sweep(); });
  }
  this->observer(present);
}

}  // namespace camphorferry::session
