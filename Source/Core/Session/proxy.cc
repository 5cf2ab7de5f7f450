#include "Session/proxy.h"

#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "Session/promotion_evidence.h"

namespace camphorferry::session {

namespace {

using common::LogLevel;
using common::Subsystem;

/// A database whose entry has disappeared is removed after this time. Entries
/// that expired while the store was unavailable are registered again within two
/// seconds of its return.
constexpr std::chrono::milliseconds kMemberRemovalGrace(2000);
/// Backlog of connections to be accepted. Above the number of sessions of one
/// daemon, so that none is dropped if all of them reconnect at once.
constexpr int kListenBacklog = 1024;
/// The load balancer stops using a daemon after two failed readiness checks,
/// one second apart.
constexpr std::chrono::milliseconds kLoadBalancerDrainTime(2200);
/// Interval between two checks while stopping.
constexpr std::chrono::milliseconds kStopTickInterval(100);
/// Number of daemons that is assumed to share rates and connections until more
/// are known: the smallest fleet in use.
constexpr std::size_t kMinAssumedFleetSize = 8;
/// Interval of queries to other daemons while the store does not answer. A
/// change must be in force within 4,000 ms, and the store may not answer the
/// queried daemon either.
constexpr std::chrono::milliseconds kDirectoryQueryInterval(500);
/// How long a proof for a peer may take; the peer gives up soon after.
constexpr std::chrono::milliseconds kPeerProofWait(250);
/// The process ends this long before the platform would kill it.
constexpr std::chrono::milliseconds kStopReserve(600);

/// Interval at which sessions are checked for their time limits, which are 10 s
/// and more.
constexpr std::chrono::milliseconds kTimesCheckInterval(1000);
/// Pause before connections are accepted again after a failure.
constexpr std::chrono::milliseconds kAcceptPause(100);
/// Buffers of the kernel for each client, in bytes. By default they grow to
/// megabytes, which are memory of the host. A message of 1 MiB still passes in
/// less than a second, as clients are a few milliseconds away.
constexpr int kClientReceiveBuffer = 16 * 1024;
constexpr int kClientSendBuffer = 32 * 1024;

/// Length of the watches of members. A database serves for longer than this
/// after it has announced that it leaves.
constexpr std::chrono::milliseconds kMemberWatchLength(6000);

}  // namespace

Proxy::Proxy(connection::EventLoop* loop, const WireCodec* codec,
             Platform* platform, ProxySettings settings)
    : loop(loop),
      codec(codec),
      platform(platform),
      settings(std::move(settings)),
      promotion_lease(platform, this->settings.location.host),
      acknowledgements(platform, &this->metrics),
      admission(&this->limiter, &this->metrics),
      limits(ChooseClientLimits(this->settings.resources)),
      large_messages(
          std::make_shared<LargeMessageQueue>(this->limits.large_messages)),
      large_responses(
          std::make_shared<LargeMessageQueue>(this->limits.large_responses)),
      forwarded(
          loop, codec,
          [this](const common::ServiceId& service) {
            return this->GroupOf(service);
          },
          [this] { return this->Configuration(); }) {
  this->limiter.SetTolerance(this->settings.rate_tolerance);
  this->limiter.SetFleet({kMinAssumedFleetSize, 1}, common::SteadyNow());
  this->Listen();
  this->readiness = std::make_unique<connection::HttpServer>(
      loop, this->settings.readiness, connection::HttpServerLimits{},
      [this](const connection::HttpRequest& request,
             const std::shared_ptr<connection::HttpResponder>& responder) {
        connection::HttpResponse response;
        if (request.path != this->settings.readiness_path) {
          response.status = 404;
        } else if (!this->Ready()) {
          response.status = 503;
        }
        responder->Send(response);
      });
  if (this->settings.metrics.has_value()) {
    this->metrics_server = std::make_unique<connection::HttpServer>(
        loop, *this->settings.metrics, connection::HttpServerLimits{},
        [this](const connection::HttpRequest& /*request*/,
               const std::shared_ptr<connection::HttpResponder>& responder) {
          connection::HttpResponse response;
          response.headers["content-type"] = "text/plain; version=0.0.4";
          this->UpdateGauges();
          response.body = this->metrics.ToText();
          responder->Send(response);
        });
  }
  DirectoryWatcherSettings watcher;
  watcher.kind = DirectoryKind::kConfiguration;
  watcher.watch_lengths =
      ChooseWatchLengths(this->settings.settling_time, WatchRole());
  this->configuration_watcher = std::make_unique<DirectoryWatcher>(
      loop, platform, &this->metrics, watcher,
      [this](const auto& objects) { this->OnConfigurations(objects); });
  watcher.kind = DirectoryKind::kMembers;
  watcher.watch_lengths = {kMemberWatchLength};
  watcher.removal_grace = kMemberRemovalGrace;
  this->member_watcher = std::make_unique<DirectoryWatcher>(
      loop, platform, &this->metrics, watcher,
      [this](const auto& objects) { this->OnMembers(objects); });
  if (this->settings.follows_evacuations) {
    watcher.kind = DirectoryKind::kEvacuations;
    watcher.watch_lengths =
        ChooseWatchLengths(this->settings.settling_time, WatchRole());
    watcher.removal_grace = common::Duration::zero();
    this->evacuation_watcher = std::make_unique<DirectoryWatcher>(
        loop, platform, &this->metrics, watcher,
        [this](const auto& objects) { this->OnEvacuations(objects); });
    this->evacuation_watcher->Start();
  }
  this->configuration_watcher->Start();
  this->member_watcher->Start();
  FleetCallbacks callbacks;
  callbacks.report = [this](bool with_proofs) {
    return this->MakeReport(with_proofs);
  };
  callbacks.on_reply = [this](const FleetReport& report,
                              common::SteadyTime requested_at) {
    this->OnReport(report, requested_at);
  };
  callbacks.on_peer_report = [this](const FleetReport& report) {
    if (report.store_era > 0) this->OnStoreEra(report.store_era);
    this->UpdateEvacuations(report.evacuations);
    this->CompareVersions(report);
  };
  callbacks.read_directory = [this](const DirectoryQuery& query) {
    return this->WatcherOf(query.kind)
        ->ObjectsSince(query.revision, query.version);
  };
  callbacks.relay_command = [this](const CommandRelay& request,
                                   const RelayCallback& done) {
    const std::shared_ptr<ServiceGroup> group = this->GroupOf(request.service);
    if (group == nullptr) {
      done(std::nullopt);
    } else {
      group->SendCommand(
          request.endpoint, request.command,
          [done](const CommandResult& result) { done(result.status); });
    }
  };
  callbacks.run_statement = [this](const ForwardedStatement& request,
                                   ForwardedCallback done) {
    this->forwarded.Run(request, std::move(done));
  };
  callbacks.end_transaction = [this](const TransactionEnd& request) {
    this->forwarded.EndTransaction(request);
  };
  callbacks.close_term = [this](const CloseTermRequest& request) {
    return this->CloseTerm(request);
  };
  callbacks.registered = [this](HostRegistration result) {
    this->acknowledgements.OnRegistered(result);
  };
  callbacks.prove_leadership = [this](const common::ServiceId& service,
                                      const ProofCallback& done) {
    this->ProveLeadership(service, done);
  };
  callbacks.on_size_changed = [this](const FleetSize& size) {
    this->OnFleetSize(size);
  };
  callbacks.on_hosts_pending = [this](std::size_t pending) {
    if (!this->initial_check.has_value()) return;
    this->initial_check->OnHostsPending(pending);
    this->CheckInitialConfiguration();
  };
  callbacks.rate_owners_changed = [this] { this->UpdateRateOwners(); };
  callbacks.admit = [this](const AdmissionRequest& request) {
    if (!this->limiter.MayAdmit()) {
      AdmissionReply reply;
      reply.declined = true;
      return reply;
    }
    return this->limiter.Admit(request, common::SteadyNow());
  };
  this->fleet =
      std::make_unique<FleetTask>(loop, platform, this->settings.location,
                                  this->settings.peers, std::move(callbacks));
  this->admission.SetFleet(this->fleet.get());
  platform->SetEraObserver([this](std::uint64_t era) {
    // The registration may have been acknowledged in this era too, before a
    // restore that a peer has already reported.
    if (era < this->store_era.value_or(0)) this->fleet->OnStoreRestored();
    this->OnStoreEra(era);
  });
  this->tick = loop->Every(kGroupTickInterval, [this] { this->Tick(); });
  common::Log(Subsystem::kProcess, LogLevel::kInfo, "started",
              {{"host", this->settings.location.host},
               {"domain", this->settings.location.domain},
               {"sources", common::SourceDigest()}});
}

Proxy::~Proxy() {
  this->platform->SetEraObserver(nullptr);
  if (this->listener != nullptr) evconnlistener_free(this->listener);
}

void Proxy::Listen() {
  sockaddr_in address = connection::ToSockaddrIn(this->settings.clients);
  this->listener = evconnlistener_new_bind(
      this->loop->Base(), OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kListenBacklog,
      reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (this->listener == nullptr) {
    throw connection::ListenError(this->settings.clients);
  }
  evconnlistener_set_error_cb(this->listener, OnAcceptError);
  // Accepted connections have the buffer sizes of the listening socket.
  const int socket = evconnlistener_get_fd(this->listener);
  setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &kClientReceiveBuffer,
             sizeof(kClientReceiveBuffer));
  setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &kClientSendBuffer,
             sizeof(kClientSendBuffer));
}

void Proxy::OnAcceptError(evconnlistener* listener, void* context) {
  auto* proxy = static_cast<Proxy*>(context);
  evconnlistener_disable(listener);
  proxy->CountLimit(LimitCause::kSessions);
  proxy->accept_timer = proxy->loop->After(kAcceptPause, [proxy] {
    if (proxy->listener != nullptr) evconnlistener_enable(proxy->listener);
  });
}

Proxy::OpenSessions Proxy::ListSessions() const {
  OpenSessions open;
  for (const auto& [raw, session] : this->sessions) {
    open.sessions.push_back(session);
    open.usages.push_back(session->Usage());
  }
  return open;
}

bool Proxy::MakeRoomForSession() {
  if (this->sessions.size() < this->limits.max_sessions) return true;
  const OpenSessions open = this->ListSessions();
  const std::optional<std::size_t> replaced =
      ChooseSessionToReplace(open.usages);
  if (!replaced.has_value()) return false;
  this->CloseForLimit(open.sessions[*replaced], LimitCause::kSessions);
  return true;
}

void Proxy::CloseForLimit(const std::shared_ptr<ClientSession>& session,
                          LimitCause cause) {
  this->CountLimit(cause);
  session->Abort(cause);
}

void Proxy::CountLimit(LimitCause cause) {
  this->metrics.Count("client_limits",
                      "Sessions that were closed or refused for a limit.",
                      "limit", ToString(cause));
}

void Proxy::CheckMeter() {
  if (this->meter->bytes <= this->limits.max_buffered_bytes) return;
  if (std::exchange(this->closes_largest, true)) return;
  // The caller may be a session that is to be closed.
  this->loop->Post([this] { this->CloseLargestSessions(); });
}

void Proxy::CloseLargestSessions() {
  this->closes_largest = false;
  const OpenSessions open = this->ListSessions();
  for (const std::size_t index :
       ChooseSessionsToClose(open.usages, this->limits.max_buffered_bytes)) {
    this->CloseForLimit(open.sessions[index], LimitCause::kMemory);
  }
}

void Proxy::CheckSessionTimes(common::SteadyTime now) {
  if (now < this->next_times_check) return;
  this->next_times_check = now + kTimesCheckInterval;
  const auto open = this->sessions;
  for (const auto& [raw, session] : open) {
    const auto cause = CheckTimes(this->limits, session->Times(), now);
    if (cause.has_value()) this->CloseForLimit(session, *cause);
  }
}

std::uint16_t Proxy::ClientPort() const {
  return connection::LocalPort(evconnlistener_get_fd(this->listener));
}

void Proxy::OnAccept(evconnlistener* /*listener*/, int socket,
                     sockaddr* /*address*/, int /*length*/, void* context) {
  auto* proxy = static_cast<Proxy*>(context);
  if (!proxy->MakeRoomForSession()) {
    proxy->CountLimit(LimitCause::kSessions);
    const std::string refusal = proxy->codec->EncodeError(
        StatementError::kTooManyConnections, "too many sessions");
    send(socket, refusal.data(), refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    evutil_closesocket(socket);
    return;
  }
  auto session =
      std::make_shared<ClientSession>(proxy->loop, proxy->codec, proxy, socket);
  proxy->sessions[session.get()] = session;
  session->Start();
}

void Proxy::UpdateGauges() {
  this->metrics.SetGauge("sessions", "Open client sessions.",
                         static_cast<std::int64_t>(this->sessions.size()));
  this->metrics.SetGauge("client_buffered_bytes",
                         "Bytes that all client sessions keep.",
                         static_cast<std::int64_t>(this->meter->bytes));
  this->metrics.SetGauge(
      "large_messages_waiting", "Client messages that wait for memory.",
      static_cast<std::int64_t>(this->large_messages->Waiting()));
  this->metrics.SetGauge("fleet_size", "Daemons that may be alive.",
                         static_cast<std::int64_t>(this->fleet_size));
  const auto in_force = this->Configuration();
  this->metrics.SetGauge(
      "configuration_version", "Version of the configuration in force.",
      in_force == nullptr ? 0 : static_cast<std::int64_t>(in_force->version));
  std::int64_t without_primary = 0;
  for (const auto& [service, group] : this->groups) {
    if (!group->Primary().has_value()) ++without_primary;
  }
  this->metrics.SetGauge("services_without_primary",
                         "Services of which no member is known to lead.",
                         without_primary);
}

bool Proxy::Ready() const {
  return this->Configuration() != nullptr && this->members_known &&
         !this->stopping_since.has_value();
}

std::shared_ptr<const DirectoryConfiguration> Proxy::Configuration() const {
  return this->initial_check.has_value() ? nullptr : this->configuration;
}

std::shared_ptr<ServiceGroup> Proxy::GroupOf(const common::ServiceId& service) {
  const auto found = this->groups.find(service);
  return found == this->groups.end() ? nullptr : found->second;
}

void Proxy::Admit(const common::WorkspaceId& workspace,
                  std::function<void(AdmissionDecision)> done) {
  this->admission.Admit(workspace, std::move(done));
}

void Proxy::UpdateConfigurationWatch() {
  // Rate owners watch the store without lag; the other daemons also learn of
  // changes from them.
  const WatchRole role = this->fleet->ConfigurationWatchRole();
  this->configuration_watcher->SetWatchLengths(
      ChooseWatchLengths(this->settings.settling_time, role));
  const bool may_lag = role.position >= role.close_watchers;
  this->acknowledgements.SetReadsEarly(!may_lag);
  this->configuration_watcher->SetWatchesMayLag(may_lag);
  if (this->evacuation_watcher == nullptr) return;
  this->evacuation_watcher->SetWatchLengths(
      ChooseWatchLengths(this->settings.settling_time, role));
  this->evacuation_watcher->SetWatchesMayLag(may_lag);
}

void Proxy::UpdateRateOwners() {
  if (this->fleet == nullptr) return;
  this->UpdateConfigurationWatch();
  if (this->configuration == nullptr) return;
  const common::SteadyTime now = common::SteadyNow();
  for (const auto& [workspace, rate] : this->configuration->workspaces) {
    this->limiter.SetOwned(workspace, this->fleet->OwnsRate(workspace), now);
  }
}

void Proxy::CountAnswer(const DatabaseRoute& route,
                        std::optional<StatementError> code,
                        common::Duration age) {
  this->metrics.CountAnswer(route.guarantee, code, age);
}

bool Proxy::ClosesSessions() const {
  return this->stopping_since.has_value() &&
         common::SteadyNow() - *this->stopping_since >= kLoadBalancerDrainTime;
}

void Proxy::OnSessionEnded(ClientSession* session) {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end()) return;
  // The session may be the caller, so it is destroyed later.
  this->loop->Post([keep = std::move(found->second)] {});
  this->sessions.erase(found);
}

void Proxy::OnConfigurations(
    const std::map<std::string, DirectoryValue>& objects) {
  for (const auto& [name, value] : objects) {
    const auto* found =
        std::get_if<std::shared_ptr<const DirectoryConfiguration>>(&value);
    if (found == nullptr) continue;
    const auto& candidate = *found;
    if (this->configuration != nullptr &&
        candidate->version <= this->configuration->version) {
      continue;
    }
    this->configuration = candidate;
    if (!this->initial_check.has_value()) this->LogConfigurationInForce();
    this->limiter.SetRates(candidate->workspaces, common::SteadyNow());
    this->UpdateRateOwners();
    this->UpdateGroups();
  }
  if (this->configuration == nullptr) return;
  if (this->initial_check.has_value()) {
    this->initial_check->OnConfiguration(this->configuration->version,
                                         common::SteadyNow());
    this->CheckInitialConfiguration();
    return;
  }
  this->NotifySessions();
}

void Proxy::CheckInitialConfiguration() {
  if (!this->initial_check.has_value()) return;
  for (const FleetHost& peer : this->initial_check->TakePeersToQuery()) {
    this->fleet->QueryDirectory(
        peer, this->NewQuery(DirectoryKind::kConfiguration),
        [this](const common::HostId& id, const SharedDirectory& shared) {
          this->OnDirectoryRelayed(DirectoryKind::kConfiguration, id, shared);
        });
  }
  if (!this->initial_check->Passed(common::SteadyNow())) return;
  this->initial_check.reset();
  this->LogConfigurationInForce();
  this->NotifySessions();
}

void Proxy::LogConfigurationInForce() {
  common::Log(Subsystem::kVersion, LogLevel::kInfo, "configuration_in_force",
              {{"version", this->configuration->version},
               {"routes", this->configuration->routes.size()},
               {"services", this->configuration->services.size()},
               {"workspaces", this->configuration->workspaces.size()}});
}

void Proxy::NotifySessions() {
  const auto open = this->sessions;
  for (const auto& [raw, session] : open) session->OnConfiguration();
}

void Proxy::OnMembers(const std::map<std::string, DirectoryValue>& objects) {
  this->members.clear();
  for (const auto& [name, value] : objects) {
    if (const auto* member = std::get_if<GroupMember>(&value)) {
      this->members[member->service].push_back(*member);
    }
  }
  this->members_known = true;
  this->UpdateGroups();
}

void Proxy::OnEvacuations(
    const std::map<std::string, DirectoryValue>& objects) {
  Evacuations latest;
  latest.as_of = this->evacuation_watcher->Revision();
  for (const auto& [name, value] : objects) {
    if (const auto* request = std::get_if<EvacuationRequest>(&value)) {
      latest.domains.insert(request->domain);
    }
  }
  this->UpdateEvacuations(latest);
}

void Proxy::UpdateEvacuations(const Evacuations& latest) {
  if (!this->settings.follows_evacuations) return;
  const bool is_first = this->evacuations.as_of == StoreRevision();
  if (!this->evacuations.Update(latest)) return;
  std::erase_if(this->evacuated_since, [&](const auto& item) {
    return !latest.domains.contains(item.first);
  });
  for (const common::FailureDomainId& domain : latest.domains) {
    // The first state that a daemon learns may be old.
    this->evacuated_since.try_emplace(
        domain, is_first ? common::SteadyTime() : common::SteadyNow());
  }
  std::vector<std::string> names;
  for (const common::FailureDomainId& domain : latest.domains) {
    names.push_back(domain.Value());
  }
  common::Log(
      Subsystem::kVersion, LogLevel::kInfo, "evacuations_changed",
      {{"domains", JoinForLog(names)}, {"revision", latest.as_of.number}});
  for (const auto& [service, group] : this->groups) {
    group->SetEvacuated(this->evacuated_since);
  }
}

void Proxy::UpdateGroups() {
  if (this->configuration == nullptr) return;
  for (const auto& [service, present] : this->members) {
    // Members of a service that is no longer declared are still followed
    // because of open transactions.
    const bool wanted = this->configuration->services.contains(service) ||
                        this->groups.contains(service);
    if (!wanted) continue;
    std::shared_ptr<ServiceGroup>& group = this->groups[service];
    if (group == nullptr) {
      GroupContext context;
      context.loop = this->loop;
      context.codec = this->codec;
      context.platform = this->platform;
      context.promotion_lease = &this->promotion_lease;
      context.refresh_members = [this](std::function<void(bool)> done) {
        this->member_watcher->Refresh(std::move(done));
      };
      context.follow_members_closely = [this] {
        return this->member_watcher->FollowClosely();
      };
      context.relay_command = [this](const CommandRelay& request,
                                     RelayCallback done) {
        this->fleet->RelayCommand(request, std::move(done));
      };
      context.forwarding = this->NewForwarding();
      context.closing = this->NewClosing();
      context.acknowledgements = &this->acknowledgements;
      context.metrics = &this->metrics;
      context.large_responses = this->large_responses;
      context.location = this->settings.location;
      group = std::make_shared<ServiceGroup>(context, service);
      group->SetEvacuated(this->evacuated_since);
    }
    group->SetMembers(present);
  }
  for (const auto& [service, group] : this->groups) {
    if (!this->members.contains(service)) group->SetMembers({});
  }
  this->UpdateChannelLimits();
}

StatementForwarding Proxy::NewForwarding() {
  StatementForwarding forwarding;
  forwarding.connection_owner = [this](const std::string& caller,
                                       const GroupMember& member) {
    return this->fleet->ConnectionOwner(caller, member);
  };
  forwarding.run_statement =
      [this](const FleetHost& owner, ForwardedStatement request,
             common::Duration timeout,
             std::function<void(const ForwardingResult&)> done) {
        this->fleet->RunStatement(owner, std::move(request), timeout,
                                  std::move(done));
      };
  forwarding.end_transaction = [this](const FleetHost& owner,
                                      std::uint64_t transaction) {
    this->fleet->EndTransaction(owner, transaction);
  };
  forwarding.prover = [this](const GroupMember& primary) {
    return this->fleet->ProverOf(primary);
  };
  forwarding.prove_leadership = [this](const FleetHost& prover,
                                       const common::ServiceId& service,
                                       ProofCallback done) {
    this->fleet->ProveLeadership(prover, service, std::move(done));
  };
  return forwarding;
}

TermClosing Proxy::NewClosing() {
  TermClosing closing;
  closing.list_hosts =
      [this](std::function<void(std::optional<std::vector<FleetHost>>)> done) {
        this->fleet->ListForClosing(std::move(done));
      };
  closing.close_at = [this](const FleetHost& host,
                            const CloseTermRequest& request,
                            std::function<void(const ClosingAnswer&)> done) {
    this->fleet->CloseTerm(host, request, std::move(done));
  };
  closing.close_here = [this](const CloseTermRequest& request) {
    return this->CloseTerm(request);
  };
  return closing;
}

CloseTermReply Proxy::CloseTerm(const CloseTermRequest& request) {
  const std::shared_ptr<ServiceGroup> group = this->GroupOf(request.service);
  return group == nullptr ? this->acknowledgements.Close(request)
                          : group->CloseTerm(request);
}

void Proxy::ProveLeadership(const common::ServiceId& service,
                            const ProofCallback& done) {
  const std::shared_ptr<ServiceGroup> group = this->GroupOf(service);
  if (group == nullptr) {
    done(std::nullopt);
    return;
  }
  const common::SteadyTime now = common::SteadyNow();
  group->ProveByItself(now);
  group->AwaitProof(now, kPeerProofWait, [group, now, done](bool /*proved*/) {
    done(group->RequiredPosition(now));
  });
}

FleetReport Proxy::MakeReport(bool with_proofs) {
  const common::SteadyTime now = common::SteadyNow();
  FleetReport report;
  report.host = this->fleet->Own();
  report.store_era = this->store_era.value_or(0);
  report.stopping = this->stopping_since.has_value();
  report.evacuations = this->evacuations;
  report.record = this->acknowledgements.Knowledge(now);
  if (const auto in_force = this->Configuration()) {
    report.configuration_version = in_force->version;
  }
  if (!with_proofs) return report;
  for (const auto& [service, group] : this->groups) {
    const auto leaving = group->KnownDepartures().Notices(now);
    report.departures.insert(report.departures.end(), leaving.begin(),
                             leaving.end());
    if (auto proof = group->LatestProof(now)) {
      report.proofs.push_back({service, proof->position, proof->age});
    }
  }
  return report;
}

void Proxy::OnStoreEra(std::uint64_t era) {
  if (this->store_era.has_value() && era <= *this->store_era) return;
  const bool restored = this->store_era.has_value();
  this->store_era = era;
  common::Log(Subsystem::kVersion,
              restored ? LogLevel::kWarning : LogLevel::kInfo,
              restored ? "store_restored" : "store_era", {{"era", era}});
  this->promotion_lease.OnEra(era, common::SteadyNow());
  this->configuration_watcher->OnEra(era);
  this->member_watcher->OnEra(era);
  if (this->evacuation_watcher != nullptr) {
    this->evacuation_watcher->OnEra(era);
  }
  if (restored) this->fleet->OnStoreRestored();
}

void Proxy::CompareVersions(const FleetReport& report) {
  const std::uint64_t own =
      this->configuration == nullptr ? 0 : this->configuration->version;
  if (report.configuration_version > own) {
    this->configuration_watcher->OnPeerAhead(common::SteadyNow());
    this->peer_ahead = report.host;
  }
  if (!this->initial_check.has_value()) return;
  this->initial_check->OnPeerVersion(report.host, report.configuration_version);
  this->CheckInitialConfiguration();
}

DirectoryWatcher* Proxy::WatcherOf(DirectoryKind kind) {
  return kind == DirectoryKind::kMembers ? this->member_watcher.get()
                                         : this->configuration_watcher.get();
}

void Proxy::QueryPeers(common::SteadyTime now) {
  if (now < this->next_directory_query) return;
  this->next_directory_query = now + kDirectoryQueryInterval;
  for (const DirectoryKind kind :
       {DirectoryKind::kConfiguration, DirectoryKind::kMembers}) {
    const DirectoryWatcher* watcher = this->WatcherOf(kind);
    if (!watcher->NeedsPeers(now)) continue;
    const auto receive = [this, kind](const common::HostId& peer,
                                      const SharedDirectory& shared) {
      this->OnDirectoryRelayed(kind, peer, shared);
    };
    // In a large fleet, few others may know the newer state yet.
    if (kind == DirectoryKind::kConfiguration && this->peer_ahead.has_value()) {
      this->fleet->QueryDirectory(*this->peer_ahead, this->NewQuery(kind),
                                  receive);
      this->peer_ahead.reset();
      continue;
    }
    this->fleet->QueryDirectory(this->NewQuery(kind), receive);
  }
}

DirectoryQuery Proxy::NewQuery(DirectoryKind kind) {
  const DirectoryWatcher* watcher = this->WatcherOf(kind);
  return {kind, watcher->Revision(), watcher->Version()};
}

void Proxy::OnDirectoryRelayed(DirectoryKind kind, const common::HostId& peer,
                               const SharedDirectory& shared) {
  if (!this->WatcherOf(kind)->MergeFromPeer(shared)) return;
  common::Log(Subsystem::kVersion, LogLevel::kInfo, "directory_relayed",
              {{"kind", ToString(kind)},
               {"peer", peer},
               {"era", shared.revision.era},
               {"revision", shared.revision.number}});
}

void Proxy::OnReport(const FleetReport& report,
                     common::SteadyTime requested_at) {
  if (report.store_era > 0) this->OnStoreEra(report.store_era);
  this->UpdateEvacuations(report.evacuations);
  this->CompareVersions(report);
  if (report.record.has_value()) {
    this->acknowledgements.OnPeerKnowledge(*report.record, requested_at);
  }
  for (const DepartureNotice& notice : report.departures) {
    for (const auto& [service, group] : this->groups) {
      group->OnPeerDeparture(notice, requested_at - notice.age);
    }
  }
  for (const SharedProof& proof : report.proofs) {
    const auto found = this->groups.find(proof.service);
    if (found == this->groups.end()) continue;
    // The peer wrote its report after the request, so the proof is at most as
    // old as stated plus the time since the request.
    found->second->AddProof(requested_at - proof.age, proof.position);
  }
}

void Proxy::OnFleetSize(const FleetSize& size) {
  const bool resized = std::exchange(this->fleet_size, size.live) != size.live;
  this->hosts_in_domain = this->fleet->SizeOf(this->settings.location.domain);
  // A daemon that knows few others yet must not take their shares.
  FleetView view = size.recent;
  if (!size.listed) view.size = std::max(view.size, kMinAssumedFleetSize);
  this->limiter.SetFleet(view, common::SteadyNow());
  if (resized) this->UpdateChannelLimits();
}

void Proxy::UpdateChannelLimits() {
  if (this->configuration == nullptr) return;
  const std::size_t assumed_size =
      std::max(this->fleet_size, kMinAssumedFleetSize);
  for (const auto& [service, group] : this->groups) {
    const auto declared = this->configuration->services.find(service);
    if (declared == this->configuration->services.end()) continue;
    group->SetConnectionUsers({declared->second.max_connections, assumed_size},
                              this->hosts_in_domain);
  }
}

void Proxy::Tick() {
  const common::SteadyTime now = common::SteadyNow();
  this->acknowledgements.Tick(now);
  for (const auto& [service, group] : this->groups) group->Tick(now);
  this->QueryPeers(now);
  this->CheckInitialConfiguration();
  this->CheckSessionTimes(now);
  // Idle limits of transactions are seconds, so checking on every other tick is
  // enough.
  this->tick_odd = !this->tick_odd;
  if (this->tick_odd || this->configuration == nullptr) return;
  for (const auto& [raw, session] : this->sessions) {
    session->EndIdleTransaction(now,
                                this->configuration->transaction_idle_limit);
  }
  this->forwarded.EndIdle(now, this->configuration->transaction_idle_limit);
}

void Proxy::BeginStop() {
  if (this->stopping_since.has_value()) return;
  this->stopping_since = common::SteadyNow();
  this->forwarded.RefuseNew();
  common::Log(Subsystem::kProcess, LogLevel::kInfo, "stop_requested",
              {{"sessions", this->sessions.size()}});
  this->stop_timer =
      this->loop->Every(kStopTickInterval, [this] { this->OnStopTick(); });
}

void Proxy::OnStopTick() {
  const common::Duration age = common::SteadyNow() - *this->stopping_since;
  if (age < kLoadBalancerDrainTime) return;
  // The load balancer no longer sends new connections to this daemon.
  if (this->listener != nullptr) {
    evconnlistener_free(std::exchange(this->listener, nullptr));
  }
  const auto open = this->sessions;
  const bool transactions_end = age >= this->settings.stop_grace / 2;
  for (const auto& [raw, session] : open) {
    if (session->CloseIfIdle()) continue;
    if (transactions_end) session->AbortTransaction("stopping");
  }
  if (transactions_end) this->forwarded.EndTransactions();
  const bool over = age >= this->settings.stop_grace - kStopReserve;
  if (!over && !(this->sessions.empty() && this->forwarded.Idle())) return;
  common::Log(Subsystem::kProcess, LogLevel::kInfo, "stopped",
              {{"sessions", this->sessions.size()},
               {"after_ms", common::ToMilliseconds(age).count()}});
  this->loop->Stop();
}

}  // namespace camphorferry::session
