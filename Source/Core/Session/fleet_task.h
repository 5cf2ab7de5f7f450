#ifndef CAMPHORFERRY_SESSION_FLEET_TASK_H_
#define CAMPHORFERRY_SESSION_FLEET_TASK_H_

#include <functional>
#include <memory>
#include <optional>

#include "Session/directory.h"
#include "Session/fleet_membership.h"
#include "Session/fleet_transport.h"
#include "Session/watch_lengths.h"
#include "Session/workspace_limiter.h"

namespace camphorferry::session {

/// How large the fleet is, as this daemon sees it.
struct FleetSize {
  /// Daemons that may be alive, including this one.
  std::size_t live = 1;
  /// Daemons that may be alive or were a minute ago, and those of them that
  /// have been heard lately.
  FleetView recent;
  /// The hosts have been listed after this daemon's registration.
  bool listed = false;

  bool operator==(const FleetSize&) const = default;
};

/// What a rate owner has replied.
struct OwnerReply {
  AdmissionReply decision;
  common::HostId owner;
};

/// Functions of the process that a FleetTask calls.
struct FleetCallbacks {
  /// Returns this daemon's report. Only replies contain proofs.
  std::function<FleetReport(bool with_proofs)> report;
  /// Takes a peer's reply and the time at which it was requested.
  std::function<void(const FleetReport&, common::SteadyTime requested_at)>
      on_reply;
  /// Takes the report that a peer sends with its request for this daemon's
  /// report.
  std::function<void(const FleetReport&)> on_peer_report;
  /// The size of the fleet has changed.
  std::function<void(const FleetSize&)> on_size_changed;
  /// The hosts have been listed, or one of them has answered or failed to. Gets
  /// the number of those that did neither yet.
  std::function<void(std::size_t pending)> on_hosts_pending;
  /// The set of rate owners has changed.
  std::function<void()> rate_owners_changed;
  /// Decides, as rate owner, about a daemon's operation.
  std::function<AdmissionReply(const AdmissionRequest&)> admit;
  /// Returns a part of the directory as this daemon knows it.
  std::function<SharedDirectory(const DirectoryQuery&)> read_directory;
  /// Sends a command to a member for a peer.
  std::function<void(const CommandRelay&, RelayCallback)> relay_command;
  /// Runs a statement for a peer on a connection of this daemon.
  std::function<void(const ForwardedStatement&, ForwardedCallback)>
      run_statement;
  std::function<void(const TransactionEnd&)> end_transaction;
  /// Proves for a peer who leads a service.
  std::function<void(const common::ServiceId&, ProofCallback)> prove_leadership;
  /// Keeps to a closing of terms and returns what this daemon knows of the
  /// service. May be empty: the peers' calls are refused then.
  std::function<CloseTermReply(const CloseTermRequest&)> close_term = {};
  /// The store has acknowledged a registration of this daemon, so that every
  /// later listing of the hosts names it. May be empty.
  std::function<void(HostRegistration)> registered = {};
};

/// Registers this daemon, discovers the others, exchanges reports with them and
/// asks rate owners to admit operations.
class FleetTask {
 public:
  /// Throws FleetListenError.
  FleetTask(connection::EventLoop* loop, Platform* platform,
            HostLocation location, const connection::SocketAddress& listen,
            FleetCallbacks callbacks);
  ~FleetTask();
  FleetTask(const FleetTask&) = delete;
  FleetTask& operator=(const FleetTask&) = delete;

  /// This daemon as its peers know it.
  const FleetHost& Own() const { return this->own; }

  /// The store has been restored from a backup and may have lost this daemon's
  /// registration and those of others: registers again and lists the hosts.
  void OnStoreRestored();

  /// The part that this daemon has in watching the configuration: rate owners
  /// watch closely.
  WatchRole ConfigurationWatchRole() {
    return this->membership.ConfigurationWatchRole();
  }

  /// Whether this daemon owns the rate of a workspace.
  bool OwnsRate(const common::WorkspaceId& workspace);

  /// Asks the owner of a workspace's rate to admit operations. Completes the
  /// request by the requester and whether the owner is another one than that
  /// which has replied last, if any has. Calls back, possibly before this
  /// returns, with nothing if no owner has decided.
  void RequestAdmission(
      AdmissionRequest request, const common::HostId& last_owner,
      const std::function<void(std::optional<OwnerReply>)>& done);

  /// Asks several peers to send a command to a member. Calls back once, with
  /// the first answer of the member, or with nothing if there was none.
  void RelayCommand(const CommandRelay& request, RelayCallback done);

  /// The peer that owns a caller's connections to a member; none if this daemon
  /// opens them itself.
  std::optional<FleetHost> ConnectionOwner(const std::string& caller,
                                           const GroupMember& member);

  /// Number of daemons in a failure domain that may be alive.
  std::size_t SizeOf(const common::FailureDomainId& domain) const {
    return this->membership.SizeOf(domain);
  }

  /// Has a connection owner run a statement. Calls back once.
  void RunStatement(const FleetHost& owner, ForwardedStatement request,
                    common::Duration timeout,
                    std::function<void(const ForwardingResult&)> done);

  /// Asks a connection owner to roll back a transaction.
  void EndTransaction(const FleetHost& owner, std::uint64_t number);

  /// The peer that proves for the fleet who leads a service; none if this
  /// daemon asks the members itself.
  std::optional<FleetHost> ProverOf(const GroupMember& primary);

  /// Has a peer prove who leads a service. Calls back once.
  void ProveLeadership(const FleetHost& prover,
                       const common::ServiceId& service, ProofCallback done);

  /// Finds the daemons that have to close terms: all hosts that are listed
  /// without lag, also those that have been lost or have announced their end,
  /// and all peers that are known but not listed. An entry that can't be
  /// decoded is a host without an address. Calls back with none if the store
  /// does not answer.
  void ListForClosing(
      std::function<void(std::optional<std::vector<FleetHost>>)> done);

  /// Asks a daemon to keep to a closing of terms. Calls back once.
  void CloseTerm(const FleetHost& host, const CloseTermRequest& request,
                 std::function<void(const ClosingAnswer&)> done);

  /// Receives the part of the directory that a peer has given.
  using DirectoryReceiver =
      std::function<void(const common::HostId& peer, const SharedDirectory&)>;

  /// Asks the next responsive daemon for a part of the directory. Calls back
  /// only if it answers.
  void QueryDirectory(const DirectoryQuery& query, DirectoryReceiver done);

  /// Asks the given daemon for a part of the directory. Calls back only if it
  /// answers.
  void QueryDirectory(const FleetHost& peer, const DirectoryQuery& query,
                      DirectoryReceiver done);

 private:
  void Register();
  /// Lists the hosts after the registration, and again from time to time.
  void ListHosts();
  /// Reads the list of hosts and contacts those that are new. Calls back with
  /// whether the store has answered.
  void ReadHosts(DirectoryFreshness freshness,
                 std::function<void(bool answered)> done);
  void ExchangeReports();
  /// This daemon's report, with what it has seen of the fleet.
  FleetReport OwnReport(bool with_proofs) const;
  void TakeReport(const common::HostId& peer, const FleetReport& report,
                  common::SteadyTime called_at);
  FleetReport OnPeerReport(const FleetReport& report);
  /// Reports to the process how many hosts have not been heard, once they are
  /// listed.
  void ReportPending();
  /// Reports changes of the fleet's size and of its rate owners to the process.
  void ReportChanges();
  void OnReply(const common::HostId& peer);
  void OnNoReply(const common::HostId& peer);

  connection::EventLoop* loop;
  Platform* platform;
  FleetHost own;
  FleetMembership membership;
  FleetCallbacks callbacks;
  /// Numbers that no fleet has, before the first report.
  FleetSize last_size{0, {0, 0}, false};
  std::vector<common::HostId> last_rate_owners;
  /// Another daemon or the whole directory is known. Before that, this daemon
  /// would take itself as the owner of every rate.
  bool fleet_known = false;
  /// The hosts have been read, possibly from a copy that lags.
  bool hosts_read = false;
  /// The hosts have been listed after the registration.
  bool hosts_listed = false;
  /// Number of the last registration; answers to earlier ones are ignored.
  std::uint64_t last_registration = 0;
  std::unique_ptr<FleetTransport> transport;
  std::unique_ptr<connection::Timer> exchange_timer;
  std::unique_ptr<connection::Timer> register_timer;
  std::unique_ptr<connection::Timer> list_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_FLEET_TASK_H_
