#include "Request/read_router.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorferry::request {

namespace {

bool IsUsable(const ReadEndpoint& endpoint) {
  return endpoint.reachable && !endpoint.leaving;
}

/// The data of a replica is always older than zero, so only the primary can
/// serve a read with a maximum age of zero.
bool ReplicasMayServe(const ReadRequirement& requirement) {
  return !requirement.max_age ||
         *requirement.max_age > common::Duration::zero();
}

}  // namespace

ReadRouter::ReadRouter(DaemonLocation location)
    : location(std::move(location)) {}

std::vector<ReadCandidate> ReadRouter::Candidates(
    const std::vector<ReadEndpoint>& endpoints,
    const ReadRequirement& requirement, std::uint64_t rotation,
    common::SteadyTime now) const {
  const auto primary = std::find_if(
      endpoints.begin(), endpoints.end(), [](const ReadEndpoint& endpoint) {
        return endpoint.role == EndpointRole::kPrimary && IsUsable(endpoint);
      });
  const bool has_primary = primary != endpoints.end();
  std::vector<ReadCandidate> candidates;
  for (const Ranked& ranked :
       this->RankReplicas(endpoints, requirement, rotation, now)) {
    // Without a usable primary, even a replica that is unlikely to catch up is
    // better than refusing the read.
    if (ranked.catch_up == CatchUp::kUnlikely && has_primary) continue;
    const bool has_position = ranked.catch_up == CatchUp::kCaughtUp;
    candidates.push_back(
        {ranked.endpoint->id, EndpointRole::kReplica,
         has_position ? common::Duration::zero() : kMaxReplicaCatchUpWait});
  }
  if (has_primary) {
    candidates.push_back(
        {primary->id, EndpointRole::kPrimary, common::Duration::zero()});
  }
  return candidates;
}

std::vector<ReadRouter::Ranked> ReadRouter::RankReplicas(
    const std::vector<ReadEndpoint>& endpoints,
    const ReadRequirement& requirement, std::uint64_t rotation,
    common::SteadyTime now) const {
  std::vector<Ranked> replicas;
  if (!ReplicasMayServe(requirement)) return replicas;
  for (const ReadEndpoint& endpoint : endpoints) {
    if (endpoint.role == EndpointRole::kPrimary) continue;
    if (!IsUsable(endpoint)) continue;
    replicas.push_back({&endpoint, this->DistanceOf(endpoint),
                        CatchUpOf(endpoint, requirement, now)});
  }
  const std::size_t count = replicas.size();
  for (std::size_t index = 0; index < count; ++index) {
    replicas[index].rotated_index = (index + rotation % count) % count;
  }
  std::sort(replicas.begin(), replicas.end(), ComesBefore);
  return replicas;
}

bool ReadRouter::ComesBefore(const Ranked& left, const Ranked& right) {
  const auto key = [](const Ranked& ranked) {
    return std::make_tuple(ranked.catch_up == CatchUp::kUnlikely,
                           ranked.distance == Distance::kOtherRegion,
                           ranked.catch_up, ranked.distance,
                           ranked.rotated_index);
  };
  return key(left) < key(right);
}

ReadRouter::Distance ReadRouter::DistanceOf(
    const ReadEndpoint& endpoint) const {
  if (endpoint.domain == this->location.domain) return Distance::kSameDomain;
  if (endpoint.region == this->location.region) return Distance::kSameRegion;
  return Distance::kOtherRegion;
}

ReadRouter::CatchUp ReadRouter::CatchUpOf(const ReadEndpoint& endpoint,
                                          const ReadRequirement& requirement,
                                          common::SteadyTime now) {
  if (requirement.position == common::LogPosition()) {
    return CatchUp::kCaughtUp;
  }
  if (!endpoint.position_updated_at) return CatchUp::kPossible;
  if (endpoint.position >= requirement.position) return CatchUp::kCaughtUp;
  const bool is_fresh =
      now - *endpoint.position_updated_at <= kMaxReplicaCatchUpWait;
  const bool is_older_term = endpoint.position.term < requirement.position.term;
  return is_fresh && is_older_term ? CatchUp::kUnlikely : CatchUp::kPossible;
}

}  // namespace camphorferry::request
