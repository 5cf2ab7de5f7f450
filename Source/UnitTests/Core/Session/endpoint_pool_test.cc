#include <gtest/gtest.h>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

class ChannelDivisionTest : public testing::Test {};

TEST_F(ChannelDivisionTest, MoreConnectionsThanDaemons_Divide_KeepsEvenShares) {
  const ChannelLimits limits = DivideChannels(55, 8);
  EXPECT_EQ(limits.max_idle, 6U);
  EXPECT_EQ(limits.max_channels, 6U);
}

// Guards against daemons that each keep a connection although the endpoint
// accepts fewer connections than there are daemons.
TEST_F(ChannelDivisionTest, FewerConnectionsThanDaemons_Divide_KeepsNone) {
  const ChannelLimits limits = DivideChannels(32, 59);
  EXPECT_EQ(limits.max_idle, 0U);
  EXPECT_EQ(limits.max_channels, 4U);
  EXPECT_LT(limits.idle_timeout, std::chrono::milliseconds(500));
}

TEST_F(ChannelDivisionTest, OneConnection_Divide_LeavesOne) {
  EXPECT_EQ(DivideChannels(1, 59).max_channels, 1U);
}

}  // namespace
}  // namespace camphorferry::session
