#ifndef CAMPHORFERRY_REQUEST_SESSION_TOKEN_H_
#define CAMPHORFERRY_REQUEST_SESSION_TOKEN_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Common/common.h"

namespace camphorferry::request {

/// Why a session token was refused.
enum class SessionTokenFault {
  kMalformed,
  kWrongSignature,
  kOtherWorkspace,
  kTooLong,
};

/// A client sent a session token that this workspace may not use.
class BadSessionTokenError : public common::Error {
 public:
  explicit BadSessionTokenError(SessionTokenFault fault);

  SessionTokenFault Fault() const { return this->fault; }

 private:
  SessionTokenFault fault;
};

/// A session has used more services than its token can hold.
class SessionTooWideError : public common::Error {
 public:
  explicit SessionTooWideError(std::size_t services);

  /// Number of services that the token held already.
  std::size_t Services() const { return this->services; }

 private:
  std::size_t services;
};

/// A token was to be signed, but no secret is set or the first one is empty.
class MissingSessionSecretError : public common::Error {
 public:
  MissingSessionSecretError();
};

/// Secrets for signing; the first one signs, all verify, so that a secret can
/// be replaced while old tokens are still in use.
using SessionSecrets = std::vector<std::string>;

/// Largest number of services in one token.
inline constexpr std::size_t kMaxSessionServices = 32;
/// Largest length of a token's text; fits in common limits for HTTP headers.
inline constexpr std::size_t kMaxSessionTextLength = 4096;

/// The last position that a session wrote or read at each service. Travels with
/// the client, so that any daemon can serve the session's own writes without a
/// shared table.
class SessionToken {
 public:
  /// Starts a session. Throws SessionTooWideError if the workspace's id alone
  /// fills a token.
  explicit SessionToken(common::WorkspaceId workspace);

  /// Reads a token that Encode wrote for the same workspace; throws
  /// BadSessionTokenError.
  static SessionToken Decode(std::string_view text,
                             const SessionSecrets& secrets,
                             const common::WorkspaceId& workspace);

  /// Text for the client, at most kMaxSessionTextLength long; throws
  /// MissingSessionSecretError.
  std::string Encode(const SessionSecrets& secrets) const;

  /// Raises the service's position; an earlier position changes nothing. Throws
  /// SessionTooWideError, leaving the token as it was, if the service is new
  /// and does not fit.
  void Advance(const common::ServiceId& service, common::LogPosition position);

  /// The service's position; zero if the session has not used it.
  common::LogPosition PositionOf(const common::ServiceId& service) const;

  const common::WorkspaceId& Workspace() const { return this->workspace; }

  bool operator==(const SessionToken&) const = default;

 private:
  common::WorkspaceId workspace;
  std::map<common::ServiceId, common::LogPosition> positions;
  /// Upper bound of the encoded body's size, whatever the positions are.
  std::size_t largest_body;
};

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_SESSION_TOKEN_H_
