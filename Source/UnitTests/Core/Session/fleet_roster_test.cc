#include <gtest/gtest.h>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::SteadyTime kStart{std::chrono::hours(1)};

class FleetRosterTest : public testing::Test {
 protected:
  static HostPlace Place() {
    HostPlace place;
    place.host = common::HostId("own");
    place.domain = common::FailureDomainId("east");
    place.region_of = {
        {common::FailureDomainId("east"), common::RegionId("near")},
        {common::FailureDomainId("far"), common::RegionId("other")}};
    return place;
  }

  static FleetHost Host(const std::string& id, const std::string& domain) {
    return {common::HostId(id), "10.0.0.1:1", common::FailureDomainId(domain)};
  }

  FleetRoster roster{Place()};
};

// Guards against an exchange with itself.
TEST_F(FleetRosterTest, OwnEntry_Add_IsLeftOut) {
  this->roster.Add(Host("own", "east"), kStart);
  EXPECT_EQ(this->roster.Size(), 1U);
}

// Guards against questions that all go to one daemon, or to one that is gone.
TEST_F(FleetRosterTest, OneSilent_NextHeard_TakesTheOthersInTurn) {
  EXPECT_FALSE(this->roster.NextHeard().has_value());
  for (const char* id : {"a", "b", "c", "d"}) {
    this->roster.Add(Host(id, "east"), kStart);
  }
  for (const char* id : {"a", "b", "c"}) {
    this->roster.OnHeard(common::HostId(id), kStart);
  }
  this->roster.OnSilent(common::HostId("b"));
  this->roster.OnSilent(common::HostId("b"));
  for (const char* expected : {"a", "c", "a", "c"}) {
    EXPECT_EQ(this->roster.NextHeard()->id.Value(), expected);
  }
}

// Guards against reports that cross regions as often as near ones.
TEST_F(FleetRosterTest, FarPeer_TakeDue_ComesHalfAsOften) {
  this->roster.Add(Host("a", "east"), kStart);
  this->roster.Add(Host("b", "far"), kStart);
  int near = 0;
  int far = 0;
  for (int ms = 0; ms < 10000; ms += 100) {
    for (const FleetHost& due :
         this->roster.TakeDue(kStart + milliseconds(ms))) {
      (due.id.Value() == "a" ? near : far) += 1;
    }
  }
  EXPECT_EQ(near, 20);
  EXPECT_EQ(far, 10);
}

// Guards against a cost of one daemon that grows with the fleet.
TEST_F(FleetRosterTest, LargeFleet_TakeDue_StaysBounded) {
  for (int count = 0; count < 160; ++count) {
    this->roster.Add(Host("h" + std::to_string(count), "east"), kStart);
  }
  this->roster.TakeDue(kStart);
  std::size_t exchanges = 0;
  for (int ms = 100; ms <= 20000; ms += 100) {
    exchanges += this->roster.TakeDue(kStart + milliseconds(ms)).size();
  }
  EXPECT_LE(exchanges, 20U * 2 * 8 + 160);
}

// Guards against peers that are dropped, and fleets that look smaller than they
// are, only because a peer's turn comes seldom.
TEST_F(FleetRosterTest, LargeFleetAnswers_DropLost_DropsNobody) {
  for (int count = 0; count < 160; ++count) {
    this->roster.Add(Host("h" + std::to_string(count), "far"), kStart);
  }
  for (int ms = 0; ms <= 60000; ms += 100) {
    const common::SteadyTime now = kStart + milliseconds(ms);
    for (const FleetHost& due : this->roster.TakeDue(now)) {
      this->roster.OnHeard(due.id, now);
    }
    ASSERT_TRUE(this->roster.DropLost(now).empty()) << ms;
  }
}

// Guards against daemons that ask different keepers for one workspace.
TEST_F(FleetRosterTest, TwoDaemons_KeeperOf_Agree) {
  HostPlace other_place = Place();
  other_place.host = common::HostId("h7");
  FleetRoster other(other_place);
  other.Add(Host("own", "east"), kStart);
  for (int count = 0; count < 40; ++count) {
    const FleetHost host = Host("h" + std::to_string(count), "east");
    this->roster.Add(host, kStart);
    other.Add(host, kStart);
  }
  EXPECT_EQ(this->roster.Keepers().size(), 12U);
  for (int count = 0; count < 50; ++count) {
    const common::WorkspaceId workspace("w" + std::to_string(count));
    const auto mine = this->roster.KeeperOf(workspace);
    const auto theirs = other.KeeperOf(workspace);
    EXPECT_EQ(mine.has_value() ? mine->id : common::HostId("own"),
              theirs.has_value() ? theirs->id : common::HostId("h7"));
  }
}

// Guards against a workspace whose keeper stays a daemon that is dead.
TEST_F(FleetRosterTest, SilentKeeper_KeeperOf_IsAnother) {
  for (int count = 0; count < 20; ++count) {
    this->roster.Add(Host("h" + std::to_string(count), "east"), kStart);
  }
  common::WorkspaceId workspace("w0");
  for (int count = 1; !this->roster.KeeperOf(workspace).has_value(); ++count) {
    workspace = common::WorkspaceId("w" + std::to_string(count));
  }
  const FleetHost keeper = *this->roster.KeeperOf(workspace);
  EXPECT_FALSE(this->roster.OnSilent(keeper.id));
  EXPECT_TRUE(this->roster.OnSilent(keeper.id));
  const auto next = this->roster.KeeperOf(workspace);
  EXPECT_TRUE(!next.has_value() || next->id != keeper.id);
  this->roster.OnHeard(keeper.id, kStart);
  ASSERT_TRUE(this->roster.KeeperOf(workspace).has_value());
  EXPECT_EQ(this->roster.KeeperOf(workspace)->id, keeper.id);
}

// Guards against a dead daemon that keeps its share of connections for good.
TEST_F(FleetRosterTest, SilentPeer_DropLost_ForgetsIt) {
  this->roster.Add(Host("a", "east"), kStart);
  EXPECT_TRUE(this->roster.DropLost(kStart + seconds(11)).empty());
  EXPECT_EQ(this->roster.DropLost(kStart + seconds(12)).size(), 1U);
  EXPECT_EQ(this->roster.Size(), 1U);
}

}  // namespace
}  // namespace camphorferry::session
