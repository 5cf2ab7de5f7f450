#include "Process/local_rate_limiter.h"

#include <algorithm>

namespace camphorferry::process {

namespace {

using common::Duration;
using common::SteadyTime;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A product of a rate and a time in nanoseconds exceeds 64 bits.
using Int128 = __int128;

constexpr Int128 kNanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t kRefillPermille = 1000 - kClockErrorPermille;
/// Sub-units of one millitoken: a rate of one millitoken per second gains
/// kRefillPermille of them in one nanosecond.
constexpr Int128 kUnitsPerMillitoken = kNanosecondsPerSecond * 1000;

/// Length of the periods in which requests are counted to estimate the demand.
constexpr Duration kDemandPeriod = seconds(1);
/// The mean demand is an exponential moving average with weight 1 /
/// kMeanPeriods per period.
constexpr std::int64_t kMeanPeriods = 4;
/// After this many periods without requests the mean demand is zero.
constexpr std::int64_t kMaxElapsedPeriods = 100;
/// Minimum time over which the demand of the current period is averaged, so
/// that a few consecutive requests are not taken for a high demand.
constexpr Duration kMinDemandSample = milliseconds(250);
/// A daemon asks for a loan if its bucket would be empty within this time,
/// which covers several round trips to another region.
constexpr Duration kBorrowHorizon = seconds(1);
/// Interval between loan requests: while they bring loans, after the first
/// requests without a loan, and after many of them. Exponential backoff is not
/// used: a daemon that received all of a workspace's requests then stayed far
/// below the rate, because it returned to its seven lenders long after their
/// loans had ended.
constexpr Duration kShortBorrowInterval = milliseconds(250);
constexpr Duration kMediumBorrowInterval = milliseconds(500);
constexpr Duration kLongBorrowInterval = seconds(2);
constexpr std::uint32_t kRequestsUntilLongInterval = 8;
/// Retry delay reported to the caller if no refill will ever admit its request.
constexpr Duration kRetryDelayWithoutRate = seconds(1);

/// Adds headroom of a quarter, since demand varies between periods.
constexpr Millitokens WithHeadroom(Millitokens demand) {
  return demand + demand / 4;
}

Millitokens AmountOver(Millitokens rate, Duration duration) {
  const Int128 product = static_cast<Int128>(rate) * duration.count();
  return static_cast<Millitokens>(product / kNanosecondsPerSecond);
}

/// Rate of a number of requests within a duration.
Millitokens RatePerSecond(std::int64_t requests, Duration duration) {
  return requests * kRequestCost * Duration(seconds(1)).count() /
         duration.count();
}

/// Remainder of an amount after removing the fraction part / whole.
Millitokens ProportionalRest(Millitokens amount, Millitokens part,
                             Millitokens whole) {
  if (part >= whole) {
    return 0;
  }
  const Int128 rest = static_cast<Int128>(amount) * (whole - part) / whole;
  return static_cast<Millitokens>(rest);
}

}  // namespace

Millitokens PerSlotAmount(Millitokens amount, std::uint32_t total_slots,
                          RateSlotNumber slot) {
  if (slot >= total_slots) {
    return 0;
  }
  const Millitokens remainder = amount % total_slots;
  return amount / total_slots + (slot < remainder ? 1 : 0);
}

LocalRateLimiter::LocalRateLimiter(const RateLimits& limits, SteadyTime now)
    : LocalRateLimiter(limits, now, Policy()) {}

LocalRateLimiter::LocalRateLimiter(const RateLimits& limits, SteadyTime now,
                                   const Policy& policy)
    : limits(limits),
      policy(policy),
      advanced_until(now),
      demand_period_start(now) {}

Admission LocalRateLimiter::Admit(SteadyTime now, Attempt attempt) {
  this->AdvanceTo(now);
  if (attempt == Attempt::kFirst) {
    ++this->current_demand;
  }
  if (this->level >= kRequestCost) {
    this->level -= kRequestCost;
    return Admitted{};
  }
  if (this->effective.rate == 0 || this->effective.capacity < kRequestCost) {
    return Refused{kRetryDelayWithoutRate};
  }
  const Int128 missing =
      (kRequestCost - this->level) * kUnitsPerMillitoken - this->level_fraction;
  const Int128 gain =
      static_cast<Int128>(this->effective.rate) * kRefillPermille;
  return Refused{
      Duration(static_cast<Duration::rep>((missing + gain - 1) / gain))};
}

void LocalRateLimiter::AddSlot(RateSlotNumber slot, SteadyTime lease_end,
                               SteadyTime now) {
  this->AdvanceTo(now);
  if (lease_end <= this->advanced_until) {
    return;
  }
  this->slots[slot] = lease_end;
  this->RecomputeLimits();
}

void LocalRateLimiter::RenewSlot(RateSlotNumber slot, SteadyTime lease_end,
                                 SteadyTime now) {
  this->AdvanceTo(now);
  const auto found = this->slots.find(slot);
  if (found == this->slots.end()) {
    return;
  }
  found->second = std::max(found->second, lease_end);
}

void LocalRateLimiter::RemoveSlot(RateSlotNumber slot, SteadyTime now) {
  this->AdvanceTo(now);
  this->slots.erase(slot);
  this->RecomputeLimits();
}

void LocalRateLimiter::SetLimits(const RateLimits& changed, SteadyTime now) {
  this->AdvanceTo(now);
  if (changed.total_slots != this->limits.total_slots) {
    SlotCountChange change{
        .min_slots = this->limits.total_slots,
        .max_slots = this->limits.total_slots,
        .end = this->advanced_until + GrantorPeriod(kSlotLeaseDuration)};
    if (this->slot_count_change) {
      change.min_slots = this->slot_count_change->min_slots;
      change.max_slots = this->slot_count_change->max_slots;
    }
    change.min_slots = std::min(change.min_slots, changed.total_slots);
    change.max_slots = std::max(change.max_slots, changed.total_slots);
    this->slot_count_change = change;
  }
  this->limits = changed;
  this->RecomputeLimits();
}

RateLoan LocalRateLimiter::Lend(Millitokens wanted, SteadyTime now) {
  this->AdvanceTo(now);
  if (wanted <= 0) {
    return RateLoan{};
  }
  const SteadyTime returned_at =
      this->advanced_until + GrantorPeriod(kLoanDuration);
  // A slot whose lease ends before the loan does could by then be in use by
  // another daemon as well.
  const BucketLimits held_until_return =
      this->LimitsOfSlotsHeldUntil(returned_at);
  const BucketLimits lent = this->LentLimits();
  const Millitokens lendable_rate =
      std::max<Millitokens>(0, held_until_return.rate - lent.rate);
  const Millitokens lendable_capacity =
      std::max<Millitokens>(0, held_until_return.capacity - lent.capacity);

  // Of rate, capacity and level, the lender keeps the fraction that its own
  // demand needs of the rate, and at least one token, so that the first request
  // after an idle period is admitted. A share too small to ever hold a token is
  // useful only to a borrower that combines several such shares.
  const Millitokens own_demand = this->OwnDemandRate();
  const Millitokens min_reserve =
      lendable_capacity >= kRequestCost ? kRequestCost : 0;
  const Millitokens spare_rate =
      std::max<Millitokens>(0, lendable_rate - own_demand);
  const Millitokens spare_capacity =
      std::min(ProportionalRest(lendable_capacity, own_demand, lendable_rate),
               lendable_capacity - min_reserve);
  const Millitokens spare_level =
      std::min(ProportionalRest(this->level, own_demand, lendable_rate),
               std::max<Millitokens>(0, this->level - min_reserve));

  const Millitokens wanted_rate = std::max<Millitokens>(
      1, wanted / std::chrono::duration_cast<seconds>(kLoanDuration).count());
  RateLoan loan;
  loan.rate = std::min(spare_rate, wanted_rate);
  loan.level = std::min({spare_level, spare_capacity, wanted});
  loan.capacity = std::min(spare_capacity, std::max(loan.level, wanted));
  loan.duration = kLoanDuration;
  if (loan.capacity == 0 || (loan.rate == 0 && loan.level == 0)) {
    return RateLoan{};
  }
  this->level -= loan.level;
  this->loans_given.push_back(ActiveLoan{
      .rate = loan.rate, .capacity = loan.capacity, .end = returned_at});
  this->RecomputeLimits();
  return loan;
}

std::optional<BorrowRequest> LocalRateLimiter::NextBorrowRequest(
    SteadyTime now) {
  this->AdvanceTo(now);
  if (this->last_request &&
      this->advanced_until < *this->last_request + this->BorrowInterval()) {
    return std::nullopt;
  }
  const Millitokens demand = this->ProjectedDemandRate();
  if (demand == 0) {
    return std::nullopt;
  }
  // Loans that end within the horizon are not counted, so that the next loan
  // arrives before they end.
  const Millitokens lasting_rate =
      this->RateAt(this->advanced_until + kBorrowHorizon);
  const Millitokens needed = AmountOver(demand, kBorrowHorizon) + kRequestCost;
  const Millitokens expected =
      this->level + AmountOver(lasting_rate, kBorrowHorizon);
  if (this->level >= kRequestCost && expected >= needed) {
    return std::nullopt;
  }
  const Millitokens missing_rate =
      std::max<Millitokens>(0, WithHeadroom(demand) - lasting_rate);
  const Millitokens missing_level =
      std::max(kRequestCost, needed - this->level);
  this->last_request = this->advanced_until;
  ++this->requests_without_loan;
  this->pending_requests.push_back(now);
  return BorrowRequest{AmountOver(missing_rate, kLoanDuration) + missing_level};
}

void LocalRateLimiter::AcceptLoan(SteadyTime requested_at, const RateLoan& loan,
                                  SteadyTime now) {
  this->AdvanceTo(now);
  const auto request = std::find(this->pending_requests.begin(),
                                 this->pending_requests.end(), requested_at);
  if (request == this->pending_requests.end()) {
    return;
  }
  this->pending_requests.erase(request);
  const SteadyTime start = this->policy.loan_counts_from_request
                               ? requested_at
                               : this->advanced_until;
  const SteadyTime end =
      start + HolderPeriod(std::min<Duration>(loan.duration, kLoanDuration));
  if (loan.Empty() || end <= this->advanced_until) {
    return;
  }
  this->requests_without_loan = 0;
  this->loans_taken.push_back(
      ActiveLoan{.rate = loan.rate, .capacity = loan.capacity, .end = end});
  this->RecomputeLimits();
  this->level = std::min(this->level + std::min(loan.level, loan.capacity),
                         this->effective.capacity);
}

Millitokens LocalRateLimiter::Rate(SteadyTime now) {
  this->AdvanceTo(now);
  return this->effective.rate;
}

Millitokens LocalRateLimiter::Capacity(SteadyTime now) {
  this->AdvanceTo(now);
  return this->effective.capacity;
}

Millitokens LocalRateLimiter::Level(SteadyTime now) {
  this->AdvanceTo(now);
  return this->level;
}

/// Refills the bucket up to now, using the rate and capacity in effect at each
/// moment in between.
void LocalRateLimiter::AdvanceTo(SteadyTime now) {
  now = std::max(now, this->advanced_until);
  while (const std::optional<SteadyTime> end = this->NextExpiry(now)) {
    this->Refill(*end);
    this->advanced_until = *end;
    this->RemoveExpired();
    this->RecomputeLimits();
  }
  this->Refill(now);
  this->advanced_until = now;

  const std::int64_t periods =
      (now - this->demand_period_start) / kDemandPeriod;
  for (std::int64_t period = 0; period < std::min(periods, kMaxElapsedPeriods);
       ++period) {
    this->StartDemandPeriod();
  }
  this->demand_period_start += periods * kDemandPeriod;
  std::erase_if(this->pending_requests, [now](SteadyTime request) {
    return request + kLoanDuration <= now;
  });
}

/// Earliest expiry of a slot, a loan or a slot count change, up to now.
std::optional<SteadyTime> LocalRateLimiter::NextExpiry(SteadyTime now) const {
  std::optional<SteadyTime> next;
  const auto consider = [&next, now](SteadyTime end) {
    if (end <= now && (!next || end < *next)) {
      next = end;
    }
  };
  for (const auto& [slot, end] : this->slots) {
    consider(end);
  }
  for (const ActiveLoan& loan : this->loans_given) {
    consider(loan.end);
  }
  for (const ActiveLoan& loan : this->loans_taken) {
    consider(loan.end);
  }
  if (this->slot_count_change) {
    consider(this->slot_count_change->end);
  }
  return next;
}

void LocalRateLimiter::RemoveExpired() {
  const SteadyTime now = this->advanced_until;
  const auto is_expired = [now](const ActiveLoan& loan) {
    return loan.end <= now;
  };
  std::erase_if(this->slots,
                [now](const auto& slot) { return slot.second <= now; });
  std::erase_if(this->loans_given, is_expired);
  std::erase_if(this->loans_taken, is_expired);
  if (this->slot_count_change && this->slot_count_change->end <= now) {
    this->slot_count_change.reset();
  }
}

void LocalRateLimiter::Refill(SteadyTime until) {
  const Int128 elapsed = (until - this->advanced_until).count();
  const Int128 units =
      this->level_fraction + elapsed * this->effective.rate * kRefillPermille;
  const Int128 whole = units / kUnitsPerMillitoken;
  if (whole >= this->effective.capacity - this->level) {
    this->level = this->effective.capacity;
    this->level_fraction = 0;
    return;
  }
  this->level += static_cast<Millitokens>(whole);
  this->level_fraction = static_cast<std::int64_t>(units % kUnitsPerMillitoken);
}

/// Recomputes the effective limits. The bucket must have been refilled up to
/// now.
void LocalRateLimiter::RecomputeLimits() {
  const BucketLimits held = this->LimitsOfSlotsHeldUntil(this->advanced_until);
  const BucketLimits lent = this->LentLimits();
  this->effective.rate = std::max<Millitokens>(0, held.rate - lent.rate);
  this->effective.capacity =
      std::max<Millitokens>(0, held.capacity - lent.capacity);
  for (const ActiveLoan& loan : this->loans_taken) {
    this->effective.rate += loan.rate;
    this->effective.capacity += loan.capacity;
  }
  if (this->level >= this->effective.capacity) {
    this->level = this->effective.capacity;
    this->level_fraction = 0;
  }
}

LocalRateLimiter::BucketLimits LocalRateLimiter::LimitsOfSlot(
    RateSlotNumber slot) const {
  std::uint32_t usable = this->limits.total_slots;
  std::uint32_t total = this->limits.total_slots;
  if (this->slot_count_change) {
    usable = this->slot_count_change->min_slots;
    total = this->slot_count_change->max_slots;
  }
  if (slot >= usable) {
    return BucketLimits{};
  }
  return BucketLimits{
      .rate = PerSlotAmount(Millitokens{this->limits.rate} * 1000, total, slot),
      .capacity =
          PerSlotAmount(Millitokens{this->limits.burst} * 1000, total, slot),
  };
}

LocalRateLimiter::BucketLimits LocalRateLimiter::LimitsOfSlotsHeldUntil(
    SteadyTime end) const {
  BucketLimits sum;
  for (const auto& [slot, lease_end] : this->slots) {
    if (lease_end < end) {
      continue;
    }
    const BucketLimits slot_limits = this->LimitsOfSlot(slot);
    sum.rate += slot_limits.rate;
    sum.capacity += slot_limits.capacity;
  }
  return sum;
}

LocalRateLimiter::BucketLimits LocalRateLimiter::LentLimits() const {
  BucketLimits sum;
  for (const ActiveLoan& loan : this->loans_given) {
    sum.rate += loan.rate;
    sum.capacity += loan.capacity;
  }
  return sum;
}

void LocalRateLimiter::StartDemandPeriod() {
  const Millitokens rate = RatePerSecond(this->current_demand, kDemandPeriod);
  this->mean_demand =
      this->IsDemandIncrease(rate)
          ? rate
          : this->mean_demand + (rate - this->mean_demand) / kMeanPeriods;
  this->previous_demand = this->current_demand;
  this->current_demand = 0;
}

/// True if a period's demand exceeds the mean by more than random variation
/// makes likely.
bool LocalRateLimiter::IsDemandIncrease(Millitokens rate) const {
  return rate > 2 * this->mean_demand + 2 * kRequestCost;
}

/// Rate to reserve for this daemon's own demand while a loan runs. The mean
/// over some seconds is used, because the larger of the last two seconds
/// overstates a small random demand, so that too little is lent.
Millitokens LocalRateLimiter::OwnDemandRate() const {
  const Millitokens rate = RatePerSecond(this->current_demand, kDemandPeriod);
  return WithHeadroom(this->IsDemandIncrease(rate) ? rate : this->mean_demand);
}

/// Projected demand if the current period continues as it began. Only a
/// borrower uses it: a lender that mistook a few consecutive requests for its
/// demand would keep rate that it does not need.
Millitokens LocalRateLimiter::ProjectedDemandRate() const {
  const Duration elapsed = std::max(
      this->advanced_until - this->demand_period_start, kMinDemandSample);
  return std::max(RatePerSecond(this->current_demand, elapsed),
                  RatePerSecond(this->previous_demand, kDemandPeriod));
}

Duration LocalRateLimiter::BorrowInterval() const {
  if (this->requests_without_loan <= 1) {
    return kShortBorrowInterval;
  }
  return this->requests_without_loan <= kRequestsUntilLongInterval
             ? kMediumBorrowInterval
             : kLongBorrowInterval;
}

/// Rate at a later time if no slot or loan is added.
Millitokens LocalRateLimiter::RateAt(SteadyTime time) const {
  BucketLimits sum = this->LimitsOfSlotsHeldUntil(time);
  for (const ActiveLoan& loan : this->loans_given) {
    if (loan.end > time) {
      sum.rate -= loan.rate;
    }
  }
  sum.rate = std::max<Millitokens>(0, sum.rate);
  for (const ActiveLoan& loan : this->loans_taken) {
    if (loan.end > time) {
      sum.rate += loan.rate;
    }
  }
  return sum.rate;
}

}  // namespace camphorferry::process
