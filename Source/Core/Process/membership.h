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

/// How often a daemon exchanges heartbeats with each of its targets.
inline constexpr common::Duration kHeartbeatInterval =
    std::chrono::milliseconds(400);

/// A peer that was not heard for this long is skipped.
inline constexpr common::Duration kHeartbeatTimeout = std::chrono::seconds(1);

/// Up to this number of peers in its failure domain a daemon exchanges
/// heartbeats with all of them.
inline constexpr std::size_t kMaxFullMeshPeers = 8;

/// Number of peers that a daemon of a larger domain sends heartbeats to. As
/// many send to it, so that it hears from as many peers as in a small domain.
inline constexpr std::size_t kRingTargets = 4;

/// Largest number of reports about others in one heartbeat.
inline constexpr std::size_t kMaxPeerReports = 4;

/// What a daemon says about itself.
enum class PeerState { kStarting, kLive, kDraining };

/// What the sender of a heartbeat knows about another daemon.
struct PeerReport {
  common::HostId host;
  Incarnation incarnation = 0;
  common::FailureDomainId domain;
  PeerState state = PeerState::kStarting;
  /// True if the daemon does not answer.
  bool silent = false;
  /// Time since the daemon was heard, or since it was found silent.
  common::Duration age = common::Duration::zero();
};

/// A heartbeat or the answer to one.
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

/// One daemon's view of which daemons live. The view may be wrong for a while
/// without harm.
///
/// In a failure domain with up to kMaxFullMeshPeers peers, every pair of
/// daemons exchanges heartbeats, and one that was not heard for
/// kHeartbeatTimeout is skipped. In a larger domain each daemon sends to
/// kRingTargets others, and the other daemons count as live by the host list
/// until one that sends to them reports them silent: refreshing each of 155
/// daemons at all others every second would take more than the bytes that a
/// daemon may use for control. Reports travel with heartbeats, with the age of
/// what they say. One daemon of each domain exchanges heartbeats with one of
/// each other domain.
class Membership {
 public:
  Membership(common::HostId self, common::FailureDomainId domain,
             Incarnation incarnation, common::SteadyTime now);

  /// State that this daemon is in.
  void SetOwnState(PeerState state);

  /// The platform's host list, which may lag.
  void SetHosts(const std::vector<ListedHost>& list, common::SteadyTime now);

  /// A heartbeat, or the answer to one, has come.
  void OnHeartbeat(const PeerHeartbeat& heartbeat, common::SteadyTime now);

  /// Starts a round of heartbeats: finds out who is silent and returns whom to
  /// send to. To be called every kHeartbeatInterval.
  std::vector<common::HostId> StartHeartbeatRound(common::SteadyTime now);

  /// What to say about others in a heartbeat to a daemon of a domain.
  std::vector<PeerReport> Reports(const common::FailureDomainId& receiver,
                                  common::SteadyTime now) const;

  /// True if the daemon is not skipped and may own endpoints.
  bool IsLive(const common::HostId& host, common::SteadyTime now) const;

  /// Daemons of a domain that are not skipped and may own endpoints.
  std::vector<common::HostId> LiveHosts(const common::FailureDomainId& domain,
                                        common::SteadyTime now) const;

  /// Owner of an endpoint's connections: the first in rendezvous order among
  /// the live daemons of the endpoint's domain, or of all domains if there is
  /// none. Empty if no daemon is live.
  std::optional<common::HostId> OwnerOf(
      const common::EndpointId& endpoint,
      const common::FailureDomainId& endpoint_domain,
      common::SteadyTime now) const;

  /// The daemons, two at most, that watch the store for a domain.
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
    /// When it was heard last, directly or by someone whose report came here.
    std::optional<common::SteadyTime> heard;
    std::optional<common::SteadyTime> heard_directly;
    /// When it was last found silent, here or by someone who reported it.
    std::optional<common::SteadyTime> silent_since;
    /// Since when this daemon expects to hear it directly.
    std::optional<common::SteadyTime> expected_since;
    /// When this daemon last learned something that others may not know.
    std::optional<common::SteadyTime> news;
  };

  using Peers = std::map<common::HostId, Peer>;

  Peer* FindOrAdd(const common::HostId& host,
                  const common::FailureDomainId& domain,
                  common::SteadyTime now);
  const Peer* Find(const common::HostId& host) const;
  void OnReport(const PeerReport& report, common::SteadyTime now);
  static bool AcceptIncarnation(Peer* peer, Incarnation incarnation,
                                common::SteadyTime now);
  common::SteadyTime UnheardSince(const Peer& peer,
                                  common::SteadyTime now) const;
  bool IsReachable(const Peer& peer, common::SteadyTime now) const;
  bool MayOwn(const Peer& peer, common::SteadyTime now) const;
  void Forget(common::SteadyTime now);
  void FindSilent(common::SteadyTime now);
  std::vector<common::HostId> DomainTargets() const;
  std::vector<common::HostId> RelayTargets(common::SteadyTime now) const;
  common::HostId self;
  common::FailureDomainId domain;
  Incarnation incarnation;
  PeerState own_state = PeerState::kStarting;
  /// Other daemons by domain.
  std::map<common::FailureDomainId, Peers> peers;
  std::map<common::HostId, common::FailureDomainId> domain_of;
  /// Result of DomainTargets while the known daemons stay the same.
  std::optional<std::vector<common::HostId>> domain_targets;
  common::SteadyTime last_round;
  /// No peer counts as silent because of the time before this.
  common::SteadyTime listening_since;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_MEMBERSHIP_H_
