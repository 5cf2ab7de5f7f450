#include <gtest/gtest.h>

#include <chrono>
#include <vector>

#include "Process/process.h"

namespace camphorferry::process {
namespace {

using common::Duration;
using common::HostId;
using common::SteadyTime;
using std::chrono::hours;
using std::chrono::seconds;

constexpr SteadyTime kStart{hours(1)};

class LenderSelectorTest : public testing::Test {
 protected:
  const HostId first{"first"};
  const HostId second{"second"};
  const std::vector<HostId> peers{first, second};
  const RateLoan loan{1000, 1000, 1000, kLoanDuration};
  LenderSelector choice;
};

// Guards against a borrower that asks one peer only.
TEST_F(LenderSelectorTest, EmptyAnswers_Peers_TakeTurns) {
  EXPECT_EQ(this->choice.Next(this->peers, kStart), this->first);
  this->choice.OnAnswer(this->first, RateLoan{}, kStart);
  EXPECT_EQ(this->choice.Next(this->peers, kStart + seconds(1)), this->second);
  this->choice.OnAnswer(this->second, RateLoan{}, kStart);
  EXPECT_EQ(this->choice.Next(this->peers, kStart + seconds(2)), this->first);
}

// Guards against requests to peers that have lent what they can.
TEST_F(LenderSelectorTest, RunningLoan_Lender_IsLeftOutUntilItIsBack) {
  this->choice.Next(this->peers, kStart);
  this->choice.OnAnswer(this->first, this->loan, kStart);
  this->choice.Next(this->peers, kStart);
  this->choice.OnAnswer(this->second, this->loan, kStart + seconds(1));
  const SteadyTime back = kStart + GrantorPeriod(kLoanDuration);
  EXPECT_FALSE(this->choice.Next(this->peers, back - Duration(1)));
  EXPECT_EQ(this->choice.Next(this->peers, back), this->first);
}

}  // namespace
}  // namespace camphorferry::process
