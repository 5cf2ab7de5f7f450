#ifndef CAMPHORFERRY_SESSION_SESSION_STATE_H_
#define CAMPHORFERRY_SESSION_SESSION_STATE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "Session/operation_access.h"
#include "Session/statement.h"

namespace camphorferry::session {

/// An open transaction as its client sees it.
struct OpenTransaction {
  OperationAccess access;
  bool read_only = false;
  /// When its begin was received. All reads of the transaction are at least as
  /// fresh as this moment requires.
  common::SteadyTime begun_at;
  /// When the latest answer was sent.
  common::SteadyTime idle_since;
  bool wrote = false;
  /// A statement of the transaction has been sent to an endpoint.
  bool started = false;
};

/// State of a session between statements, independent of any endpoint: values,
/// prepared statements, the transaction and the log position of its latest
/// commits.
class SessionState {
 public:
  /// Sets a value. Returns false if the session has too many, or too large
  /// ones.
  bool SetValue(const std::string& name, const std::string& value);

  /// Prepares a statement under a name. Returns false if the session has too
  /// many, or too large ones.
  bool Prepare(const std::string& name, const PreparedShape& shape);

  /// Removes a prepared statement. Returns false if the name is unknown.
  bool Deallocate(const std::string& name);

  /// The prepared statement with this name; null if the name is unknown.
  const PreparedShape* Find(const std::string& name) const;

  /// Bytes of all values and prepared statements.
  std::size_t Bytes() const { return this->bytes; }

  void Begin(OperationAccess access, bool read_only, common::SteadyTime now);
  /// Marks the transaction as failed; it can only be ended from now on.
  void FailTransaction();
  void EndTransaction();

  /// Records the log position of a commit of this session at a service.
  void OnCommitted(const common::ServiceId& service,
                   const common::LogPosition& position);

  TransactionPhase Phase() const { return this->phase; }
  std::optional<OpenTransaction>& Transaction() { return this->transaction; }
  const std::optional<OpenTransaction>& Transaction() const {
    return this->transaction;
  }
  const SessionValues& Values() const { return this->values; }
  /// Log position of the session's latest commit at a service; none if it has
  /// committed nothing there.
  std::optional<common::LogPosition> Position(
      const common::ServiceId& service) const;

 private:
  /// Replaces bytes of the state; returns false, and replaces nothing, if there
  /// would be too many.
  bool Replace(std::size_t former, std::size_t changed);

  SessionValues values;
  std::map<std::string, PreparedShape> prepared;
  std::size_t bytes = 0;
  std::optional<OpenTransaction> transaction;
  TransactionPhase phase = TransactionPhase::kIdle;
  /// Positions in the logs of different services can't be compared.
  std::map<common::ServiceId, common::LogPosition> positions;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_SESSION_STATE_H_
