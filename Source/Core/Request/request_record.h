#ifndef CAMPHORFERRY_REQUEST_REQUEST_RECORD_H_
#define CAMPHORFERRY_REQUEST_REQUEST_RECORD_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Common/common.h"
#include "Request/idempotency_key.h"
#include "Request/operation.h"
#include "Request/outcome.h"
#include "Request/retry_policy.h"

namespace camphorferry::request {

/// What is wrong with a statement request, apart from its operations and its
/// idempotency key, which have errors of their own.
enum class RequestFault {
  kBodyTooLarge,
  kTooDeep,
  kNotJson,
  kNotAnObject,
  kUnknownField,
  kMissingField,
  kWrongType,
  kOutOfRange,
  kNotANumber,
  kMaxAgeOnWrite,
  kBadRequestId,
};

/// A statement request was not well-formed.
class BadRequestError : public common::Error {
 public:
  BadRequestError(RequestFault fault, const std::string& field);

  RequestFault Fault() const { return this->fault; }

 private:
  RequestFault fault;
};

/// Header names in lower case and their values.
using HeaderFields = std::map<std::string, std::string>;

/// Largest body; below the HTTP server's bound of 1 MB, so that a client gets a
/// typed refusal.
inline constexpr std::size_t kMaxStatementBytes = 256 * 1024;
/// Levels of nesting in a body. Three are the statement's own; JSON is written
/// out recursively, so a value must not be deep.
inline constexpr int kMaxStatementDepth = 32;
inline constexpr std::chrono::milliseconds kDefaultDeadline{5000};
/// A graceful shutdown takes up to 30 s and waits for running requests.
inline constexpr std::chrono::seconds kMaxDeadline{25};
inline constexpr std::size_t kMaxRequestIdLength = 128;
inline constexpr std::size_t kMaxRouteLength = 128;

/// A client's statement as it runs through a daemon. Never holds the client's
/// key, so no later step can pass it on.
struct RequestRecord {
  common::RouteId route;
  Operations operations;
  RequestClass request_class = RequestClass::kUnrepeatableWrite;
  common::SteadyTime deadline;
  /// Session token as the client sent it; empty if it sent none.
  std::string session;
  /// Set for writes only; a read needs no record to be repeated.
  std::optional<IdempotencyKey> idempotency_key;
  /// Digest for the idempotency key; empty without one.
  std::string operations_digest;
  std::optional<common::Duration> max_age;
  std::string request_id;

  /// Parses POST /v1/statement. The generated request id is used if the client
  /// sent none. Throws BadRequestError, BadOperationError, or an error derived
  /// from BadIdempotencyKeyError.
  static RequestRecord Parse(const HeaderFields& headers, std::string_view body,
                             std::string_view generated_request_id,
                             common::SteadyTime now, common::WallTime wall_now);
};

/// Request id for the response to a request that may be malformed: the client's
/// if it is well-formed, the generated one otherwise.
std::string RequestIdOrGenerated(const HeaderFields& headers,
                                 std::string_view generated_request_id);

/// Reason with which a request is refused because of an error of this library;
/// nothing if the error is not the request's fault.
std::optional<NotRunReason> RefusalReason(const common::Error& error);

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_REQUEST_RECORD_H_
