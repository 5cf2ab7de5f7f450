#include "Session/fleet_task.h"

#include <map>
#include <utility>

namespace camphorferry::session {

namespace {

using common::LogLevel;
using common::Subsystem;

/// Interval at which peers that are due are contacted: a fifth of the shortest
/// exchange interval.
constexpr std::chrono::milliseconds kExchangeTickInterval(100);
/// Limit of an exchange of reports, of a directory query or of a closing of
/// terms; a peer that takes longer counts as not answering.
constexpr std::chrono::milliseconds kExchangeTimeout(400);
/// Limit of an admission request; a rate owner that takes longer counts as not
/// answering. A call between regions takes 40 ms, and the operation of a client
/// waits meanwhile.
constexpr std::chrono::milliseconds kAdmissionTimeout(250);
/// Limit of a command that a peer relays: a call between regions (40 ms) beside
/// the time that the peer gives the member (400 ms).
constexpr std::chrono::milliseconds kRelayTimeout(500);
/// Limit of a proof by a peer: two status requests and a call, each at most a
/// round trip between regions (40 ms), and a round that is in progress.
constexpr std::chrono::milliseconds kProofTimeout(300);
/// Number of peers that are asked at once to relay a command. In a small fleet
/// it is all, since any of them may be the only one that reaches the member.
constexpr std::size_t kMaxRelays = 8;
/// Pause after a registration or a listing of the hosts without a result.
constexpr std::chrono::milliseconds kDirectoryRetryPause(1000);
/// Interval at which the hosts are listed again. Peers report themselves, so
/// this only finds those whose reports were all lost.
constexpr std::chrono::seconds kListInterval(20);

/// The reply of a rate owner; none if it has declined to decide.
std::optional<OwnerReply> DecisionOf(const AdmissionReply& reply,
                                     const common::HostId& rate_owner) {
  if (reply.declined) return std::nullopt;
  return OwnerReply{reply, rate_owner};
}

}  // namespace

FleetTask::FleetTask(connection::EventLoop* loop, Platform* platform,
                     HostLocation location,
                     const connection::SocketAddress& listen,
                     FleetCallbacks callbacks)
    : loop(loop),
      platform(platform),
      own{location.host, "", location.domain, location.millicores},
      membership(std::move(location)),
      callbacks(std::move(callbacks)) {
  FleetHandlers handlers;
  handlers.exchange = [this](const FleetReport& report) {
    return this->OnPeerReport(report);
  };
  handlers.admit = [this](const AdmissionRequest& request) {
    this->OnReply(request.requester);
    return this->callbacks.admit(request);
  };
  handlers.read_directory = [this](const DirectoryQuery& query) {
    return this->callbacks.read_directory(query);
  };
  handlers.relay_command = [this](const CommandRelay& request,
                                  RelayCallback done) {
    this->callbacks.relay_command(request, std::move(done));
  };
  handlers.run_statement = [this](const ForwardedStatement& request,
                                  ForwardedCallback done) {
    this->OnReply(request.requester);
    this->callbacks.run_statement(request, std::move(done));
  };
  handlers.end_transaction = this->callbacks.end_transaction;
  handlers.prove_leadership = this->callbacks.prove_leadership;
  handlers.close_term = this->callbacks.close_term;
  this->transport = NewGrpcFleetTransport(loop, listen, std::move(handlers));
  this->own.peer_address =
      connection::ToString({listen.ip, this->transport->Port()});
  this->exchange_timer =
      loop->Every(kExchangeTickInterval, [this] { this->ExchangeReports(); });
  // Peers are contacted while this daemon registers.
  this->ReadHosts(DirectoryFreshness::kAllowStale, [](bool /*answered*/) {});
  this->Register();
}

FleetTask::~FleetTask() { *this->alive = false; }

void FleetTask::Register() {
  this->platform->RegisterHost(
      this->own, [this, still_alive = this->alive,
                  call = ++this->last_registration](HostRegistration result) {
        if (!*still_alive || call != this->last_registration) return;
        if (result == HostRegistration::kFailed) {
          this->register_timer = this->loop->After(
              kDirectoryRetryPause, [this] { this->Register(); });
          return;
        }
        if (this->callbacks.registered) this->callbacks.registered(result);
        // Of two daemons that start at the same time, at least the one that
        // lists the hosts after its registration finds the other.
        this->ListHosts();
      });
}

void FleetTask::OnStoreRestored() {
  this->register_timer.reset();
  this->list_timer.reset();
  this->Register();
}

void FleetTask::ListHosts() {
  // Only the first listing must contain every host that has registered before.
  this->ReadHosts(
      this->hosts_listed ? DirectoryFreshness::kAllowStale
                         : DirectoryFreshness::kLatest,
      [this](bool answered) {
        if (answered) {
          this->hosts_listed = true;
          this->fleet_known = true;
        }
        this->list_timer = this->loop->After(
            answered ? common::Duration(kListInterval) : kDirectoryRetryPause,
            [this] { this->ListHosts(); });
      });
}

void FleetTask::ReadHosts(DirectoryFreshness freshness,
                          std::function<void(bool answered)> done) {
  this->platform->List(
      DirectoryKind::kHosts, freshness,
      [this, still_alive = this->alive,
       done = std::move(done)](const DirectoryResult& result) {
        if (!*still_alive) return;
        const auto* changes = std::get_if<DirectoryChanges>(&result);
        if (changes == nullptr) {
          done(false);
          return;
        }
        for (const DirectoryChange& change : changes->changes) {
          if (const auto* host = std::get_if<FleetHost>(&change.value)) {
            this->membership.Add(*host, common::SteadyNow());
          }
        }
        this->hosts_read = true;
        done(true);
        this->ExchangeReports();
        this->ReportPending();
      });
}

void FleetTask::ExchangeReports() {
  const common::SteadyTime now = common::SteadyNow();
  for (const FleetHost& lost : this->membership.RemoveLost(now)) {
    common::Log(Subsystem::kProcess, LogLevel::kWarning, "peer_lost",
                {{"peer", lost.id}});
    this->transport->Disconnect(lost.peer_address);
  }
  const std::vector<FleetHost> due = this->membership.TakeDuePeers(now);
  FleetReport own_report;
  if (!due.empty()) own_report = this->OwnReport(false);
  for (const FleetHost& peer : due) {
    this->transport->Exchange(
        peer.peer_address, own_report, kExchangeTimeout,
        [this, still_alive = this->alive, id = peer.id,
         requested_at = now](const std::optional<FleetReport>& report) {
          if (!*still_alive) return;
          if (report.has_value()) {
            this->OnReply(id);
            this->TakeReport(id, *report, requested_at);
            this->callbacks.on_reply(*report, requested_at);
          } else {
            this->OnNoReply(id);
          }
          this->ReportPending();
        });
  }
  this->ReportChanges();
}

FleetReport FleetTask::OwnReport(bool with_proofs) const {
  const common::SteadyTime now = common::SteadyNow();
  FleetReport report = this->callbacks.report(with_proofs);
  report.fleet_size = this->membership.SeenSize(now);
  report.misses_domain = this->membership.SeesDomainMissing(now);
  return report;
}

void FleetTask::TakeReport(const common::HostId& peer,
                           const FleetReport& report,
                           common::SteadyTime called_at) {
  this->membership.SetStopping(peer, report.stopping, called_at);
  this->membership.SetSeen(peer, report.fleet_size, report.misses_domain);
}

FleetReport FleetTask::OnPeerReport(const FleetReport& report) {
  this->membership.Add(report.host, common::SteadyNow());
  this->OnReply(report.host.id);
  this->TakeReport(report.host.id, report, common::SteadyNow());
  this->fleet_known = true;
  this->callbacks.on_peer_report(report);
  this->ReportPending();
  return this->OwnReport(true);
}

void FleetTask::OnReply(const common::HostId& peer) {
  this->membership.OnReply(peer, common::SteadyNow());
}

void FleetTask::OnNoReply(const common::HostId& peer) {
  if (!this->membership.OnNoReply(peer, common::SteadyNow())) return;
  common::Log(Subsystem::kProcess, LogLevel::kWarning, "peer_silent",
              {{"peer", peer}});
}

bool FleetTask::OwnsRate(const common::WorkspaceId& workspace) {
  return !this->membership.RateOwnerOf(workspace).has_value();
}

void FleetTask::RequestAdmission(
    AdmissionRequest request, const common::HostId& last_owner,
    const std::function<void(std::optional<OwnerReply>)>& done) {
  if (!this->fleet_known) {
    done(std::nullopt);
    return;
  }
  const std::optional<FleetHost> rate_owner =
      this->membership.RateOwnerOf(request.workspace);
  request.requester = this->own.id;
  const common::HostId& owner_id =
      rate_owner.has_value() ? rate_owner->id : this->own.id;
  request.changed_owner = !last_owner.Empty() && last_owner != owner_id;
  if (!rate_owner.has_value()) {
    done(DecisionOf(this->callbacks.admit(request), this->own.id));
    return;
  }
  this->transport->Admit(rate_owner->peer_address, request, kAdmissionTimeout,
                         [this, still_alive = this->alive, id = rate_owner->id,
                          done](const std::optional<AdmissionReply>& reply) {
                           if (!*still_alive) return;
                           if (!reply.has_value()) {
                             this->OnNoReply(id);
                             done(std::nullopt);
                             return;
                           }
                           this->OnReply(id);
                           done(DecisionOf(*reply, id));
                         });
}

std::optional<FleetHost> FleetTask::ConnectionOwner(const std::string& caller,
                                                    const GroupMember& member) {
  return this->membership.ConnectionOwnerOf(caller + "/" + member.id.Value(),
                                            member.domain);
}

void FleetTask::RunStatement(
    const FleetHost& owner, ForwardedStatement request,
    common::Duration timeout,
    std::function<void(const ForwardingResult&)> done) {
  request.requester = this->own.id;
  this->transport->RunStatement(
      owner.peer_address, request, timeout,
      [this, still_alive = this->alive, id = owner.id,
       done = std::move(done)](const ForwardingResult& result) {
        if (!*still_alive) return;
        if (const auto* reply = std::get_if<ForwardedResult>(&result)) {
          this->OnReply(id);
          const auto* failure = std::get_if<AttemptFailure>(&reply->outcome);
          if (failure != nullptr && *failure == AttemptFailure::kStopping) {
            this->membership.SetStopping(id, true, common::SteadyNow());
          }
        } else {
          this->OnNoReply(id);
        }
        done(result);
      });
}

void FleetTask::EndTransaction(const FleetHost& owner, std::uint64_t number) {
  this->transport->EndTransaction(owner.peer_address, {this->own.id, number},
                                  kExchangeTimeout);
}

std::optional<FleetHost> FleetTask::ProverOf(const GroupMember& primary) {
  return this->membership.ConnectionOwnerOf(primary.service.Value(),
                                            primary.domain);
}

void FleetTask::ProveLeadership(const FleetHost& prover,
                                const common::ServiceId& service,
                                ProofCallback done) {
  this->transport->ProveLeadership(
      prover.peer_address, service, kProofTimeout,
      [still_alive = this->alive, done = std::move(done)](
          const std::optional<common::LogPosition>& position) {
        if (*still_alive) done(position);
      });
}

void FleetTask::ListForClosing(
    std::function<void(std::optional<std::vector<FleetHost>>)> done) {
  this->platform->List(
      DirectoryKind::kHosts, DirectoryFreshness::kLatest,
      [this, still_alive = this->alive,
       done = std::move(done)](const DirectoryResult& result) {
        if (!*still_alive) return;
        const auto* changes = std::get_if<DirectoryChanges>(&result);
        if (changes == nullptr) {
          done(std::nullopt);
          return;
        }
        std::map<common::HostId, FleetHost> hosts;
        for (const DirectoryChange& change : changes->changes) {
          if (change.removed) continue;
          if (const auto* host = std::get_if<FleetHost>(&change.value)) {
            hosts[host->id] = *host;
          } else {
            // The daemon may run, but can't be asked.
            const common::HostId id(change.name);
            hosts.try_emplace(id, FleetHost{id, "", {}});
          }
        }
        // A daemon that has restarted at another address and is still listed
        // with the former one reads the lease record after its registration.
        for (const FleetHost& peer : this->membership.Peers()) {
          hosts.try_emplace(peer.id, peer);
        }
        hosts.erase(this->own.id);
        std::vector<FleetHost> others;
        others.reserve(hosts.size());
        for (const auto& [id, host] : hosts) others.push_back(host);
        done(std::move(others));
      });
}

void FleetTask::CloseTerm(const FleetHost& host,
                          const CloseTermRequest& request,
                          std::function<void(const ClosingAnswer&)> done) {
  this->transport->CloseTerm(
      host.peer_address, request, kExchangeTimeout,
      [this, still_alive = this->alive, id = host.id,
       done = std::move(done)](const ClosingAnswer& answer) {
        if (!*still_alive) return;
        if (std::holds_alternative<CloseTermReply>(answer)) {
          this->OnReply(id);
        } else {
          this->OnNoReply(id);
        }
        done(answer);
      });
}

void FleetTask::QueryDirectory(const DirectoryQuery& query,
                               DirectoryReceiver done) {
  const std::optional<FleetHost> peer = this->membership.NextResponsive();
  if (peer.has_value()) this->QueryDirectory(*peer, query, std::move(done));
}

void FleetTask::QueryDirectory(const FleetHost& peer,
                               const DirectoryQuery& query,
                               DirectoryReceiver done) {
  this->transport->ReadDirectory(
      peer.peer_address, query, kExchangeTimeout,
      [this, still_alive = this->alive, id = peer.id,
       done = std::move(done)](const std::optional<SharedDirectory>& shared) {
        if (!*still_alive) return;
        if (!shared.has_value()) {
          this->OnNoReply(id);
          return;
        }
        this->OnReply(id);
        done(id, *shared);
      });
}

void FleetTask::RelayCommand(const CommandRelay& request, RelayCallback done) {
  const std::vector<FleetHost> peers =
      this->membership.NextResponsive(kMaxRelays);
  if (peers.empty()) {
    done(std::nullopt);
    return;
  }
  const CommandCallback finish = CombineAttempts(
      peers.size(), [done = std::move(done)](const CommandResult& result) {
        done(result.status);
      });
  for (const FleetHost& peer : peers) {
    this->transport->RelayCommand(
        peer.peer_address, request, kRelayTimeout,
        [finish](const std::optional<EndpointStatus>& status) {
          finish({status, true});
        });
  }
}

void FleetTask::ReportPending() {
  if (!this->hosts_read) return;
  this->callbacks.on_hosts_pending(this->membership.PendingCount());
}

void FleetTask::ReportChanges() {
  if (this->membership.RateOwners() != this->last_rate_owners) {
    this->last_rate_owners = this->membership.RateOwners();
    this->callbacks.rate_owners_changed();
  }
  const common::SteadyTime now = common::SteadyNow();
  const FleetSize size{
      this->membership.Size(),
      {this->membership.RecentSize(now), this->membership.HeardCount(now),
       this->membership.HearsFailureDomain(now),
       this->membership.MissesFailureDomain(now)},
      this->hosts_listed};
  if (size == this->last_size) return;
  if (size.live != this->last_size.live) {
    common::Log(Subsystem::kProcess, LogLevel::kInfo, "fleet_size",
                {{"size", size.live}, {"heard", size.recent.responsive}});
  }
  this->last_size = size;
  this->callbacks.on_size_changed(size);
}

}  // namespace camphorferry::session
