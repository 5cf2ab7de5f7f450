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

class ConnectionPlanTest : public testing::Test {};

// Guards against owners that together take all connections of an endpoint, so
// that a promotion, or a daemon that is cut off, finds none.
TEST_F(ConnectionPlanTest, Owners_PlanChannels_LeaveAQuarter) {
  const ConnectionUsers users{70, 71};
  constexpr std::size_t kOwners = 12;
  const ChannelLimits limits = PlanChannels(users, kOwners);
  EXPECT_EQ(limits.max_idle, limits.max_channels);
  EXPECT_EQ(limits.max_channels, 4U);
  EXPECT_LE(limits.max_channels * kOwners, 70U * 3 / 4);
}

TEST_F(ConnectionPlanTest, OtherFailureDomain_PlanChannels_KeepsNone) {
  EXPECT_EQ(PlanChannels({70, 71}, 0).max_idle, 0U);
}

// Guards against daemons with one connection to an endpoint, which they open
// anew for each workspace.
TEST_F(ConnectionPlanTest, OneConnectionForEach_PlanChannels_HasOwners) {
  EXPECT_TRUE(NeedsConnectionOwners({75, 62}));
  EXPECT_EQ(PlanChannels({75, 62}, 0).max_idle, 0U);
  EXPECT_EQ(PlanChannels({75, 62}, 10).max_idle, 5U);
}

// Guards against a change for fleets in which each daemon has connections.
TEST_F(ConnectionPlanTest, ConnectionsForAll_PlanChannels_HasNoOwners) {
  EXPECT_FALSE(NeedsConnectionOwners({16, 8}));
  EXPECT_FALSE(NeedsConnectionOwners({55, 8}));
  EXPECT_EQ(PlanChannels({55, 8}, 3).max_channels,
            DivideChannels(55, 8).max_channels);
}

}  // namespace
}  // namespace camphorferry::session
