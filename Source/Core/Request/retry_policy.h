#ifndef CAMPHORFERRY_REQUEST_RETRY_POLICY_H_
#define CAMPHORFERRY_REQUEST_RETRY_POLICY_H_

#include <chrono>
#include <optional>
#include <variant>

#include "Common/common.h"
#include "Request/outcome.h"
#include "Request/retry_budget.h"

namespace camphorferry::request {

/// Whether and how a request may be repeated.
enum class RequestClass {
  kRead,
  /// A write with an idempotency key, whose record is committed together with
  /// the effect of the write.
  kKeyedWrite,
  /// A write without a key that the client declared repeatable.
  kRepeatableWrite,
  /// A write without a key that must run at most once.
  kUnrepeatableWrite,
};

/// Make another attempt after the delay.
struct RetryAfter {
  common::Duration delay = common::Duration::zero();
  /// Select the endpoint again: the next candidate for a read, or the primary
  /// that is known at that time for a write.
  bool choose_another_endpoint = false;
};

/// Make no further attempt and report this outcome to the client.
struct Report {
  Outcome outcome;
};

using RetryDecision = std::variant<RetryAfter, Report>;

/// Delay before the second attempt; it doubles with each further attempt.
inline constexpr std::chrono::milliseconds kFirstRetryDelay{5};
/// Maximum delay; short compared with the second that a promotion takes.
inline constexpr std::chrono::milliseconds kMaxRetryDelay{200};

/// Decides after each attempt of one request whether to repeat it. The request
/// is reported as not run only if no attempt has had or can still have an
/// effect. For that, the policy remembers an attempt with an unknown outcome
/// until the request ends.
class RetryPolicy {
 public:
  RetryPolicy(RequestClass request_class, common::SteadyTime deadline);

  /// Decides after an attempt that ended with the outcome. Jitter is a random
  /// number from 0 to 1 that distributes the delay over its upper half.
  /// Consumes a retry of the budget only if the decision is to retry.
  RetryDecision Decide(Outcome outcome, common::SteadyTime now, double jitter,
                       RetryBudget& budget);

  /// Number of attempts that have ended.
  int Attempts() const { return this->attempts; }

 private:
  bool MayRetry(const Outcome& outcome) const;
  bool ShouldChooseAnotherEndpoint(const Outcome& outcome) const;
  common::Duration DelayFor(const Outcome& outcome, double jitter) const;
  Outcome OutcomeToReport(Outcome outcome) const;

  RequestClass request_class;
  common::SteadyTime deadline;
  int attempts = 0;
  /// Outcome of the latest attempt that may have had or may still have its
  /// effect.
  std::optional<Unknown> last_unknown;
};

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_RETRY_POLICY_H_
