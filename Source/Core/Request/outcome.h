#ifndef CAMPHORFERRY_REQUEST_OUTCOME_H_
#define CAMPHORFERRY_REQUEST_OUTCOME_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <variant>

#include "Common/common.h"

namespace camphorferry::request {

/// Why a request was not run. Each reason guarantees that the request had no
/// effect.
enum class NotRunReason {
  kBadRequest,
  kBadSessionToken,
  kSessionTooWide,
  kIdempotencyKeyExpired,
  kIdempotencyMismatch,
  kMissingKey,
  kUnknownKey,
  kRouteForbidden,
  kUnknownRoute,
  kConflict,
  kTooLarge,
  kRateExceeded,
  kQueueFull,
  kDeadlinePassed,
  kNoPrimary,
  kNoReplica,
  kLagging,
  kStaleTerm,
  kNotPrimary,
  kTooManyConnections,
  kEndpointUnreachable,
  kDraining,
  kNoConfiguration,
};

/// Why it is not known whether a request had an effect.
enum class UnknownReason {
  kConnectionLost,
  kNoAnswer,
  kNotConfirmed,
};

/// The request ran, and its effect is durable.
struct Done {
  nlohmann::json results;
  common::LogPosition position;
  bool served_by_primary = false;
  /// Upper bound of the age of the data; zero if a confirmed primary served it.
  common::Duration age = common::Duration::zero();
};

/// The request had no effect and will have none.
struct NotRun {
  NotRunReason reason = NotRunReason::kBadRequest;
  std::optional<common::Duration> retry_after;
};

/// The request may have had its effect, or may still have it.
struct Unknown {
  UnknownReason reason = UnknownReason::kNoAnswer;
};

/// How a request ended.
using Outcome = std::variant<Done, NotRun, Unknown>;

/// Name of a reason in responses and logs, such as rate_exceeded.
std::string_view ReasonName(NotRunReason reason);
std::string_view ReasonName(UnknownReason reason);

/// Inverse of ReasonName; none for an unknown name.
std::optional<NotRunReason> NotRunReasonFromName(std::string_view name);
std::optional<UnknownReason> UnknownReasonFromName(std::string_view name);

/// HTTP status code of the response that reports the outcome.
int HttpStatus(const Outcome& outcome);

/// Body of the response to POST /v1/statement. Times are rounded up, so that
/// the reported age is never too small and no client retries too early.
nlohmann::json OutcomeToJson(const Outcome& outcome,
                             std::string_view request_id);

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_OUTCOME_H_
