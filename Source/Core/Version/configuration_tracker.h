#ifndef CAMPHORFERRY_VERSION_CONFIGURATION_TRACKER_H_
#define CAMPHORFERRY_VERSION_CONFIGURATION_TRACKER_H_

#include <map>
#include <memory>
#include <set>
#include <variant>
#include <vector>

#include "Version/configuration.h"

namespace camphorferry::version {

/// A configuration that several tasks share and none changes.
using ConfigurationPointer = std::shared_ptr<const Configuration>;

/// The offered configuration is in force from now on.
struct OfferAccepted {
  ConfigurationVersion version = 0;
};

/// The offered configuration is already in force.
struct OfferAlreadyHeld {};

/// The offered configuration is older than the one in force.
struct OfferOlder {
  ConfigurationVersion offered = 0;
  ConfigurationVersion held = 0;
};

/// Two configurations have the same version and different content. Conditional
/// updates in the store rule this out; the one held first stays in force.
struct OfferConflict {
  ConfigurationVersion version = 0;
};

using OfferResult =
    std::variant<OfferAccepted, OfferAlreadyHeld, OfferOlder, OfferConflict>;

/// Decides which configuration is in force and when a starting daemon may
/// serve. The highest version that was ever offered wins, whoever offers it and
/// in whatever order; a lower one never replaces it.
class ConfigurationTracker {
 public:
  /// Offers a configuration from the store, a peer or the start; an empty
  /// pointer or version 0 offers nothing.
  OfferResult Offer(ConfigurationPointer offered);

  /// The configuration in force; empty before the first offer.
  const ConfigurationPointer& Current() const { return this->current; }

  /// Version in force; 0 before the first offer.
  ConfigurationVersion Version() const;

  /// True if a peer that reports this version has a newer configuration.
  bool IsBehind(ConfigurationVersion reported) const;

  /// Peers of the daemon's own failure domain. Results of peers that stay are
  /// kept.
  void SetDomainPeers(const std::set<common::HostId>& peers);

  /// The store answered; empty if it holds no configuration.
  OfferResult StoreAnswered(ConfigurationPointer configuration);

  /// The store did not answer in time or reported an error.
  void StoreSilent();

  /// A peer answered; empty if it has no configuration itself. Such an answer
  /// does not make this daemon ready, since the peer may be starting as well.
  OfferResult PeerAnswered(const common::HostId& peer,
                           ConfigurationPointer configuration);

  /// A peer did not answer in time.
  void PeerSilent(const common::HostId& peer);

  /// Peers to ask now; empty while the store may still answer and once the
  /// daemon is ready. When all were asked and none sent a configuration, all
  /// are asked again.
  std::vector<common::HostId> PeersToAsk() const;

  /// True once the store answered, or once the store was silent, every peer of
  /// the own domain was asked and at least one sent a configuration. Stays
  /// true.
  bool Ready() const { return this->ready; }

 private:
  enum class StoreState { kPending, kSilent, kAnswered };
  enum class PeerState { kNotAsked, kSilent, kEmpty, kAnswered };

  void SetPeerState(const common::HostId& peer, PeerState state);
  void UpdateReady();
  bool PeersAsked() const;
  bool PeersSuffice() const;

  ConfigurationPointer current;
  StoreState store = StoreState::kPending;
  std::map<common::HostId, PeerState> peers;
  bool ready = false;
};

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_CONFIGURATION_TRACKER_H_
