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

/// Daemons that get reports pass them on in this many rounds.
constexpr Duration kNewsPeriod = 3 * kHeartbeatInterval;
/// Those who find a daemon silent say so again after this time, and without
/// that the others count it as live again after the longer time. So a daemon
/// that was cut off returns even if nobody reports that it lives.
constexpr Duration kSilenceRepeat = seconds(5);
constexpr Duration kSilencePeriod = seconds(15);
/// A daemon that is not in the host list is forgotten after this time.
constexpr Duration kForgetAfter = seconds(60);
/// A longer time between rounds means that this daemon was paused, and that it
/// heard nobody for that reason.
constexpr Duration kLongestRound = 2 * kHeartbeatInterval;
/// Number of daemons that watch the store for a domain.
constexpr std::size_t kWatchers = 2;

/// The same of both names for either order, so that both sides of a pair agree
/// without knowing the same hosts.
template <typename Name>
bool Initiates(const Name& own, const Name& other) {
  const Name& low = std::min(own, other);
  const Name& high = std::max(own, other);
  const bool low_initiates =
      common::RendezvousScore(low.Value(), HostId(high.Value())) % 2 == 0;
  return (own == low) == low_initiates;
}

std::string PairKey(const FailureDomainId& domain,
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
  this->Forget(now);
}

void Membership::OnHeartbeat(const PeerHeartbeat& heartbeat, SteadyTime now) {
  Peer* peer = this->FindOrAdd(heartbeat.host, heartbeat.domain, now);
  if (peer == nullptr || !AcceptIncarnation(peer, heartbeat.incarnation, now)) {
    return;
  }
  if (peer->silent_since || peer->state != heartbeat.state) {
    peer->news = now;
  }
  peer->state = heartbeat.state;
  peer->heard = now;
  peer->heard_directly = now;
  peer->silent_since.reset();
  for (const PeerReport& report : heartbeat.reports) {
    this->OnReport(report, now);
  }
}

std::vector<HostId> Membership::StartHeartbeatRound(SteadyTime now) {
  if (now - this->last_round > kLongestRound) {
    this->listening_since = now;
  }
  this->last_round = now;
  this->Forget(now);
  this->FindSilent(now);

  if (!this->domain_targets) {
    this->domain_targets = this->DomainTargets();
  }
  std::vector<HostId> targets = *this->domain_targets;
  const std::vector<HostId> relays = this->RelayTargets(now);
  targets.insert(targets.end(), relays.begin(), relays.end());

  const bool small_domain =
      this->peers[this->domain].size() <= kMaxFullMeshPeers;
  for (auto& [name, members] : this->peers) {
    for (auto& [host, peer] : members) {
      const bool expected =
          (small_domain && name == this->domain) ||
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
  std::vector<std::pair<SteadyTime, PeerReport>> news;
  for (const auto& [name, members] : this->peers) {
    // What this domain finds about others is true for its own links only.
    if (receiver != this->domain && name != this->domain) {
      continue;
    }
    for (const auto& [host, peer] : members) {
      const std::optional<SteadyTime> known =
          peer.silent_since ? peer.silent_since : peer.heard;
      if (!peer.news || now - *peer.news > kNewsPeriod || !known) {
        continue;
      }
      news.emplace_back(*peer.news,
                        PeerReport{.host = host,
                                   .incarnation = peer.incarnation,
                                   .domain = name,
                                   .state = peer.state,
                                   .silent = peer.silent_since.has_value(),
                                   .age = now - *known});
    }
  }
  std::stable_sort(news.begin(), news.end(),
                   [](const auto& left, const auto& right) {
                     return left.first > right.first;
                   });
  std::vector<PeerReport> reports;
  for (auto& [time, report] : news) {
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
  return peer != nullptr && this->MayOwn(*peer, now);
}

std::vector<HostId> Membership::LiveHosts(const FailureDomainId& of,
                                          SteadyTime now) const {
  std::vector<HostId> live;
  if (of == this->domain && this->own_state == PeerState::kLive) {
    live.push_back(this->self);
  }
  const auto members = this->peers.find(of);
  if (members == this->peers.end()) {
    return live;
  }
  for (const auto& [host, peer] : members->second) {
    if (this->MayOwn(peer, now)) {
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
      if (this->MayOwn(peer, now)) {
        candidates.push_back(host);
      }
    }
  }
  return common::RendezvousFirst(endpoint.Value(), candidates);
}

std::vector<HostId> Membership::WatchersOf(const FailureDomainId& of,
                                           SteadyTime now) const {
  std::vector<HostId> watchers =
      common::RendezvousOrder("watch/" + of.Value(), this->LiveHosts(of, now));
  watchers.resize(std::min(watchers.size(), kWatchers));
  return watchers;
}

/// Null for this daemon itself.
Membership::Peer* Membership::FindOrAdd(const HostId& host,
                                        const FailureDomainId& of,
                                        SteadyTime now) {
  if (host == this->self) {
    return nullptr;
  }
  const auto known = this->domain_of.find(host);
  if (known != this->domain_of.end() && known->second != of) {
    // A host that was replaced in another domain under the same name.
    this->peers[known->second].erase(host);
    this->domain_targets.reset();
  }
  this->domain_of[host] = of;
  const auto [peer, added] = this->peers[of].try_emplace(host);
  if (added) {
    this->domain_targets.reset();
    peer->second.news = now;
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
  const SteadyTime as_of = now - report.age;
  const bool newer = (!peer->heard || as_of > *peer->heard) &&
                     (!peer->silent_since || as_of > *peer->silent_since);
  if (!newer) {
    return;
  }
  if (report.silent && peer->heard_directly &&
      now - *peer->heard_directly <= kHeartbeatTimeout) {
    // The others learn from this daemon that the peer was heard.
    peer->news = now;
    return;
  }
  if (report.silent != peer->silent_since.has_value() ||
      report.state != peer->state || report.silent) {
    peer->news = now;
  }
  peer->state = report.state;
  if (report.silent) {
    peer->silent_since = as_of;
  } else {
    peer->heard = as_of;
    peer->silent_since.reset();
  }
}

/// False if the news is about an earlier run of the peer's process.
bool Membership::AcceptIncarnation(Peer* peer, Incarnation heard,
                                   SteadyTime now) {
  if (heard < peer->incarnation) {
    return false;
  }
  if (heard > peer->incarnation) {
    Peer started;
    started.incarnation = heard;
    started.listed = peer->listed;
    started.leaving = peer->leaving;
    started.expected_since = peer->expected_since;
    started.news = now;
    *peer = started;
  }
  return true;
}

/// Since when an expected peer was not heard. What was missed while this daemon
/// was paused does not count.
SteadyTime Membership::UnheardSince(const Peer& peer, SteadyTime now) const {
  const bool paused = now - this->last_round > kLongestRound;
  const SteadyTime listening = paused ? now : this->listening_since;
  const SteadyTime since = std::max(*peer.expected_since, listening);
  return std::max(since, peer.heard.value_or(since));
}

bool Membership::IsReachable(const Peer& peer, SteadyTime now) const {
  if (peer.expected_since) {
    return !peer.silent_since &&
           now - this->UnheardSince(peer, now) <= kHeartbeatTimeout;
  }
  return !peer.silent_since || now - *peer.silent_since > kSilencePeriod;
}

bool Membership::MayOwn(const Peer& peer, SteadyTime now) const {
  return peer.state == PeerState::kLive && !peer.leaving &&
         this->IsReachable(peer, now);
}

void Membership::Forget(SteadyTime now) {
  for (auto& [name, members] : this->peers) {
    std::erase_if(members, [this, now](const auto& entry) {
      const Peer& peer = entry.second;
      const SteadyTime known = std::max(peer.heard.value_or(SteadyTime::min()),
                                        peer.news.value_or(SteadyTime::min()));
      const bool forgotten = !peer.listed && known + kForgetAfter < now;
      if (forgotten) {
        this->domain_of.erase(entry.first);
        this->domain_targets.reset();
      }
      return forgotten;
    });
  }
}

void Membership::FindSilent(SteadyTime now) {
  for (auto& [name, members] : this->peers) {
    for (auto& [host, peer] : members) {
      if (!peer.expected_since) {
        continue;
      }
      const bool due =
          !peer.silent_since || now - *peer.silent_since >= kSilenceRepeat;
      if (due && now - this->UnheardSince(peer, now) > kHeartbeatTimeout) {
        peer.silent_since = now;
        peer.news = now;
      }
    }
  }
}

/// Own part of the pairs in a small domain. In a larger one the hosts form a
/// ring in rendezvous order, and targets lie at distances that grow by a
/// constant factor, which keeps the number of hops small.
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

/// Relays of the other domains, where this daemon is the relay of its own and
/// its domain is the one that sends.
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

/// Relay of a domain for heartbeats with another one: the first live daemon,
/// or the first of all while none seems to live.
std::optional<HostId> Membership::RelayOf(const FailureDomainId& of,
                                          const FailureDomainId& other,
                                          SteadyTime now) const {
  std::vector<HostId> candidates = this->LiveHosts(of, now);
  const auto members = this->peers.find(of);
  if (candidates.empty() && members != this->peers.end()) {
    for (const auto& [host, peer] : members->second) {
      candidates.push_back(host);
    }
  }
  if (candidates.empty() && of == this->domain) {
    candidates.push_back(this->self);
  }
  return common::RendezvousFirst(PairKey(of, other), candidates);
}

}  // namespace camphorferry::process
