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
  LenderSelector selector;
};

// Guards against a borrower that asks only one peer.
TEST_F(LenderSelectorTest, EmptyReplies_Select_RotatesThroughPeers) {
  EXPECT_EQ(this->selector.Select(this->peers, kStart), this->first);
  this->selector.OnLoanReply(this->first, RateLoan{}, kStart);
  EXPECT_EQ(this->selector.Select(this->peers, kStart + seconds(1)),
            this->second);
  this->selector.OnLoanReply(this->second, RateLoan{}, kStart);
  EXPECT_EQ(this->selector.Select(this->peers, kStart + seconds(2)),
            this->first);
}

// Guards against requests to peers that have already lent what they can.
TEST_F(LenderSelectorTest, RunningLoan_Select_SkipsLenderUntilLoanEnds) {
  this->selector.Select(this->peers, kStart);
  this->selector.OnLoanReply(this->first, this->loan, kStart);
  this->selector.Select(this->peers, kStart);
  this->selector.OnLoanReply(this->second, this->loan, kStart + seconds(1));
  const SteadyTime loan_end = kStart + GrantorPeriod(kLoanDuration);
  EXPECT_FALSE(this->selector.Select(this->peers, loan_end - Duration(1)));
  EXPECT_EQ(this->selector.Select(this->peers, loan_end), this->first);
}

}  // namespace
}  // namespace camphorferry::process
