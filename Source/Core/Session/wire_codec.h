#ifndef CAMPHORFERRY_SESSION_WIRE_CODEC_H_
#define CAMPHORFERRY_SESSION_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "Session/statement.h"

namespace camphorferry::session {

/// One row of an answer.
struct EndpointRow {
  std::string text;
};

/// End of a successful answer. The signature is empty if the statement needs
/// none.
struct EndpointComplete {
  std::string signature;
};

/// End of every answer.
struct EndpointReady {
  TransactionPhase phase = TransactionPhase::kIdle;
  std::optional<common::LogPosition> position;
};

/// A message that cannot be decoded. The connection must not be used any more.
struct EndpointUnreadable {};

using EndpointMessage =
    std::variant<EndpointRow, EndpointComplete, EndpointError, EndpointReady,
                 EndpointUnreadable>;

/// Interface to the wire format between clients, daemon and endpoints. Every
/// message is one line; decoded lines do not include the terminator, encoded
/// messages do.
class WireCodec {
 public:
  virtual ~WireCodec() = default;

  /// Messages from and to clients.
  virtual ClientMessage DecodeClient(std::string_view line) const = 0;
  virtual std::string EncodeRow(std::string_view text) const = 0;
  /// An empty signature stands for a statement that the daemon itself has
  /// answered.
  virtual std::string EncodeComplete(std::string_view signature) const = 0;
  virtual std::string EncodeError(StatementError code,
                                  std::string_view text) const = 0;
  virtual std::string EncodeReady(
      TransactionPhase phase,
      const std::optional<common::LogPosition>& position) const = 0;

  /// Messages to and from endpoints.
  virtual EndpointMessage DecodeEndpoint(std::string_view line) const = 0;
  virtual std::string EncodeOpen(const common::ServiceId& service,
                                 std::string_view caller,
                                 const common::EndpointId& endpoint) const = 0;
  /// Encodes a client's statement with its own text. If a log position is
  /// given, the endpoint refuses the statement unless its log has reached the
  /// position.
  virtual std::string EncodeStatement(
      const Statement& statement,
      const std::optional<common::LogPosition>& after) const = 0;
  /// Like EncodeStatement, for the execution of a prepared statement that has
  /// another name at the endpoint.
  virtual std::string EncodeExecute(
      const Statement& statement, std::string_view endpoint_name,
      const std::optional<common::LogPosition>& after) const = 0;
  virtual std::string EncodeBegin(
      bool read_only,
      const std::optional<common::LogPosition>& after) const = 0;
  virtual std::string EncodeRollback() const = 0;
  virtual std::string EncodeSetValue(std::string_view name,
                                     std::string_view value) const = 0;
  virtual std::string EncodePrepare(std::string_view endpoint_name,
                                    const PreparedShape& shape) const = 0;
  virtual std::string EncodeReset() const = 0;
  virtual std::string EncodeStatus() const = 0;
  /// Stops a replica from receiving log entries until it is resumed or a member
  /// of its group is promoted.
  virtual std::string EncodeHold(common::Term term) const = 0;
  virtual std::string EncodeResume() const = 0;
  /// Demotes a primary whose term is lower than the given one to a replica.
  virtual std::string EncodeStepDown(common::Term term) const = 0;
  /// Decodes the row that status, hold, resume and step-down return.
  virtual std::optional<EndpointStatus> DecodeStatus(
      std::string_view row) const = 0;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_WIRE_CODEC_H_
