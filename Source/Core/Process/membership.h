#ifndef CAMPHORFERRY_PROCESS_MEMBERSHIP_H_
#define CAMPHORFERRY_PROCESS_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Common/common.h"
#include "Process/rate_slot_lease_manager.h"

namespace camphorferry::process {

inline constexpr common::Duration kHeartbeatInterval =
    std::chrono::milliseconds(400);

/// A peer that was not heard from for this long counts as silent.
inline constexpr common::Duration kHeartbeatTimeout = std::chrono::seconds(1);

/// Up to this number of peers in its failure domain, a daemon exchanges
/// heartbeats with all of them (full mesh).
inline constexpr std::size_t kMaxFullMeshPeers = 8;

/// Number of peers to which a daemon of a larger domain sends heartbeats. As
/// many send to it, so that it hears from as many peers as in a small domain.
inline constexpr std::size_t kRingTargets = 4;

/// Maximum number of reports about other daemons in one heartbeat.
inline constexpr std::size_t kMaxPeerReports = 4;

/// State that a daemon reports about itself.
enum class PeerState { kStarting, kLive, kDraining };

/// Report of a heartbeat's sender about another daemon.
struct PeerReport {
  common::HostId host;
  Incarnation incarnation = 0;
  common::FailureDomainId domain;
  PeerState state = PeerState::kStarting;
  /// True if the daemon does not respond.
  bool silent = false;
  /// Time since the daemon was last heard from, or last found silent.
  common::Duration age = common::Duration::zero();
};

/// A heartbeat or the response to one.
struct PeerHeartbeat {
  common::HostId host;
  Incarnation incarnation = 0;
  common::FailureDomainId domain;
  PeerState state = PeerState::kStarting;
  std::vector<PeerReport> reports;
};

/// A daemon in the platform's host list.
struct ListedHost {
  common::HostId host;
  common::FailureDomainId domain;
  bool leaving = false;
};

/// Failure detector: one daemon's view of which daemons of the fleet are live.
/// The view may be temporarily wrong without harm.
///
/// In a failure domain with up to kMaxFullMeshPeers peers, every pair of
/// daemons exchanges heartbeats, and a peer that was not heard from for
/// kHeartbeatTimeout counts as silent. In a larger domain each daemon sends
/// heartbeats to kRingTargets others, and the remaining daemons count as live
/// by the host list until a daemon that sends to them reports them as silent:
/// refreshing each of 155 daemons at all others every second would exceed the
/// bytes that a daemon may use for control traffic.
///
/// Heartbeats carry reports about other daemons, each with the age of the
/// observation. One relay daemon of each domain exchanges heartbeats with one
/// of each other domain.
class Membership {
 public:
  Membership(common::HostId self, common::FailureDomainId domain,
             Incarnation incarnation, common::SteadyTime now);

  /// Sets the state that this daemon reports about itself.
  void SetOwnState(PeerState state);

  /// Sets the platform's host list, which may lag behind.
  void SetHosts(const std::vector<ListedHost>& list, common::SteadyTime now);

  /// Handles a received heartbeat or response to one.
  void OnHeartbeat(const PeerHeartbeat& heartbeat, common::SteadyTime now);

  /// Starts a heartbeat round: detects silent peers and returns the hosts to
  /// send heartbeats to. To be called every kHeartbeatInterval.
  std::vector<common::HostId> StartHeartbeatRound(common::SteadyTime now);

  /// Reports about other daemons to include in a heartbeat to a daemon of the
  /// given domain.
  std::vector<PeerReport> Reports(const common::FailureDomainId& receiver,
                                  common::SteadyTime now) const;

  /// True if the daemon is live, not silent and not leaving, so that it may own
  /// endpoints.
  bool IsLive(const common::HostId& host, common::SteadyTime now) const;

  /// Daemons of a domain for which IsLive holds.
  std::vector<common::HostId> LiveHosts(const common::FailureDomainId& domain,
                                        common::SteadyTime now) const;

  /// Daemon that owns an endpoint's connections: the first in rendezvous order
  /// among the live daemons of the endpoint's domain, or of all domains if its
  /// own domain has none. Empty if no daemon is live.
  std::optional<common::HostId> OwnerOf(
      const common::EndpointId& endpoint,
      const common::FailureDomainId& endpoint_domain,
      common::SteadyTime now) const;

  /// The daemons, two at most, that watch the store on behalf of a domain.
  std::vector<common::HostId> WatchersOf(const common::FailureDomainId& domain,
                                         common::SteadyTime now) const;

  /// The daemon of a domain that exchanges heartbeats with another domain.
  std::optional<common::HostId> RelayOf(const common::FailureDomainId& domain,
                                        const common::FailureDomainId& other,
                                        common::SteadyTime now) const;

 private:
  struct Peer {
    Incarnation incarnation = 0;
    PeerState state = PeerState::kLive;
    bool listed = false;
    bool leaving = false;
    /// When it was last heard from, directly or according to a report.
    std::optional<common::SteadyTime> last_heard;
    std::optional<common::SteadyTime> last_heard_directly;
    /// When it was last found silent, directly or according to a report.
    std::optional<common::SteadyTime> silent_since;
    /// Since when this daemon expects direct heartbeats from it; empty if it
    /// does not.
    std::optional<common::SteadyTime> expected_since;
    /// When this daemon last learned something that others may not know yet.
    std::optional<common::SteadyTime> last_change;
  };

  using Peers = std::map<common::HostId, Peer>;

  Peer* FindOrAdd(const common::HostId& host,
                  const common::FailureDomainId& domain,
                  common::SteadyTime now);
  const Peer* Find(const common::HostId& host) const;
  void OnReport(const PeerReport& report, common::SteadyTime now);
  static bool AcceptIncarnation(Peer* peer, Incarnation incarnation,
                                common::SteadyTime now);
  common::SteadyTime SilenceStart(const Peer& peer,
                                  common::SteadyTime now) const;
  bool IsReachable(const Peer& peer, common::SteadyTime now) const;
  bool CanOwnEndpoints(const Peer& peer, common::SteadyTime now) const;
  void RemoveExpiredPeers(common::SteadyTime now);
  void DetectSilentPeers(common::SteadyTime now);
  std::vector<common::HostId> DomainTargets() const;
  std::vector<common::HostId> RelayTargets(common::SteadyTime now) const;
  common::HostId self;
  common::FailureDomainId domain;
  Incarnation incarnation;
  PeerState own_state = PeerState::kStarting;
  std::map<common::FailureDomainId, Peers> peers;
  std::map<common::HostId, common::FailureDomainId> domain_of;
  /// Cached result of DomainTargets; reset when the set of known daemons
  /// changes.
  std::optional<std::vector<common::HostId>> domain_targets;
  common::SteadyTime last_round;
  /// Silence before this time is not counted against any peer.
  common::SteadyTime listening_since;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_MEMBERSHIP_H_
