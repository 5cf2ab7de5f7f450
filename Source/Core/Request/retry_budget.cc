#include "Request/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace camphorferry::request {

namespace {

constexpr std::int64_t kCreditPerRetry = 1'000'000'000;
constexpr std::int64_t kCreditPerRequest = kCreditPerRetry / kRequestsPerRetry;
constexpr std::int64_t kCreditPerNanosecond = kRetriesPerSecond;
constexpr std::int64_t kMaxCredit = kMaxSavedRetries * kCreditPerRetry;
// Longer pauses fill the budget anyway; the bound keeps the product small.
constexpr common::Duration kLongestPause =
    std::chrono::nanoseconds(kMaxCredit / kCreditPerNanosecond + 1);

}  // namespace

RetryBudget::RetryBudget(common::SteadyTime now)
    : credit(kRetriesPerSecond * kCreditPerRetry), counted_until(now) {}

void RetryBudget::RequestStarted() { this->Add(kCreditPerRequest); }

bool RetryBudget::TryTake(common::SteadyTime now) {
  if (now > this->counted_until) {
    const common::Duration pause =
        std::min<common::Duration>(now - this->counted_until, kLongestPause);
    this->Add(pause.count() * kCreditPerNanosecond);
    this->counted_until = now;
  }
  if (this->credit < kCreditPerRetry) return false;
  this->credit -= kCreditPerRetry;
  return true;
}

void RetryBudget::Add(Credit earned) {
  this->credit = std::min(this->credit + earned, kMaxCredit);
}

}  // namespace camphorferry::request
