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

/// What is wrong with a statement request, except for its operations and its
/// idempotency key, which have their own error classes.
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

/// A statement request was malformed.
class BadRequestError : public common::Error {
 public:
  BadRequestError(RequestFault fault, const std::string& field);

  RequestFault Fault() const { return this->fault; }

 private:
  RequestFault fault;
};

/// HTTP header fields by lower-case name.
using HeaderFields = std::map<std::string, std::string>;

/// Maximum size of a body. Less than the HTTP server's limit of 1 MB, so that
/// the client gets a response with a reason.
inline constexpr std::size_t kMaxStatementBytes = 256 * 1024;
/// Maximum nesting depth of a body. The statement itself uses three levels.
/// JSON is serialized recursively, so an unlimited depth could exhaust the
/// stack.
inline constexpr int kMaxStatementDepth = 32;
inline constexpr std::chrono::milliseconds kDefaultDeadline{5000};
/// A graceful shutdown waits for running requests for up to 30 s, so a request
/// must end before that.
inline constexpr std::chrono::seconds kMaxDeadline{25};
inline constexpr std::size_t kMaxRequestIdLength = 128;
inline constexpr std::size_t kMaxRouteLength = 128;

/// A client's statement request while a daemon processes it. It never holds the
/// client's API key, so no later step can forward or log the key.
struct RequestRecord {
  common::RouteId route;
  Operations operations;
  RequestClass request_class = RequestClass::kUnrepeatableWrite;
  common::SteadyTime deadline;
  /// Session token as the client sent it; empty if it sent none.
  std::string session;
  /// Set for writes only; a read can be repeated without a record.
  std::optional<IdempotencyKey> idempotency_key;
  /// OperationsDigest of the request; empty without an idempotency key.
  std::string operations_digest;
  std::optional<common::Duration> max_age;
  std::string request_id;

  /// Parses the request POST /v1/statement. Uses the generated request id if
  /// the client sent none. Throws BadRequestError, BadOperationError, or an
  /// error derived from BadIdempotencyKeyError.
  static RequestRecord Parse(const HeaderFields& headers, std::string_view body,
                             std::string_view generated_request_id,
                             common::SteadyTime now, common::WallTime wall_now);
};

/// Request id for the response to a request that may be malformed: the client's
/// id if it is valid, otherwise the generated one.
std::string RequestIdOrGenerated(const HeaderFields& headers,
                                 std::string_view generated_request_id);

/// Reason to report for a request that failed with an error of this library;
/// none if the error was not caused by the request.
std::optional<NotRunReason> RefusalReason(const common::Error& error);

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_REQUEST_RECORD_H_
