#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "Process/process.h"

namespace camphorferry::process {
namespace {

using common::Duration;
using common::SteadyTime;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime kStart{hours(1)};
constexpr SteadyTime kLeaseEnd = kStart + kSlotLeaseDuration;

bool IsAdmitted(const Admission& admission) {
  return std::holds_alternative<Admitted>(admission);
}

class LocalRateLimiterTest : public testing::Test {
 protected:
  /// A limiter with some of four slots of a workspace with 100 tokens/s and a
  /// burst of 40.
  static LocalRateLimiter FullLimiter(std::uint32_t slots) {
    LocalRateLimiter limiter({.rate = 100, .burst = 40, .total_slots = 4},
                             kStart);
    for (RateSlotNumber slot = 0; slot < slots; ++slot) {
      limiter.AddSlot(slot, kLeaseEnd, kStart);
    }
    return limiter;
  }

  static int CountAdmitted(LocalRateLimiter& limiter, int requests,
                           SteadyTime now) {
    int admitted = 0;
    for (int request = 0; request < requests; ++request) {
      admitted += IsAdmitted(limiter.Admit(now)) ? 1 : 0;
    }
    return admitted;
  }
};

// Guards against slots whose parts add up to more or less than the limit.
RC_GTEST_PROP(PerSlotAmountTest, AnyAmount_AllParts_AddUpToTheAmount, ()) {
  const auto amount = *rc::gen::inRange<Millitokens>(0, 5'000'000'000);
  const auto total = *rc::gen::inRange<std::uint32_t>(1, 4000);
  Millitokens sum = 0;
  for (RateSlotNumber slot = 0; slot < total; ++slot) {
    sum += PerSlotAmount(amount, total, slot);
  }
  RC_ASSERT(sum == amount);
  RC_ASSERT(PerSlotAmount(amount, total, total) == 0);
}

// Guards against two daemons that use one slot or loan at once because their
// clocks differ by more than the 1% that the grantor waits.
TEST_F(LocalRateLimiterTest,
       ClocksOffInOppositeDirections_GrantorPeriod_ExceedsHolderPeriod) {
  for (const Duration agreed : {kLoanDuration, kSlotLeaseDuration}) {
    const double grantor =
        static_cast<double>(GrantorPeriod(agreed).count()) / 1.005;
    const double holder =
        static_cast<double>(HolderPeriod(agreed).count()) / 0.995;
    EXPECT_GT(grantor, holder);
  }
}

// Guards against a new slot holder that starts with tokens that the previous
// one has used.
TEST_F(LocalRateLimiterTest, NewSlot_Admit_IsRefusedUntilRefilled) {
  LocalRateLimiter limiter = FullLimiter(1);
  const Admission first = limiter.Admit(kStart);
  ASSERT_FALSE(IsAdmitted(first));
  const Duration wait = std::get<Refused>(first).retry_after;
  EXPECT_FALSE(IsAdmitted(limiter.Admit(kStart + wait - Duration(1))));
  EXPECT_TRUE(IsAdmitted(limiter.Admit(kStart + wait)));
}

// Guards against a paused slot holder that uses its slot after another daemon
// acquired it.
TEST_F(LocalRateLimiterTest, PausedPastLeaseEnd_Admit_IsRefused) {
  LocalRateLimiter limiter = FullLimiter(4);
  EXPECT_TRUE(IsAdmitted(limiter.Admit(kLeaseEnd - Duration(1))));
  EXPECT_FALSE(IsAdmitted(limiter.Admit(kLeaseEnd)));
  limiter.RenewSlot(0, kLeaseEnd + hours(1), kLeaseEnd);
  EXPECT_EQ(limiter.Capacity(kLeaseEnd), 0);
}

// Guards against lent tokens that the lender also uses.
TEST_F(LocalRateLimiterTest, LoanGiven_UntilItsEnd_IsDeducted) {
  LocalRateLimiter limiter = FullLimiter(1);
  const SteadyTime granted = kStart + seconds(10);
  const RateLoan loan = limiter.Lend(1'000'000, granted);
  EXPECT_EQ(loan, (RateLoan{25'000, 9'000, 9'000, kLoanDuration}));
  EXPECT_EQ(limiter.Level(granted), 1000);
  const SteadyTime loan_end = granted + GrantorPeriod(kLoanDuration);
  EXPECT_EQ(limiter.Rate(loan_end - Duration(1)), 0);
  EXPECT_EQ(limiter.Capacity(loan_end - Duration(1)), 1000);
  EXPECT_EQ(limiter.Rate(loan_end), 25'000);
  EXPECT_EQ(limiter.Level(loan_end), 1000);
}

// Guards against tokens that lender and borrower both use when the lender's
// bucket is not full.
TEST_F(LocalRateLimiterTest, BucketPartlyFull_Lend_DeductsTheLevel) {
  LocalRateLimiter limiter = FullLimiter(1);
  const SteadyTime now = kStart + seconds(10);
  EXPECT_EQ(CountAdmitted(limiter, 6, now), 6);
  const Millitokens before = limiter.Level(now);
  const RateLoan loan = limiter.Lend(1500, now);
  EXPECT_GT(loan.level, 0);
  EXPECT_EQ(limiter.Level(now), before - loan.level);
}

// Guards against a loan that lasts longer than the lease of the slot it came
// from.
TEST_F(LocalRateLimiterTest, LeaseEndsBeforeLoan_Lend_GivesNothing) {
  LocalRateLimiter limiter = FullLimiter(1);
  EXPECT_TRUE(
      limiter.Lend(1000, kLeaseEnd - GrantorPeriod(kLoanDuration) + Duration(1))
          .Empty());
}

// Guards against a lender that refuses its own requests after lending.
TEST_F(LocalRateLimiterTest, LenderWithDemand_Lend_ReservesOwnDemand) {
  LocalRateLimiter limiter = FullLimiter(4);
  SteadyTime now = kStart + seconds(1);
  for (int request = 0; request < 100; ++request) {
    now += milliseconds(20);
    EXPECT_TRUE(IsAdmitted(limiter.Admit(now)));
  }
  EXPECT_FALSE(limiter.Lend(10'000'000, now).Empty());
  for (int request = 0; request < 200; ++request) {
    now += milliseconds(20);
    EXPECT_TRUE(IsAdmitted(limiter.Admit(now)));
  }
}

// Guards against a loan that is counted twice, or after the lender reuses it.
TEST_F(LocalRateLimiterTest, LoanReply_DuplicatedOrLate_IsIgnored) {
  LocalRateLimiter limiter = FullLimiter(1);
  EXPECT_EQ(CountAdmitted(limiter, 5, kStart), 0);
  ASSERT_TRUE(limiter.NextBorrowRequest(kStart));
  const RateLoan loan{50'000, 10'000, 5'000, kLoanDuration};
  const SteadyTime answered = kStart + milliseconds(10);
  limiter.AcceptLoan(kStart, loan, answered);
  limiter.AcceptLoan(kStart, loan, answered);
  EXPECT_EQ(limiter.Rate(answered), 75'000);
  const SteadyTime end = kStart + HolderPeriod(kLoanDuration);
  EXPECT_EQ(limiter.Capacity(end - Duration(1)), 20'000);
  EXPECT_EQ(limiter.Capacity(end), 10'000);

  EXPECT_EQ(CountAdmitted(limiter, 50, end), 10);
  ASSERT_TRUE(limiter.NextBorrowRequest(end));
  limiter.AcceptLoan(end, loan, end + kLoanDuration);
  EXPECT_EQ(limiter.Capacity(end + kLoanDuration), 10'000);
}

// Guards against refusals that an early loan request would prevent, and against
// a flood of loan requests while no peer can lend.
TEST_F(LocalRateLimiterTest,
       DemandAboveOwnRate_NextBorrowRequest_IsEarlyAndRare) {
  LocalRateLimiter limiter = FullLimiter(1);
  SteadyTime now = kStart + seconds(10);
  int refused = 0;
  int requests_before_refusal = 0;
  int requests_sent = 0;
  for (int request = 0; request < 2000; ++request) {
    now += milliseconds(5);
    refused += IsAdmitted(limiter.Admit(now)) ? 0 : 1;
    const bool sends_request = limiter.NextBorrowRequest(now).has_value();
    requests_sent += sends_request ? 1 : 0;
    requests_before_refusal += sends_request && refused == 0 ? 1 : 0;
  }
  EXPECT_EQ(requests_before_refusal, 1);
  EXPECT_GE(requests_sent, 10);
  EXPECT_LE(requests_sent, 13);
}

// Guards against loans for requests that are only retries.
TEST_F(LocalRateLimiterTest,
       RetriedAttempts_NextBorrowRequest_AreNotCountedAsDemand) {
  LocalRateLimiter limiter = FullLimiter(1);
  SteadyTime now = kStart + seconds(10);
  EXPECT_TRUE(IsAdmitted(limiter.Admit(now)));
  for (int attempt = 0; attempt < 7; ++attempt) {
    limiter.Admit(now, Attempt::kRetry);
  }
  now += milliseconds(100);
  EXPECT_FALSE(limiter.NextBorrowRequest(now));

  LocalRateLimiter with_demand = FullLimiter(1);
  EXPECT_EQ(CountAdmitted(with_demand, 8, kStart + seconds(10)), 8);
  EXPECT_TRUE(with_demand.NextBorrowRequest(now));
}

// Guards against tokens that are added or kept wrongly when the limits change.
TEST_F(LocalRateLimiterTest, LimitsLoweredAndRaised_Level_IsCutAndNotRestored) {
  LocalRateLimiter limiter = FullLimiter(4);
  const SteadyTime now = kStart + seconds(10);
  EXPECT_EQ(limiter.Level(now), 40'000);
  limiter.SetLimits({.rate = 10, .burst = 8, .total_slots = 4}, now);
  EXPECT_EQ(limiter.Level(now), 8'000);
  limiter.SetLimits({.rate = 100, .burst = 40, .total_slots = 4}, now);
  EXPECT_EQ(limiter.Level(now), 8'000);
  EXPECT_EQ(limiter.Rate(now), 100'000);
}

// Guards against daemons that know different numbers of slots and together
// exceed the whole rate.
RC_GTEST_PROP(LocalRateLimiterSlotChangeTest,
              MixedKnowledge_SumOfRates_IsWithinLimit, ()) {
  const auto rate = *rc::gen::inRange<std::uint32_t>(0, 100);
  const auto before = *rc::gen::inRange<std::uint32_t>(1, 12);
  const auto after = *rc::gen::inRange<std::uint32_t>(1, 12);
  Millitokens sum = 0;
  for (RateSlotNumber slot = 0; slot < std::max(before, after); ++slot) {
    LocalRateLimiter limiter({rate, 10, before}, kStart);
    limiter.AddSlot(slot, kLeaseEnd + hours(2), kStart);
    if (*rc::gen::arbitrary<bool>()) {
      limiter.SetLimits({rate, 10, after}, kStart);
    }
    sum += limiter.Rate(kStart);
  }
  RC_ASSERT(sum <= Millitokens{rate} * 1000);
}

// Guards against rounding in favour of admission, with the fastest clock that
// is tolerated.
RC_GTEST_PROP(LocalRateLimiterWindowTest,
              FastClock_AnyWindow_IsWithinRateAndBurst, ()) {
  const auto rate = *rc::gen::inRange<std::uint32_t>(1, 300);
  const auto burst = *rc::gen::inRange<std::uint32_t>(1, 20);
  const auto gaps = *rc::gen::container<std::vector<std::int64_t>>(
      rc::gen::inRange<std::int64_t>(0, 20'000'000));
  LocalRateLimiter limiter({rate, burst, 1}, kStart);
  limiter.AddSlot(0, kLeaseEnd, kStart);
  Duration real = seconds(30);
  std::vector<Duration> admitted;
  for (const std::int64_t gap : gaps) {
    real += Duration(gap);
    const SteadyTime now = kStart + real + real / 200;
    if (IsAdmitted(limiter.Admit(now))) {
      admitted.push_back(real);
    }
  }
  for (std::size_t first = 0; first < admitted.size(); ++first) {
    for (std::size_t last = first; last < admitted.size(); ++last) {
      const double window =
          std::chrono::duration<double>(admitted[last] - admitted[first])
              .count();
      RC_ASSERT(static_cast<double>(last - first + 1) <=
                rate * window + burst + 1e-9);
    }
  }
}

}  // namespace
}  // namespace camphorferry::process
