#ifndef CAMPHORFERRY_REQUEST_IDEMPOTENCY_KEY_H_
#define CAMPHORFERRY_REQUEST_IDEMPOTENCY_KEY_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "Common/common.h"
#include "Request/operation.h"

namespace camphorferry::request {

/// Base class of the errors for a rejected idempotency key.
class BadIdempotencyKeyError : public common::Error {
 protected:
  using Error::Error;
};

/// The key is not of the form UNIXSECONDS-RANDOM.
class MalformedIdempotencyKeyError : public BadIdempotencyKeyError {
 public:
  MalformedIdempotencyKeyError();
};

/// The key is so old that its record may have been purged.
class IdempotencyKeyExpiredError : public BadIdempotencyKeyError {
 public:
  explicit IdempotencyKeyExpiredError(std::chrono::seconds age);

  /// Whole seconds since the key's issue time.
  std::chrono::seconds Age() const { return this->age; }

 private:
  std::chrono::seconds age;
};

/// The key's issue time is further in the future than the accepted clock skew.
class IdempotencyKeyFromFutureError : public BadIdempotencyKeyError {
 public:
  explicit IdempotencyKeyFromFutureError(std::chrono::seconds lead);

  /// Whole seconds until the key's issue time.
  std::chrono::seconds Lead() const { return this->lead; }

 private:
  std::chrono::seconds lead;
};

/// Maximum age of a key. Records are kept for 48 h, so the record of the first
/// attempt still exists for every retry that is accepted.
inline constexpr std::chrono::hours kMaxIdempotencyKeyAge{24};
/// Maximum time by which a client's clock may be ahead.
inline constexpr std::chrono::minutes kMaxIdempotencyKeyLead{5};
/// Length of the random part in characters. With fewer than 8, clients of one
/// workspace could choose the same key within a second; 64 are enough for a
/// hexadecimal SHA-256 digest.
inline constexpr std::size_t kMinIdempotencyRandomLength = 8;
inline constexpr std::size_t kMaxIdempotencyRandomLength = 64;

/// Identifies one request of a client across all its attempts. The format is
/// UNIXSECONDS-RANDOM: the issue time in 1 to 11 decimal digits without leading
/// zeros, a hyphen, and 8 to 64 of the characters A-Z a-z 0-9 - _.
class IdempotencyKey {
 public:
  /// Throws an error derived from BadIdempotencyKeyError. A key whose age or
  /// lead is exactly at the limit is accepted.
  static IdempotencyKey Parse(std::string_view text, common::WallTime now);

  /// The whole key, as it is recorded in the transaction of the write.
  const std::string& Text() const { return this->text; }

  common::WallTime IssuedAt() const { return this->issued_at; }

 private:
  IdempotencyKey(std::string_view text, common::WallTime issued_at)
      : text(text), issued_at(issued_at) {}

  std::string text;
  common::WallTime issued_at;
};

/// Digest that binds an idempotency key to one request: a function of route and
/// operations only, in lower-case hexadecimal digits.
std::string OperationsDigest(const common::RouteId& route,
                             const Operations& operations);

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_IDEMPOTENCY_KEY_H_
