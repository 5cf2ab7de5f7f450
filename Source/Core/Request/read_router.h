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
  /// Last known log position, and the time at which it was learned; no time if
  /// the position was never learned.
  common::LogPosition position;
  std::optional<common::SteadyTime> position_updated_at;
  bool reachable = true;
  /// The endpoint is being removed from the service and gets no new requests.
  bool leaving = false;
};

/// Location of the daemon that routes the read.
struct DaemonLocation {
  common::FailureDomainId domain;
  common::RegionId region;
};

/// Consistency that a read requires.
struct ReadRequirement {
  /// Last log position that the session wrote or read in the service; zero if
  /// the session has not used the service.
  common::LogPosition position;
  /// Maximum age of the data that the client accepts, if it set a limit.
  std::optional<common::Duration> max_age;
};

/// One endpoint to try, and how long it may wait to catch up with the session's
/// position before it answers that it is lagging.
struct ReadCandidate {
  common::EndpointId endpoint;
  EndpointRole role = EndpointRole::kReplica;
  common::Duration wait = common::Duration::zero();

  bool operator==(const ReadCandidate&) const = default;
};

/// Maximum time that a replica waits to catch up with the session's position.
inline constexpr common::Duration kMaxReplicaCatchUpWait =
    std::chrono::milliseconds(50);

/// Orders the endpoints of a service for one read: first the replicas in the
/// daemon's own region that have reached the session's position, those in its
/// own failure domain before the others; then those in its region that may
/// catch up within the wait; then the replicas of other regions in the same
/// order; and the primary last. Waiting costs less than the slow link between
/// regions, which is billed by volume. Outdated information is safe: each
/// endpoint checks position and age itself, and a refusal only costs an attempt
/// before the next candidate is tried.
class ReadRouter {
 public:
  explicit ReadRouter(DaemonLocation location);

  /// Candidates in the order in which to try them; empty if no endpoint can be
  /// used. Rotates the order of equally good replicas by the given number, so
  /// that the caller can distribute reads over them.
  std::vector<ReadCandidate> Candidates(
      const std::vector<ReadEndpoint>& endpoints,
      const ReadRequirement& requirement, std::uint64_t rotation,
      common::SteadyTime now) const;

 private:
  /// Distance between the daemon and an endpoint, nearest first.
  enum class Distance { kSameDomain, kSameRegion, kOtherRegion };

  /// Whether a replica has replicated up to the session's position, best first.
  enum class CatchUp {
    kCaughtUp,
    kPossible,
    /// A recent report shows the replica in an older term than the position's.
    kUnlikely,
  };

  struct Ranked {
    const ReadEndpoint* endpoint = nullptr;
    Distance distance = Distance::kOtherRegion;
    CatchUp catch_up = CatchUp::kPossible;
    /// Rank among replicas that are otherwise equal.
    std::uint64_t rotated_index = 0;
  };

  /// Usable replicas, best first.
  std::vector<Ranked> RankReplicas(const std::vector<ReadEndpoint>& endpoints,
                                   const ReadRequirement& requirement,
                                   std::uint64_t rotation,
                                   common::SteadyTime now) const;
  static bool ComesBefore(const Ranked& left, const Ranked& right);
  Distance DistanceOf(const ReadEndpoint& endpoint) const;
  static CatchUp CatchUpOf(const ReadEndpoint& endpoint,
                           const ReadRequirement& requirement,
                           common::SteadyTime now);

  DaemonLocation location;
};

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_READ_ROUTER_H_
