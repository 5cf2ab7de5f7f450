#ifndef CAMPHORFERRY_SESSION_PROXY_H_
#define CAMPHORFERRY_SESSION_PROXY_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Connection/connection.h"
#include "Session/acknowledgement_task.h"
#include "Session/admission_task.h"
#include "Session/client_session.h"
#include "Session/directory.h"
#include "Session/directory_watcher.h"
#include "Session/fleet_task.h"
#include "Session/forwarded_statements.h"
#include "Session/initial_configuration_check.h"
#include "Session/promotion_lease.h"
#include "Session/proxy_metrics.h"
#include "Session/service_group.h"
#include "Session/workspace_limiter.h"

struct evconnlistener;
struct sockaddr;

namespace camphorferry::session {

/// Settings of a proxy process.
struct ProxySettings {
  HostLocation location;
  connection::SocketAddress clients;
  /// Address of the readiness endpoint.
  connection::SocketAddress readiness;
  /// Address at which peers exchange reports.
  connection::SocketAddress peers;
  /// Address at which metrics are served; none to serve no metrics.
  std::optional<connection::SocketAddress> metrics;
  /// HTTP path of the readiness request.
  std::string readiness_path;
  RateTolerance rate_tolerance;
  /// Time within which a change of the configuration must be in force, and time
  /// after the end of a disturbance from which this applies.
  common::Duration change_bound = std::chrono::seconds(4);
  common::Duration settling_time = std::chrono::seconds(5);
  /// Whether operators may ask for failure domains to be evacuated.
  bool follows_evacuations = false;
  /// What the host allows this process.
  HostResources resources;
  /// Time from the stop signal to the end of the process.
  common::Duration stop_grace = std::chrono::seconds(6);
};

/// The proxy of one process. Accepts sessions, follows the directory, has a
/// group for each service, answers readiness requests, and stops without
/// interrupting requests.
class Proxy : public SessionDelegate {
 public:
  /// Starts to listen and to follow the directory. Throws
  /// connection::ListenError and FleetListenError.
  Proxy(connection::EventLoop* loop, const WireCodec* codec, Platform* platform,
        ProxySettings settings);
  ~Proxy() override;
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /// The local port that clients connect to.
  std::uint16_t ClientPort() const;

  /// The local port of the readiness endpoint.
  std::uint16_t ReadinessPort() const { return this->readiness->Port(); }

  /// Starts to stop. The event loop ends within the stop grace time of the
  /// settings.
  void BeginStop();

  /// The configuration in force; none before the check of the first one has
  /// ended.
  std::shared_ptr<const DirectoryConfiguration> Configuration() const override;
  std::shared_ptr<ServiceGroup> GroupOf(
      const common::ServiceId& service) override;
  void Admit(const common::WorkspaceId& workspace,
             std::function<void(AdmissionDecision)> done) override;
  void CountAnswer(const DatabaseRoute& route,
                   std::optional<StatementError> code,
                   common::Duration age) override;
  std::shared_ptr<BufferMeter> Meter() override { return this->meter; }
  std::shared_ptr<LargeMessageQueue> LargeMessages() override {
    return this->large_messages;
  }
  void CheckMeter() override;
  bool ClosesSessions() const override;
  void OnSessionEnded(ClientSession* session) override;

 private:
  static void OnAccept(evconnlistener* listener, int socket, sockaddr*,
                       int length, void* context);
  void Listen();
  /// Pauses accepting while no descriptor is left.
  static void OnAcceptError(evconnlistener* listener, void* context);
  /// Makes room for a new session; returns false if there is none.
  bool MakeRoomForSession();
  /// The sessions and their use of resources, in the same order.
  struct OpenSessions {
    std::vector<std::shared_ptr<ClientSession>> sessions;
    std::vector<SessionUsage> usages;
  };
  OpenSessions ListSessions() const;
  /// Closes the sessions that keep most until all are below the limit.
  void CloseLargestSessions();
  void CheckSessionTimes(common::SteadyTime now);
  /// Closes a session that exceeds a limit.
  void CloseForLimit(const std::shared_ptr<ClientSession>& session,
                     LimitCause cause);
  void CountLimit(LimitCause cause);
  void OnConfigurations(const std::map<std::string, DirectoryValue>& objects);
  void OnMembers(const std::map<std::string, DirectoryValue>& objects);
  void OnEvacuations(const std::map<std::string, DirectoryValue>& objects);
  /// Takes over a later state of the evacuations.
  void UpdateEvacuations(const Evacuations& latest);
  /// Asks peers for a newer configuration before the first one is used, and
  /// puts it in force once the check has passed.
  void CheckInitialConfiguration();
  void LogConfigurationInForce();
  void NotifySessions();
  /// Updates the groups from the members and the configuration. Members of a
  /// service that the configuration does not declare have no group.
  void UpdateGroups();
  FleetReport MakeReport(bool with_proofs);
  void OnReport(const FleetReport& report, common::SteadyTime requested_at);
  /// The store is in the given era, as it or a peer has stated.
  void OnStoreEra(std::uint64_t era);
  /// Checks whether a peer has a newer configuration.
  void CompareVersions(const FleetReport& report);
  /// Asks peers for the parts of the directory that the store does not provide.
  void QueryPeers(common::SteadyTime now);
  /// The query for the state of a kind that is newer than the known one.
  DirectoryQuery NewQuery(DirectoryKind kind);
  /// Takes over the part of the directory that a peer has given.
  void OnDirectoryRelayed(DirectoryKind kind, const common::HostId& peer,
                          const SharedDirectory& shared);
  DirectoryWatcher* WatcherOf(DirectoryKind kind);
  void OnFleetSize(const FleetSize& size);
  void UpdateRateOwners();
  void UpdateConfigurationWatch();
  void UpdateChannelLimits();
  StatementForwarding NewForwarding();
  TermClosing NewClosing();
  /// Closes terms for a promotion by any daemon.
  CloseTermReply CloseTerm(const CloseTermRequest& request);
  /// Proves for a peer who leads a service.
  void ProveLeadership(const common::ServiceId& service,
                       const ProofCallback& done);
  void Tick();
  void OnStopTick();
  bool Ready() const;
  void UpdateGauges();

  connection::EventLoop* loop;
  const WireCodec* codec;
  Platform* platform;
  ProxySettings settings;
  ProxyMetrics metrics;
  PromotionLease promotion_lease;
  AcknowledgementTask acknowledgements;
  WorkspaceLimiter limiter;
  AdmissionTask admission;
  evconnlistener* listener = nullptr;
  std::unique_ptr<connection::HttpServer> readiness;
  std::unique_ptr<connection::HttpServer> metrics_server;
  /// The newest known configuration. In force unless it is still checked.
  std::shared_ptr<const DirectoryConfiguration> configuration;
  /// Check of the first configuration; none once it has passed.
  std::optional<InitialConfigurationCheck> initial_check{std::in_place};
  std::map<common::ServiceId, std::vector<GroupMember>> members;
  std::map<common::ServiceId, std::shared_ptr<ServiceGroup>> groups;
  ClientLimits limits;
  std::shared_ptr<BufferMeter> meter = std::make_shared<BufferMeter>();
  bool closes_largest = false;
  std::shared_ptr<LargeMessageQueue> large_messages;
  std::shared_ptr<LargeMessageQueue> large_responses;
  common::SteadyTime next_times_check;
  std::unique_ptr<connection::Timer> accept_timer;
  std::map<ClientSession*, std::shared_ptr<ClientSession>> sessions;
  std::size_t fleet_size = 1;
  std::size_t hosts_in_domain = 1;
  bool members_known = false;
  /// Latest known era of the store; none before the first answer.
  std::optional<std::uint64_t> store_era;
  common::SteadyTime next_directory_query;
  /// The last daemon that has reported a newer configuration.
  std::optional<FleetHost> peer_ahead;
  bool tick_odd = false;
  std::optional<common::SteadyTime> stopping_since;
  std::unique_ptr<DirectoryWatcher> configuration_watcher;
  std::unique_ptr<DirectoryWatcher> member_watcher;
  /// Null unless evacuations are followed.
  std::unique_ptr<DirectoryWatcher> evacuation_watcher;
  Evacuations evacuations;
  /// When this daemon learned of each evacuation.
  std::map<common::FailureDomainId, common::SteadyTime> evacuated_since;
  ForwardedStatements forwarded;
  std::unique_ptr<FleetTask> fleet;
  std::unique_ptr<connection::Timer> tick;
  std::unique_ptr<connection::Timer> stop_timer;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PROXY_H_
