#ifndef CAMPHORFERRY_PROCESS_MEMBERSHIP_TASK_H_
#define CAMPHORFERRY_PROCESS_MEMBERSHIP_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "Process/grpc_peer_client.h"
#include "Process/membership.h"
#include "Process/peer_client.h"
#include "Process/settings.h"

namespace camphorferry::process {

/// Runs the heartbeat rounds of Membership and reads the platform's host list.
class MembershipTask {
 public:
  /// Callbacks to the rest of the daemon.
  struct Callbacks {
    std::function<std::uint64_t()> configuration_version;
    /// A peer reported its configuration version.
    std::function<void(const common::HostId&, std::uint64_t)> on_version;
    /// Called after each round of heartbeats.
    std::function<void()> on_round;
  };

  MembershipTask(connection::EventLoop* loop, connection::ObjectStore* store,
                 GrpcPeerClient* peers, Membership* membership,
                 const Settings& settings, std::uint64_t incarnation,
                 Callbacks callbacks);

  /// Starts the heartbeat rounds.
  void Start();

  /// Sets the state that this daemon reports to its peers, and sends it at
  /// once.
  void SetState(PeerState state);

  /// Sets whether this daemon watches the store for its domain.
  void SetWatching(bool watching) { this->watching = watching; }

  /// Handles a peer's heartbeat and returns the response.
  HeartbeatExchange OnHeartbeat(const HeartbeatExchange& exchange);

  /// Peers known from the settings or the host list, with their failure
  /// domains.
  const std::map<common::HostId, common::FailureDomainId>& KnownPeers() const {
    return this->peer_domains;
  }

 private:
  void RunRound();
  void ReadHosts();
  void ProcessExchange(const HeartbeatExchange& exchange);
  HeartbeatExchange OwnExchange(const common::FailureDomainId& receiver) const;
  void ApplyHosts(const std::vector<connection::HostListEntry>& listed);

  connection::EventLoop* loop;
  connection::ObjectStore* store;
  GrpcPeerClient* peers;
  Membership* membership;
  common::HostId self;
  common::FailureDomainId domain;
  std::uint64_t incarnation;
  std::vector<PeerSetting> configured_peers;
  std::map<common::HostId, common::FailureDomainId> peer_domains;
  PeerState state = PeerState::kStarting;
  Callbacks callbacks;
  bool watching = false;
  bool reading_hosts = false;
  int host_list_intervals = 0;
  std::unique_ptr<connection::Timer> heartbeat_timer;
  std::unique_ptr<connection::Timer> host_list_timer;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_MEMBERSHIP_TASK_H_
