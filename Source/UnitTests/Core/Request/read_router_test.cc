#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "Request/request.h"

namespace camphorferry::request {
namespace {

using common::EndpointId;
using common::FailureDomainId;
using common::LogPosition;
using common::RegionId;

class ReadRouterTest : public testing::Test {
 protected:
  static ReadEndpoint MakeEndpoint(const std::string& id,
                                   const std::string& domain,
                                   const std::string& region, EndpointRole role,
                                   LogPosition position) {
    ReadEndpoint endpoint;
    endpoint.id = EndpointId(id);
    endpoint.domain = FailureDomainId(domain);
    endpoint.region = RegionId(region);
    endpoint.role = role;
    endpoint.position = position;
    endpoint.position_learned = kNow - std::chrono::milliseconds(200);
    return endpoint;
  }

  /// Names of the candidates in order.
  std::string Order(LogPosition position, std::uint64_t spread = 0) const {
    std::string order;
    for (const ReadCandidate& candidate : this->router.Candidates(
             this->endpoints, {position, std::nullopt}, spread, kNow)) {
      order += candidate.endpoint.Value();
    }
    return order;
  }

  static constexpr common::SteadyTime kNow{std::chrono::hours(1)};

  const ReadRouter router{{FailureDomainId("east"), RegionId("ub")}};
  std::vector<ReadEndpoint> endpoints{
      MakeEndpoint("p", "dk", "dk", EndpointRole::kPrimary, {2, 9}),
      MakeEndpoint("r", "dk2", "dk", EndpointRole::kReplica, {2, 9}),
      MakeEndpoint("w", "west", "ub", EndpointRole::kReplica, {2, 9}),
      MakeEndpoint("e", "east", "ub", EndpointRole::kReplica, {2, 5})};
};

// Guards against reads that cross the slow link, or load the primary, although
// a replica nearby can serve them.
TEST_F(ReadRouterTest, SessionPosition_Candidates_NearCaughtUpFirst) {
  EXPECT_EQ(this->Order({2, 5}), "ewrp");
  EXPECT_EQ(this->Order({2, 9}), "werp");
  EXPECT_EQ(this->Order({2, 10}), "ewrp");
  EXPECT_EQ(this->Order({}), "ewrp");
}

// Guards against a wait at a replica that still follows the old primary.
TEST_F(ReadRouterTest, ReplicaInOlderTerm_Candidates_SkipsUnlessNoPrimary) {
  this->endpoints[3].position_learned = kNow;
  EXPECT_EQ(this->Order({3, 10}), "wrp");
  this->endpoints[0].reachable = false;
  EXPECT_EQ(this->Order({3, 10}), "wre");
}

// Guards against replicas that are asked to serve data of age zero.
TEST_F(ReadRouterTest, MaxAgeZero_Candidates_OnlyPrimary) {
  const auto candidates = this->router.Candidates(
      this->endpoints, {{}, common::Duration::zero()}, 0, kNow);
  ASSERT_EQ(candidates.size(), 1U);
  EXPECT_EQ(candidates[0].role, EndpointRole::kPrimary);
}

// Guards against one replica that gets all reads while its equals are idle.
TEST_F(ReadRouterTest, EqualReplicas_Spread_TakesTurns) {
  this->endpoints[3].domain = FailureDomainId("north");
  std::set<std::string> first;
  for (std::uint64_t spread = 0; spread < 3; ++spread) {
    first.insert(this->Order({}, spread).substr(0, 1));
  }
  EXPECT_EQ(first, (std::set<std::string>{"e", "w"}));
}

// Guards against reads of own writes that a lagging replica answers at once,
// work for leaving endpoints, and a primary that is not the last resort.
RC_GTEST_FIXTURE_PROP(ReadRouterTest, AnyState_Candidates_KeepRules,
                      (std::uint64_t spread)) {
  const LogPosition wanted{2, *rc::gen::inRange<common::LogIndex>(1, 12)};
  for (ReadEndpoint& endpoint : this->endpoints) {
    endpoint.position.index = *rc::gen::inRange<common::LogIndex>(1, 12);
    endpoint.reachable = *rc::gen::arbitrary<bool>();
    endpoint.leaving = *rc::gen::arbitrary<bool>();
  }
  const auto candidates = this->router.Candidates(
      this->endpoints, {wanted, std::nullopt}, spread, kNow);
  std::size_t usable = 0;
  for (const ReadEndpoint& endpoint : this->endpoints) {
    if (endpoint.reachable && !endpoint.leaving) ++usable;
  }
  RC_ASSERT(candidates.size() == usable);
  for (const ReadCandidate& candidate : candidates) {
    const auto endpoint = std::find_if(
        this->endpoints.begin(), this->endpoints.end(),
        [&](const auto& other) { return other.id == candidate.endpoint; });
    RC_ASSERT(endpoint->reachable && !endpoint->leaving);
    const bool is_primary = candidate.role == EndpointRole::kPrimary;
    RC_ASSERT(is_primary == (endpoint->role == EndpointRole::kPrimary));
    if (is_primary) {
      RC_ASSERT(candidate == candidates.back());
      continue;
    }
    const bool waits = candidate.wait > common::Duration::zero();
    RC_ASSERT(waits == (endpoint->position < wanted));
  }
}

}  // namespace
}  // namespace camphorferry::request
