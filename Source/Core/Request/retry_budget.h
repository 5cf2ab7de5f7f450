#ifndef CAMPHORFERRY_REQUEST_RETRY_BUDGET_H_
#define CAMPHORFERRY_REQUEST_RETRY_BUDGET_H_

#include <cstdint>

#include "Common/common.h"

namespace camphorferry::request {

/// Bounds the retries of one route, so that a fault at its endpoints does not
/// multiply the load on them. In any window the retries are at most 10% of the
/// requests, plus 3 a second, plus kMaxSavedRetries.
class RetryBudget {
 public:
  /// Starts with one second's retries, so that a fault right after the start of
  /// a daemon does not refuse its first requests.
  explicit RetryBudget(common::SteadyTime now);

  /// Counts a request's first attempt.
  void RequestStarted();

  /// Takes one retry; false, with nothing taken, if none is left.
  bool TryTake(common::SteadyTime now);

 private:
  /// Billionths of a retry, because 3 a second is 3 billionths a nanosecond.
  using Credit = std::int64_t;

  void Add(Credit earned);

  Credit credit;
  common::SteadyTime counted_until;
};

/// Retries earned by each request are one tenth.
inline constexpr int kRequestsPerRetry = 10;
/// Retries earned by time, so that a quiet route can retry at all.
inline constexpr int kRetriesPerSecond = 3;
/// Bound of the saving: the queue of one workspace at one endpoint holds 64
/// requests, and they fail together when its owner stops.
inline constexpr int kMaxSavedRetries = 64;

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_RETRY_BUDGET_H_
