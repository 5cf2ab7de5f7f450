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
    endpoint.position_updated_at = kNow - std::chrono::milliseconds(200);
    return endpoint;
  }

  /// Concatenated ids of the candidates in order.
  std::string Order(LogPosition position, std::uint64_t rotation = 0) const {
    std::string order;
    for (const ReadCandidate& candidate : this->router.Candidates(
             this->endpoints, {position, std::nullopt}, rotation, kNow)) {
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

// Guards against reads that use the slow link between regions, or load the
// primary, although a replica in the same region can serve them.
TEST_F(ReadRouterTest, SessionPosition_Candidates_NearestCaughtUpFirst) {
  EXPECT_EQ(this->Order({2, 5}), "ewrp");
  EXPECT_EQ(this->Order({2, 9}), "werp");
  EXPECT_EQ(this->Order({2, 10}), "ewrp");
  EXPECT_EQ(this->Order({}), "ewrp");
}

// Guards against waiting for a replica that still follows the old primary.
TEST_F(ReadRouterTest, ReplicaInOlderTerm_Candidates_SkipsUnlessNoPrimary) {
  this->endpoints[3].position_updated_at = kNow;
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

// Guards against one replica that gets all reads while equally good ones are
// idle.
TEST_F(ReadRouterTest, EqualReplicas_Rotation_DistributesReads) {
  this->endpoints[3].domain = FailureDomainId("north");
  std::set<std::string> first;
  for (std::uint64_t rotation = 0; rotation < 3; ++rotation) {
    first.insert(this->Order({}, rotation).substr(0, 1));
  }
  EXPECT_EQ(first, (std::set<std::string>{"e", "w"}));
}

// Guards against a lagging replica that is not told to wait for the session's
// position, reads on endpoints that are leaving, and a primary that is tried
// before a replica.
RC_GTEST_FIXTURE_PROP(ReadRouterTest, AnyState_Candidates_KeepOrderingRules,
                      (std::uint64_t rotation)) {
  const LogPosition session_position{
      2, *rc::gen::inRange<common::LogIndex>(1, 12)};
  for (ReadEndpoint& endpoint : this->endpoints) {
    endpoint.position.index = *rc::gen::inRange<common::LogIndex>(1, 12);
    endpoint.reachable = *rc::gen::arbitrary<bool>();
    endpoint.leaving = *rc::gen::arbitrary<bool>();
  }
  const auto candidates = this->router.Candidates(
      this->endpoints, {session_position, std::nullopt}, rotation, kNow);
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
    const bool must_wait = candidate.wait > common::Duration::zero();
    RC_ASSERT(must_wait == (endpoint->position < session_position));
  }
}

}  // namespace
}  // namespace camphorferry::request
