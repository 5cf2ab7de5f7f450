#include "Process/membership.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <tuple>
#include <utility>

namespace camphorferry::process {

namespace {

using common::Duration;
using common::EndpointId;
using common::FailureDomainId;
using common::HostId;
using common::SteadyTime;
using std::chrono::seconds;

/// A change is included in outgoing heartbeats for this long (three rounds), so
/// that it spreads by gossip.
constexpr Duration kGossipPeriod = 3 * kHeartbeatInterval;
/// Observers of a silent daemon renew their report after kSilentReportInterval.
/// Without a renewal the other daemons count the daemon as live again after
/// kSilentReportExpiry, so that a daemon that was cut off returns even if
/// nobody reports it as live.
constexpr Duration kSilentReportInterval = seconds(5);
constexpr Duration kSilentReportExpiry = seconds(15);
/// A daemon that is not in the host list is removed after this time without
/// contact.
constexpr Duration kUnlistedPeerExpiry = seconds(60);
/// A longer time between rounds indicates that this daemon was paused and
/// received no heartbeats for that reason.
constexpr Duration kPauseThreshold = 2 * kHeartbeatInterval;
constexpr std::size_t kWatchersPerDomain = 2;

/// True if `own` is the one of the two names that initiates heartbeats. The
/// result depends on both names only, so both sides of a pair agree without
/// knowing the same hosts.
template <typename Name>
bool Initiates(const Name& own, const Name& other) {
  const Name& low = std::min(own, other);
  const Name& high = std::max(own, other);
  const bool low_initiates =
      common::RendezvousScore(low.Value(), HostId(high.Value())) % 2 == 0;
  return (own == low) == low_initiates;
}

std::string RelayPairKey(const FailureDomainId& domain,
                         const FailureDomainId& other) {
  return "relay/" + domain.Value() + "/" + other.Value();
}

}  // namespace

Membership::Membership(HostId self, FailureDomainId domain,
                       Incarnation incarnation, SteadyTime now)
    : self(std::move(self)),
      domain(std::move(domain)),
      incarnation(incarnation),
      last_round(now),
      listening_since(now) {}

void Membership::SetOwnState(PeerState state) { this->own_state = state; }

void Membership::SetHosts(const std::vector<ListedHost>& list, SteadyTime now) {
  for (auto& [name, members] : this->peers) {
    for (auto& [host, peer] : members) {
      peer.listed = false;
    }
  }
  for (const ListedHost& entry : list) {
    Peer* peer = this->FindOrAdd(entry.host, entry.domain, now);
    if (peer != nullptr) {
      peer->listed = true;
      peer->leaving = entry.leaving;
    }
  }
  this->RemoveExpiredPeers(now);
}

void Membership::OnHeartbeat(const PeerHeartbeat& heartbeat, SteadyTime now) {
  Peer* peer = this->FindOrAdd(heartbeat.host, heartbeat.domain, now);
  if (peer == nullptr || !AcceptIncarnation(peer, heartbeat.incarnation, now)) {
    return;
  }
  if (peer->silent_since || peer->state != heartbeat.state) {
    peer->last_change = now;
  }
  peer->state = heartbeat.state;
  peer->last_heard = now;
  peer->last_heard_directly = now;
  peer->silent_since.reset();
  for (const PeerReport& report : heartbeat.reports) {
    this->OnReport(report, now);
  }
}

std::vector<HostId> Membership::StartHeartbeatRound(SteadyTime now) {
  if (now - this->last_round > kPauseThreshold) {
    this->listening_since = now;
  }
  this->last_round = now;
  this->RemoveExpiredPeers(now);
  this->DetectSilentPeers(now);

  if (!this->domain_targets) {
    this->domain_targets = this->DomainTargets();
  }
  std::vector<HostId> targets = *this->domain_targets;
  const std::vector<HostId> relays = this->RelayTargets(now);
  targets.insert(targets.end(), relays.begin(), relays.end());

  const bool full_mesh = this->peers[this->domain].size() <= kMaxFullMeshPeers;
  for (auto& [name, members] : this->peers) {
    for (auto& [host, peer] : members) {
      const bool expected =
          (full_mesh && name == this->domain) ||
          std::find(targets.begin(), targets.end(), host) != targets.end();
      if (!expected) {
        peer.expected_since.reset();
      } else if (!peer.expected_since) {
        peer.expected_since = now;
      }
    }
  }
  return targets;
}

std::vector<PeerReport> Membership::Reports(const FailureDomainId& receiver,
                                            SteadyTime now) const {
  std::vector<std::pair<SteadyTime, PeerReport>> changes;
  for (const auto& [name, members] : this->peers) {
    // Daemons of this domain can judge other domains' daemons only over their
    // own links, so those reports stay within the domain.
    if (receiver != this->domain && name != this->domain) {
      continue;
    }
    for (const auto& [host, peer] : members) {
      const std::optional<SteadyTime> known =
          peer.silent_since ? peer.silent_since : peer.last_heard;
      if (!peer.last_change || now - *peer.last_change > kGossipPeriod ||
          !known) {
        continue;
      }
      changes.emplace_back(*peer.last_change,
                           PeerReport{.host = host,
                                      .incarnation = peer.incarnation,
                                      .domain = name,
                                      .state = peer.state,
                                      .silent = peer.silent_since.has_value(),
                                      .age = now - *known});
    }
  }
  std::stable_sort(changes.begin(), changes.end(),
                   [](const auto& left, const auto& right) {
                     return left.first > right.first;
                   });
  std::vector<PeerReport> reports;
  for (auto& [time, report] : changes) {
    if (reports.size() == kMaxPeerReports) {
      break;
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

bool Membership::IsLive(const HostId& host, SteadyTime now) const {
  if (host == this->self) {
    return this->own_state == PeerState::kLive;
  }
  const Peer* peer = this->Find(host);
  return peer != nullptr && this->CanOwnEndpoints(*peer, now);
}

std::vector<HostId> Membership::LiveHosts(const FailureDomainId& target_domain,
                                          SteadyTime now) const {
  std::vector<HostId> live;
  if (target_domain == this->domain && this->own_state == PeerState::kLive) {
    live.push_back(this->self);
  }
  const auto members = this->peers.find(target_domain);
  if (members == this->peers.end()) {
    return live;
  }
  for (const auto& [host, peer] : members->second) {
    if (this->CanOwnEndpoints(peer, now)) {
      live.push_back(host);
    }
  }
  return live;
}

std::optional<HostId> Membership::OwnerOf(
    const EndpointId& endpoint, const FailureDomainId& endpoint_domain,
    SteadyTime now) const {
  std::vector<HostId> candidates = this->LiveHosts(endpoint_domain, now);
  if (!candidates.empty()) {
    return common::RendezvousFirst(endpoint.Value(), candidates);
  }
  if (this->own_state == PeerState::kLive) {
    candidates.push_back(this->self);
  }
  for (const auto& [name, members] : this->peers) {
    for (const auto& [host, peer] : members) {
      if (this->CanOwnEndpoints(peer, now)) {
        candidates.push_back(host);
      }
    }
  }
  return common::RendezvousFirst(endpoint.Value(), candidates);
}

std::vector<HostId> Membership::WatchersOf(const FailureDomainId& target_domain,
                                           SteadyTime now) const {
  std::vector<HostId> watchers = common::RendezvousOrder(
      "watch/" + target_domain.Value(), this->LiveHosts(target_domain, now));
  watchers.resize(std::min(watchers.size(), kWatchersPerDomain));
  return watchers;
}

/// Returns the record of a daemon, adding it if necessary. Null for this daemon
/// itself.
Membership::Peer* Membership::FindOrAdd(const HostId& host,
                                        const FailureDomainId& target_domain,
                                        SteadyTime now) {
  if (host == this->self) {
    return nullptr;
  }
  const auto known = this->domain_of.find(host);
  if (known != this->domain_of.end() && known->second != target_domain) {
    // The host was replaced by one of the same name in another domain.
    this->peers[known->second].erase(host);
    this->domain_targets.reset();
  }
  this->domain_of[host] = target_domain;
  const auto [peer, added] = this->peers[target_domain].try_emplace(host);
  if (added) {
    this->domain_targets.reset();
    peer->second.last_change = now;
  }
  return &peer->second;
}

const Membership::Peer* Membership::Find(const HostId& host) const {
  const auto known = this->domain_of.find(host);
  if (known == this->domain_of.end()) {
    return nullptr;
  }
  return &this->peers.at(known->second).at(host);
}

void Membership::OnReport(const PeerReport& report, SteadyTime now) {
  Peer* peer = this->FindOrAdd(report.host, report.domain, now);
  if (peer == nullptr || !AcceptIncarnation(peer, report.incarnation, now)) {
    return;
  }
  const SteadyTime observed_at = now - report.age;
  const bool newer = (!peer->last_heard || observed_at > *peer->last_heard) &&
                     (!peer->silent_since || observed_at > *peer->silent_since);
  if (!newer) {
    return;
  }
  if (report.silent && peer->last_heard_directly &&
      now - *peer->last_heard_directly <= kHeartbeatTimeout) {
    // Contradicts the report: this daemon heard the peer recently and tells the
    // others.
    peer->last_change = now;
    return;
  }
  if (report.silent != peer->silent_since.has_value() ||
      report.state != peer->state || report.silent) {
    peer->last_change = now;
  }
  peer->state = report.state;
  if (report.silent) {
    peer->silent_since = observed_at;
  } else {
    peer->last_heard = observed_at;
    peer->silent_since.reset();
  }
}

/// Returns false if the message concerns an earlier run of the peer's process.
bool Membership::AcceptIncarnation(Peer* peer, Incarnation reported,
                                   SteadyTime now) {
  if (reported < peer->incarnation) {
    return false;
  }
  if (reported > peer->incarnation) {
    Peer started;
    started.incarnation = reported;
    started.listed = peer->listed;
    started.leaving = peer->leaving;
    started.expected_since = peer->expected_since;
    started.last_change = now;
    *peer = started;
  }
  return true;
}

/// Start of the current silence of an expected peer. Time during which this
/// daemon was paused is not counted.
SteadyTime Membership::SilenceStart(const Peer& peer, SteadyTime now) const {
  const bool paused = now - this->last_round > kPauseThreshold;
  const SteadyTime listening = paused ? now : this->listening_since;
  const SteadyTime since = std::max(*peer.expected_since, listening);
  return std::max(since, peer.last_heard.value_or(since));
}

bool Membership::IsReachable(const Peer& peer, SteadyTime now) const {
  if (peer.expected_since) {
    return !peer.silent_since &&
           now - this->SilenceStart(peer, now) <= kHeartbeatTimeout;
  }
  return !peer.silent_since || now - *peer.silent_since > kSilentReportExpiry;
}

bool Membership::CanOwnEndpoints(const Peer& peer, SteadyTime now) const {
  return peer.state == PeerState::kLive && !peer.leaving &&
         this->IsReachable(peer, now);
}

void Membership::RemoveExpiredPeers(SteadyTime now) {
  for (auto& [name, members] : this->peers) {
    std::erase_if(members, [this, now](const auto& entry) {
      const Peer& peer = entry.second;
      const SteadyTime known =
          std::max(peer.last_heard.value_or(SteadyTime::min()),
                   peer.last_change.value_or(SteadyTime::min()));
      const bool expired = !peer.listed && known + kUnlistedPeerExpiry < now;
      if (expired) {
        this->domain_of.erase(entry.first);
        this->domain_targets.reset();
      }
      return expired;
    });
  }
}

void Membership::DetectSilentPeers(SteadyTime now) {
  for (auto& [name, members] : this->peers) {
    for (auto& [host, peer] : members) {
      if (!peer.expected_since) {
        continue;
      }
      const bool due = !peer.silent_since ||
                       now - *peer.silent_since >= kSilentReportInterval;
      if (due && now - this->SilenceStart(peer, now) > kHeartbeatTimeout) {
        peer.silent_since = now;
        peer.last_change = now;
      }
    }
  }
}

/// Heartbeat targets within the own domain. In a small domain these are the
/// peers with which this daemon initiates the exchange. In a larger domain the
/// hosts form a ring in rendezvous order, and the targets lie at distances that
/// grow by a constant factor, which keeps the number of gossip hops small.
std::vector<HostId> Membership::DomainTargets() const {
  const auto members = this->peers.find(this->domain);
  std::vector<HostId> targets;
  if (members == this->peers.end()) {
    return targets;
  }
  if (members->second.size() <= kMaxFullMeshPeers) {
    for (const auto& [host, peer] : members->second) {
      if (Initiates(this->self, host)) {
        targets.push_back(host);
      }
    }
    return targets;
  }
  std::vector<HostId> hosts{this->self};
  for (const auto& [host, peer] : members->second) {
    hosts.push_back(host);
  }
  const std::vector<HostId> ring =
      common::RendezvousOrder("ring", std::move(hosts));
  const auto own = static_cast<std::size_t>(
      std::find(ring.begin(), ring.end(), this->self) - ring.begin());
  std::set<std::size_t> distances;
  for (std::size_t target = 0; target < kRingTargets; ++target) {
    const double distance = std::pow(
        static_cast<double>(ring.size()),
        static_cast<double>(target) / static_cast<double>(kRingTargets));
    auto whole = static_cast<std::size_t>(distance);
    while (distances.contains(whole)) {
      ++whole;
    }
    distances.insert(whole);
  }
  for (const std::size_t distance : distances) {
    targets.push_back(ring[(own + distance) % ring.size()]);
  }
  return targets;
}

/// Relays of those other domains with which this daemon, as the relay of its
/// own domain, initiates the exchange.
std::vector<HostId> Membership::RelayTargets(SteadyTime now) const {
  std::vector<HostId> targets;
  for (const auto& [other, members] : this->peers) {
    if (other == this->domain || members.empty() ||
        !Initiates(this->domain, other) ||
        this->RelayOf(this->domain, other, now) != this->self) {
      continue;
    }
    const std::optional<HostId> relay = this->RelayOf(other, this->domain, now);
    if (relay) {
      targets.push_back(*relay);
    }
  }
  return targets;
}

/// The first live daemon in rendezvous order, or the first of all daemons while
/// none seems live.
std::optional<HostId> Membership::RelayOf(const FailureDomainId& target_domain,
                                          const FailureDomainId& other,
                                          SteadyTime now) const {
  std::vector<HostId> candidates = this->LiveHosts(target_domain, now);
  const auto members = this->peers.find(target_domain);
  if (candidates.empty() && members != this->peers.end()) {
    for (const auto& [host, peer] : members->second) {
      candidates.push_back(host);
    }
  }
  if (candidates.empty() && target_domain == this->domain) {
    candidates.push_back(this->self);
  }
  return common::RendezvousFirst(RelayPairKey(target_domain, other),
                                 candidates);
}

}  // namespace camphorferry::process
