#include "Request/retry_policy.h"

#include <algorithm>
#include <utility>

namespace camphorferry::request {

namespace {

using common::Duration;

/// True for refusals that another attempt may not meet.
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

/// True if the endpoint itself is busy, not the wrong one.
bool IsOverload(NotRunReason reason) {
  return reason == NotRunReason::kQueueFull ||
         reason == NotRunReason::kTooManyConnections;
}

/// True if the refusal also proves that no earlier attempt under the same key
/// has run or will run. A mismatch does: the key's record belongs to another
/// request for as long as it is kept. A conflict does not: it writes no record,
/// so an earlier attempt that is still on its way can run once the conflicting
/// row is gone.
bool SettlesEarlierAttempts(RequestClass request_class, NotRunReason reason) {
  return request_class == RequestClass::kKeyedWrite &&
         reason == NotRunReason::kIdempotencyMismatch;
}

Duration Backoff(int attempts) {
  Duration delay = kFirstRetryDelay;
  for (int i = 1; i < attempts && delay < kMaxRetryDelay; ++i) delay *= 2;
  return std::min<Duration>(delay, kMaxRetryDelay);
}

Duration WithJitter(Duration delay, double jitter) {
  // The comparison is false for a value that is not a number, too.
  const double share = jitter >= 0.0 ? std::min(jitter, 1.0) : 0.0;
  const auto half = static_cast<double>(delay.count()) / 2.0;
  return Duration(static_cast<Duration::rep>(half + half * share));
}

}  // namespace

RetryPolicy::RetryPolicy(RequestClass request_class,
                         common::SteadyTime deadline)
    : request_class(request_class), deadline(deadline) {}

RetryDecision RetryPolicy::Decide(Outcome outcome, common::SteadyTime now,
                                  double jitter, RetryBudget& budget) {
  ++this->attempts;
  if (const auto* unknown = std::get_if<Unknown>(&outcome)) {
    this->unsettled = *unknown;
  }
  if (!this->MayRepeat(outcome)) {
    return Report{this->Reported(std::move(outcome))};
  }
  const Duration delay = this->DelayFor(outcome, jitter);
  const bool in_time = delay < this->deadline - now;
  if (!in_time || !budget.TryTake(now)) {
    return Report{this->Reported(std::move(outcome))};
  }
  return RetryAfter{delay, this->ShouldChooseAnother(outcome)};
}

bool RetryPolicy::MayRepeat(const Outcome& outcome) const {
  const bool once = this->request_class == RequestClass::kUnrepeatableWrite;
  if (once && this->unsettled.has_value()) return false;
  const common::Overloaded repeatable{
      [](const Done& /*done*/) { return false; },
      [this](const NotRun& not_run) {
        // Shed because of one replica's queue; another one's may be shorter.
        if (not_run.reason == NotRunReason::kDeadlinePassed) {
          return this->request_class == RequestClass::kRead;
        }
        return IsTransient(not_run.reason);
      },
      [](const Unknown& /*unknown*/) { return true; }};
  return std::visit(repeatable, outcome);
}

bool RetryPolicy::ShouldChooseAnother(const Outcome& outcome) const {
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

Outcome RetryPolicy::Reported(Outcome outcome) const {
  const auto* not_run = std::get_if<NotRun>(&outcome);
  if (not_run == nullptr || !this->unsettled.has_value()) return outcome;
  if (SettlesEarlierAttempts(this->request_class, not_run->reason)) {
    return outcome;
  }
  return *this->unsettled;
}

}  // namespace camphorferry::request
