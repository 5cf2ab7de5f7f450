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

/// Exchanges heartbeats and reads the platform's host list.
class MembershipTask {
 public:
  /// What the rest of the daemon supplies and wants to hear.
  struct Hooks {
    std::function<std::uint64_t()> configuration_version;
    /// A peer reported its configuration version.
    std::function<void(const common::HostId&, std::uint64_t)> on_version;
    /// Called after each round of heartbeats.
    std::function<void()> on_round;
  };

  MembershipTask(connection::EventLoop* loop, connection::ObjectStore* store,
                 GrpcPeerClient* peers, Membership* membership,
                 const Settings& settings, std::uint64_t incarnation,
                 Hooks hooks);

  /// Starts the rounds.
  void Start();

  /// Sets the state that this daemon tells its peers, and tells them at once.
  void SetState(PeerState state);

  /// Sets whether this daemon watches the store for its domain.
  void SetWatching(bool watching) { this->watching = watching; }

  /// Answers a peer's heartbeat.
  HeartbeatExchange OnHeartbeat(const HeartbeatExchange& exchange);

  /// Peers known by settings or host list, with their domains.
  const std::map<common::HostId, common::FailureDomainId>& KnownPeers() const {
    return this->domains;
  }

 private:
  void Round();
  void ReadHosts();
  void Learn(const HeartbeatExchange& exchange);
  HeartbeatExchange OwnExchange(const common::FailureDomainId& receiver) const;
  void ApplyHosts(const std::vector<connection::HostListEntry>& listed);

  connection::EventLoop* loop;
  connection::ObjectStore* store;
  GrpcPeerClient* peers;
  Membership* membership;
  common::HostId self;
  common::FailureDomainId domain;
  std::uint64_t incarnation;
  std::vector<PeerSetting> configured;
  std::map<common::HostId, common::FailureDomainId> domains;
  PeerState state = PeerState::kStarting;
  Hooks hooks;
  bool watching = false;
  bool reading_hosts = false;
  int host_list_intervals = 0;
  std::unique_ptr<connection::Timer> round;
  std::unique_ptr<connection::Timer> host_list;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_MEMBERSHIP_TASK_H_
