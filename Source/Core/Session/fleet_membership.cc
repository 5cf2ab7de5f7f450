#include "Session/fleet_membership.h"

#include <algorithm>
#include <utility>

#include "Common/common.h"

namespace camphorferry::session {

namespace {

/// Interval of exchanges within a region: a daemon that has gone is noticed
/// well within a rate window (5 s).
constexpr std::chrono::milliseconds kNearInterval(500);
/// Interval between regions, where bytes are dear.
constexpr std::chrono::milliseconds kFarInterval(1000);
/// Largest number of peers with which a daemon exchanges in each interval.
constexpr std::size_t kSmallFleet = 8;
/// Peers that a daemon exchanges with in one interval in a larger fleet. Each
/// peer's turn comes less often there, so that the cost of a daemon does not
/// grow.
constexpr std::size_t kPeersPerInterval = 4;
/// Interval for a daemon that did not answer lately.
constexpr std::chrono::milliseconds kSilentInterval(2000);
/// Misses in a row after which a daemon counts as silent.
constexpr int kMissesBeforeSilent = 2;
/// Daemons that keep rates. Each serves the others' calls at a cost that grows
/// with the fleet's operations, and the loss of one concerns its part of the
/// workspaces only.
constexpr std::size_t kMaxRateOwners = 12;
/// Key under which the keepers are chosen.
constexpr const char* kRateOwnersKey = "rate-keepers";
/// A daemon is dropped after this silence. It is told of again by the directory
/// or by its own report.
constexpr std::chrono::seconds kLostAfter(12);
/// The same in turns, where a peer's turn comes seldom.
constexpr int kTurnsUntilLost = 2;

}  // namespace

FleetMembership::FleetMembership(HostPlace own) : own(std::move(own)) {}

void FleetMembership::Add(const FleetHost& host, common::SteadyTime now) {
  if (host.id == this->own.host || host.id.Empty()) return;
  const auto [place, is_new] = this->peers.try_emplace(host.id);
  Peer& peer = place->second;
  if (is_new || peer.host.peer_address != host.peer_address) {
    peer.last_reply = now;
    peer.due = now;
    peer.misses = 0;
    peer.has_replied = false;
    this->owners.clear();
  }
  peer.host = host;
}

void FleetMembership::OnReply(const common::HostId& host,
                              common::SteadyTime now) {
  const auto found = this->peers.find(host);
  if (found == this->peers.end()) return;
  if (IsSilent(found->second)) this->owners.clear();
  found->second.last_reply = now;
  found->second.misses = 0;
  found->second.has_replied = true;
}

std::size_t FleetMembership::ResponsiveCount() const {
  const auto count = std::count_if(
      this->peers.begin(), this->peers.end(), [](const auto& item) {
        return item.second.has_replied && !IsSilent(item.second);
      });
  return static_cast<std::size_t>(count) + 1;
}

bool FleetMembership::OnNoReply(const common::HostId& host) {
  const auto found = this->peers.find(host);
  if (found == this->peers.end()) return false;
  const bool was_silent = IsSilent(found->second);
  ++found->second.misses;
  if (was_silent || !IsSilent(found->second)) return false;
  this->owners.clear();
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
  if (this->owners.size() > kMaxRateOwners) this->owners.resize(kMaxRateOwners);
  return this->owners;
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
  if (IsSilent(peer)) return kSilentInterval;
  const std::size_t rounds =
      this->peers.size() <= kSmallFleet
          ? 1
          : (this->peers.size() + kPeersPerInterval - 1) / kPeersPerInterval;
  return (this->own.InSameRegion(peer.host.domain) ? kNearInterval
                                                   : kFarInterval) *
         rounds;
}

std::vector<FleetHost> FleetMembership::TakeDuePeers(common::SteadyTime now) {
  std::vector<FleetHost> due;
  for (auto& [id, peer] : this->peers) {
    if (peer.due > now) continue;
    peer.due = now + this->IntervalOf(peer);
    due.push_back(peer.host);
  }
  return due;
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

std::vector<FleetHost> FleetMembership::RemoveLost(common::SteadyTime now) {
  std::vector<FleetHost> lost;
  for (auto it = this->peers.begin(); it != this->peers.end();) {
    const common::Duration limit = std::max<common::Duration>(
        kLostAfter, this->IntervalOf(it->second) * kTurnsUntilLost);
    if (now - it->second.last_reply < limit) {
      ++it;
      continue;
    }
    lost.push_back(it->second.host);
    this->owners.clear();
    it = this->peers.erase(it);
  }
  return lost;
}

}  // namespace camphorferry::session
