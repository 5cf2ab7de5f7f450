#include "Process/daemon.h"

#include <csignal>
#include <random>
#include <set>
#include <utility>

namespace camphorferry::process {

namespace {

constexpr std::size_t kEventLogCapacity = 4096;
constexpr std::chrono::milliseconds kStoreTimeout(1000);
/// Maximum time from the start of a shutdown to the end of the process.
constexpr std::chrono::seconds kMaxDrainTime(30);
/// Slots are released 5.05 s after their last use, when no loan from them can
/// still run.
constexpr std::chrono::seconds kSlotReleaseLimit(10);
constexpr std::chrono::milliseconds kIdleCheckInterval(20);

std::uint64_t NewIncarnation() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

}  // namespace

Daemon::Daemon(const Settings& settings)
    : settings(settings),
      incarnation(NewIncarnation()),
      events(settings.host, kEventLogCapacity),
      store(&this->loop, settings.store, kStoreTimeout),
      peers(&this->loop, &this->events),
      membership(settings.host, settings.domain, this->incarnation,
                 common::SteadyNow()),
      router(&this->loop, settings.host, &this->membership, &this->peers,
             &this->counters),
      endpoint_owner(
          &this->loop, &this->events, &this->counters, &this->primaries,
          settings.host.Value() + "." + std::to_string(this->incarnation),
          [this](const common::EndpointId& endpoint,
                 common::LogPosition position, common::Duration wait,
                 ConfirmBatcher::Callback done) {
            this->router.Confirm(endpoint, position, wait, std::move(done));
          }),
      rates(&this->loop, &this->store, &this->peers, &this->events,
            &this->counters, settings.host, this->incarnation, settings.domain),
      configuration(&this->loop, &this->store, &this->peers, &this->events,
                    [this](const version::ConfigurationPointer& current) {
                      this->OnConfiguration(current);
                    }),
      membership_task(
          &this->loop, &this->store, &this->peers, &this->membership, settings,
          this->incarnation,
          {[this] {
             const auto& current = this->configuration.Current();
             return current == nullptr ? 0 : current->version;
           },
           [this](const common::HostId& peer, std::uint64_t version) {
             this->configuration.OnPeerVersion(peer, version);
           },
           [this] { this->OnMembershipRound(); }}) {
  this->router.SetLocalOwner(&this->endpoint_owner);
  this->request_context.loop = &this->loop;
  this->request_context.rates = &this->rates;
  this->request_context.primaries = &this->primaries;
  this->request_context.router = &this->router;
  this->request_context.counters = &this->counters;
  this->request_context.session_secrets = settings.session_secrets;
  this->request_context.own_domain = settings.domain;
  this->peer_server = std::make_unique<GrpcPeerServer>(
      &this->loop, settings.peers, &this->events, this);
  this->operator_server = std::make_unique<OperatorHttpServer>(
      &this->loop, settings.operators, &this->store, &this->configuration,
      &this->counters, &this->events,
      OperatorCallbacks{[this] { return this->Status(); },
                        [this] { this->StartDrain(); },
                        [this] { this->RefreshCounters(); }});
  this->client_server = std::make_unique<ClientHttpServer>(
      &this->loop, settings.clients, &this->request_context,
      [this] { return this->Ready(); });
}

Daemon::~Daemon() {
  // gRPC's threads post to the event loop, so they must stop before it is
  // destroyed.
  this->peer_server->Shutdown(common::Duration::zero());
}

void Daemon::Run() {
  this->loop.OnSignal(SIGTERM, [this] { this->StartDrain(); });
  this->loop.OnSignal(SIGINT, [this] { this->StartDrain(); });
  this->events.Record(common::WallNow(), common::Subsystem::kProcess,
                      "daemon_started",
                      {{"host", this->settings.host},
                       {"domain", this->settings.domain},
                       {"clients_port", this->ClientPort()},
                       {"operators_port", this->OperatorPort()},
                       {"peers_port", this->PeerPort()}});
  this->membership_task.Start();
  this->configuration.Start();
  this->loop.Run();
}

void Daemon::OnExecute(connection::StatementCall call,
                       std::function<void(connection::StatementReply)> done) {
  this->endpoint_owner.Execute(std::move(call), std::move(done));
}

void Daemon::OnConfirm(const common::EndpointId& endpoint,
                       common::LogPosition position, common::Duration wait,
                       std::function<void(connection::ConfirmReply)> done) {
  this->endpoint_owner.Confirm(endpoint, position, wait, std::move(done));
}

HeartbeatExchange Daemon::OnHeartbeat(const HeartbeatExchange& exchange) {
  return this->membership_task.OnHeartbeat(exchange);
}

PeerConfiguration Daemon::OnPullConfiguration(std::uint64_t have_version) {
  return this->configuration.OnPull(have_version);
}

std::uint64_t Daemon::OnPushConfiguration(const PeerConfiguration& pushed) {
  return this->configuration.OnPush(pushed);
}

PeerRateLoan Daemon::OnBorrowRate(const common::WorkspaceId& workspace,
                                  std::uint64_t wanted_millitokens) {
  return this->rates.Lend(workspace,
                          static_cast<Millitokens>(wanted_millitokens));
}

void Daemon::OnConfiguration(const version::ConfigurationPointer& current) {
  this->request_context.configuration = current;
  this->request_context.keys =
      std::make_shared<const version::KeyRing>(*current);
  this->router.SetConfiguration(current);
  this->endpoint_owner.SetConfiguration(current);
  this->rates.SetConfiguration(current);
  this->UpdateOwnership();
}

void Daemon::OnMembershipRound() {
  std::set<common::HostId> domain_peers;
  std::vector<common::HostId> lenders;
  std::vector<common::HostId> remote_lenders;
  std::set<common::HostId> domain_hosts = {this->settings.host};
  std::set<common::HostId> live;
  for (const auto& [peer, domain] : this->membership_task.KnownPeers()) {
    const bool same_domain = domain == this->settings.domain;
    if (same_domain) domain_peers.insert(peer);
    if (same_domain) domain_hosts.insert(peer);
    if (!this->membership.IsLive(peer, common::SteadyNow())) continue;
    live.insert(peer);
    (same_domain ? lenders : remote_lenders).push_back(peer);
  }
  lenders.insert(lenders.end(), remote_lenders.begin(), remote_lenders.end());
  this->configuration.SetDomainPeers(domain_peers);
  this->rates.SetDomainHosts(domain_hosts);
  this->rates.SetLenders(std::move(lenders));
  const std::vector<common::HostId> watchers =
      this->membership.WatchersOf(this->settings.domain, common::SteadyNow());
  const bool watching = std::find(watchers.begin(), watchers.end(),
                                  this->settings.host) != watchers.end();
  this->configuration.SetWatching(watching);
  this->membership_task.SetWatching(watching);
  if (!this->reported_live && this->Ready()) {
    this->reported_live = true;
    this->events.Record(common::WallNow(), common::Subsystem::kProcess,
                        "daemon_ready", {});
    this->membership_task.SetState(PeerState::kLive);
    return;
  }
  // Computing the owner of every endpoint takes time that grows with the number
  // of services, so it is done only when the set of live daemons has changed.
  const bool self_live =
      this->membership.IsLive(this->settings.host, common::SteadyNow());
  if (self_live) live.insert(this->settings.host);
  if (live == this->live_hosts) return;
  this->live_hosts = std::move(live);
  this->UpdateOwnership();
}

void Daemon::UpdateOwnership() {
  const version::ConfigurationPointer& current = this->configuration.Current();
  if (current == nullptr) return;
  std::map<common::ServiceId, ServiceOwnership> ownership;
  for (const auto& [id, service] : current->services) {
    std::set<common::HostId> owners;
    for (const version::Endpoint& endpoint : service.endpoints) {
      owners.insert(this->router.OwnerOf(endpoint.id));
    }
    if (!owners.contains(this->settings.host)) continue;
    owners.erase(common::HostId());
    const std::vector<common::HostId> order = common::RendezvousOrder(
        id.Value(), std::vector<common::HostId>(owners.begin(), owners.end()));
    const auto position =
        std::find(order.begin(), order.end(), this->settings.host);
    ownership[id].rank = static_cast<std::size_t>(position - order.begin());
  }
  this->endpoint_owner.SetOwnership(ownership);
}

bool Daemon::Ready() const {
  return this->configuration.Ready() &&
         this->configuration.Current() != nullptr && this->rates.Started() &&
         !this->request_context.draining;
}

nlohmann::json Daemon::Status() const {
  const auto& current = this->configuration.Current();
  nlohmann::json primaries = nlohmann::json::object();
  nlohmann::json owners = nlohmann::json::object();
  if (current != nullptr) {
    for (const auto& [id, service] : current->services) {
      const connection::PrimaryHint primary = this->primaries.Find(id);
      primaries[id.Value()] = {{"endpoint", primary.endpoint.Value()},
                               {"term", primary.term}};
      for (const version::Endpoint& endpoint : service.endpoints) {
        owners[endpoint.id.Value()] = this->router.OwnerOf(endpoint.id).Value();
      }
    }
  }
  return {{"host", this->settings.host.Value()},
          {"domain", this->settings.domain.Value()},
          {"ready", this->Ready()},
          {"draining", this->request_context.draining},
          {"configuration_version", current == nullptr ? 0 : current->version},
          {"rate_slots", this->rates.HeldSlots()},
          {"primaries", std::move(primaries)},
          {"owners", std::move(owners)}};
}

void Daemon::RefreshCounters() {
  this->counters.Set(
      "client_connections",
      static_cast<std::int64_t>(this->client_server->OpenConnections()));
  this->counters.Set(
      "client_requests_active",
      static_cast<std::int64_t>(this->client_server->ActiveRequests()));
  this->counters.Set("rate_slots_held",
                     static_cast<std::int64_t>(this->rates.HeldSlots()));
}

void Daemon::StartDrain() {
  if (this->request_context.draining) return;
  this->request_context.draining = true;
  this->drain_deadline = common::SteadyNow() + kMaxDrainTime;
  this->events.Record(common::WallNow(), common::Subsystem::kProcess,
                      "drain_started", {});
  this->membership_task.SetState(PeerState::kDraining);
  // The load balancer needs this time to detect that the daemon is not ready.
  this->drain_timer = this->loop.After(this->settings.shutdown_notice, [this] {
    this->client_server->StopListening();
    this->rates.Drain(kSlotReleaseLimit, [this] { this->FinishDrain(); });
  });
}

void Daemon::FinishDrain() {
  this->drain_timer =
      this->loop.Every(kIdleCheckInterval, [this] { this->StopWhenIdle(); });
}

void Daemon::StopWhenIdle() {
  const bool idle =
      this->client_server->ActiveRequests() == 0 && this->endpoint_owner.Idle();
  if (!idle && common::SteadyNow() < this->drain_deadline) return;
  this->events.Record(common::WallNow(), common::Subsystem::kProcess,
                      "daemon_stopped", {{"idle", idle ? "yes" : "no"}});
  this->loop.Stop();
}

}  // namespace camphorferry::process
