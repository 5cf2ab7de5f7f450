#include "Version/configuration_tracker.h"

#include <utility>

namespace camphorferry::version {

OfferResult ConfigurationTracker::Offer(ConfigurationPointer offered) {
  const ConfigurationVersion version =
      offered == nullptr ? 0 : offered->version;
  const ConfigurationVersion held = this->Version();
  if (version < held) return OfferOlder{version, held};
  if (version > held) {
    this->current = std::move(offered);
    return OfferAccepted{version};
  }
  if (version == 0 || *offered == *this->current) return OfferAlreadyHeld{};
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
    this->peers.try_emplace(peer, PeerState::kNotAsked);
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

void ConfigurationTracker::StoreSilent() {
  if (this->store == StoreState::kAnswered) return;
  this->store = StoreState::kSilent;
  this->UpdateReady();
}

OfferResult ConfigurationTracker::PeerAnswered(
    const common::HostId& peer, ConfigurationPointer configuration) {
  const bool empty = configuration == nullptr || configuration->version == 0;
  const OfferResult result = this->Offer(std::move(configuration));
  this->SetPeerState(peer, empty ? PeerState::kEmpty : PeerState::kAnswered);
  return result;
}

void ConfigurationTracker::PeerSilent(const common::HostId& peer) {
  this->SetPeerState(peer, PeerState::kSilent);
}

std::vector<common::HostId> ConfigurationTracker::PeersToAsk() const {
  std::vector<common::HostId> missing;
  if (this->ready || this->store != StoreState::kSilent) return missing;
  const bool all_asked = this->PeersAsked();
  for (const auto& [peer, state] : this->peers) {
    // When nobody had a configuration, everybody is asked again.
    const bool again = all_asked && state != PeerState::kAnswered;
    if (state == PeerState::kNotAsked || again) missing.push_back(peer);
  }
  return missing;
}

void ConfigurationTracker::SetPeerState(const common::HostId& peer,
                                        PeerState state) {
  const auto found = this->peers.find(peer);
  // Peers of other domains offer configurations but do not count here.
  if (found == this->peers.end()) return;
  // A peer that answered once was asked; later silence changes nothing.
  if (found->second == PeerState::kAnswered) return;
  found->second = state;
  this->UpdateReady();
}

void ConfigurationTracker::UpdateReady() {
  if (this->store == StoreState::kAnswered) this->ready = true;
  if (this->store == StoreState::kSilent && this->PeersSuffice()) {
    this->ready = true;
  }
}

bool ConfigurationTracker::PeersAsked() const {
  for (const auto& [peer, state] : this->peers) {
    if (state == PeerState::kNotAsked) return false;
  }
  return true;
}

bool ConfigurationTracker::PeersSuffice() const {
  bool answered = false;
  for (const auto& [peer, state] : this->peers) {
    answered |= state == PeerState::kAnswered;
  }
  return answered && this->PeersAsked();
}

}  // namespace camphorferry::version
