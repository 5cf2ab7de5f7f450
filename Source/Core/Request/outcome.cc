#include "Request/outcome.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace camphorferry::request {

namespace {

struct NotRunEntry {
  NotRunReason reason;
  std::string_view name;
  int http_status;
};

constexpr int kBadRequestStatus = 400;
constexpr int kUnauthorizedStatus = 401;
constexpr int kForbiddenStatus = 403;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kTooLargeStatus = 413;
constexpr int kTooManyRequestsStatus = 429;
constexpr int kUnavailableStatus = 503;
constexpr int kGatewayTimeoutStatus = 504;

constexpr std::array kNotRunEntries = {
    NotRunEntry{NotRunReason::kBadRequest, "bad_request", kBadRequestStatus},
    NotRunEntry{NotRunReason::kBadSessionToken, "bad_session_token",
                kBadRequestStatus},
    NotRunEntry{NotRunReason::kSessionTooWide, "session_too_wide",
                kBadRequestStatus},
    NotRunEntry{NotRunReason::kIdempotencyKeyExpired, "idempotency_key_expired",
                kBadRequestStatus},
    NotRunEntry{NotRunReason::kIdempotencyMismatch, "idempotency_mismatch",
                kConflictStatus},
    NotRunEntry{NotRunReason::kMissingKey, "missing_key", kUnauthorizedStatus},
    NotRunEntry{NotRunReason::kUnknownKey, "unknown_key", kUnauthorizedStatus},
    NotRunEntry{NotRunReason::kRouteForbidden, "route_forbidden",
                kForbiddenStatus},
    NotRunEntry{NotRunReason::kUnknownRoute, "unknown_route", kNotFoundStatus},
    NotRunEntry{NotRunReason::kConflict, "conflict", kConflictStatus},
    NotRunEntry{NotRunReason::kTooLarge, "too_large", kTooLargeStatus},
    NotRunEntry{NotRunReason::kRateExceeded, "rate_exceeded",
                kTooManyRequestsStatus},
    NotRunEntry{NotRunReason::kQueueFull, "queue_full", kTooManyRequestsStatus},
    NotRunEntry{NotRunReason::kDeadlinePassed, "deadline_passed",
                kUnavailableStatus},
    NotRunEntry{NotRunReason::kNoPrimary, "no_primary", kUnavailableStatus},
    NotRunEntry{NotRunReason::kNoReplica, "no_replica", kUnavailableStatus},
    NotRunEntry{NotRunReason::kLagging, "lagging", kUnavailableStatus},
    NotRunEntry{NotRunReason::kStaleTerm, "stale_term", kUnavailableStatus},
    NotRunEntry{NotRunReason::kNotPrimary, "not_primary", kUnavailableStatus},
    NotRunEntry{NotRunReason::kTooManyConnections, "too_many_connections",
                kUnavailableStatus},
    NotRunEntry{NotRunReason::kEndpointUnreachable, "endpoint_unreachable",
                kUnavailableStatus},
    NotRunEntry{NotRunReason::kDraining, "draining", kUnavailableStatus},
    NotRunEntry{NotRunReason::kNoConfiguration, "no_configuration",
                kUnavailableStatus},
};

struct UnknownEntry {
  UnknownReason reason;
  std::string_view name;
};

constexpr std::array kUnknownEntries = {
    UnknownEntry{UnknownReason::kConnectionLost, "connection_lost"},
    UnknownEntry{UnknownReason::kNoAnswer, "no_answer"},
    UnknownEntry{UnknownReason::kNotConfirmed, "not_confirmed"},
};

const NotRunEntry& EntryOf(NotRunReason reason) {
  for (const NotRunEntry& entry : kNotRunEntries) {
    if (entry.reason == reason) return entry;
  }
  return kNotRunEntries.front();
}

struct StatusVisitor {
  int operator()(const Done& /*done*/) const { return 200; }
  int operator()(const NotRun& not_run) const {
    return EntryOf(not_run.reason).http_status;
  }
  int operator()(const Unknown& /*unknown*/) const {
    return kGatewayTimeoutStatus;
  }
};

std::int64_t CeilMilliseconds(common::Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

struct JsonVisitor {
  nlohmann::json operator()(const Done& done) const {
    return {{"outcome", "done"},
            {"results", done.results},
            {"served_by", done.served_by_primary ? "primary" : "replica"},
            {"age_ms", CeilMilliseconds(done.age)}};
  }
  nlohmann::json operator()(const NotRun& not_run) const {
    nlohmann::json body = {{"outcome", "not_run"},
                           {"reason", ReasonName(not_run.reason)}};
    if (not_run.retry_after.has_value()) {
      body["retry_after_ms"] = CeilMilliseconds(*not_run.retry_after);
    }
    return body;
  }
  nlohmann::json operator()(const Unknown& unknown) const {
    return {{"outcome", "unknown"}, {"reason", ReasonName(unknown.reason)}};
  }
};

}  // namespace

std::string_view ReasonName(NotRunReason reason) {
  return EntryOf(reason).name;
}

std::string_view ReasonName(UnknownReason reason) {
  for (const UnknownEntry& entry : kUnknownEntries) {
    if (entry.reason == reason) return entry.name;
  }
  return kUnknownEntries.front().name;
}

std::optional<NotRunReason> NotRunReasonFromName(std::string_view name) {
  for (const NotRunEntry& entry : kNotRunEntries) {
    if (entry.name == name) return entry.reason;
  }
  return std::nullopt;
}

std::optional<UnknownReason> UnknownReasonFromName(std::string_view name) {
  for (const UnknownEntry& entry : kUnknownEntries) {
    if (entry.name == name) return entry.reason;
  }
  return std::nullopt;
}

int HttpStatus(const Outcome& outcome) {
  return std::visit(StatusVisitor{}, outcome);
}

nlohmann::json OutcomeToJson(const Outcome& outcome,
                             std::string_view request_id) {
  nlohmann::json body = std::visit(JsonVisitor{}, outcome);
  body["request_id"] = request_id;
  return body;
}

}  // namespace camphorferry::request
