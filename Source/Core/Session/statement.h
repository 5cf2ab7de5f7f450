#ifndef CAMPHORFERRY_SESSION_STATEMENT_H_
#define CAMPHORFERRY_SESSION_STATEMENT_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/common.h"

namespace camphorferry::session {

/// Kind of a statement.
enum class StatementKind {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSetValue,
  kPrepare,
  kExecute,
  kDeallocate
};

/// Whether a prepared statement reads or writes.
enum class AccessKind { kRead, kWrite };

/// Access kind and text of a prepared statement, independent of its name. Two
/// clients that use one name for different shapes prepare different statements.
struct PreparedShape {
  AccessKind access = AccessKind::kRead;
  std::string shape;

  auto operator<=>(const PreparedShape&) const = default;
  bool operator==(const PreparedShape&) const = default;
};

/// One statement of a client.
struct Statement {
  StatementKind kind = StatementKind::kRead;
  /// Chosen by the client and passed to an endpoint unchanged.
  std::string request_id;
  /// The client's text, which is passed to an endpoint unchanged.
  std::string text;
  /// Name of a session value or of a prepared statement.
  std::string name;
  /// Value of kSetValue, arguments of kExecute.
  std::string argument;
  /// Only for kPrepare.
  PreparedShape prepared;
};

/// First message of a session.
struct OpenSession {
  std::string database;
  /// The client's key; empty if it sent none.
  std::string key;
};

/// Last message of a session.
struct CloseSession {};

/// A message that cannot be decoded.
struct UnreadableMessage {
  /// Empty if the message has no readable identifier.
  std::string request_id;
};

using ClientMessage =
    std::variant<OpenSession, Statement, CloseSession, UnreadableMessage>;

/// State of a session between two statements.
enum class TransactionPhase { kIdle, kOpen, kFailed };

/// Error codes of statements, shared by endpoints and daemon.
enum class StatementError {
  // The statement has not run, or its transaction was rolled back.
  kBusy,
  kAborted,
  kLagging,
  kReadOnly,
  kWrongEndpoint,
  kTooManyConnections,
  // The statement has run, or may have run.
  kFailed,
  kTimeout,
  kUnknownOutcome,
  // The request is invalid.
  kNoSuchStatement,
  kUnauthorized,
  kNoSuchDatabase,
  kTooLarge,
  kMalformed
};

/// Name as used in logs and metrics.
const char* ToString(StatementError error);

/// Whether an endpoint that answers with this code has not run the statement.
bool HasNotRun(StatementError error);

/// Error that an endpoint has answered with.
struct EndpointError {
  StatementError code = StatementError::kFailed;
  std::string text;
};

/// Complete answer of an endpoint to one command.
struct EndpointAnswer {
  std::vector<std::string> rows;
  /// The endpoint's proof that it ran the statement; absent after an error.
  std::optional<std::string> signature;
  std::optional<EndpointError> error;
  TransactionPhase phase = TransactionPhase::kIdle;
  /// The endpoint's log position after the command, if it has reported one.
  std::optional<common::LogPosition> position;
};

/// The connection ended, or the endpoint did not answer within the time limit,
/// before the answer was complete.
struct ChannelLost {
  /// The time limit has expired.
  bool silent = false;
  /// The connection had been established before it ended.
  bool connected = true;
};

using ChannelResult = std::variant<EndpointAnswer, ChannelLost>;

/// Role of an endpoint within its group, as reported by itself.
enum class GroupRole { kPrimary, kReplica };

/// Status that an endpoint reports about itself.
struct EndpointStatus {
  GroupRole role = GroupRole::kReplica;
  common::Term term = 0;
  common::LogPosition received;
  /// Term for which the endpoint is held, that is, has stopped receiving log
  /// entries; 0 if it receives.
  common::Term held = 0;
};

/// Session values by name, in the order in which they are set on a channel.
using SessionValues = std::map<std::string, std::string>;

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_STATEMENT_H_
