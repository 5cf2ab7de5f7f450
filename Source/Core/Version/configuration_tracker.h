#ifndef CAMPHORFERRY_VERSION_CONFIGURATION_TRACKER_H_
#define CAMPHORFERRY_VERSION_CONFIGURATION_TRACKER_H_

#include <map>
#include <memory>
#include <set>
#include <variant>
#include <vector>

#include "Version/configuration.h"

namespace camphorferry::version {

/// An immutable configuration that several tasks share.
using ConfigurationPointer = std::shared_ptr<const Configuration>;

/// The offered configuration is newer and was put in force.
struct OfferAccepted {
  ConfigurationVersion version = 0;
};

/// The offered configuration was already in force.
struct OfferAlreadyInForce {};

/// The offered configuration is older than the one in force.
struct OfferOlder {
  ConfigurationVersion offered = 0;
  ConfigurationVersion in_force = 0;
};

/// The offered configuration has the version of the one in force but different
/// content, which conditional updates of the store should prevent. The one that
/// was offered first stays in force.
struct OfferConflict {
  ConfigurationVersion version = 0;
};

using OfferResult =
    std::variant<OfferAccepted, OfferAlreadyInForce, OfferOlder, OfferConflict>;

/// Tracks which configuration is in force and decides when a starting daemon
/// may serve requests. The highest version that was ever offered is in force,
/// regardless of its source and the order of the offers.
class ConfigurationTracker {
 public:
  /// Puts the configuration in force if its version is higher than that of the
  /// current one. A null pointer counts as version 0, which is never put in
  /// force.
  OfferResult Offer(ConfigurationPointer offered);

  /// The configuration in force; null before the first offer.
  const ConfigurationPointer& Current() const { return this->current; }

  /// Version in force; 0 before the first offer.
  ConfigurationVersion Version() const;

  /// True if the version that a peer reports is newer than the one in force.
  bool IsBehind(ConfigurationVersion reported) const;

  /// Sets the peers in the daemon's own failure domain. The states of peers
  /// that remain in the set are kept.
  void SetDomainPeers(const std::set<common::HostId>& peers);

  /// Records an answer of the store; null if it holds no configuration.
  OfferResult StoreAnswered(ConfigurationPointer configuration);

  /// Records that the store did not answer in time or reported an error.
  void StoreUnavailable();

  /// Records an answer of a peer; null if the peer has no configuration. Such
  /// an answer does not make this daemon ready, because the peer may be
  /// starting as well.
  OfferResult PeerAnswered(const common::HostId& peer,
                           ConfigurationPointer configuration);

  /// Records that a peer did not answer in time.
  void PeerUnavailable(const common::HostId& peer);

  /// Peers to query now; empty while the answer of the store is pending and
  /// once the daemon is ready. If all peers were queried and none of them sent
  /// a configuration, all are queried again.
  std::vector<common::HostId> PeersToQuery() const;

  /// True once the store has answered, or once the store is unavailable, every
  /// peer in the daemon's own domain has been queried, and at least one of them
  /// has sent a configuration. Never becomes false again.
  bool Ready() const { return this->ready; }

 private:
  enum class StoreState { kPending, kUnavailable, kAnswered };
  enum class PeerState {
    kNotQueried,
    kUnavailable,
    kNoConfiguration,
    kAnswered
  };

  void SetPeerState(const common::HostId& peer, PeerState state);
  void UpdateReady();
  bool AllPeersQueried() const;
  bool PeerAnswersSuffice() const;

  ConfigurationPointer current;
  StoreState store = StoreState::kPending;
  std::map<common::HostId, PeerState> peers;
  bool ready = false;
};

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_CONFIGURATION_TRACKER_H_
