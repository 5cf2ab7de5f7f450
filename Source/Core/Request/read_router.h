#ifndef CAMPHORFERRY_REQUEST_READ_ROUTER_H_
#define CAMPHORFERRY_REQUEST_READ_ROUTER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "Common/common.h"
#include "Request/endpoint_role.h"

namespace camphorferry::request {

/// What a daemon knows about one endpoint of a service.
struct ReadEndpoint {
  common::EndpointId id;
  common::FailureDomainId domain;
  common::RegionId region;
  EndpointRole role = EndpointRole::kReplica;
  /// Last known position, and when it was learned; none if never.
  common::LogPosition position;
  std::optional<common::SteadyTime> position_learned;
  bool reachable = true;
  /// A leaving endpoint gets no new work.
  bool leaving = false;
};

/// Where the daemon that routes the read is.
struct ReadHome {
  common::FailureDomainId domain;
  common::RegionId region;
};

/// What a read asks for.
struct ReadRequirement {
  /// Last position that the session wrote or read in the service; the zero
  /// position if it did neither.
  common::LogPosition position;
  /// Largest age of the data that the client accepts, if it stated one.
  std::optional<common::Duration> max_age;
};

/// One endpoint to try, and how long it may wait for the session's position
/// before it answers that it is lagging.
struct ReadCandidate {
  common::EndpointId endpoint;
  EndpointRole role = EndpointRole::kReplica;
  common::Duration wait = common::Duration::zero();

  bool operator==(const ReadCandidate&) const = default;
};

/// A replica is asked to wait at most this long for the session's position.
inline constexpr common::Duration kReplicaWait = std::chrono::milliseconds(50);

/// Orders the endpoints for one read: replicas of the home domain and region
/// that have the session's position, those that may reach it within the wait,
/// then the replicas of other regions in the same order, and the primary last.
/// A wait costs less than the slow link, which is billed by volume. The
/// knowledge may be out of date without harm: each endpoint checks position and
/// age itself, and one that refuses only costs the step to the next candidate.
class ReadRouter {
 public:
  explicit ReadRouter(ReadHome home);

  /// Candidates in the order in which to try them; empty if no endpoint may be
  /// used. The spread distributes reads over equally good replicas.
  std::vector<ReadCandidate> Candidates(
      const std::vector<ReadEndpoint>& endpoints,
      const ReadRequirement& requirement, std::uint64_t spread,
      common::SteadyTime now) const;

 private:
  /// Distance to the endpoint; nearer ones come first.
  enum class Distance { kHomeDomain, kHomeRegion, kOtherRegion };

  /// Whether a replica can serve the session's position.
  enum class Readiness {
    kHasPosition,
    kMayReach,
    /// It had not joined the position's term a moment ago.
    kUnlikely,
  };

  struct Ranked {
    const ReadEndpoint* endpoint = nullptr;
    Distance distance = Distance::kOtherRegion;
    Readiness readiness = Readiness::kMayReach;
    /// Place among replicas that are otherwise equal.
    std::uint64_t turn = 0;
  };

  /// Usable replicas from best to worst.
  std::vector<Ranked> RankReplicas(const std::vector<ReadEndpoint>& endpoints,
                                   const ReadRequirement& requirement,
                                   std::uint64_t spread,
                                   common::SteadyTime now) const;
  static bool ComesBefore(const Ranked& left, const Ranked& right);
  Distance DistanceOf(const ReadEndpoint& endpoint) const;
  static Readiness ReadinessOf(const ReadEndpoint& endpoint,
                               const ReadRequirement& requirement,
                               common::SteadyTime now);

  ReadHome home;
};

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_READ_ROUTER_H_
