#include <gtest/gtest.h>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::SteadyTime kStart{std::chrono::hours(1)};

class InitialConfigurationCheckTest : public testing::Test {
 protected:
  static FleetHost Host(const std::string& id) {
    return {common::HostId(id), id + ":1", common::FailureDomainId("east")};
  }

  std::vector<std::string> TakeQueried() {
    std::vector<std::string> names;
    for (const FleetHost& peer : this->check.TakePeersToQuery()) {
      names.push_back(peer.id.Value());
    }
    return names;
  }

  InitialConfigurationCheck check;
};

TEST_F(InitialConfigurationCheckTest, NoConfiguration_Passed_IsNever) {
  this->check.OnHostsPending(0);
  this->check.OnPeerVersion(Host("a"), 3);
  EXPECT_FALSE(this->check.Passed(kStart + seconds(60)));
  EXPECT_TRUE(this->TakeQueried().empty());
}

TEST_F(InitialConfigurationCheckTest, NoOtherHosts_Passed_IsImmediate) {
  this->check.OnConfiguration(2, kStart);
  EXPECT_FALSE(this->check.Passed(kStart));
  this->check.OnHostsPending(0);
  EXPECT_TRUE(this->check.Passed(kStart));
}

// Guards against a daemon that never gets ready because the store doesn't list
// the hosts, or because the hosts don't answer.
TEST_F(InitialConfigurationCheckTest, NobodyAnswers_Passed_IsAfterShortWait) {
  this->check.OnConfiguration(2, kStart);
  EXPECT_FALSE(this->check.Passed(kStart + milliseconds(100)));
  EXPECT_TRUE(this->check.Passed(kStart + milliseconds(300)));
  this->check.OnHostsPending(5);
  EXPECT_FALSE(this->check.Passed(kStart + milliseconds(100)));
  EXPECT_TRUE(this->check.Passed(kStart + milliseconds(300)));
}

// Guards against a wait for every daemon of a large fleet.
TEST_F(InitialConfigurationCheckTest, ThreePeersHaveVersions_Passed_IsTrue) {
  this->check.OnConfiguration(2, kStart);
  this->check.OnHostsPending(70);
  this->check.OnPeerVersion(Host("a"), 2);
  this->check.OnPeerVersion(Host("a"), 2);
  this->check.OnPeerVersion(Host("b"), 1);
  EXPECT_FALSE(this->check.Passed(kStart));
  this->check.OnPeerVersion(Host("c"), 2);
  EXPECT_TRUE(this->check.Passed(kStart));
}

// Guards against counting daemons that have just started too, which may have
// got the older version from the same store.
TEST_F(InitialConfigurationCheckTest,
       PeersWithoutVersion_Passed_AreNotCounted) {
  this->check.OnConfiguration(2, kStart);
  for (const char* id : {"a", "b", "c"}) {
    this->check.OnPeerVersion(Host(id), 0);
  }
  this->check.OnHostsPending(1);
  EXPECT_FALSE(this->check.Passed(kStart));
  this->check.OnHostsPending(0);
  EXPECT_TRUE(this->check.Passed(kStart));
}

// Guards against using an older configuration while a newer one is known to be
// in force.
TEST_F(InitialConfigurationCheckTest, PeerHasNewer_Passed_IsOnceItIsKnown) {
  this->check.OnPeerVersion(Host("a"), 3);
  this->check.OnHostsPending(0);
  this->check.OnConfiguration(2, kStart);
  EXPECT_FALSE(this->check.Passed(kStart + milliseconds(500)));
  EXPECT_EQ(this->TakeQueried(), (std::vector<std::string>{"a"}));
  EXPECT_TRUE(this->TakeQueried().empty());
  this->check.OnConfiguration(3, kStart + milliseconds(500));
  EXPECT_TRUE(this->check.Passed(kStart + milliseconds(500)));
}

// Guards against a daemon that never gets ready because a peer reports a
// version and doesn't give it.
TEST_F(InitialConfigurationCheckTest, NewerIsNotGiven_Passed_IsAfterLimit) {
  this->check.OnConfiguration(2, kStart);
  this->check.OnPeerVersion(Host("a"), 3);
  EXPECT_FALSE(this->check.Passed(kStart + milliseconds(500)));
  EXPECT_TRUE(this->check.Passed(kStart + seconds(1)));
}

// Guards against queries whose number grows with the fleet.
TEST_F(InitialConfigurationCheckTest,
       ManyHaveNewer_TakePeersToQuery_IsLimited) {
  this->check.OnConfiguration(2, kStart);
  for (int peer = 0; peer < 70; ++peer) {
    this->check.OnPeerVersion(Host("h" + std::to_string(peer)), 3);
  }
  EXPECT_EQ(this->TakeQueried().size(), 3U);
  EXPECT_TRUE(this->TakeQueried().empty());
}

}  // namespace
}  // namespace camphorferry::session
