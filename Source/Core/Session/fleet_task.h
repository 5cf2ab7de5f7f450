#ifndef CAMPHORFERRY_SESSION_FLEET_TASK_H_
#define CAMPHORFERRY_SESSION_FLEET_TASK_H_

#include <functional>
#include <memory>
#include <optional>

#include "Session/directory.h"
#include "Session/fleet_membership.h"
#include "Session/fleet_transport.h"
#include "Session/workspace_limiter.h"

namespace camphorferry::session {

/// What the fleet task exchanges on behalf of its process.
struct FleetCallbacks {
  /// This daemon's report; proofs are only part of replies.
  std::function<FleetReport(bool with_proofs)> report;
  /// A peer's reply and the time at which it was asked for.
  std::function<void(const FleetReport&, common::SteadyTime requested_at)>
      on_reply;
  /// What a peer tells of itself when it asks for this daemon's report.
  std::function<void(const FleetReport&)> on_peer_report;
  /// The number of daemons that may be alive, or that are heard, has changed.
  std::function<void(std::size_t size, std::size_t responsive)> on_size_changed;
  /// Other daemons may keep rates now than before.
  std::function<void()> rate_owners_changed;
  /// Decides, as keeper, about a daemon's operation.
  std::function<AdmissionReply(const AdmissionRequest&)> admit;
  /// Returns a part of the directory as this daemon knows it.
  std::function<SharedDirectory(const DirectoryQuestion&)> read_directory;
};

/// Registers this daemon, finds the others, exchanges reports with them, and
/// asks them to admit operations.
class FleetTask {
 public:
  /// Throws FleetListenError.
  FleetTask(connection::EventLoop* loop, Platform* platform, HostPlace place,
            const connection::SocketAddress& listen, FleetCallbacks callbacks);
  ~FleetTask();
  FleetTask(const FleetTask&) = delete;
  FleetTask& operator=(const FleetTask&) = delete;

  /// This daemon as its peers know it.
  const FleetHost& Own() const { return this->own; }

  /// Whether this daemon is one of those that keep rates.
  bool IsRateOwner();

  /// Whether all daemons that are known keep rates.
  bool AllAreRateOwners() {
    return this->membership.RateOwners().size() == this->membership.Size();
  }

  /// Whether this daemon keeps the rate of a workspace.
  bool OwnsRate(const common::WorkspaceId& workspace);

  /// Asks the keeper of a workspace to admit an operation; calls back, maybe at
  /// once, with nothing if no keeper has answered.
  void AskRateOwner(const common::WorkspaceId& workspace,
                    std::function<void(std::optional<AdmissionDecision>)> done);

  /// Asks the next daemon in turn for a part of the directory; calls back once
  /// if it answers.
  void QueryDirectory(
      const DirectoryQuestion& query,
      std::function<void(const common::HostId& peer, const SharedDirectory&)>
          done);

 private:
  void Register();
  void ListHosts();
  void ExchangeReports();
  FleetReport OnPeerReport(const FleetReport& report);
  /// Tells the process of changes of the fleet's size and of its keepers.
  void ReportChanges();
  void OnReply(const common::HostId& peer);
  void OnNoReply(const common::HostId& peer);

  connection::EventLoop* loop;
  Platform* platform;
  FleetHost own;
  FleetMembership membership;
  FleetCallbacks callbacks;
  std::size_t last_size = 0;
  std::size_t last_responsive = 0;
  std::vector<common::HostId> last_rate_owners;
  /// Some other daemon or the whole directory is known; before that, this
  /// daemon would take itself for the keeper of everything.
  bool fleet_known = false;
  std::unique_ptr<FleetTransport> transport;
  std::unique_ptr<connection::Timer> exchange_timer;
  std::unique_ptr<connection::Timer> register_timer;
  std::unique_ptr<connection::Timer> list_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_FLEET_TASK_H_
