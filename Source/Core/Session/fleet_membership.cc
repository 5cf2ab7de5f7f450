#include "Session/fleet_membership.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Common/common.h"

namespace camphorferry::session {

namespace {

/// Interval of exchanges within a region, so that the loss of a daemon is
/// noticed well within a rate window (5 s).
constexpr std::chrono::milliseconds kNearInterval(500);
/// Interval of exchanges between regions, where traffic is expensive.
constexpr std::chrono::milliseconds kFarInterval(1000);
/// Largest number of peers with which a daemon exchanges reports in every
/// interval.
constexpr std::size_t kSmallFleet = 8;
/// Number of peers per interval in a larger fleet. Each peer's turn comes less
/// often there, so that the cost per daemon does not grow with the fleet.
constexpr std::size_t kPeersPerInterval = 4;
/// In a larger fleet, one exchange may be started in each of these intervals,
/// which is more often than the turns of all peers require.
constexpr std::chrono::milliseconds kAllowanceInterval(100);
/// Interval of exchanges with a silent daemon.
constexpr std::chrono::milliseconds kSilentInterval(2000);
/// Unanswered calls in a row after which a daemon counts as silent.
constexpr int kMissesBeforeSilent = 2;
/// A daemon counts as heard for this long, or for an exchange interval if that
/// is longer.
constexpr std::chrono::seconds kHeardFor(4);
/// Daemons that were removed count as part of the fleet for this long,
constexpr std::chrono::seconds kRemovedCounts(60);
/// or for this long while they may have an owner of their own.
constexpr std::chrono::minutes kPartedCounts(10);
/// Most of the daemons of a failure domain are at least three quarters.
constexpr std::size_t kMostNumerator = 3;
constexpr std::size_t kMostDenominator = 4;
/// Most daemons that were removed of which the identifiers are kept.
constexpr std::size_t kMaxRemoved = 4096;
/// Key of the rendezvous hash by which the rate owners are chosen.
constexpr const char* kRateOwnersKey = "rate-keepers";
/// A daemon that has not replied for this long is removed. The directory or its
/// own report may add it again.
constexpr std::chrono::seconds kLostAfter(12);
/// The same as a number of exchange intervals, for fleets in which the interval
/// is long.
constexpr int kTurnsUntilLost = 2;

/// Whether a number of daemons is most of those of a failure domain.
bool IsMost(std::size_t part, std::size_t whole) {
  return part * kMostDenominator >= whole * kMostNumerator;
}

}  // namespace

FleetMembership::FleetMembership(HostLocation own)
    : own(std::move(own)), allowance(kSmallFleet) {}

void FleetMembership::Add(const FleetHost& host, common::SteadyTime now) {
  if (host.id == this->own.host || host.id.Empty()) return;
  const auto [place, is_new] = this->peers.try_emplace(host.id);
  Peer& peer = place->second;
  if (is_new || peer.host.peer_address != host.peer_address) {
    peer.last_reply = now;
    peer.due = now;
    peer.rank = common::RendezvousScore(this->own.host.Value(), host.id);
    peer.misses = 0;
    peer.has_replied = false;
    peer.stopping = false;
    peer.stopping_at = common::SteadyTime();
    if (this->removed.contains(host.id)) peer.misses = kMissesBeforeSilent;
    this->ForgetChoices();
  }
  if (peer.host.millicores != host.millicores) this->ForgetChoices();
  peer.host = host;
}

void FleetMembership::OnReply(const common::HostId& host,
                              common::SteadyTime now) {
  const auto found = this->peers.find(host);
  if (found == this->peers.end()) return;
  if (IsSilent(found->second)) {
    this->ForgetChoices();
    // Others may have been cut off together with this one. All should know
    // soon that they have one owner again.
    for (auto& [id, peer] : this->peers) {
      if (id != host && IsSilent(peer)) peer.due = std::min(peer.due, now);
    }
  }
  this->removed.erase(host);
  this->has_heard = true;
  found->second.last_reply = now;
  found->second.misses = 0;
  found->second.has_replied = true;
}

void FleetMembership::SetSeen(const common::HostId& host,
                              std::size_t fleet_size, bool misses_domain) {
  const auto found = this->peers.find(host);
  if (found == this->peers.end()) return;
  found->second.seen_size = fleet_size;
  found->second.sees_domain_missing = misses_domain;
}

std::size_t FleetMembership::RecentSize(common::SteadyTime now) const {
  std::size_t size = this->SeenSize(now);
  for (const auto& [id, peer] : this->peers) {
    if (this->IsHeard(peer, now)) size = std::max(size, peer.seen_size);
  }
  return size;
}

std::size_t FleetMembership::SeenSize(common::SteadyTime now) const {
  std::size_t size = 0;
  for (const auto& [domain, count] : this->CountByDomain(now)) {
    size += count.recent;
  }
  return size;
}

bool FleetMembership::IsHeard(const Peer& peer, common::SteadyTime now) const {
  const common::Duration recent = std::max<common::Duration>(
      kHeardFor, kFarInterval * this->ExchangeRounds());
  return peer.has_replied && !IsSilent(peer) && now - peer.last_reply <= recent;
}

bool FleetMembership::MayBeParted(const DomainCounts& counts) {
  std::size_t recent = 0;
  std::size_t heard = 0;
  for (const auto& [domain, count] : counts) {
    if (IsMost(count.recent - count.heard, count.recent)) return true;
    recent += count.recent;
    heard += count.heard;
  }
  return heard * 2 <= recent;
}

FleetMembership::DomainCounts FleetMembership::CountByDomain(
    common::SteadyTime now) const {
  DomainCounts counts = this->CountByDomain(now, kPartedCounts);
  return MayBeParted(counts) ? counts
                             : this->CountByDomain(now, kRemovedCounts);
}

FleetMembership::DomainCounts FleetMembership::CountByDomain(
    common::SteadyTime now, common::Duration removed_within) const {
  DomainCounts counts;
  counts[this->own.domain] = {1, 1};
  for (const auto& [id, peer] : this->peers) {
    // Entries of daemons that ended long ago stay in the directory, so those
    // that have never answered don't count if others have.
    if (!peer.has_replied && IsSilent(peer) &&
        (this->has_heard || this->removed.contains(id))) {
      continue;
    }
    DomainCount& count = counts[peer.host.domain];
    ++count.recent;
    if (this->IsHeard(peer, now)) ++count.heard;
  }
  for (const auto& [id, lost] : this->removed) {
    if (!lost.has_replied && this->has_heard) continue;
    const common::Duration limit =
        lost.has_replied ? removed_within : common::Duration(kRemovedCounts);
    if (now - lost.at < limit) ++counts[lost.domain].recent;
  }
  return counts;
}

bool FleetMembership::HearsFailureDomain(common::SteadyTime now) const {
  const auto counts = this->CountByDomain(now);
  return std::any_of(counts.begin(), counts.end(), [](const auto& item) {
    return IsMost(item.second.heard, item.second.recent);
  });
}

bool FleetMembership::MissesFailureDomain(common::SteadyTime now) const {
  if (this->SeesDomainMissing(now)) return true;
  const std::size_t seen = this->SeenSize(now);
  return std::any_of(this->peers.begin(), this->peers.end(),
                     [&](const auto& item) {
                       const Peer& peer = item.second;
                       return peer.sees_domain_missing &&
                              peer.seen_size > seen && this->IsHeard(peer, now);
                     });
}

bool FleetMembership::SeesDomainMissing(common::SteadyTime now) const {
  const auto counts = this->CountByDomain(now);
  return std::any_of(counts.begin(), counts.end(), [](const auto& item) {
    return IsMost(item.second.recent - item.second.heard, item.second.recent);
  });
}

std::size_t FleetMembership::HeardCount(common::SteadyTime now) const {
  std::size_t heard = 1;
  std::size_t heard_since_loss = 1;
  for (const auto& [id, peer] : this->peers) {
    if (!this->IsHeard(peer, now)) continue;
    ++heard;
    if (peer.last_reply >= this->rate_owner_lost_at) ++heard_since_loss;
  }
  return std::min(heard, heard_since_loss * 3 / 2);
}

std::size_t FleetMembership::ExchangeRounds() const {
  return this->peers.size() <= kSmallFleet
             ? 1
             : (this->peers.size() + kPeersPerInterval - 1) / kPeersPerInterval;
}

std::size_t FleetMembership::PendingCount() const {
  const auto count = std::count_if(
      this->peers.begin(), this->peers.end(), [](const auto& item) {
        return !item.second.has_replied && item.second.misses == 0;
      });
  return static_cast<std::size_t>(count);
}

bool FleetMembership::OnNoReply(const common::HostId& host,
                                common::SteadyTime now) {
  const auto found = this->peers.find(host);
  if (found == this->peers.end()) return false;
  const bool was_silent = IsSilent(found->second);
  ++found->second.misses;
  if (was_silent || !IsSilent(found->second)) return false;
  const auto& chosen = this->RateOwners();
  if (std::find(chosen.begin(), chosen.end(), host) != chosen.end()) {
    this->rate_owner_lost_at = now;
  }
  this->ForgetChoices();
  return true;
}

bool FleetMembership::IsSilent(const Peer& peer) {
  return peer.misses >= kMissesBeforeSilent;
}

const std::vector<common::HostId>& FleetMembership::RateOwners() {
  if (!this->owners.empty()) return this->owners;
  std::vector<common::HostId> hosts = {this->own.host};
  for (const auto& [id, peer] : this->peers) {
    if (!IsSilent(peer)) hosts.push_back(id);
  }
  this->owners = common::RendezvousOrder(kRateOwnersKey, std::move(hosts));
  const auto millicores = [this](const common::HostId& id) {
    const auto found = this->peers.find(id);
    return found == this->peers.end() ? this->own.millicores
                                      : found->second.host.millicores;
  };
  // An owner is asked for every operation of a workspace, so a small host that
  // owns a busy one seems silent to the others.
  std::stable_sort(this->owners.begin(), this->owners.end(),
                   [&](const common::HostId& one, const common::HostId& other) {
                     return millicores(one) > millicores(other);
                   });
  if (this->owners.size() > kMaxRateOwners) this->owners.resize(kMaxRateOwners);
  return this->owners;
}

WatchRole FleetMembership::ConfigurationWatchRole() {
  const std::vector<common::HostId>& chosen = this->RateOwners();
  WatchRole role;
  role.close_watchers = chosen.size();
  role.position = static_cast<std::size_t>(
      std::find(chosen.begin(), chosen.end(), this->own.host) - chosen.begin());
  // With fewer owners than possible, all daemons that are not silent are
  // owners.
  role.all_watch_closely =
      chosen.size() < kMaxRateOwners || chosen.size() == this->Size();
  return role;
}

void FleetMembership::ForgetChoices() {
  this->owners.clear();
  this->connection_owners.clear();
}

void FleetMembership::SetStopping(const common::HostId& host, bool stopping,
                                  common::SteadyTime called_at) {
  const auto found = this->peers.find(host);
  if (found == this->peers.end()) return;
  Peer& peer = found->second;
  if (!stopping && called_at < peer.stopping_at) return;
  if (stopping) peer.stopping_at = called_at;
  if (peer.stopping == stopping) return;
  peer.stopping = stopping;
  this->connection_owners.clear();
}

std::optional<FleetHost> FleetMembership::ConnectionOwnerOf(
    const std::string& key, const common::FailureDomainId& domain) {
  const auto [place, is_new] = this->connection_owners.try_emplace(domain);
  std::vector<common::HostId>& candidates = place->second;
  if (is_new) {
    if (this->own.domain == domain) candidates.push_back(this->own.host);
    for (const auto& [id, peer] : this->peers) {
      const bool usable = !IsSilent(peer) && !peer.stopping;
      if (usable && peer.host.domain == domain) candidates.push_back(id);
    }
  }
  const auto owner = common::RendezvousFirst(key, candidates);
  if (!owner.has_value()) return std::nullopt;
  const auto found = this->peers.find(*owner);
  if (found == this->peers.end()) return std::nullopt;
  return found->second.host;
}

std::size_t FleetMembership::SizeOf(
    const common::FailureDomainId& domain) const {
  const auto others = std::count_if(
      this->peers.begin(), this->peers.end(),
      [&](const auto& item) { return item.second.host.domain == domain; });
  return static_cast<std::size_t>(others) +
         (this->own.domain == domain ? 1 : 0);
}

std::optional<FleetHost> FleetMembership::RateOwnerOf(
    const common::WorkspaceId& workspace) {
  const auto rate_owner =
      common::RendezvousFirst(workspace.Value(), this->RateOwners());
  const auto found = this->peers.find(*rate_owner);
  if (found == this->peers.end()) return std::nullopt;
  return found->second.host;
}

common::Duration FleetMembership::IntervalOf(const Peer& peer) const {
  const common::Duration interval =
      (this->own.InSameRegion(peer.host.domain) ? kNearInterval
                                                : kFarInterval) *
      this->ExchangeRounds();
  return IsSilent(peer) ? std::max<common::Duration>(interval, kSilentInterval)
                        : interval;
}

std::size_t FleetMembership::TakeAllowance(common::SteadyTime now,
                                           std::size_t wanted) {
  if (this->peers.size() <= kSmallFleet) return wanted;
  const common::SteadyTime counted = this->allowance_counted_at.value_or(now);
  const auto intervals = (now - counted) / kAllowanceInterval;
  this->allowance_counted_at = counted + intervals * kAllowanceInterval;
  this->allowance = std::min<std::size_t>(
      this->allowance + static_cast<std::size_t>(intervals), kSmallFleet);
  const std::size_t taken = std::min(wanted, this->allowance);
  this->allowance -= taken;
  return taken;
}

std::vector<FleetHost> FleetMembership::TakeDuePeers(common::SteadyTime now) {
  std::vector<Peer*> due;
  for (auto& [id, peer] : this->peers) {
    if (peer.due <= now) due.push_back(&peer);
  }
  std::sort(due.begin(), due.end(), [](const Peer* one, const Peer* other) {
    return std::tie(one->due, one->rank) < std::tie(other->due, other->rank);
  });
  due.resize(this->TakeAllowance(now, due.size()));
  std::vector<FleetHost> taken;
  for (Peer* peer : due) {
    peer->due = now + this->IntervalOf(*peer);
    taken.push_back(peer->host);
  }
  return taken;
}

std::optional<FleetHost> FleetMembership::NextResponsive() {
  auto next = this->peers.upper_bound(this->last_returned);
  for (std::size_t tried = 0; tried < this->peers.size(); ++tried) {
    if (next == this->peers.end()) next = this->peers.begin();
    if (next->second.has_replied && !IsSilent(next->second)) {
      this->last_returned = next->first;
      return next->second.host;
    }
    ++next;
  }
  return std::nullopt;
}

std::vector<FleetHost> FleetMembership::NextResponsive(std::size_t limit) {
  std::vector<FleetHost> hosts;
  while (hosts.size() < limit) {
    const std::optional<FleetHost> next = this->NextResponsive();
    if (!next.has_value()) break;
    if (!hosts.empty() && next->id == hosts.front().id) break;
    hosts.push_back(*next);
  }
  return hosts;
}

std::vector<FleetHost> FleetMembership::Peers() const {
  std::vector<FleetHost> hosts;
  for (const auto& [id, peer] : this->peers) hosts.push_back(peer.host);
  return hosts;
}

std::vector<FleetHost> FleetMembership::RemoveLost(common::SteadyTime now) {
  std::vector<FleetHost> lost;
  if (this->removed.size() > kMaxRemoved) this->removed.clear();
  for (auto it = this->peers.begin(); it != this->peers.end();) {
    const common::Duration limit = std::max<common::Duration>(
        kLostAfter, this->IntervalOf(it->second) * kTurnsUntilLost);
    if (now - it->second.last_reply < limit) {
      ++it;
      continue;
    }
    lost.push_back(it->second.host);
    if (it->second.has_replied) {
      this->removed[it->first] = {
          it->second.stopping ? common::SteadyTime() : now,
          it->second.host.domain, true};
    } else {
      this->removed.try_emplace(it->first,
                                RemovedPeer{now, it->second.host.domain});
    }
    this->ForgetChoices();
    it = this->peers.erase(it);
  }
  return lost;
}

}  // namespace camphorferry::session
