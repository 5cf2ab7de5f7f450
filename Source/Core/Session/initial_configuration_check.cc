#include "Session/initial_configuration_check.h"

#include <algorithm>

namespace camphorferry::session {

namespace {

/// Number of peers whose versions are enough. All running daemons have a
/// confirmed version, except for the few seconds in which it spreads.
constexpr std::size_t kSufficientPeers = 3;
/// Largest number of peers that are asked for their configuration.
constexpr std::size_t kMaxQueries = 3;
/// Longest wait for reports, counted from when a configuration is known.
constexpr std::chrono::milliseconds kMaxReportWait(250);
/// Longest wait while a peer is known to have a newer configuration: a report
/// and a query that takes as long as its time limit (400 ms).
constexpr std::chrono::milliseconds kMaxQueryWait(700);

}  // namespace

void InitialConfigurationCheck::OnConfiguration(std::uint64_t version,
                                                common::SteadyTime now) {
  this->own_version = std::max(this->own_version, version);
  if (!this->known_since.has_value()) this->known_since = now;
}

void InitialConfigurationCheck::OnPeerVersion(const FleetHost& peer,
                                              std::uint64_t version) {
  if (version > 0) this->peer_versions[peer.id] = {peer, version};
}

void InitialConfigurationCheck::OnHostsPending(std::size_t pending) {
  this->hosts_pending = pending;
}

std::vector<FleetHost> InitialConfigurationCheck::TakePeersToQuery() {
  std::vector<FleetHost> peers;
  if (!this->known_since.has_value()) return peers;
  for (const auto& [id, known] : this->peer_versions) {
    if (this->queried.size() >= kMaxQueries) break;
    if (known.version <= this->own_version) continue;
    if (this->queried.insert(id).second) peers.push_back(known.peer);
  }
  return peers;
}

bool InitialConfigurationCheck::IsBehind() const {
  return std::any_of(this->peer_versions.begin(), this->peer_versions.end(),
                     [this](const auto& item) {
                       return item.second.version > this->own_version;
                     });
}

bool InitialConfigurationCheck::Passed(common::SteadyTime now) const {
  if (!this->known_since.has_value()) return false;
  const common::Duration waited = now - *this->known_since;
  if (this->IsBehind()) return waited >= kMaxQueryWait;
  return this->hosts_pending == 0U ||
         this->peer_versions.size() >= kSufficientPeers ||
         waited >= kMaxReportWait;
}

}  // namespace camphorferry::session
