#ifndef CAMPHORFERRY_PROCESS_DAEMON_H_
#define CAMPHORFERRY_PROCESS_DAEMON_H_

#include <memory>
#include <set>

#include "Process/client_http_server.h"
#include "Process/configuration_task.h"
#include "Process/endpoint_owner.h"
#include "Process/grpc_peer_client.h"
#include "Process/grpc_peer_server.h"
#include "Process/membership_task.h"
#include "Process/operator_http_server.h"
#include "Process/rate_limit_task.h"
#include "Process/request_context.h"
#include "Process/settings.h"
#include "Process/statement_router.h"

namespace camphorferry::process {

/// The daemon process: creates all servers and tasks and connects them.
class Daemon : public PeerHandler {
 public:
  /// Opens the listeners; throws ListenError or PeerListenError.
  explicit Daemon(const Settings& settings);
  ~Daemon() override;

  /// Runs the event loop until a shutdown is complete.
  void Run();

  std::uint16_t ClientPort() const { return this->client_server->Port(); }
  std::uint16_t OperatorPort() const { return this->operator_server->Port(); }
  std::uint16_t PeerPort() const { return this->peer_server->Port(); }

  void OnExecute(connection::StatementCall call,
                 std::function<void(connection::StatementReply)> done) override;
  void OnConfirm(const common::EndpointId& endpoint,
                 common::LogPosition position, common::Duration wait,
                 std::function<void(connection::ConfirmReply)> done) override;
  HeartbeatExchange OnHeartbeat(const HeartbeatExchange& exchange) override;
  PeerConfiguration OnPullConfiguration(std::uint64_t have_version) override;
  std::uint64_t OnPushConfiguration(
      const PeerConfiguration& configuration) override;
  PeerRateLoan OnBorrowRate(const common::WorkspaceId& workspace,
                            std::uint64_t wanted_millitokens) override;

 private:
  void OnConfiguration(const version::ConfigurationPointer& configuration);
  /// Updates ownership, watchers and lenders after a heartbeat round.
  void OnMembershipRound();
  void UpdateOwnership();
  bool Ready() const;
  nlohmann::json Status() const;
  void RefreshCounters();
  void StartDrain();
  void FinishDrain();
  void StopWhenIdle();

  Settings settings;
  std::uint64_t incarnation;
  connection::EventLoop loop;
  EventLog events;
  Counters counters;
  connection::HttpObjectStore store;
  GrpcPeerClient peers;
  Membership membership;
  PrimaryDirectory primaries;
  StatementRouter router;
  EndpointOwner endpoint_owner;
  RateLimitTask rates;
  ConfigurationTask configuration;
  MembershipTask membership_task;
  RequestContext request_context;
  std::unique_ptr<GrpcPeerServer> peer_server;
  std::unique_ptr<ClientHttpServer> client_server;
  std::unique_ptr<OperatorHttpServer> operator_server;
  bool reported_live = false;
  /// Live daemons at the last ownership update.
  std::set<common::HostId> live_hosts;
  common::SteadyTime drain_deadline;
  std::unique_ptr<connection::Timer> drain_timer;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_DAEMON_H_
