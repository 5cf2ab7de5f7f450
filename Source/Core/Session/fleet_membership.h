#ifndef CAMPHORFERRY_SESSION_FLEET_MEMBERSHIP_H_
#define CAMPHORFERRY_SESSION_FLEET_MEMBERSHIP_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "Session/group_context.h"

namespace camphorferry::session {

/// The daemons of the fleet that this one knows, from the directory and from
/// their own reports, and when each is due for the next exchange.
class FleetMembership {
 public:
  explicit FleetMembership(HostPlace own);

  /// Takes a daemon named by the directory or by its own report.
  void Add(const FleetHost& host, common::SteadyTime now);

  /// A daemon has answered or reported.
  void OnReply(const common::HostId& host, common::SteadyTime now);

  /// A daemon gave no answer. Returns true if it counts as silent since now.
  bool OnNoReply(const common::HostId& host);

  /// Daemons that keep rates: a few of those that are not silent, the same for
  /// all daemons that know the same fleet.
  const std::vector<common::HostId>& RateOwners();

  /// The daemon that keeps a workspace's rate; none if it is this one.
  std::optional<FleetHost> RateOwnerOf(const common::WorkspaceId& workspace);

  /// Daemons to exchange reports with now; each is due again after its
  /// interval.
  std::vector<FleetHost> TakeDuePeers(common::SteadyTime now);

  /// The next daemon in turn that is not silent; none if there is no other.
  std::optional<FleetHost> NextResponsive();

  /// Drops daemons that were silent for long; returns them.
  std::vector<FleetHost> RemoveLost(common::SteadyTime now);

  /// Number of daemons that may be alive, this one included.
  std::size_t Size() const { return this->peers.size() + 1; }

  /// Number of daemons that have answered or reported and are not silent, this
  /// one included.
  std::size_t ResponsiveCount() const;

 private:
  struct Peer {
    FleetHost host;
    common::SteadyTime last_reply;
    common::SteadyTime due;
    int misses = 0;
    /// Has answered or reported, beyond being named by the directory.
    bool has_replied = false;
  };

  common::Duration IntervalOf(const Peer& peer) const;
  static bool IsSilent(const Peer& peer);

  HostPlace own;
  std::map<common::HostId, Peer> peers;
  /// Empty when they must be chosen anew.
  std::vector<common::HostId> owners;
  /// The daemon that NextResponsive has named last.
  common::HostId last_returned;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_FLEET_MEMBERSHIP_H_
