#ifndef CAMPHORFERRY_CONNECTION_ENDPOINT_LINK_H_
#define CAMPHORFERRY_CONNECTION_ENDPOINT_LINK_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "Common/common.h"
#include "Request/request.h"

namespace camphorferry::connection {

/// One statement for one endpoint, as the daemon that received it sends it to
/// the endpoint, directly or through another daemon. It never holds the
/// client's API key.
struct StatementCall {
  std::string request_id;
  common::WorkspaceId workspace;
  std::uint32_t weight = 1;
  common::ServiceId service;
  common::EndpointId endpoint;
  /// JSON array of operations; already validated.
  std::string operations;
  bool is_write = false;
  /// Replication term under which a write may run; unused for reads.
  common::Term term = 0;
  /// Empty if the request has no idempotency key.
  std::string idempotency_key;
  std::string idempotency_digest;
  /// A replica that has not applied this position refuses a read as lagging.
  common::LogPosition min_position;
  /// How long a read may wait until the position is applied.
  common::Duration wait = common::Duration::zero();
  /// Maximum staleness that a read accepts.
  std::optional<common::Duration> max_age;
  common::SteadyTime deadline;
};

/// The last known primary of a service; it may be outdated.
struct PrimaryHint {
  /// Empty if no primary is known.
  common::EndpointId endpoint;
  common::Term term = 0;
};

/// Outcome of a statement call.
struct StatementReply {
  request::Outcome outcome;
  /// Term that the endpoint reported; 0 if it did not reply.
  common::Term term = 0;
  /// Set by the daemon that owns the endpoint's connections.
  PrimaryHint primary{};
};

/// Whether a replica has stored a log entry.
struct ConfirmReply {
  /// False if the replica did not reply.
  bool answered = false;
  bool held = false;
  common::Term fence = 0;
  /// The replica's last log entry.
  common::LogPosition position;
};

/// Replication state that a database reports.
struct EndpointStatus {
  common::Term term = 0;
  common::Term fence = 0;
  request::EndpointRole role = request::EndpointRole::kReplica;
  common::LogPosition position;
};

/// Reply to a fence call.
struct FenceReply {
  bool granted = false;
  common::Term fence = 0;
  std::string proposer;
  common::LogPosition position;
};

/// Why a control call has no result: no connection could be made, or no valid
/// reply arrived.
enum class ControlFailure { kRefused, kTimedOut };

template <typename Answer>
using ControlResult = std::variant<Answer, ControlFailure>;

/// Whether the database carried out a promote or follow call.
struct ControlAccepted {
  bool accepted = false;
};

/// Interface to one database over one connection. A link carries one call at a
/// time; each callback is called once, from the event loop.
class EndpointLink {
 public:
  virtual ~EndpointLink() = default;

  /// Runs a statement. The outcome is NotRun only if the endpoint reports so or
  /// no connection could be made.
  virtual void Execute(const StatementCall& call, common::Duration timeout,
                       std::function<void(StatementReply)> done) = 0;

  /// Asks whether the database has stored the log entry at the position. The
  /// database waits up to the given time for the entry to arrive.
  virtual void Confirm(common::LogPosition position, common::Duration wait,
                       common::Duration timeout,
                       std::function<void(ConfirmReply)> done) = 0;

  /// Reads the database's replication state.
  virtual void Status(
      common::Duration timeout,
      std::function<void(ControlResult<EndpointStatus>)> done) = 0;

  /// Fences the database at the term for the proposer: a primary of a lower
  /// term then refuses writes. Granted if the term is higher than the present
  /// fence, and to the same proposer again.
  virtual void Fence(common::Term term, const std::string& proposer,
                     common::Duration timeout,
                     std::function<void(ControlResult<FenceReply>)> done) = 0;

  /// Asks the database to become the primary of the term.
  virtual void Promote(
      common::Term term, const std::string& proposer, common::Duration timeout,
      std::function<void(ControlResult<ControlAccepted>)> done) = 0;

  /// Asks the database to replicate from the primary of the term.
  virtual void Follow(
      common::Term term, const std::string& proposer,
      const std::string& primary_address, common::Duration timeout,
      std::function<void(ControlResult<ControlAccepted>)> done) = 0;

  /// True while a call is in progress.
  virtual bool Busy() const = 0;

  /// False once the link has failed; it must then be replaced.
  virtual bool Usable() const = 0;
};

}  // namespace camphorferry::connection

#endif  // CAMPHORFERRY_CONNECTION_ENDPOINT_LINK_H_
