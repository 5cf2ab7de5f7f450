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
  /// A share with some of four slots of 100 tokens/s and a burst of 40, full.
  static LocalRateLimiter FullShare(std::uint32_t slots) {
    LocalRateLimiter share({.rate = 100, .burst = 40, .total_slots = 4},
                           kStart);
    for (RateSlotNumber slot = 0; slot < slots; ++slot) {
      share.AddSlot(slot, kLeaseEnd, kStart);
    }
    return share;
  }

  static int AdmittedOf(LocalRateLimiter& share, int requests, SteadyTime now) {
    int admitted = 0;
    for (int request = 0; request < requests; ++request) {
      admitted += IsAdmitted(share.Admit(now)) ? 1 : 0;
    }
    return admitted;
  }
};

// Guards against slots that together stand for more or less than the limit.
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
// clocks differ by more than the 1% that the giver waits.
TEST_F(LocalRateLimiterTest,
       ClocksOffInOppositeDirections_Giver_WaitsLongEnough) {
  for (const Duration agreed : {kLoanDuration, kSlotLeaseDuration}) {
    const double giver =
        static_cast<double>(GrantorPeriod(agreed).count()) / 1.005;
    const double user =
        static_cast<double>(HolderPeriod(agreed).count()) / 0.995;
    EXPECT_GT(giver, user);
  }
}

// Guards against a new holder that starts with tokens which the old one used.
TEST_F(LocalRateLimiterTest, NewSlot_Admit_IsRefusedUntilRefilled) {
  LocalRateLimiter share = FullShare(1);
  const Admission first = share.Admit(kStart);
  ASSERT_FALSE(IsAdmitted(first));
  const Duration wait = std::get<Refused>(first).retry_after;
  EXPECT_FALSE(IsAdmitted(share.Admit(kStart + wait - Duration(1))));
  EXPECT_TRUE(IsAdmitted(share.Admit(kStart + wait)));
}

// Guards against a paused holder that uses its slot after another took it.
TEST_F(LocalRateLimiterTest, PausedPastLeaseEnd_Admit_IsRefused) {
  LocalRateLimiter share = FullShare(4);
  EXPECT_TRUE(IsAdmitted(share.Admit(kLeaseEnd - Duration(1))));
  EXPECT_FALSE(IsAdmitted(share.Admit(kLeaseEnd)));
  share.RenewSlot(0, kLeaseEnd + hours(1), kLeaseEnd);
  EXPECT_EQ(share.Capacity(kLeaseEnd), 0);
}

// Guards against lent tokens that the lender uses as well.
TEST_F(LocalRateLimiterTest, LoanGiven_UntilItIsBack_IsDeducted) {
  LocalRateLimiter share = FullShare(1);
  const SteadyTime granted = kStart + seconds(10);
  const RateLoan loan = share.Lend(1'000'000, granted);
  EXPECT_EQ(loan, (RateLoan{25'000, 9'000, 9'000, kLoanDuration}));
  EXPECT_EQ(share.Level(granted), 1000);
  const SteadyTime back = granted + GrantorPeriod(kLoanDuration);
  EXPECT_EQ(share.Rate(back - Duration(1)), 0);
  EXPECT_EQ(share.Capacity(back - Duration(1)), 1000);
  EXPECT_EQ(share.Rate(back), 25'000);
  EXPECT_EQ(share.Level(back), 1000);
}

// Guards against a level that lender and borrower both use when the lender's
// bucket is not full.
TEST_F(LocalRateLimiterTest, BucketPartlyFull_Lend_DeductsTheLevel) {
  LocalRateLimiter share = FullShare(1);
  const SteadyTime now = kStart + seconds(10);
  EXPECT_EQ(AdmittedOf(share, 6, now), 6);
  const Millitokens before = share.Level(now);
  const RateLoan loan = share.Lend(1500, now);
  EXPECT_GT(loan.level, 0);
  EXPECT_EQ(share.Level(now), before - loan.level);
}

// Guards against a loan that outlives the slot it came from.
TEST_F(LocalRateLimiterTest, LeaseEndsBeforeTheLoanIsBack_Lend_GivesNothing) {
  LocalRateLimiter share = FullShare(1);
  EXPECT_TRUE(
      share.Lend(1000, kLeaseEnd - GrantorPeriod(kLoanDuration) + Duration(1))
          .Empty());
}

// Guards against a lender that refuses its own clients after lending.
TEST_F(LocalRateLimiterTest, LenderWithDemand_Lend_KeepsWhatItsDemandNeeds) {
  LocalRateLimiter share = FullShare(4);
  SteadyTime now = kStart + seconds(1);
  for (int request = 0; request < 100; ++request) {
    now += milliseconds(20);
    EXPECT_TRUE(IsAdmitted(share.Admit(now)));
  }
  EXPECT_FALSE(share.Lend(10'000'000, now).Empty());
  for (int request = 0; request < 200; ++request) {
    now += milliseconds(20);
    EXPECT_TRUE(IsAdmitted(share.Admit(now)));
  }
}

// Guards against a loan counted twice, or past the time the lender waits.
TEST_F(LocalRateLimiterTest, LoanAnswer_DuplicatedOrLate_BringsNothing) {
  LocalRateLimiter share = FullShare(1);
  EXPECT_EQ(AdmittedOf(share, 5, kStart), 0);
  ASSERT_TRUE(share.NextBorrowRequest(kStart));
  const RateLoan loan{50'000, 10'000, 5'000, kLoanDuration};
  const SteadyTime answered = kStart + milliseconds(10);
  share.AcceptLoan(kStart, loan, answered);
  share.AcceptLoan(kStart, loan, answered);
  EXPECT_EQ(share.Rate(answered), 75'000);
  const SteadyTime end = kStart + HolderPeriod(kLoanDuration);
  EXPECT_EQ(share.Capacity(end - Duration(1)), 20'000);
  EXPECT_EQ(share.Capacity(end), 10'000);

  EXPECT_EQ(AdmittedOf(share, 50, end), 10);
  ASSERT_TRUE(share.NextBorrowRequest(end));
  share.AcceptLoan(end, loan, end + kLoanDuration);
  EXPECT_EQ(share.Capacity(end + kLoanDuration), 10'000);
}

// Guards against refusals that a loan asked for in time prevents, and against
// a flood of requests while no peer can lend.
TEST_F(LocalRateLimiterTest, DemandAboveOwnRate_NextBorrow_AsksEarlyAndSeldom) {
  LocalRateLimiter share = FullShare(1);
  SteadyTime now = kStart + seconds(10);
  int refused = 0;
  int asked_before_dry = 0;
  int asked = 0;
  for (int request = 0; request < 2000; ++request) {
    now += milliseconds(5);
    refused += IsAdmitted(share.Admit(now)) ? 0 : 1;
    const bool asks = share.NextBorrowRequest(now).has_value();
    asked += asks ? 1 : 0;
    asked_before_dry += asks && refused == 0 ? 1 : 0;
  }
  EXPECT_EQ(asked_before_dry, 1);
  EXPECT_GE(asked, 10);
  EXPECT_LE(asked, 13);
}

// Guards against loans for requests that only wait and ask again.
TEST_F(LocalRateLimiterTest, RepeatedAttempts_NextBorrow_DoNotCountAsDemand) {
  LocalRateLimiter share = FullShare(1);
  SteadyTime now = kStart + seconds(10);
  EXPECT_TRUE(IsAdmitted(share.Admit(now)));
  for (int attempt = 0; attempt < 7; ++attempt) {
    share.Admit(now, Attempt::kRetry);
  }
  now += milliseconds(100);
  EXPECT_FALSE(share.NextBorrowRequest(now));

  LocalRateLimiter with_demand = FullShare(1);
  EXPECT_EQ(AdmittedOf(with_demand, 8, kStart + seconds(10)), 8);
  EXPECT_TRUE(with_demand.NextBorrowRequest(now));
}

// Guards against tokens that appear or stay when the limits change.
TEST_F(LocalRateLimiterTest, LimitsLoweredAndRaised_Level_IsCutAndNotRestored) {
  LocalRateLimiter share = FullShare(4);
  const SteadyTime now = kStart + seconds(10);
  EXPECT_EQ(share.Level(now), 40'000);
  share.SetLimits({.rate = 10, .burst = 8, .total_slots = 4}, now);
  EXPECT_EQ(share.Level(now), 8'000);
  share.SetLimits({.rate = 100, .burst = 40, .total_slots = 4}, now);
  EXPECT_EQ(share.Level(now), 8'000);
  EXPECT_EQ(share.Rate(now), 100'000);
}

// Guards against daemons that know different numbers of slots and together
// count more than the whole rate.
RC_GTEST_PROP(LocalRateLimiterSlotChangeTest,
              MixedKnowledge_SumOfRates_IsWithinLimit, ()) {
  const auto rate = *rc::gen::inRange<std::uint32_t>(0, 100);
  const auto before = *rc::gen::inRange<std::uint32_t>(1, 12);
  const auto after = *rc::gen::inRange<std::uint32_t>(1, 12);
  Millitokens sum = 0;
  for (RateSlotNumber slot = 0; slot < std::max(before, after); ++slot) {
    LocalRateLimiter share({rate, 10, before}, kStart);
    share.AddSlot(slot, kLeaseEnd + hours(2), kStart);
    if (*rc::gen::arbitrary<bool>()) {
      share.SetLimits({rate, 10, after}, kStart);
    }
    sum += share.Rate(kStart);
  }
  RC_ASSERT(sum <= Millitokens{rate} * 1000);
}

// Guards against rounding in favour of admission, with a clock at the fast end
// of what is allowed for.
RC_GTEST_PROP(LocalRateLimiterWindowTest,
              FastClock_AnyWindow_IsWithinRateAndBurst, ()) {
  const auto rate = *rc::gen::inRange<std::uint32_t>(1, 300);
  const auto burst = *rc::gen::inRange<std::uint32_t>(1, 20);
  const auto gaps = *rc::gen::container<std::vector<std::int64_t>>(
      rc::gen::inRange<std::int64_t>(0, 20'000'000));
  LocalRateLimiter share({rate, burst, 1}, kStart);
  share.AddSlot(0, kLeaseEnd, kStart);
  Duration real = seconds(30);
  std::vector<Duration> admitted;
  for (const std::int64_t gap : gaps) {
    real += Duration(gap);
    const SteadyTime now = kStart + real + real / 200;
    if (IsAdmitted(share.Admit(now))) {
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
