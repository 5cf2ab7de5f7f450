#ifndef CAMPHORFERRY_SESSION_CONNECTION_PLAN_H_
#define CAMPHORFERRY_SESSION_CONNECTION_PLAN_H_

#include <cstddef>

#include "Session/endpoint_pool.h"

namespace camphorferry::session {

/// The daemons that may open connections to the endpoints of a service.
struct ConnectionUsers {
  /// Connections that each endpoint of the service accepts.
  std::size_t connections = 1;
  /// Number of daemons of the fleet.
  std::size_t fleet = 1;
};

/// Whether the endpoints accept too few connections for each daemon to keep
/// some open. Statements are then forwarded to the daemons that own the
/// connections.
bool NeedsConnectionOwners(const ConnectionUsers& users);

/// Limits of this daemon's channels to an endpoint. Where connections have
/// owners, those are the daemons in the endpoint's failure domain, of which
/// there are the given number; 0 if this daemon is in another one.
ChannelLimits PlanChannels(const ConnectionUsers& users,
                           std::size_t owners_in_domain);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_CONNECTION_PLAN_H_
