#ifndef CAMPHORFERRY_SESSION_INITIAL_CONFIGURATION_CHECK_H_
#define CAMPHORFERRY_SESSION_INITIAL_CONFIGURATION_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Session/directory.h"

namespace camphorferry::session {

/// Decides when a daemon that has started may use the configuration that it got
/// from the store. A store that was restored from a backup may hold an older
/// version than the daemons that kept running, so their reports are awaited
/// first, for a limited time. A daemon that reports no version has itself just
/// started and is not waited for.
class InitialConfigurationCheck {
 public:
  /// This daemon has a configuration, from the store or from a peer.
  void OnConfiguration(std::uint64_t version, common::SteadyTime now);

  /// A peer has reported the version that it uses; 0 for none.
  void OnPeerVersion(const FleetHost& peer, std::uint64_t version);

  /// The hosts have been listed, and the given number of them have neither
  /// answered nor failed to.
  void OnHostsPending(std::size_t pending);

  /// Returns the peers to be asked now for their configuration because it is
  /// newer. Their number is limited, and none is returned twice.
  std::vector<FleetHost> TakePeersToQuery();

  /// Whether the configuration may be used.
  bool Passed(common::SteadyTime now) const;

 private:
  struct PeerVersion {
    FleetHost peer;
    std::uint64_t version = 0;
  };

  bool IsBehind() const;

  std::uint64_t own_version = 0;
  std::optional<common::SteadyTime> known_since;
  std::map<common::HostId, PeerVersion> peer_versions;
  std::set<common::HostId> queried;
  /// None before the hosts have been listed.
  std::optional<std::size_t> hosts_pending;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_INITIAL_CONFIGURATION_CHECK_H_
