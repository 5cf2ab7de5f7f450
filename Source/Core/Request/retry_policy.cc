#include "Request/retry_policy.h"

#include <algorithm>
#include <utility>

namespace camphorferry::request {

namespace {

using common::Duration;

/// True for refusals that may not recur on another attempt.
bool IsTransient(NotRunReason reason) {
  switch (reason) {
    case NotRunReason::kQueueFull:
    case NotRunReason::kNoPrimary:
    case NotRunReason::kNoReplica:
    case NotRunReason::kLagging:
    case NotRunReason::kStaleTerm:
    case NotRunReason::kNotPrimary:
    case NotRunReason::kTooManyConnections:
    case NotRunReason::kEndpointUnreachable:
    case NotRunReason::kDraining:
    case NotRunReason::kNoConfiguration:
      return true;
    case NotRunReason::kBadRequest:
    case NotRunReason::kBadSessionToken:
    case NotRunReason::kSessionTooWide:
    case NotRunReason::kIdempotencyKeyExpired:
    case NotRunReason::kIdempotencyMismatch:
    case NotRunReason::kMissingKey:
    case NotRunReason::kUnknownKey:
    case NotRunReason::kRouteForbidden:
    case NotRunReason::kUnknownRoute:
    case NotRunReason::kConflict:
    case NotRunReason::kTooLarge:
    case NotRunReason::kRateExceeded:
    case NotRunReason::kDeadlinePassed:
      return false;
  }
  return false;
}

/// True if the endpoint is the right one but overloaded.
bool IsOverload(NotRunReason reason) {
  return reason == NotRunReason::kQueueFull ||
         reason == NotRunReason::kTooManyConnections;
}

/// True if the refusal also proves that no earlier attempt under the same key
/// has run or will run. A mismatch proves it, because the key's record belongs
/// to another request for as long as the record is kept. A conflict does not:
/// it writes no record, so an earlier attempt that is still in flight can run
/// once the conflicting row has been deleted.
bool RulesOutEarlierEffects(RequestClass request_class, NotRunReason reason) {
  return request_class == RequestClass::kKeyedWrite &&
         reason == NotRunReason::kIdempotencyMismatch;
}

Duration Backoff(int attempts) {
  Duration delay = kFirstRetryDelay;
  for (int i = 1; i < attempts && delay < kMaxRetryDelay; ++i) delay *= 2;
  return std::min<Duration>(delay, kMaxRetryDelay);
}

Duration WithJitter(Duration delay, double jitter) {
  // The comparison is also false for NaN.
  const double fraction = jitter >= 0.0 ? std::min(jitter, 1.0) : 0.0;
  const auto half = static_cast<double>(delay.count()) / 2.0;
  return Duration(static_cast<Duration::rep>(half + half * fraction));
}

}  // namespace

RetryPolicy::RetryPolicy(RequestClass request_class,
                         common::SteadyTime deadline)
    : request_class(request_class), deadline(deadline) {}

RetryDecision RetryPolicy::Decide(Outcome outcome, common::SteadyTime now,
                                  double jitter, RetryBudget& budget) {
  ++this->attempts;
  if (const auto* unknown = std::get_if<Unknown>(&outcome)) {
    this->last_unknown = *unknown;
  }
  if (!this->MayRetry(outcome)) {
    return Report{this->OutcomeToReport(std::move(outcome))};
  }
  const Duration delay = this->DelayFor(outcome, jitter);
  const bool in_time = delay < this->deadline - now;
  if (!in_time || !budget.TryConsume(now)) {
    return Report{this->OutcomeToReport(std::move(outcome))};
  }
  return RetryAfter{delay, this->ShouldChooseAnotherEndpoint(outcome)};
}

bool RetryPolicy::MayRetry(const Outcome& outcome) const {
  const bool at_most_once =
      this->request_class == RequestClass::kUnrepeatableWrite;
  if (at_most_once && this->last_unknown.has_value()) return false;
  const common::Overloaded may_retry{
      [](const Done& /*done*/) { return false; },
      [this](const NotRun& not_run) {
        // One replica's queue was too long; that of another may be shorter.
        if (not_run.reason == NotRunReason::kDeadlinePassed) {
          return this->request_class == RequestClass::kRead;
        }
        return IsTransient(not_run.reason);
      },
      [](const Unknown& /*unknown*/) { return true; }};
  return std::visit(may_retry, outcome);
}

bool RetryPolicy::ShouldChooseAnotherEndpoint(const Outcome& outcome) const {
  if (this->request_class == RequestClass::kRead) return true;
  const auto* not_run = std::get_if<NotRun>(&outcome);
  return not_run == nullptr || !IsOverload(not_run->reason);
}

Duration RetryPolicy::DelayFor(const Outcome& outcome, double jitter) const {
  const Duration delay = WithJitter(Backoff(this->attempts), jitter);
  const auto* not_run = std::get_if<NotRun>(&outcome);
  if (not_run == nullptr) return delay;
  return std::max(delay, not_run->retry_after.value_or(Duration::zero()));
}

Outcome RetryPolicy::OutcomeToReport(Outcome outcome) const {
  const auto* not_run = std::get_if<NotRun>(&outcome);
  if (not_run == nullptr || !this->last_unknown.has_value()) return outcome;
  if (RulesOutEarlierEffects(this->request_class, not_run->reason)) {
    return outcome;
  }
  return *this->last_unknown;
}

}  // namespace camphorferry::request
