#include "Request/request_record.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

#include "Request/session_token.h"

namespace camphorferry::request {

namespace {

using nlohmann::json;

constexpr char kSessionHeader[] = "camphorferry-session";
constexpr char kDeadlineHeader[] = "camphorferry-deadline-ms";
constexpr char kIdempotencyHeader[] = "idempotency-key";
constexpr char kMaxAgeHeader[] = "camphorferry-max-age-ms";
constexpr char kRequestIdHeader[] = "request-id";
// Nine digits of milliseconds are 11 days and cannot overflow a duration.
constexpr std::size_t kMaxNumberDigits = 9;
// Characters that need no escaping in log lines, headers and JSON.
constexpr std::string_view kRequestIdCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.:";

std::string FaultText(RequestFault fault) {
  switch (fault) {
    case RequestFault::kBodyTooLarge:
      return "the body is too large";
    case RequestFault::kTooDeep:
      return "the body is nested too deeply";
    case RequestFault::kNotJson:
      return "the body is not JSON";
    case RequestFault::kNotAnObject:
      return "the body must be an object";
    case RequestFault::kUnknownField:
      return "unknown field";
    case RequestFault::kMissingField:
      return "missing field";
    case RequestFault::kWrongType:
      return "wrong type";
    case RequestFault::kOutOfRange:
      return "value out of range";
    case RequestFault::kNotANumber:
      return "not a number of at most nine digits";
    case RequestFault::kMaxAgeOnWrite:
      return "a greatest age is for reads only";
    case RequestFault::kBadRequestId:
      return "request id is too long or has other characters than A-Z a-z 0-9 "
             "- _ . :";
  }
  return "invalid request";
}

/// Returns the value of a header field, or null if it is missing.
const std::string* Find(const HeaderFields& headers, const char* name) {
  const auto found = headers.find(name);
  return found == headers.end() ? nullptr : &found->second;
}

std::optional<std::chrono::milliseconds> FindMilliseconds(
    const HeaderFields& headers, const char* name) {
  const std::string* text = Find(headers, name);
  if (text == nullptr) return std::nullopt;
  const bool only_digits =
      text->find_first_not_of("0123456789") == std::string::npos;
  if (text->empty() || text->size() > kMaxNumberDigits || !only_digits) {
    throw BadRequestError(RequestFault::kNotANumber, name);
  }
  std::int64_t value = 0;
  std::from_chars(text->data(), text->data() + text->size(), value);
  return std::chrono::milliseconds(value);
}

bool IsRequestId(const std::string& text) {
  const bool bounded = !text.empty() && text.size() <= kMaxRequestIdLength;
  return bounded &&
         text.find_first_not_of(kRequestIdCharacters) == std::string::npos;
}

common::SteadyTime ParseDeadline(const HeaderFields& headers,
                                 common::SteadyTime now) {
  const auto requested = FindMilliseconds(headers, kDeadlineHeader);
  if (!requested.has_value()) return now + kDefaultDeadline;
  if (requested->count() == 0) {
    throw BadRequestError(RequestFault::kOutOfRange, kDeadlineHeader);
  }
  return now + std::min<common::Duration>(*requested, kMaxDeadline);
}

json ParseBody(std::string_view body) {
  if (body.size() > kMaxStatementBytes) {
    throw BadRequestError(RequestFault::kBodyTooLarge, "");
  }
  const auto check_depth = [](int depth, json::parse_event_t /*event*/,
                              json& /*parsed*/) {
    if (depth <= kMaxStatementDepth) return true;
    throw BadRequestError(RequestFault::kTooDeep, "");
  };
  try {
    json document = json::parse(body, check_depth);
    if (document.is_object()) return document;
  } catch (const json::exception&) {
    // The parser also throws for numbers out of the range of every type.
    throw BadRequestError(RequestFault::kNotJson, "");
  }
  throw BadRequestError(RequestFault::kNotAnObject, "");
}

void RejectUnknownFields(const json& document) {
  for (const auto& [name, value] : document.items()) {
    const bool known =
        name == "route" || name == "operations" || name == "repeatable";
    if (!known) throw BadRequestError(RequestFault::kUnknownField, name);
  }
}

const json& Required(const json& document, const char* name) {
  const auto found = document.find(name);
  if (found == document.end()) {
    throw BadRequestError(RequestFault::kMissingField, name);
  }
  return *found;
}

common::RouteId ParseRoute(const json& document) {
  const json& value = Required(document, "route");
  if (!value.is_string()) {
    throw BadRequestError(RequestFault::kWrongType, "route");
  }
  std::string route = value.get<std::string>();
  if (route.empty() || route.size() > kMaxRouteLength) {
    throw BadRequestError(RequestFault::kOutOfRange, "route");
  }
  return common::RouteId(std::move(route));
}

bool ParseRepeatable(const json& document) {
  const auto found = document.find("repeatable");
  if (found == document.end()) return false;
  if (!found->is_boolean()) {
    throw BadRequestError(RequestFault::kWrongType, "repeatable");
  }
  return found->get<bool>();
}

RequestClass ClassOf(bool read, bool keyed, bool repeatable) {
  if (read) return RequestClass::kRead;
  if (keyed) return RequestClass::kKeyedWrite;
  if (repeatable) return RequestClass::kRepeatableWrite;
  return RequestClass::kUnrepeatableWrite;
}

template <typename ErrorType>
bool Is(const common::Error& error) {
  return dynamic_cast<const ErrorType*>(&error) != nullptr;
}

}  // namespace

BadRequestError::BadRequestError(RequestFault fault, const std::string& field)
    : Error(FaultText(fault) + (field.empty() ? "" : ", field " + field)),
      fault(fault) {}

RequestRecord RequestRecord::Parse(const HeaderFields& headers,
                                   std::string_view body,
                                   std::string_view generated_request_id,
                                   common::SteadyTime now,
                                   common::WallTime wall_now) {
  const std::string* id = Find(headers, kRequestIdHeader);
  if (id != nullptr && !IsRequestId(*id)) {
    throw BadRequestError(RequestFault::kBadRequestId, kRequestIdHeader);
  }
  const json document = ParseBody(body);
  RejectUnknownFields(document);

  RequestRecord record;
  record.request_id = RequestIdOrGenerated(headers, generated_request_id);
  record.deadline = ParseDeadline(headers, now);
  record.route = ParseRoute(document);
  record.operations = ParseOperations(Required(document, "operations"));
  record.max_age = FindMilliseconds(headers, kMaxAgeHeader);
  const bool read = IsReadOnly(record.operations);
  if (record.max_age.has_value() && !read) {
    throw BadRequestError(RequestFault::kMaxAgeOnWrite, kMaxAgeHeader);
  }
  const std::string* session = Find(headers, kSessionHeader);
  if (session != nullptr) record.session = *session;
  const std::string* key = Find(headers, kIdempotencyHeader);
  if (key != nullptr) {
    IdempotencyKey parsed = IdempotencyKey::Parse(*key, wall_now);
    if (!read) {
      record.idempotency_key = std::move(parsed);
      record.operations_digest =
          OperationsDigest(record.route, record.operations);
    }
  }
  record.request_class = ClassOf(read, record.idempotency_key.has_value(),
                                 ParseRepeatable(document));
  return record;
}

std::string RequestIdOrGenerated(const HeaderFields& headers,
                                 std::string_view generated_request_id) {
  const std::string* id = Find(headers, kRequestIdHeader);
  if (id != nullptr && IsRequestId(*id)) return *id;
  return std::string(generated_request_id);
}

std::optional<NotRunReason> RefusalReason(const common::Error& error) {
  if (const auto* request = dynamic_cast<const BadRequestError*>(&error)) {
    const bool too_large = request->Fault() == RequestFault::kBodyTooLarge;
    return too_large ? NotRunReason::kTooLarge : NotRunReason::kBadRequest;
  }
  if (Is<IdempotencyKeyExpiredError>(error)) {
    return NotRunReason::kIdempotencyKeyExpired;
  }
  if (Is<BadIdempotencyKeyError>(error) || Is<BadOperationError>(error)) {
    return NotRunReason::kBadRequest;
  }
  if (Is<BadSessionTokenError>(error)) return NotRunReason::kBadSessionToken;
  if (Is<SessionTooWideError>(error)) return NotRunReason::kSessionTooWide;
  return std::nullopt;
}

}  // namespace camphorferry::request
