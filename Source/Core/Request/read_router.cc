#include "Request/read_router.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorferry::request {

namespace {

bool IsUsable(const ReadEndpoint& endpoint) {
  return endpoint.reachable && !endpoint.leaving;
}

/// A replica always has some age, so only the primary can serve age zero.
bool ReplicasMayServe(const ReadRequirement& requirement) {
  return !requirement.max_age ||
         *requirement.max_age > common::Duration::zero();
}

}  // namespace

ReadRouter::ReadRouter(ReadHome home) : home(std::move(home)) {}

std::vector<ReadCandidate> ReadRouter::Candidates(
    const std::vector<ReadEndpoint>& endpoints,
    const ReadRequirement& requirement, std::uint64_t spread,
    common::SteadyTime now) const {
  const auto primary = std::find_if(
      endpoints.begin(), endpoints.end(), [](const ReadEndpoint& endpoint) {
        return endpoint.role == EndpointRole::kPrimary && IsUsable(endpoint);
      });
  const bool has_primary = primary != endpoints.end();
  std::vector<ReadCandidate> candidates;
  for (const Ranked& ranked :
       this->RankReplicas(endpoints, requirement, spread, now)) {
    // Without a primary even an unlikely replica is better than a refusal.
    if (ranked.readiness == Readiness::kUnlikely && has_primary) continue;
    const bool has_position = ranked.readiness == Readiness::kHasPosition;
    candidates.push_back(
        {ranked.endpoint->id, EndpointRole::kReplica,
         has_position ? common::Duration::zero() : kReplicaWait});
  }
  if (has_primary) {
    candidates.push_back(
        {primary->id, EndpointRole::kPrimary, common::Duration::zero()});
  }
  return candidates;
}

std::vector<ReadRouter::Ranked> ReadRouter::RankReplicas(
    const std::vector<ReadEndpoint>& endpoints,
    const ReadRequirement& requirement, std::uint64_t spread,
    common::SteadyTime now) const {
  std::vector<Ranked> replicas;
  if (!ReplicasMayServe(requirement)) return replicas;
  for (const ReadEndpoint& endpoint : endpoints) {
    if (endpoint.role == EndpointRole::kPrimary) continue;
    if (!IsUsable(endpoint)) continue;
    replicas.push_back({&endpoint, this->DistanceOf(endpoint),
                        ReadinessOf(endpoint, requirement, now)});
  }
  const std::size_t count = replicas.size();
  for (std::size_t index = 0; index < count; ++index) {
    replicas[index].turn = (index + spread % count) % count;
  }
  std::sort(replicas.begin(), replicas.end(), ComesBefore);
  return replicas;
}

bool ReadRouter::ComesBefore(const Ranked& left, const Ranked& right) {
  const auto key = [](const Ranked& ranked) {
    return std::make_tuple(ranked.readiness == Readiness::kUnlikely,
                           ranked.distance == Distance::kOtherRegion,
                           ranked.readiness, ranked.distance, ranked.turn);
  };
  return key(left) < key(right);
}

ReadRouter::Distance ReadRouter::DistanceOf(
    const ReadEndpoint& endpoint) const {
  if (endpoint.domain == this->home.domain) return Distance::kHomeDomain;
  if (endpoint.region == this->home.region) return Distance::kHomeRegion;
  return Distance::kOtherRegion;
}

ReadRouter::Readiness ReadRouter::ReadinessOf(
    const ReadEndpoint& endpoint, const ReadRequirement& requirement,
    common::SteadyTime now) {
  if (requirement.position == common::LogPosition()) {
    return Readiness::kHasPosition;
  }
  if (!endpoint.position_learned) return Readiness::kMayReach;
  if (endpoint.position >= requirement.position) return Readiness::kHasPosition;
  const bool is_fresh = now - *endpoint.position_learned <= kReplicaWait;
  const bool is_older_term = endpoint.position.term < requirement.position.term;
  return is_fresh && is_older_term ? Readiness::kUnlikely
                                   : Readiness::kMayReach;
}

}  // namespace camphorferry::request
