#include "Process/membership_task.h"

#include <algorithm>
#include <utility>

namespace camphorferry::process {

namespace {

constexpr std::chrono::seconds kHostListInterval(1);
/// Daemons that do not watch the store read the host list only in every tenth
/// interval, because the store's rate of reads must grow more slowly than the
/// fleet.
constexpr int kIntervalsBetweenReads = 10;
/// Number of intervals after startup in which every daemon reads the host list.
constexpr int kStartupReads = 5;

}  // namespace

MembershipTask::MembershipTask(connection::EventLoop* loop,
                               connection::ObjectStore* store,
                               GrpcPeerClient* peers, Membership* membership,
                               const Settings& settings,
                               std::uint64_t incarnation, Callbacks callbacks)
    : loop(loop),
      store(store),
      peers(peers),
      membership(membership),
      self(settings.host),
      domain(settings.domain),
      incarnation(incarnation),
      configured_peers(settings.peer_hosts),
      callbacks(std::move(callbacks)) {}

void MembershipTask::Start() {
  this->ApplyHosts({});
  this->heartbeat_timer =
      this->loop->Every(kHeartbeatInterval, [this] { this->RunRound(); });
  this->host_list_timer =
      this->loop->Every(kHostListInterval, [this] { this->ReadHosts(); });
  this->RunRound();
  this->ReadHosts();
}

void MembershipTask::SetState(PeerState state) {
  this->state = state;
  this->membership->SetOwnState(state);
  this->RunRound();
}

HeartbeatExchange MembershipTask::OnHeartbeat(
    const HeartbeatExchange& exchange) {
  this->ProcessExchange(exchange);
  return this->OwnExchange(exchange.heartbeat.domain);
}

void MembershipTask::RunRound() {
  for (const common::HostId& target :
       this->membership->StartHeartbeatRound(common::SteadyNow())) {
    const auto target_domain = this->peer_domains.find(target);
    if (target_domain == this->peer_domains.end()) continue;
    this->peers->Heartbeat(
        target, this->OwnExchange(target_domain->second),
        [this](const std::optional<HeartbeatExchange>& answer) {
          if (answer) this->ProcessExchange(*answer);
        });
  }
  this->callbacks.on_round();
}

void MembershipTask::ReadHosts() {
  const int interval = this->host_list_intervals++;
  const bool due = this->watching || interval < kStartupReads ||
                   interval % kIntervalsBetweenReads == 0;
  if (this->reading_hosts || !due) return;
  this->reading_hosts = true;
  this->store->ReadHosts([this](const connection::HostListResult& result) {
    this->reading_hosts = false;
    const auto* listed =
        std::get_if<std::vector<connection::HostListEntry>>(&result);
    if (listed != nullptr) this->ApplyHosts(*listed);
  });
}

void MembershipTask::ProcessExchange(const HeartbeatExchange& exchange) {
  this->membership->OnHeartbeat(exchange.heartbeat, common::SteadyNow());
  this->callbacks.on_version(exchange.heartbeat.host,
                             exchange.configuration_version);
}

HeartbeatExchange MembershipTask::OwnExchange(
    const common::FailureDomainId& receiver) const {
  HeartbeatExchange exchange;
  exchange.heartbeat.host = this->self;
  exchange.heartbeat.incarnation = this->incarnation;
  exchange.heartbeat.domain = this->domain;
  exchange.heartbeat.state = this->state;
  exchange.heartbeat.reports =
      this->membership->Reports(receiver, common::SteadyNow());
  exchange.configuration_version = this->callbacks.configuration_version();
  return exchange;
}

void MembershipTask::ApplyHosts(
    const std::vector<connection::HostListEntry>& listed) {
  std::map<common::HostId, ListedHost> hosts;
  hosts[this->self] = {this->self, this->domain, false};
  for (const PeerSetting& peer : this->configured_peers) {
    hosts[peer.id] = {peer.id, peer.domain, false};
    this->peers->SetAddress(peer.id, connection::ToString(peer.address));
  }
  for (const connection::HostListEntry& entry : listed) {
    const bool leaving = entry.state == connection::HostListState::kLeaving;
    hosts[entry.host] = {entry.host, entry.domain, leaving};
    if (entry.host == this->self) continue;
    this->peers->SetAddress(entry.host, entry.address);
  }
  std::vector<ListedHost> host_list;
  this->peer_domains.clear();
  for (const auto& [id, host] : hosts) {
    host_list.push_back(host);
    if (id != this->self) this->peer_domains[id] = host.domain;
  }
  this->membership->SetHosts(host_list, common::SteadyNow());
}

}  // namespace camphorferry::process
