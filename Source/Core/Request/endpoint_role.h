#ifndef CAMPHORFERRY_REQUEST_ENDPOINT_ROLE_H_
#define CAMPHORFERRY_REQUEST_ENDPOINT_ROLE_H_

namespace camphorferry::request {

/// Replication role that an endpoint reports for itself.
enum class EndpointRole { kPrimary, kReplica };

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_ENDPOINT_ROLE_H_
