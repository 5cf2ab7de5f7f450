#ifndef CAMPHORFERRY_REQUEST_RETRY_POLICY_H_
#define CAMPHORFERRY_REQUEST_RETRY_POLICY_H_

#include <chrono>
#include <optional>
#include <variant>

#include "Common/common.h"
#include "Request/outcome.h"
#include "Request/retry_budget.h"

namespace camphorferry::request {

/// How far a request may be repeated.
enum class RequestClass {
  kRead,
  /// A write whose idempotency record is written with its effect.
  kKeyedWrite,
  /// A write without a key that the client declares as repeatable.
  kRepeatableWrite,
  /// A write that may run at most once and has no key.
  kUnrepeatableWrite,
};

/// Make another attempt after the delay.
struct RetryAfter {
  common::Duration delay = common::Duration::zero();
  /// Choose the endpoint anew: another candidate for a read, and for a write
  /// the primary that is known by then.
  bool choose_another_endpoint = false;
};

/// Give this outcome to the client.
struct Report {
  Outcome outcome;
};

using RetryDecision = std::variant<RetryAfter, Report>;

/// Delay before the second attempt; doubles with each further one.
inline constexpr std::chrono::milliseconds kFirstRetryDelay{5};
/// Longest delay, short against the second that a promotion takes.
inline constexpr std::chrono::milliseconds kMaxRetryDelay{200};

/// Decides after each attempt of one request whether to repeat it. An outcome
/// is reported as not run only if no attempt can have had or can still get an
/// effect; so the policy remembers an unknown attempt for the whole request.
class RetryPolicy {
 public:
  RetryPolicy(RequestClass request_class, common::SteadyTime deadline);

  /// Takes the outcome of the attempt that just ended. Jitter is between 0 and
  /// 1 and spreads the delay over its upper half. Takes from the budget only
  /// for a retry.
  RetryDecision Decide(Outcome outcome, common::SteadyTime now, double jitter,
                       RetryBudget& budget);

  /// Number of attempts that have ended.
  int Attempts() const { return this->attempts; }

 private:
  bool MayRepeat(const Outcome& outcome) const;
  bool ShouldChooseAnother(const Outcome& outcome) const;
  common::Duration DelayFor(const Outcome& outcome, double jitter) const;
  Outcome Reported(Outcome outcome) const;

  RequestClass request_class;
  common::SteadyTime deadline;
  int attempts = 0;
  /// The latest attempt that may have had, or may still get, its effect.
  std::optional<Unknown> unsettled;
};

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_RETRY_POLICY_H_
