#include "Session/connection_plan.h"

#include <algorithm>

namespace camphorferry::session {

namespace {

/// Part of an endpoint's connections that its owners share. The rest is for
/// daemons that reach no owner, for proofs of leadership and for promotions.
constexpr std::size_t kOwnedNumerator = 3;
constexpr std::size_t kOwnedDenominator = 4;
/// With fewer connections to an endpoint, a daemon has to close the one of one
/// workspace for the next statement of another.
constexpr std::size_t kMinConnectionsPerDaemon = 2;
/// Idle timeout of the few channels that a daemon opens beside those of the
/// owners. Proofs of leadership follow each other faster than this.
constexpr std::chrono::milliseconds kDirectIdleTimeout(500);

}  // namespace

bool NeedsConnectionOwners(const ConnectionUsers& users) {
  return users.connections < users.fleet * kMinConnectionsPerDaemon;
}

ChannelLimits PlanChannels(const ConnectionUsers& users,
                           std::size_t owners_in_domain) {
  if (!NeedsConnectionOwners(users)) {
    return DivideChannels(users.connections, users.fleet);
  }
  ChannelLimits limits = BorrowChannels(users.connections);
  if (owners_in_domain == 0) {
    limits.idle_timeout = kDirectIdleTimeout;
    return limits;
  }
  const std::size_t owned =
      users.connections * kOwnedNumerator / kOwnedDenominator;
  limits.max_channels = std::max<std::size_t>(owned / owners_in_domain, 1);
  limits.max_idle = limits.max_channels;
  return limits;
}

}  // namespace camphorferry::session
