#ifndef CAMPHORFERRY_SESSION_OPERATION_ACCESS_H_
#define CAMPHORFERRY_SESSION_OPERATION_ACCESS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "Common/common.h"
#include "Session/directory.h"
#include "Session/statement.h"

namespace camphorferry::session {

/// What one version of the configuration has given to an operation at its
/// start. All statements of a transaction run with it, also after later
/// versions have changed or removed the route.
struct OperationAccess {
  DatabaseRoute route;
  /// Empty if the caller is anonymous.
  common::WorkspaceId workspace;
};

/// Why an operation may not start or continue.
struct AccessRefusal {
  StatementError code = StatementError::kUnauthorized;
  std::string reason;
};

/// The name under which endpoints run the statements of a workspace, or those
/// of anonymous callers if it is empty.
std::string CallerName(const common::WorkspaceId& workspace);

/// What a daemon states of the client whose statement it forwards, so that the
/// receiver can judge it under a later version of the configuration.
struct AccessClaim {
  /// Digest of the client's key; the key itself stays at the daemon.
  std::string key_digest;
  /// The route can be used without a key.
  bool open = false;
  /// Version of the configuration under which the sender has decided.
  std::uint64_t version = 0;
};

/// Decides what the client of a session may do under a version of the
/// configuration. An operation keeps the route of its start, but its caller is
/// checked again at each statement and each attempt, since a key that has been
/// withdrawn or moved to another workspace has to be out of use everywhere.
class SessionAccess {
 public:
  /// Sets what the client has asked for when it opened the session.
  void SetOpening(OpenSession asked) { this->opening = std::move(asked); }

  /// The route that the client has asked for; null if it is not declared. It
  /// lives as long as the configuration.
  const DatabaseRoute* Route(const DirectoryConfiguration* configuration) const;

  /// Who the client is under a version of the configuration, whether or not it
  /// may use the route. Empty if no workspace has its key.
  common::WorkspaceId Caller(const DirectoryConfiguration* configuration) const;

  /// Decides about an operation, or a session, that starts now. Refuses it with
  /// kNoSuchDatabase if its route is not declared, and with kUnauthorized if
  /// the route requires a key and no workspace has the client's. An open route
  /// makes the client of an unknown key anonymous.
  std::variant<OperationAccess, AccessRefusal> Start(
      const DirectoryConfiguration* configuration) const;

  /// Decides about a further statement, or a further attempt, of an operation
  /// that has been given its access before. Refuses it with kUnauthorized if no
  /// workspace has the client's key any more, and with kAborted if the client
  /// is a different caller now.
  std::optional<AccessRefusal> Check(
      const OperationAccess& given,
      const DirectoryConfiguration* configuration) const;

  /// What another daemon needs to decide about the operation again. The
  /// configuration must be the one under which it was checked last.
  AccessClaim Claim(const OperationAccess& given,
                    const DirectoryConfiguration& configuration) const;

 private:
  OpenSession opening;
};

/// Decides about the statements of other daemons' clients. A daemon that is cut
/// off from the store may have decided under a version that this daemon knows
/// to be outdated.
class ClaimJudge {
 public:
  /// Whether the client may still run a statement under the caller's name.
  /// Refuses it like SessionAccess::Check, but only under a later version than
  /// the sender's.
  std::optional<AccessRefusal> Check(
      const AccessClaim& claim, const std::string& caller,
      const std::shared_ptr<const DirectoryConfiguration>& configuration);

 private:
  /// Takes over the keys of a version.
  void Learn(const DirectoryConfiguration& configuration);

  std::uint64_t learned_version = 0;
  std::map<std::string, common::WorkspaceId> workspace_of_digest;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_OPERATION_ACCESS_H_
