#include "Process/local_rate_limiter.h"

#include <algorithm>

namespace camphorferry::process {

namespace {

using common::Duration;
using common::SteadyTime;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Products of a rate and a time in nanoseconds exceed 64 bits.
using Wide = __int128;

constexpr Wide kNanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t kRefillPermille = 1000 - kClockErrorPermille;
/// Units in one millitoken: a rate of one millitoken per second gains
/// kRefillPermille units in one nanosecond.
constexpr Wide kUnitsPerMillitoken = kNanosecondsPerSecond * 1000;

/// Requests are counted in periods of this length to estimate the demand.
constexpr Duration kDemandPeriod = seconds(1);
/// Number of periods that the mean demand goes back.
constexpr std::int64_t kMeanPeriods = 4;
/// After so many periods without requests the mean is zero.
constexpr std::int64_t kMostPeriods = 100;
/// A period that has just begun counts as this long, so that a few requests in
/// a row are not taken for a high demand.
constexpr Duration kShortestDemandSample = milliseconds(250);
/// A daemon asks for a loan when it would run dry within this time, which
/// covers a round trip to another region several times over.
constexpr Duration kBorrowHorizon = seconds(1);
/// Gap between requests while they bring loans, after the first ones that do
/// not, and when none of many did. Doubling the gap with each empty answer left
/// a daemon that had all of a workspace's requests far below the rate, because
/// it came back to its seven lenders long after their loans had ended.
constexpr Duration kShortRequestGap = milliseconds(250);
constexpr Duration kMediumRequestGap = milliseconds(500);
constexpr Duration kLongRequestGap = seconds(2);
constexpr std::uint32_t kRequestsUntilLongGap = 8;
/// Answer to a caller when no refill will admit its request.
constexpr Duration kRetryWithoutRate = seconds(1);

/// Demand varies between periods; a quarter more is kept or wanted.
constexpr Millitokens WithReserve(Millitokens demand) {
  return demand + demand / 4;
}

Millitokens PerSecondTimes(Millitokens rate, Duration duration) {
  const Wide product = static_cast<Wide>(rate) * duration.count();
  return static_cast<Millitokens>(product / kNanosecondsPerSecond);
}

/// Rate of a number of requests in a time.
Millitokens PerSecond(std::int64_t requests, Duration duration) {
  return requests * kRequestCost * Duration(seconds(1)).count() /
         duration.count();
}

/// What remains of an amount after a part of it is taken, the part being
/// need / whole.
Millitokens ProportionalRest(Millitokens amount, Millitokens need,
                             Millitokens whole) {
  if (need >= whole) {
    return 0;
  }
  const Wide rest = static_cast<Wide>(amount) * (whole - need) / whole;
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
    : limits(limits), policy(policy), settled(now), demand_start(now) {}

Admission LocalRateLimiter::Admit(SteadyTime now, Attempt attempt) {
  this->Settle(now);
  if (attempt == Attempt::kFirst) {
    ++this->demand_now;
  }
  if (this->level >= kRequestCost) {
    this->level -= kRequestCost;
    return Admitted{};
  }
  if (this->current.rate == 0 || this->current.capacity < kRequestCost) {
    return Refused{kRetryWithoutRate};
  }
  const Wide missing =
      (kRequestCost - this->level) * kUnitsPerMillitoken - this->fraction;
  const Wide gain = static_cast<Wide>(this->current.rate) * kRefillPermille;
  return Refused{
      Duration(static_cast<Duration::rep>((missing + gain - 1) / gain))};
}

void LocalRateLimiter::AddSlot(RateSlotNumber slot, SteadyTime lease_end,
                               SteadyTime now) {
  this->Settle(now);
  if (lease_end <= this->settled) {
    return;
  }
  this->slots[slot] = lease_end;
  this->Recompute();
}

void LocalRateLimiter::RenewSlot(RateSlotNumber slot, SteadyTime lease_end,
                                 SteadyTime now) {
  this->Settle(now);
  const auto found = this->slots.find(slot);
  if (found == this->slots.end()) {
    return;
  }
  found->second = std::max(found->second, lease_end);
}

void LocalRateLimiter::RemoveSlot(RateSlotNumber slot, SteadyTime now) {
  this->Settle(now);
  this->slots.erase(slot);
  this->Recompute();
}

void LocalRateLimiter::SetLimits(const RateLimits& changed, SteadyTime now) {
  this->Settle(now);
  if (changed.total_slots != this->limits.total_slots) {
    SlotChange change{.fewest = this->limits.total_slots,
                      .most = this->limits.total_slots,
                      .end = this->settled + GrantorPeriod(kSlotLeaseDuration)};
    if (this->slot_change) {
      change.fewest = this->slot_change->fewest;
      change.most = this->slot_change->most;
    }
    change.fewest = std::min(change.fewest, changed.total_slots);
    change.most = std::max(change.most, changed.total_slots);
    this->slot_change = change;
  }
  this->limits = changed;
  this->Recompute();
}

RateLoan LocalRateLimiter::Lend(Millitokens wanted, SteadyTime now) {
  this->Settle(now);
  if (wanted <= 0) {
    return RateLoan{};
  }
  const SteadyTime back = this->settled + GrantorPeriod(kLoanDuration);
  // A slot whose lease ends before the loan is back could by then be used by
  // another daemon as well.
  const Amounts lasting = this->AmountsOfSlotsUntil(back);
  const Amounts out = this->Given();
  const Millitokens lendable_rate =
      std::max<Millitokens>(0, lasting.rate - out.rate);
  const Millitokens lendable_capacity =
      std::max<Millitokens>(0, lasting.capacity - out.capacity);

  // The same part of rate, capacity and level stays as the own demand needs of
  // the rate, and one token at least, so that the first request after an idle
  // time is admitted. A share too small to ever hold a token is of use only to
  // a borrower that puts several such shares together.
  const Millitokens need = this->LenderNeed();
  const Millitokens reserve =
      lendable_capacity >= kRequestCost ? kRequestCost : 0;
  const Millitokens spare_rate = std::max<Millitokens>(0, lendable_rate - need);
  const Millitokens spare_capacity =
      std::min(ProportionalRest(lendable_capacity, need, lendable_rate),
               lendable_capacity - reserve);
  const Millitokens spare_level =
      std::min(ProportionalRest(this->level, need, lendable_rate),
               std::max<Millitokens>(0, this->level - reserve));

  const Millitokens wanted_rate = std::max<Millitokens>(
      1, wanted / std::chrono::duration_cast<seconds>(kLoanDuration).count());
  RateLoan loan;
  loan.rate = std::min(spare_rate, wanted_rate);
  loan.level = std::min({spare_level, spare_capacity, wanted});
  loan.capacity = std::min(spare_capacity, std::max(loan.level, wanted));
  loan.length = kLoanDuration;
  if (loan.capacity == 0 || (loan.rate == 0 && loan.level == 0)) {
    return RateLoan{};
  }
  this->level -= loan.level;
  this->given.push_back(
      RunningLoan{.rate = loan.rate, .capacity = loan.capacity, .end = back});
  this->Recompute();
  return loan;
}

std::optional<BorrowRequest> LocalRateLimiter::NextBorrowRequest(
    SteadyTime now) {
  this->Settle(now);
  if (this->last_request &&
      this->settled < *this->last_request + this->RequestGap()) {
    return std::nullopt;
  }
  const Millitokens demand = this->ProjectedDemandRate();
  if (demand == 0) {
    return std::nullopt;
  }
  // Loans that end within the horizon do not count, so that the next loan is
  // here when they end.
  const Millitokens lasting_rate = this->RateAt(this->settled + kBorrowHorizon);
  const Millitokens needed =
      PerSecondTimes(demand, kBorrowHorizon) + kRequestCost;
  const Millitokens expected =
      this->level + PerSecondTimes(lasting_rate, kBorrowHorizon);
  if (this->level >= kRequestCost && expected >= needed) {
    return std::nullopt;
  }
  const Millitokens missing_rate =
      std::max<Millitokens>(0, WithReserve(demand) - lasting_rate);
  const Millitokens missing_level =
      std::max(kRequestCost, needed - this->level);
  this->last_request = this->settled;
  ++this->requests_without_loan;
  this->open_requests.push_back(now);
  return BorrowRequest{PerSecondTimes(missing_rate, kLoanDuration) +
                       missing_level};
}

void LocalRateLimiter::AcceptLoan(SteadyTime now_before_request,
                                  const RateLoan& loan, SteadyTime now) {
  this->Settle(now);
  const auto request = std::find(this->open_requests.begin(),
                                 this->open_requests.end(), now_before_request);
  if (request == this->open_requests.end()) {
    return;
  }
  this->open_requests.erase(request);
  const SteadyTime start = this->policy.loan_counts_from_request
                               ? now_before_request
                               : this->settled;
  const SteadyTime end =
      start + HolderPeriod(std::min<Duration>(loan.length, kLoanDuration));
  if (loan.Empty() || end <= this->settled) {
    return;
  }
  this->requests_without_loan = 0;
  this->taken.push_back(
      RunningLoan{.rate = loan.rate, .capacity = loan.capacity, .end = end});
  this->Recompute();
  this->level = std::min(this->level + std::min(loan.level, loan.capacity),
                         this->current.capacity);
}

Millitokens LocalRateLimiter::Rate(SteadyTime now) {
  this->Settle(now);
  return this->current.rate;
}

Millitokens LocalRateLimiter::Capacity(SteadyTime now) {
  this->Settle(now);
  return this->current.capacity;
}

Millitokens LocalRateLimiter::Level(SteadyTime now) {
  this->Settle(now);
  return this->level;
}

/// Refills up to now, with the rate and capacity of each moment in between.
void LocalRateLimiter::Settle(SteadyTime now) {
  now = std::max(now, this->settled);
  while (const std::optional<SteadyTime> end = this->NextEnd(now)) {
    this->Refill(*end);
    this->settled = *end;
    this->DropEnded();
    this->Recompute();
  }
  this->Refill(now);
  this->settled = now;

  const std::int64_t periods = (now - this->demand_start) / kDemandPeriod;
  for (std::int64_t period = 0; period < std::min(periods, kMostPeriods);
       ++period) {
    this->NextDemandPeriod();
  }
  this->demand_start += periods * kDemandPeriod;
  std::erase_if(this->open_requests, [now](SteadyTime request) {
    return request + kLoanDuration <= now;
  });
}

/// Earliest time, up to now, at which a slot, a loan or a change ends.
std::optional<SteadyTime> LocalRateLimiter::NextEnd(SteadyTime now) const {
  std::optional<SteadyTime> next;
  const auto consider = [&next, now](SteadyTime end) {
    if (end <= now && (!next || end < *next)) {
      next = end;
    }
  };
  for (const auto& [slot, end] : this->slots) {
    consider(end);
  }
  for (const RunningLoan& loan : this->given) {
    consider(loan.end);
  }
  for (const RunningLoan& loan : this->taken) {
    consider(loan.end);
  }
  if (this->slot_change) {
    consider(this->slot_change->end);
  }
  return next;
}

void LocalRateLimiter::DropEnded() {
  const SteadyTime now = this->settled;
  const auto loan_ended = [now](const RunningLoan& loan) {
    return loan.end <= now;
  };
  std::erase_if(this->slots,
                [now](const auto& slot) { return slot.second <= now; });
  std::erase_if(this->given, loan_ended);
  std::erase_if(this->taken, loan_ended);
  if (this->slot_change && this->slot_change->end <= now) {
    this->slot_change.reset();
  }
}

void LocalRateLimiter::Refill(SteadyTime until) {
  const Wide elapsed = (until - this->settled).count();
  const Wide units =
      this->fraction + elapsed * this->current.rate * kRefillPermille;
  const Wide whole = units / kUnitsPerMillitoken;
  if (whole >= this->current.capacity - this->level) {
    this->level = this->current.capacity;
    this->fraction = 0;
    return;
  }
  this->level += static_cast<Millitokens>(whole);
  this->fraction = static_cast<std::int64_t>(units % kUnitsPerMillitoken);
}

/// Applies what the daemon holds now; the caller has refilled.
void LocalRateLimiter::Recompute() {
  const Amounts held = this->AmountsOfSlotsUntil(this->settled);
  const Amounts out = this->Given();
  this->current.rate = std::max<Millitokens>(0, held.rate - out.rate);
  this->current.capacity =
      std::max<Millitokens>(0, held.capacity - out.capacity);
  for (const RunningLoan& loan : this->taken) {
    this->current.rate += loan.rate;
    this->current.capacity += loan.capacity;
  }
  if (this->level >= this->current.capacity) {
    this->level = this->current.capacity;
    this->fraction = 0;
  }
}

LocalRateLimiter::Amounts LocalRateLimiter::SlotAmounts(
    RateSlotNumber slot) const {
  std::uint32_t usable = this->limits.total_slots;
  std::uint32_t total = this->limits.total_slots;
  if (this->slot_change) {
    usable = this->slot_change->fewest;
    total = this->slot_change->most;
  }
  if (slot >= usable) {
    return Amounts{};
  }
  return Amounts{
      .rate = PerSlotAmount(Millitokens{this->limits.rate} * 1000, total, slot),
      .capacity =
          PerSlotAmount(Millitokens{this->limits.burst} * 1000, total, slot),
  };
}

LocalRateLimiter::Amounts LocalRateLimiter::AmountsOfSlotsUntil(
    SteadyTime end) const {
  Amounts sum;
  for (const auto& [slot, lease_end] : this->slots) {
    if (lease_end < end) {
      continue;
    }
    const Amounts amounts = this->SlotAmounts(slot);
    sum.rate += amounts.rate;
    sum.capacity += amounts.capacity;
  }
  return sum;
}

LocalRateLimiter::Amounts LocalRateLimiter::Given() const {
  Amounts sum;
  for (const RunningLoan& loan : this->given) {
    sum.rate += loan.rate;
    sum.capacity += loan.capacity;
  }
  return sum;
}

void LocalRateLimiter::NextDemandPeriod() {
  const Millitokens rate = PerSecond(this->demand_now, kDemandPeriod);
  this->demand_mean =
      this->HasRisen(rate)
          ? rate
          : this->demand_mean + (rate - this->demand_mean) / kMeanPeriods;
  this->demand_before = this->demand_now;
  this->demand_now = 0;
}

/// True if a period's demand is above the mean by more than chance makes
/// likely.
bool LocalRateLimiter::HasRisen(Millitokens rate) const {
  return rate > 2 * this->demand_mean + 2 * kRequestCost;
}

/// Rate that the own demand needs while a loan runs. The mean over some seconds
/// is used because the larger of the last two seconds overstates a small random
/// demand, so that too little is lent.
Millitokens LocalRateLimiter::LenderNeed() const {
  const Millitokens rate = PerSecond(this->demand_now, kDemandPeriod);
  return WithReserve(this->HasRisen(rate) ? rate : this->demand_mean);
}

/// Demand if the present period goes on as it began. Only a borrower uses it:
/// a lender that took a few requests in a row for its demand would keep rate
/// that it does not need.
Millitokens LocalRateLimiter::ProjectedDemandRate() const {
  const Duration elapsed =
      std::max(this->settled - this->demand_start, kShortestDemandSample);
  return std::max(PerSecond(this->demand_now, elapsed),
                  PerSecond(this->demand_before, kDemandPeriod));
}

Duration LocalRateLimiter::RequestGap() const {
  if (this->requests_without_loan <= 1) {
    return kShortRequestGap;
  }
  return this->requests_without_loan <= kRequestsUntilLongGap
             ? kMediumRequestGap
             : kLongRequestGap;
}

/// Rate at a later time if nothing is added.
Millitokens LocalRateLimiter::RateAt(SteadyTime time) const {
  Amounts sum = this->AmountsOfSlotsUntil(time);
  for (const RunningLoan& loan : this->given) {
    if (loan.end > time) {
      sum.rate -= loan.rate;
    }
  }
  sum.rate = std::max<Millitokens>(0, sum.rate);
  for (const RunningLoan& loan : this->taken) {
    if (loan.end > time) {
      sum.rate += loan.rate;
    }
  }
  return sum.rate;
}

}  // namespace camphorferry::process
