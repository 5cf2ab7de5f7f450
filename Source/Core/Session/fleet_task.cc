#include "Session/fleet_task.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

using common::LogLevel;
using common::Subsystem;

/// Interval at which due peers are looked for; a fifth of the shortest interval
/// of exchanges.
constexpr std::chrono::milliseconds kStep(100);
/// A peer that answers later than this is as good as silent for the reports'
/// purpose.
constexpr std::chrono::milliseconds kExchangeTimeout(400);
/// A keeper that takes longer is taken for silent: a call between regions takes
/// 40 ms, and the operation of a client waits meanwhile.
constexpr std::chrono::milliseconds kAdmissionTimeout(250);
/// Pause after a directory call about hosts that had no result.
constexpr std::chrono::milliseconds kDirectoryPause(1000);
/// Interval at which the directory is read again; peers tell of themselves, so
/// it only finds those whose reports were all lost.
constexpr std::chrono::seconds kFindInterval(20);

}  // namespace

FleetTask::FleetTask(connection::EventLoop* loop, Platform* platform,
                     HostPlace place, const connection::SocketAddress& listen,
                     FleetCallbacks callbacks)
    : loop(loop),
      platform(platform),
      own{place.host, "", place.domain},
      roster(std::move(place)),
      callbacks(std::move(callbacks)) {
  FleetHandlers handlers;
  handlers.exchange = [this](const FleetReport& report) {
    return this->OnPeer(report);
  };
  handlers.admit = [this](const AdmissionRequest& request) {
    return this->callbacks.admit(request);
  };
  handlers.read_directory = [this](const DirectoryQuestion& question) {
    return this->callbacks.read_directory(question);
  };
  this->transport = NewGrpcFleetTransport(loop, listen, std::move(handlers));
  this->own.peer_address =
      connection::ToString({listen.ip, this->transport->Port()});
  this->step_timer = loop->Every(kStep, [this] { this->Step(); });
  this->Register();
}

FleetTask::~FleetTask() { *this->alive = false; }

void FleetTask::Register() {
  this->platform->RegisterHost(
      this->own, [this, still_alive = this->alive](bool registered) {
        if (!*still_alive) return;
        if (!registered) {
          this->register_timer =
              this->loop->After(kDirectoryPause, [this] { this->Register(); });
          return;
        }
        // Of two daemons that start together, the one that reads the directory
        // after its own registration finds the other.
        this->Find();
      });
}

void FleetTask::Find() {
  // Only a first listing must know all that has registered before.
  this->platform->List(
      DirectoryKind::kHosts,
      this->settled ? DirectoryFreshness::kMayLag : DirectoryFreshness::kLatest,
      [this, still_alive = this->alive](const DirectoryResult& result) {
        if (!*still_alive) return;
        const auto* changes = std::get_if<DirectoryChanges>(&result);
        if (changes == nullptr) {
          this->find_timer =
              this->loop->After(kDirectoryPause, [this] { this->Find(); });
          return;
        }
        for (const DirectoryChange& change : changes->changes) {
          if (const auto* host = std::get_if<FleetHost>(&change.value)) {
            this->roster.Add(*host, common::SteadyNow());
          }
        }
        this->settled = true;
        this->ReportChanges();
        this->find_timer =
            this->loop->After(kFindInterval, [this] { this->Find(); });
      });
}

void FleetTask::Step() {
  const common::SteadyTime now = common::SteadyNow();
  for (const FleetHost& lost : this->roster.DropLost(now)) {
    common::Log(Subsystem::kProcess, LogLevel::kWarning, "peer_lost",
                {{"peer", lost.id}});
    this->transport->Forget(lost.peer_address);
  }
  for (const FleetHost& peer : this->roster.TakeDue(now)) {
    this->transport->Exchange(
        peer.peer_address, this->callbacks.report(false), kExchangeTimeout,
        [this, still_alive = this->alive, id = peer.id,
         asked = now](const std::optional<FleetReport>& report) {
          if (!*still_alive) return;
          if (!report.has_value()) {
            this->OnSilent(id);
            return;
          }
          this->OnHeard(id);
          this->callbacks.received(*report, asked);
        });
  }
  this->ReportChanges();
}

FleetReport FleetTask::OnPeer(const FleetReport& report) {
  this->roster.Add(report.host, common::SteadyNow());
  this->OnHeard(report.host.id);
  this->settled = true;
  this->callbacks.reported(report);
  return this->callbacks.report(true);
}

void FleetTask::OnHeard(const common::HostId& peer) {
  this->roster.OnHeard(peer, common::SteadyNow());
}

void FleetTask::OnSilent(const common::HostId& peer) {
  if (!this->roster.OnSilent(peer)) return;
  common::Log(Subsystem::kProcess, LogLevel::kWarning, "peer_silent",
              {{"peer", peer}});
}

bool FleetTask::IsKeeper() {
  const std::vector<common::HostId>& keepers = this->roster.Keepers();
  return std::find(keepers.begin(), keepers.end(), this->own.id) !=
         keepers.end();
}

bool FleetTask::Keeps(const common::WorkspaceId& workspace) {
  return !this->roster.KeeperOf(workspace).has_value();
}

void FleetTask::AskKeeper(
    const common::WorkspaceId& workspace,
    std::function<void(std::optional<AdmissionDecision>)> done) {
  if (!this->settled) {
    done(std::nullopt);
    return;
  }
  const AdmissionRequest request{this->own.id, workspace};
  const std::optional<FleetHost> keeper = this->roster.KeeperOf(workspace);
  if (!keeper.has_value()) {
    done(AdmissionDecision{this->callbacks.admit(request).retry_after,
                           this->own.id});
    return;
  }
  this->transport->Admit(
      keeper->peer_address, request, kAdmissionTimeout,
      [this, still_alive = this->alive, id = keeper->id,
       done = std::move(done)](const std::optional<AdmissionReply>& reply) {
        if (!*still_alive) return;
        if (!reply.has_value()) {
          this->OnSilent(id);
          done(std::nullopt);
          return;
        }
        this->OnHeard(id);
        done(AdmissionDecision{reply->retry_after, id});
      });
}

void FleetTask::AskForDirectory(
    const DirectoryQuestion& question,
    std::function<void(const common::HostId& peer, const SharedDirectory&)>
        done) {
  const std::optional<FleetHost> peer = this->roster.NextHeard();
  if (!peer.has_value()) return;
  this->transport->ReadDirectory(
      peer->peer_address, question, kExchangeTimeout,
      [this, still_alive = this->alive, id = peer->id,
       done = std::move(done)](const std::optional<SharedDirectory>& shared) {
        if (!*still_alive) return;
        if (!shared.has_value()) {
          this->OnSilent(id);
          return;
        }
        this->OnHeard(id);
        done(id, *shared);
      });
}

void FleetTask::ReportChanges() {
  if (this->roster.Keepers() != this->reported_keepers) {
    this->reported_keepers = this->roster.Keepers();
    this->callbacks.keepers_changed();
  }
  const std::size_t size = this->roster.Size();
  const std::size_t heard = this->roster.Heard();
  if (size == this->reported_size && heard == this->reported_heard) return;
  if (size != this->reported_size) {
    common::Log(Subsystem::kProcess, LogLevel::kInfo, "fleet_size",
                {{"size", size}, {"heard", heard}});
  }
  this->reported_size = size;
  this->reported_heard = heard;
  this->callbacks.resized(size, heard);
}

}  // namespace camphorferry::session
