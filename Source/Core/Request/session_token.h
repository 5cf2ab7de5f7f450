#ifndef CAMPHORFERRY_REQUEST_SESSION_TOKEN_H_
#define CAMPHORFERRY_REQUEST_SESSION_TOKEN_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Common/common.h"

namespace camphorferry::request {

/// Why a session token was rejected.
enum class SessionTokenFault {
  kMalformed,
  kWrongSignature,
  kOtherWorkspace,
  kTooLong,
};

/// A client sent a session token that is invalid for its workspace.
class BadSessionTokenError : public common::Error {
 public:
  explicit BadSessionTokenError(SessionTokenFault fault);

  SessionTokenFault Fault() const { return this->fault; }

 private:
  SessionTokenFault fault;
};

/// A session uses more services than fit into its token.
class SessionTooWideError : public common::Error {
 public:
  explicit SessionTooWideError(std::size_t services);

  /// Number of services in the token before the failed addition.
  std::size_t Services() const { return this->services; }

 private:
  std::size_t services;
};

/// A token cannot be signed, because there is no secret or the first one is
/// empty.
class MissingSessionSecretError : public common::Error {
 public:
  MissingSessionSecretError();
};

/// Secrets for signatures. The first one signs and all of them verify, so that
/// a secret can be replaced while old tokens are still in use.
using SessionSecrets = std::vector<std::string>;

/// Maximum number of services in one token.
inline constexpr std::size_t kMaxSessionServices = 32;
/// Maximum length of an encoded token; below the usual limits for HTTP headers.
inline constexpr std::size_t kMaxSessionTextLength = 4096;

/// The last log position that a session wrote or read in each service. The
/// client sends it with each request, so that every daemon can provide
/// read-your-writes consistency without a session table shared between daemons.
class SessionToken {
 public:
  /// Starts a session. Throws SessionTooWideError if the workspace's id is too
  /// long for a token.
  explicit SessionToken(common::WorkspaceId workspace);

  /// Decodes a token that Encode created for the same workspace. Throws
  /// BadSessionTokenError.
  static SessionToken Decode(std::string_view text,
                             const SessionSecrets& secrets,
                             const common::WorkspaceId& workspace);

  /// Returns the signed text for the client, at most kMaxSessionTextLength
  /// characters long. Throws MissingSessionSecretError.
  std::string Encode(const SessionSecrets& secrets) const;

  /// Raises the service's position; an earlier position has no effect. Throws
  /// SessionTooWideError and leaves the token unchanged if the service is new
  /// and does not fit.
  void Advance(const common::ServiceId& service, common::LogPosition position);

  /// The service's position; zero if the session has not used it.
  common::LogPosition PositionOf(const common::ServiceId& service) const;

  const common::WorkspaceId& Workspace() const { return this->workspace; }

  bool operator==(const SessionToken&) const = default;

 private:
  common::WorkspaceId workspace;
  std::map<common::ServiceId, common::LogPosition> positions;
  /// Upper bound of the encoded body's size in bytes for any positions.
  std::size_t max_body_size;
};

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_SESSION_TOKEN_H_
