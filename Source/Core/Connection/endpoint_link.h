#ifndef CAMPHORFERRY_CONNECTION_ENDPOINT_LINK_H_
#define CAMPHORFERRY_CONNECTION_ENDPOINT_LINK_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "Common/common.h"
#include "Request/request.h"

namespace camphorferry::connection {

/// One statement for one endpoint, on its way from the daemon that received it
/// to the endpoint. It never holds the client's key.
struct StatementCall {
  std::string request_id;
  common::WorkspaceId workspace;
  std::uint32_t weight = 1;
  common::ServiceId service;
  common::EndpointId endpoint;
  /// JSON array of operations that was already checked.
  std::string operations;
  bool is_write = false;
  /// Term under which a write may run.
  common::Term term = 0;
  /// Empty if the request brought no idempotency key.
  std::string idempotency_key;
  std::string idempotency_digest;
  /// A read is refused as lagging until this position is applied.
  common::LogPosition min_position;
  /// How long a read may wait for the position.
  common::Duration wait = common::Duration::zero();
  /// Largest age of the data that a read accepts.
  std::optional<common::Duration> max_age;
  common::SteadyTime deadline;
};

/// A service's primary as somebody knows it; it may be outdated.
struct PrimaryHint {
  /// Empty if no primary is known.
  common::EndpointId endpoint;
  common::Term term = 0;
};

/// What came of a statement call.
struct StatementReply {
  request::Outcome outcome;
  /// Term that the endpoint reported; zero if it gave no answer.
  common::Term term = 0;
  /// Added by the owner of the endpoint's connections.
  PrimaryHint primary{};
};

/// Whether a replica holds an entry.
struct ConfirmReply {
  /// False if the replica gave no answer.
  bool answered = false;
  bool held = false;
  common::Term fence = 0;
  /// The replica's last log entry.
  common::LogPosition position;
};

/// State that a database reports.
struct EndpointStatus {
  common::Term term = 0;
  common::Term fence = 0;
  request::EndpointRole role = request::EndpointRole::kReplica;
  common::LogPosition position;
};

/// Answer to a fence call.
struct FenceReply {
  bool granted = false;
  common::Term fence = 0;
  std::string proposer;
  common::LogPosition position;
};

/// How a control call failed.
enum class ControlFailure { kRefused, kTimedOut };

template <typename Answer>
using ControlResult = std::variant<Answer, ControlFailure>;

/// Whether the database carried out a promote or follow call.
struct ControlAccepted {
  bool accepted = false;
};

/// Port to one database over one connection. A link carries one call at a
/// time; callbacks are called once, from the event loop.
class EndpointLink {
 public:
  virtual ~EndpointLink() = default;

  /// Runs a statement. The outcome says not run only if the endpoint said so
  /// or no connection could be made.
  virtual void Execute(const StatementCall& call, common::Duration timeout,
                       std::function<void(StatementReply)> done) = 0;

  /// Asks whether the database holds an entry, waiting up to the given time.
  virtual void Confirm(common::LogPosition position, common::Duration wait,
                       common::Duration timeout,
                       std::function<void(ConfirmReply)> done) = 0;

  virtual void Status(
      common::Duration timeout,
      std::function<void(ControlResult<EndpointStatus>)> done) = 0;

  virtual void Fence(common::Term term, const std::string& proposer,
                     common::Duration timeout,
                     std::function<void(ControlResult<FenceReply>)> done) = 0;

  virtual void Promote(
      common::Term term, const std::string& proposer, common::Duration timeout,
      std::function<void(ControlResult<ControlAccepted>)> done) = 0;

  virtual void Follow(
      common::Term term, const std::string& proposer,
      const std::string& primary_address, common::Duration timeout,
      std::function<void(ControlResult<ControlAccepted>)> done) = 0;

  /// True while a call has no answer yet.
  virtual bool Busy() const = 0;

  /// False once the link has failed; it must then be replaced.
  virtual bool Usable() const = 0;
};

}  // namespace camphorferry::connection

#endif  // CAMPHORFERRY_CONNECTION_ENDPOINT_LINK_H_
