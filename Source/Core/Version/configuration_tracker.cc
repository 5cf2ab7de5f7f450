#include "Version/configuration_tracker.h"

#include <utility>

namespace camphorferry::version {

OfferResult ConfigurationTracker::Offer(ConfigurationPointer offered) {
  const ConfigurationVersion version =
      offered == nullptr ? 0 : offered->version;
  const ConfigurationVersion in_force = this->Version();
  if (version < in_force) return OfferOlder{version, in_force};
  if (version > in_force) {
    this->current = std::move(offered);
    return OfferAccepted{version};
  }
  if (version == 0 || *offered == *this->current) return OfferAlreadyInForce{};
  return OfferConflict{version};
}

ConfigurationVersion ConfigurationTracker::Version() const {
  return this->current == nullptr ? 0 : this->current->version;
}

bool ConfigurationTracker::IsBehind(ConfigurationVersion reported) const {
  return reported > this->Version();
}

void ConfigurationTracker::SetDomainPeers(
    const std::set<common::HostId>& peers) {
  std::erase_if(this->peers, [&](const auto& entry) {
    return !peers.contains(entry.first);
  });
  for (const common::HostId& peer : peers) {
    this->peers.try_emplace(peer, PeerState::kNotQueried);
  }
  this->UpdateReady();
}

OfferResult ConfigurationTracker::StoreAnswered(
    ConfigurationPointer configuration) {
  const OfferResult result = this->Offer(std::move(configuration));
  this->store = StoreState::kAnswered;
  this->UpdateReady();
  return result;
}

void ConfigurationTracker::StoreUnavailable() {
  if (this->store == StoreState::kAnswered) return;
  this->store = StoreState::kUnavailable;
  this->UpdateReady();
}

OfferResult ConfigurationTracker::PeerAnswered(
    const common::HostId& peer, ConfigurationPointer configuration) {
  const bool empty = configuration == nullptr || configuration->version == 0;
  const OfferResult result = this->Offer(std::move(configuration));
  this->SetPeerState(
      peer, empty ? PeerState::kNoConfiguration : PeerState::kAnswered);
  return result;
}

void ConfigurationTracker::PeerUnavailable(const common::HostId& peer) {
  this->SetPeerState(peer, PeerState::kUnavailable);
}

std::vector<common::HostId> ConfigurationTracker::PeersToQuery() const {
  std::vector<common::HostId> to_query;
  if (this->ready || this->store != StoreState::kUnavailable) return to_query;
  const bool all_queried = this->AllPeersQueried();
  for (const auto& [peer, state] : this->peers) {
    // If no peer had a configuration, all are queried again.
    const bool again = all_queried && state != PeerState::kAnswered;
    if (state == PeerState::kNotQueried || again) to_query.push_back(peer);
  }
  return to_query;
}

void ConfigurationTracker::SetPeerState(const common::HostId& peer,
                                        PeerState state) {
  const auto found = this->peers.find(peer);
  // Configurations of peers in other domains are accepted, but those peers do
  // not affect readiness.
  if (found == this->peers.end()) return;
  // Once a peer has sent a configuration, a later time-out has no effect.
  if (found->second == PeerState::kAnswered) return;
  found->second = state;
  this->UpdateReady();
}

void ConfigurationTracker::UpdateReady() {
  if (this->store == StoreState::kAnswered) this->ready = true;
  if (this->store == StoreState::kUnavailable && this->PeerAnswersSuffice()) {
    this->ready = true;
  }
}

bool ConfigurationTracker::AllPeersQueried() const {
  for (const auto& [peer, state] : this->peers) {
    if (state == PeerState::kNotQueried) return false;
  }
  return true;
}

bool ConfigurationTracker::PeerAnswersSuffice() const {
  bool answered = false;
  for (const auto& [peer, state] : this->peers) {
    answered |= state == PeerState::kAnswered;
  }
  return answered && this->AllPeersQueried();
}

}  // namespace camphorferry::version
