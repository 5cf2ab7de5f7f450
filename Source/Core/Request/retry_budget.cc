#include "Request/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace camphorferry::request {

namespace {

constexpr std::int64_t kCreditPerRetry = 1'000'000'000;
constexpr std::int64_t kCreditPerRequest = kCreditPerRetry / kRequestsPerRetry;
constexpr std::int64_t kCreditPerNanosecond = kRetriesPerSecond;
constexpr std::int64_t kMaxCredit = kMaxRetryBurst * kCreditPerRetry;
// A longer interval fills the bucket anyway; the limit keeps the product of
// interval and refill rate from overflowing.
constexpr common::Duration kMaxRefillInterval =
    std::chrono::nanoseconds(kMaxCredit / kCreditPerNanosecond + 1);

}  // namespace

RetryBudget::RetryBudget(common::SteadyTime now)
    : credit(kRetriesPerSecond * kCreditPerRetry), last_refill(now) {}

void RetryBudget::RequestStarted() { this->AddCredit(kCreditPerRequest); }

bool RetryBudget::TryConsume(common::SteadyTime now) {
  if (now > this->last_refill) {
    const common::Duration interval =
        std::min<common::Duration>(now - this->last_refill, kMaxRefillInterval);
    this->AddCredit(interval.count() * kCreditPerNanosecond);
    this->last_refill = now;
  }
  if (this->credit < kCreditPerRetry) return false;
  this->credit -= kCreditPerRetry;
  return true;
}

void RetryBudget::AddCredit(Credit earned) {
  this->credit = std::min(this->credit + earned, kMaxCredit);
}

}  // namespace camphorferry::request
