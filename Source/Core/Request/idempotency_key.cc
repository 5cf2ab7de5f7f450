#include "Request/idempotency_key.h"

#include <charconv>
#include <cstdint>
#include <vector>

namespace camphorferry::request {

namespace {

using std::chrono::seconds;
using std::chrono::sys_seconds;

// Eleven digits last beyond the year 5000 and cannot overflow 64 bits.
constexpr std::size_t kMaxSecondsDigits = 11;
constexpr std::string_view kRandomCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

sys_seconds ParseSeconds(std::string_view digits) {
  const bool bounded = !digits.empty() && digits.size() <= kMaxSecondsDigits;
  if (!bounded || digits.front() == '0') throw MalformedIdempotencyKeyError();
  if (digits.find_first_not_of("0123456789") != std::string_view::npos) {
    throw MalformedIdempotencyKeyError();
  }
  std::int64_t value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value);
  return sys_seconds(seconds(value));
}

void CheckRandomPart(std::string_view random) {
  const bool bounded = random.size() >= kMinIdempotencyRandomLength &&
                       random.size() <= kMaxIdempotencyRandomLength;
  if (!bounded) throw MalformedIdempotencyKeyError();
  if (random.find_first_not_of(kRandomCharacters) != std::string_view::npos) {
    throw MalformedIdempotencyKeyError();
  }
}

/// Compares in whole seconds, because eleven digits of seconds overflow a
/// 64-bit count of nanoseconds. The current time is rounded up for the age and
/// down for the lead, so that both limits are exact.
void CheckAge(sys_seconds issued, common::WallTime now) {
  const seconds lead = issued - std::chrono::floor<seconds>(now);
  if (lead > kMaxIdempotencyKeyLead) throw IdempotencyKeyFromFutureError(lead);
  const seconds age = std::chrono::ceil<seconds>(now) - issued;
  if (age > kMaxIdempotencyKeyAge) throw IdempotencyKeyExpiredError(age);
}

}  // namespace

MalformedIdempotencyKeyError::MalformedIdempotencyKeyError()
    : BadIdempotencyKeyError("idempotency key is not UNIXSECONDS-RANDOM") {}

IdempotencyKeyExpiredError::IdempotencyKeyExpiredError(seconds age)
    : BadIdempotencyKeyError("idempotency key is " +
                             std::to_string(age.count()) + " s old"),
      age(age) {}

IdempotencyKeyFromFutureError::IdempotencyKeyFromFutureError(seconds lead)
    : BadIdempotencyKeyError("idempotency key is " +
                             std::to_string(lead.count()) + " s in the future"),
      lead(lead) {}

IdempotencyKey IdempotencyKey::Parse(std::string_view text,
                                     common::WallTime now) {
  const std::size_t hyphen = text.find('-');
  if (hyphen == std::string_view::npos) throw MalformedIdempotencyKeyError();
  const sys_seconds issued = ParseSeconds(text.substr(0, hyphen));
  CheckRandomPart(text.substr(hyphen + 1));
  CheckAge(issued, now);
  return IdempotencyKey(text, common::WallTime(issued));
}

std::string OperationsDigest(const common::RouteId& route,
                             const Operations& operations) {
  // The CBOR encoding is unambiguous: strings are length-prefixed and object
  // keys are sorted, so only equal requests have equal bytes. Dumping JSON text
  // would throw on invalid UTF-8.
  const nlohmann::json request = {route.Value(), OperationsToJson(operations)};
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(request);
  return common::Sha256Hex(std::string(bytes.begin(), bytes.end()));
}

}  // namespace camphorferry::request
