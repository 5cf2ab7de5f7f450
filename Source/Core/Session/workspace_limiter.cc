#include "Session/workspace_limiter.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace camphorferry::session {

namespace {

/// A daemon that does not reach the rate owner continues at the rate that it
/// was left for one rate window, and the owner reserves that rate for as long.
constexpr std::chrono::seconds kRateWindow(5);

/// A daemon may be cut off from the rate owner if it has sent no request for
/// this many of its usual intervals and for at least the minimum silence.
constexpr double kOverdueIntervals = 3;
constexpr std::chrono::milliseconds kMinSilence(500);

/// Fraction of the tolerated operations that a new rate owner starts with, in
/// addition to what the former owner has admitted within the window.
constexpr double kInitialToleranceFraction = 0.5;
/// Fraction of its even share that a daemon admits after it has not reached the
/// rate owner for long.
constexpr double kLocalFraction = 0.25;

/// Operations of one window that the owner's bucket can't see, in seconds of
/// the rate: those that arrive at an endpoint up to 750 ms after their
/// admission, and those of daemons that are cut off, for the 500 ms until the
/// owner notices. What the tolerance does not cover is taken off the burst, of
/// which this fraction is left at least.
constexpr double kUnaccountedSeconds = 1.25;
constexpr double kMinBurstFraction = 0.25;
/// Fraction of the fleet that a rate owner must hear.
constexpr double kMinHeardFraction = 0.25;
/// The owner goes on reserving for a silent daemon for this long, which is
/// longer than a daemon usually stays cut off.
constexpr std::chrono::seconds kReservationLimit(60);

/// Capacity of the local bucket, in seconds of its rate, and its minimum: with
/// fewer tokens, evenly spaced operations would be refused.
constexpr double kLocalBurstSeconds = 0.25;
constexpr double kMinLocalBurst = 2;

/// Longest retry time that a client is given, in seconds; the limits may change
/// meanwhile.
constexpr double kMaxRetryAfterSeconds = 5.0;
/// Longest time until the turn of a daemon that is refused.
constexpr std::chrono::milliseconds kMaxTurn(500);
/// A token is kept for a daemon for this long after its turn has come: a round
/// trip between regions (40 ms) and the time until its next operation.
constexpr std::chrono::milliseconds kTurnGrace(100);

/// Time until something is likely, cut at the longest retry time.
common::Duration CutRetryTime(double seconds) {
  return common::FromSeconds(std::min(seconds, kMaxRetryAfterSeconds));
}

}  // namespace

void WorkspaceLimiter::TokenBucket::Fill(double rate, double capacity,
                                         common::SteadyTime now) {
  this->level = std::min(
      capacity, this->level + rate * common::ToSeconds(now - this->filled));
  this->filled = now;
}

std::optional<common::Duration> WorkspaceLimiter::TokenBucket::TryTake(
    double rate, double capacity, common::SteadyTime now) {
  this->Fill(rate, capacity, now);
  if (this->level >= 1) {
    this->level -= 1;
    return std::nullopt;
  }
  const double wait =
      rate > 0 ? (1 - this->level) / rate : kMaxRetryAfterSeconds;
  return CutRetryTime(wait);
}

void WorkspaceLimiter::SetRates(
    const std::map<common::WorkspaceId, WorkspaceRate>& rates,
    common::SteadyTime now) {
  std::erase_if(this->entries,
                [&](const auto& item) { return !rates.contains(item.first); });
  for (const auto& [workspace, rate] : rates) {
    const auto [place, is_new] = this->entries.try_emplace(workspace);
    WorkspaceEntry& entry = place->second;
    entry.limit = rate;
    if (!is_new) continue;
    entry.bucket = {this->InitialTokens(entry), now};
    entry.local_bucket = {1, now};
  }
}

void WorkspaceLimiter::SetTolerance(const RateTolerance& allowed) {
  this->tolerance = allowed;
}

void WorkspaceLimiter::SetFleet(const FleetView& view, common::SteadyTime now) {
  const bool could_admit = this->MayAdmit();
  this->fleet = view;
  this->fleet.size = std::max<std::size_t>(view.size, 1);
  this->fleet.responsive =
      std::clamp<std::size_t>(view.responsive, 1, this->fleet.size);
  if (!could_admit && this->MayAdmit()) this->authority_since = now;
}

double WorkspaceLimiter::ResponsiveShare() const {
  return static_cast<double>(this->fleet.responsive) /
         static_cast<double>(this->fleet.size);
}

double WorkspaceLimiter::InitialTokens(const WorkspaceEntry& entry) const {
  const double tolerated =
      this->tolerance.operations * kInitialToleranceFraction;
  return std::max(
      1.0, std::min(tolerated, entry.limit.burst) * this->ResponsiveShare());
}

void WorkspaceLimiter::SetOwned(const common::WorkspaceId& workspace,
                                bool owned, common::SteadyTime now) {
  const auto found = this->entries.find(workspace);
  if (found == this->entries.end()) return;
  WorkspaceEntry& entry = found->second;
  if (owned && std::exchange(entry.owned_by_request, false)) {
    this->StartAnew(&entry, now);
  }
  if (entry.owned == owned) return;
  entry.owned = owned;
  if (owned) {
    entry.bucket.level = this->InitialTokens(entry);
    this->StartAnew(&entry, now);
  } else {
    entry.requesters.clear();
  }
}

bool WorkspaceLimiter::HasLimit(const common::WorkspaceId& workspace) const {
  const auto found = this->entries.find(workspace);
  return found != this->entries.end() && found->second.limit.rate > 0;
}

WorkspaceLimiter::WorkspaceEntry* WorkspaceLimiter::FindLimited(
    const common::WorkspaceId& workspace) {
  return this->HasLimit(workspace) ? &this->entries.at(workspace) : nullptr;
}

bool WorkspaceLimiter::MayAdmit() const {
  if (this->HearsMajority()) return true;
  return this->fleet.hears_domain &&
         static_cast<double>(this->fleet.responsive) >=
             static_cast<double>(this->fleet.size) * kMinHeardFraction;
}

bool WorkspaceLimiter::HearsMajority() const {
  return this->fleet.responsive * 2 > this->fleet.size;
}

void WorkspaceLimiter::StartAnew(WorkspaceEntry* entry,
                                 common::SteadyTime since) const {
  entry->bucket = {std::min(entry->bucket.level, this->InitialTokens(*entry)),
                   since};
  entry->owned_since = since;
  entry->succeeds_owner = false;
  entry->requesters.clear();
}

bool WorkspaceLimiter::SharesRate(const WorkspaceEntry& entry,
                                  common::SteadyTime now) {
  return entry.owned_by_request ||
         (entry.succeeds_owner && now - entry.owned_since < kRateWindow);
}

double WorkspaceLimiter::RateOf(const Requester& requester,
                                const WorkspaceEntry& entry) const {
  return std::max(this->EvenShare(entry), requester.brought_rate);
}

double WorkspaceLimiter::BroughtShare(const WorkspaceEntry& entry,
                                      common::SteadyTime now) const {
  double brought = 0;
  for (const auto& [host, requester] : entry.requesters) {
    const bool asks = now - requester.last_request < kRateWindow &&
                      !this->IsOverdue(host, now);
    if (asks) brought += this->RateOf(requester, entry);
  }
  return std::min(1.0, brought / entry.limit.rate);
}

double WorkspaceLimiter::Capacity(const WorkspaceEntry& entry,
                                  common::SteadyTime now) const {
  const WorkspaceRate& limit = entry.limit;
  const double window_total =
      limit.rate * common::ToSeconds(kRateWindow) + limit.burst;
  const double tolerated =
      window_total * this->tolerance.share + this->tolerance.operations;
  const double capacity =
      limit.burst + tolerated - limit.rate * kUnaccountedSeconds;
  // The burst belongs to the owner that the rest of the fleet asks, or has been
  // used there.
  if (entry.owned_by_request) {
    return std::max(
        1.0, this->InitialTokens(entry) * this->BroughtShare(entry, now));
  }
  if (SharesRate(entry, now)) return this->InitialTokens(entry);
  const double burst =
      std::clamp(capacity, limit.burst * kMinBurstFraction, limit.burst);
  return std::max(
      this->InitialTokens(entry),
      this->HearsMajority() ? burst : burst * this->ResponsiveShare());
}

double WorkspaceLimiter::EvenShare(const WorkspaceEntry& entry) const {
  return entry.limit.rate / static_cast<double>(this->fleet.size);
}

double WorkspaceLimiter::LocalRate(const WorkspaceEntry& entry) const {
  return this->EvenShare(entry) * kLocalFraction;
}

double WorkspaceLimiter::SilentRate(const WorkspaceEntry& entry) const {
  // Daemons that are cut off together may have an owner of their own, which
  // admits their part of the rate, if they are most of a failure domain.
  return this->fleet.misses_domain ? this->EvenShare(entry)
                                   : this->LocalRate(entry);
}

bool WorkspaceLimiter::IsOverdue(const common::HostId& host,
                                 common::SteadyTime now) const {
  const auto found = this->hosts.find(host);
  if (found == this->hosts.end()) return false;
  const HostActivity& activity = found->second;
  const double requests = activity.asked.LastAverage();
  if (requests <= 0) return false;
  return common::ToSeconds(now - activity.last_request) >
         std::max(kOverdueIntervals / requests, common::ToSeconds(kMinSilence));
}

void WorkspaceLimiter::ReserveForSilentRequesters(
    WorkspaceEntry* entry, common::SteadyTime now) const {
  for (auto& [host, requester] : entry->requesters) {
    const common::Duration silence = now - requester.last_request;
    if (silence > kReservationLimit || !this->IsOverdue(host, now)) continue;
    // From its last request on, the daemon may have admitted what it was left.
    const common::SteadyTime from =
        std::max({requester.reserved_until, requester.last_request,
                  this->hosts.at(host).last_request});
    const common::SteadyTime window_end = requester.last_request + kRateWindow;
    const double former = common::ToSeconds(
        std::max(std::min(now, window_end) - from, common::Duration::zero()));
    const double later = common::ToSeconds(
        std::max(now - std::max(from, window_end), common::Duration::zero()));
    const double silent_rate = this->SilentRate(*entry);
    const double tokens = former * std::max(requester.alone_rate, silent_rate) +
                          later * silent_rate;
    requester.reserved += tokens;
    requester.reserved_until = now;
    entry->bucket.level -= tokens;
  }
}

double WorkspaceLimiter::OwnedShare(const WorkspaceEntry& entry,
                                    common::SteadyTime now) const {
  if (SharesRate(entry, now)) {
    const double brought = this->BroughtShare(entry, now);
    return entry.owned_by_request ? brought
                                  : std::min(brought, this->ResponsiveShare());
  }
  const bool is_new = now - entry.owned_since < kRateWindow;
  if (is_new || !this->HearsMajority()) return this->ResponsiveShare();
  // Silent daemons for which nothing is reserved may admit as well.
  const auto reserved = static_cast<double>(std::count_if(
      entry.requesters.begin(), entry.requesters.end(), [&](const auto& item) {
        return now - item.second.last_request <= kReservationLimit &&
               this->IsOverdue(item.first, now);
      }));
  const auto silent =
      static_cast<double>(this->fleet.size - this->fleet.responsive);
  const double unreserved = std::max(silent - reserved, 0.0);
  return 1 - unreserved * this->SilentRate(entry) / entry.limit.rate;
}

double WorkspaceLimiter::TokensFor(const common::HostId& host,
                                   const WorkspaceEntry& entry,
                                   common::SteadyTime now) {
  const auto is_due = [now](const Requester& requester) {
    return requester.turn.has_value() && *requester.turn <= now &&
           now - *requester.turn < kTurnGrace;
  };
  if (is_due(entry.requesters.at(host))) return entry.bucket.level;
  const auto due =
      std::count_if(entry.requesters.begin(), entry.requesters.end(),
                    [&](const auto& item) { return is_due(item.second); });
  return entry.bucket.level - static_cast<double>(due);
}

common::SteadyTime WorkspaceLimiter::TakeTurn(WorkspaceEntry* entry,
                                              double rate,
                                              common::SteadyTime now) {
  if (rate <= 0) return now + kMaxTurn;
  const common::SteadyTime first =
      now + CutRetryTime((1 - entry->bucket.level) / rate);
  const common::SteadyTime turn = std::min<common::SteadyTime>(
      std::max(entry->next_turn, first), now + kMaxTurn);
  entry->next_turn = turn + CutRetryTime(1 / rate);
  return turn;
}

AdmissionReply WorkspaceLimiter::Admit(const AdmissionRequest& request,
                                       common::SteadyTime now) {
  const common::WorkspaceId& workspace = request.workspace;
  AdmissionReply reply;
  WorkspaceEntry* entry = this->FindLimited(workspace);
  if (entry == nullptr) {
    reply.admitted = request.operations;
    return reply;
  }
  if (!entry->owned) {
    this->SetOwned(workspace, true, now);
    entry->owned_by_request = true;
  }
  if (entry->owned_by_request && now - entry->bucket.filled > kRateWindow) {
    this->StartAnew(entry, now);
  }
  // While this daemon heard too few others, they may have had another owner.
  if (entry->bucket.filled < this->authority_since) {
    this->StartAnew(entry, this->authority_since);
  }
  // What the daemons that were silent may have used is taken off before the
  // bucket is full.
  if (!SharesRate(*entry, now)) this->ReserveForSilentRequesters(entry, now);
  Requester& known = *this->NoteRequest(request, entry, now);
  const double rate = entry->limit.rate * this->OwnedShare(*entry, now);
  entry->bucket.Fill(rate, this->Capacity(*entry, now), now);
  const double tokens = TokensFor(request.requester, *entry, now);
  known.turn.reset();
  reply.admitted = std::min(request.operations,
                            static_cast<std::uint32_t>(std::max(tokens, 0.0)));
  entry->bucket.level -= reply.admitted;
  if (reply.admitted > 0) known.granted.Count(now, reply.admitted);
  if (reply.admitted < request.operations) {
    known.turn = TakeTurn(entry, rate, now);
    reply.retry_after = *known.turn - now;
  }
  known.alone_rate = this->AloneRateFor(known, *entry, rate, now);
  reply.alone_rate = known.alone_rate;
  return reply;
}

WorkspaceLimiter::Requester* WorkspaceLimiter::NoteRequest(
    const AdmissionRequest& request, WorkspaceEntry* entry,
    common::SteadyTime now) {
  const auto [place, is_new] = entry->requesters.try_emplace(request.requester);
  Requester& known = place->second;
  if (is_new) known.granted = {request.alone_rate, now};
  if (is_new || request.changed_owner) {
    known.brought_rate = request.alone_rate;
    entry->succeeds_owner = entry->succeeds_owner || request.alone_rate > 0;
  }
  if (!request.changed_owner) {
    // What was reserved for the daemon is replaced by what it has used.
    entry->bucket.level += known.reserved - request.admitted_alone;
  }
  if (is_new && SharesRate(*entry, now)) {
    // What it has brought counts from the change of the owner on, or from the
    // last reply of another one.
    const common::Duration counted =
        std::min(now - entry->owned_since, request.unanswered);
    entry->bucket.level +=
        this->RateOf(known, *entry) * common::ToSeconds(counted);
  }
  known.reserved = 0;
  known.last_request = now;
  HostActivity& activity = this->hosts[request.requester];
  activity.asked.Count(now);
  activity.last_request = now;
  return &known;
}

double WorkspaceLimiter::AloneRateFor(const Requester& requester,
                                      const WorkspaceEntry& entry, double rate,
                                      common::SteadyTime now) const {
  double granted = 0;
  for (const auto& [host, other] : entry.requesters) {
    if (now - other.last_request < kRateWindow) {
      granted += other.granted.Average(now);
    }
  }
  const double own = requester.granted.Average(now);
  return granted > rate ? own * rate / granted : own;
}

std::optional<common::Duration> WorkspaceLimiter::AdmitLocally(
    const common::WorkspaceId& workspace, common::SteadyTime now) {
  WorkspaceEntry* entry = this->FindLimited(workspace);
  if (entry == nullptr) return std::nullopt;
  const double rate = std::max(this->LocalRate(*entry), AloneRate(*entry, now));
  const auto wait = entry->local_bucket.TryTake(
      rate, std::max(kMinLocalBurst, rate * kLocalBurstSeconds), now);
  if (!wait.has_value()) ++entry->admitted_alone;
  return wait;
}

AdmissionRequest WorkspaceLimiter::MakeRequest(
    const common::WorkspaceId& workspace, std::uint32_t operations,
    common::SteadyTime now) {
  AdmissionRequest request;
  request.workspace = workspace;
  request.operations = operations;
  const auto found = this->entries.find(workspace);
  if (found == this->entries.end()) return request;
  WorkspaceEntry& entry = found->second;
  request.admitted_alone = std::exchange(entry.admitted_alone, 0);
  request.alone_rate = AloneRate(entry, now);
  request.unanswered = UnansweredTime(entry, now);
  return request;
}

void WorkspaceLimiter::ReturnAdmittedAlone(const common::WorkspaceId& workspace,
                                           std::uint32_t count) {
  const auto found = this->entries.find(workspace);
  if (found != this->entries.end()) found->second.admitted_alone += count;
}

common::Duration WorkspaceLimiter::UnansweredTime(const WorkspaceEntry& entry,
                                                  common::SteadyTime now) {
  if (!entry.owner_replied_at.has_value()) return kRateWindow;
  return std::min<common::Duration>(now - *entry.owner_replied_at, kRateWindow);
}

double WorkspaceLimiter::AloneRate(const WorkspaceEntry& entry,
                                   common::SteadyTime now) {
  const bool recent = entry.owner_replied_at.has_value() &&
                      now - *entry.owner_replied_at <= kRateWindow;
  return recent ? entry.alone_rate : 0;
}

void WorkspaceLimiter::OnOwnerReplied(const common::WorkspaceId& workspace,
                                      const AdmissionReply& reply,
                                      common::SteadyTime now) {
  WorkspaceEntry* entry = this->FindLimited(workspace);
  if (entry == nullptr) return;
  entry->owner_replied_at = now;
  // Time in which the owner answers must not fill the local bucket: its tokens
  // come on top of what the owner admits.
  entry->local_bucket = {std::min(entry->local_bucket.level, 1.0), now};
  entry->alone_rate = reply.alone_rate;
}

}  // namespace camphorferry::session
