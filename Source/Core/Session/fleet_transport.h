#ifndef CAMPHORFERRY_SESSION_FLEET_TRANSPORT_H_
#define CAMPHORFERRY_SESSION_FLEET_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Connection/connection.h"
#include "Session/admission.h"
#include "Session/closing_messages.h"
#include "Session/departures.h"
#include "Session/directory.h"
#include "Session/evacuations.h"
#include "Session/member_command.h"
#include "Session/operation_access.h"
#include "Session/statement_attempt.h"

namespace camphorferry::session {

/// A proof of leadership as exchanged between daemons.
struct SharedProof {
  common::ServiceId service;
  common::LogPosition position;
  /// Age of the proof when the report was written.
  common::Duration age = common::Duration::zero();
};

/// What a daemon knows of the closed terms in the lease record.
struct RecordKnowledge {
  /// Time since the read of the record was sent, when the report was written.
  common::Duration age = common::Duration::zero();
  ClosedTerms closed;
};

/// Report of one daemon to another.
struct FleetReport {
  FleetHost host;
  std::vector<SharedProof> proofs;
  /// Version of the configuration that the daemon uses; 0 for none.
  std::uint64_t configuration_version = 0;
  /// Latest era of the store that the daemon knows; 0 for none.
  std::uint64_t store_era = 0;
  /// The daemon shuts down and takes no statements of others any more.
  bool stopping = false;
  Evacuations evacuations;
  /// Members that leave, in replies only.
  std::vector<DepartureNotice> departures = {};
  /// None if the daemon has not read the lease record.
  std::optional<RecordKnowledge> record = {};
  /// Number of daemons that there may be, as the daemon has seen itself; 0 if
  /// unknown.
  std::size_t fleet_size = 0;
  /// Those of them that the daemon does not hear may be most of a failure
  /// domain.
  bool misses_domain = false;
};

/// A statement that a daemon has the owner of the endpoint's connections run.
struct ForwardedStatement {
  common::HostId requester;
  common::ServiceId service;
  common::EndpointId endpoint;
  AttemptRequest attempt;
  /// Transaction that the statement continues; 0 for none.
  std::uint64_t transaction = 0;
  /// None from a daemon of an earlier version.
  std::optional<AccessClaim> claim = std::nullopt;
  /// When the requester gives up. Set by the receiver; none if the requester
  /// does not know the receiver's clock.
  std::optional<common::SteadyTime> expires_at = std::nullopt;
};

/// A connection owner's reply.
struct ForwardedResult {
  std::variant<EndpointAnswer, AttemptFailure> outcome;
  /// The transaction that is open, or has failed at the endpoint, and that the
  /// owner keeps; 0 for none.
  std::uint64_t transaction = 0;
};

using ForwardedCallback = std::function<void(ForwardedResult)>;

/// A connection owner gave no reply in time.
struct OwnerSilent {
  /// The statement may have reached the owner.
  bool sent = true;
};

using ForwardingResult = std::variant<ForwardedResult, OwnerSilent>;

/// Asks a connection owner to roll back a transaction.
struct TransactionEnd {
  common::HostId requester;
  std::uint64_t number = 0;
};

/// The log position that was proved; none if there was no proof in time.
using ProofCallback =
    std::function<void(const std::optional<common::LogPosition>&)>;

/// Request for a part of the directory by a daemon that the store does not
/// answer.
struct DirectoryQuery {
  DirectoryKind kind = DirectoryKind::kConfiguration;
  /// The revision that the requester already knows.
  StoreRevision revision;
  /// The version of the configuration that the requester already knows; 0 for
  /// none.
  std::uint64_t version = 0;
};

/// The kernel of the daemon's host has refused a connection: the process that
/// listened at the address has ended.
struct HostRefuses {};

/// A daemon gave no answer in time, and its host did not refuse a connection.
struct HostSilent {};

/// What came of asking a daemon to close terms.
using ClosingAnswer = std::variant<CloseTermReply, HostRefuses, HostSilent>;

/// Interface to the other daemons. Callbacks come from the event loop. A call
/// that reaches its receiver after the caller has given up, because a link held
/// it back, is not served; reports and the ends of transactions are, since they
/// are true at any time.
class FleetTransport {
 public:
  virtual ~FleetTransport() = default;

  /// Sends a report. Calls back once with the peer's report, or with nothing if
  /// it gave none in time.
  virtual void Exchange(
      const std::string& address, const FleetReport& report,
      common::Duration timeout,
      std::function<void(std::optional<FleetReport>)> done) = 0;

  /// Asks a rate owner to admit operations. Calls back once, with nothing if
  /// it gave no answer in time.
  virtual void Admit(
      const std::string& address, const AdmissionRequest& request,
      common::Duration timeout,
      std::function<void(std::optional<AdmissionReply>)> done) = 0;

  /// Asks a peer for a part of the directory. Calls back once, with nothing if
  /// it gave no answer in time.
  virtual void ReadDirectory(
      const std::string& address, const DirectoryQuery& query,
      common::Duration timeout,
      std::function<void(std::optional<SharedDirectory>)> done) = 0;

  /// Asks a peer to send a command to a member. Calls back once, with nothing
  /// if the peer or the member gave no answer in time.
  virtual void RelayCommand(const std::string& address,
                            const CommandRelay& request,
                            common::Duration timeout, RelayCallback done) = 0;

  /// Has a connection owner run a statement. Calls back once.
  virtual void RunStatement(
      const std::string& address, const ForwardedStatement& request,
      common::Duration timeout,
      std::function<void(const ForwardingResult&)> done) = 0;

  /// Asks a connection owner to roll back a transaction.
  virtual void EndTransaction(const std::string& address,
                              const TransactionEnd& request,
                              common::Duration timeout) = 0;

  /// Asks a daemon for a proof of leadership that is begun after this call.
  /// Calls back once.
  virtual void ProveLeadership(const std::string& address,
                               const common::ServiceId& service,
                               common::Duration timeout,
                               ProofCallback done) = 0;

  /// Asks a daemon to keep to a closing of terms. Calls back once.
  virtual void CloseTerm(const std::string& address,
                         const CloseTermRequest& request,
                         common::Duration timeout,
                         std::function<void(const ClosingAnswer&)> done) = 0;

  /// The local port that peers connect to.
  virtual std::uint16_t Port() const = 0;

  /// Drops the connection to a peer that has been removed.
  virtual void Disconnect(const std::string& address) = 0;
};

/// Functions that serve the calls of peers.
struct FleetHandlers {
  /// Takes a peer's report and returns this daemon's report.
  std::function<FleetReport(const FleetReport&)> exchange;
  std::function<AdmissionReply(const AdmissionRequest&)> admit;
  std::function<SharedDirectory(const DirectoryQuery&)> read_directory;
  /// Sends a command to a member for a peer.
  std::function<void(const CommandRelay&, RelayCallback)> relay_command;
  /// Runs a statement on a connection of this daemon.
  std::function<void(const ForwardedStatement&, ForwardedCallback)>
      run_statement;
  std::function<void(const TransactionEnd&)> end_transaction;
  std::function<void(const common::ServiceId&, ProofCallback)> prove_leadership;
  /// Keeps to a closing of terms and returns what this daemon knows of the
  /// service. If it is empty, the call is refused as unknown.
  std::function<CloseTermReply(const CloseTermRequest&)> close_term = {};
};

/// Thrown if the address for peers cannot be listened on.
class FleetListenError : public common::Error {
 public:
  explicit FleetListenError(const connection::SocketAddress& address);
};

/// Creates a fleet transport over gRPC, which also serves the peers' calls.
/// Throws FleetListenError.
std::unique_ptr<FleetTransport> NewGrpcFleetTransport(
    connection::EventLoop* loop, const connection::SocketAddress& listen,
    FleetHandlers handlers);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_FLEET_TRANSPORT_H_
