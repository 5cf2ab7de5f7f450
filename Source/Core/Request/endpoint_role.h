#ifndef CAMPHORFERRY_REQUEST_ENDPOINT_ROLE_H_
#define CAMPHORFERRY_REQUEST_ENDPOINT_ROLE_H_

namespace camphorferry::request {

/// What a database says that it is in its group.
enum class EndpointRole { kPrimary, kReplica };

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_ENDPOINT_ROLE_H_
