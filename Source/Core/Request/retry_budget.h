#ifndef CAMPHORFERRY_REQUEST_RETRY_BUDGET_H_
#define CAMPHORFERRY_REQUEST_RETRY_BUDGET_H_

#include <cstdint>

#include "Common/common.h"

namespace camphorferry::request {

/// Token bucket that limits the retries of one route, so that a fault of its
/// endpoints does not multiply the load on them. In any time window, the number
/// of retries is at most 10% of the requests, plus 3 per second, plus
/// kMaxRetryBurst.
class RetryBudget {
 public:
  /// Starts with the retries of one second, so that the first requests of a
  /// daemon can be retried if a fault occurs right after its start.
  explicit RetryBudget(common::SteadyTime now);

  /// Adds the retries that a new request earns. Call once for each request.
  void RequestStarted();

  /// Consumes one retry and returns true; returns false if none is left.
  bool TryConsume(common::SteadyTime now);

 private:
  /// In billionths of a retry, so that the refill of 3 retries per second is
  /// the integer 3 per nanosecond.
  using Credit = std::int64_t;

  void AddCredit(Credit earned);

  Credit credit;
  common::SteadyTime last_refill;
};

/// Each request earns the reciprocal of this number of retries.
inline constexpr int kRequestsPerRetry = 10;
/// Refill rate, so that a route with few requests can retry as well.
inline constexpr int kRetriesPerSecond = 3;
/// Capacity of the bucket in retries. The queue of one workspace at one
/// endpoint holds 64 requests, which all fail at once when the daemon that owns
/// the endpoint stops.
inline constexpr int kMaxRetryBurst = 64;

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_RETRY_BUDGET_H_
