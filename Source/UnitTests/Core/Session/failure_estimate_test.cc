#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;

class FailureEstimateTest : public testing::Test {
 protected:
  FailureEstimate estimate;
  common::SteadyTime now{std::chrono::seconds(100)};
};

// Guards against a single lost answer that diverts all reads from an endpoint.
TEST_F(FailureEstimateTest, OneFailureOfMany_Probability_StaysLow) {
  for (int i = 0; i < 20; ++i) this->estimate.Record(false, this->now);
  this->estimate.Record(true, this->now);
  EXPECT_LE(this->estimate.Probability(this->now), 0.25);
}

TEST_F(FailureEstimateTest, AllFail_Probability_IsNearlyOne) {
  for (int i = 0; i < 20; ++i) this->estimate.Record(true, this->now);
  EXPECT_GE(this->estimate.Probability(this->now), 0.9);
}

// Guards against an endpoint that gets no more statements after failures and is
// therefore never found to work again.
TEST_F(FailureEstimateTest, NothingSent_Probability_DecaysToZero) {
  for (int i = 0; i < 20; ++i) this->estimate.Record(true, this->now);
  EXPECT_LE(this->estimate.Probability(this->now + std::chrono::seconds(10)),
            0.05);
}

RC_GTEST_FIXTURE_PROP(FailureEstimateTest,
                      AnyResults_Probability_IsBetweenZeroAndOne, ()) {
  const auto results =
      *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
  for (const bool failed : results) {
    this->now += milliseconds(*rc::gen::inRange(0, 500));
    this->estimate.Record(failed, this->now);
    const double probability = this->estimate.Probability(this->now);
    RC_ASSERT(probability >= 0.0);
    RC_ASSERT(probability <= 1.0);
  }
}

class HedgeBudgetTest : public testing::Test {
 protected:
  HedgeBudget budget;
};

// Guards against a group that is slow as a whole and gets every read twice.
RC_GTEST_FIXTURE_PROP(HedgeBudgetTest,
                      EveryReadIsSlow_TryTake_AllowsATenthAfterTheBurst, ()) {
  const int reads = *rc::gen::inRange(1, 2000);
  int hedged = 0;
  for (int i = 0; i < reads; ++i) {
    this->budget.OnRead();
    if (this->budget.TryTake()) ++hedged;
  }
  RC_ASSERT(hedged <= 10 + reads / 10 + 1);
}

}  // namespace
}  // namespace camphorferry::session
