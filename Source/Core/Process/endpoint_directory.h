#ifndef CAMPHORFERRY_PROCESS_ENDPOINT_DIRECTORY_H_
#define CAMPHORFERRY_PROCESS_ENDPOINT_DIRECTORY_H_

#include <map>
#include <optional>

#include "Connection/connection.h"

namespace camphorferry::process {

/// Last known state of the endpoints, derived from the replies that passed
/// through this daemon. An outdated entry does no harm: each endpoint checks
/// position and age itself.
class EndpointDirectory {
 public:
  /// Last position that an endpoint reported, and when it was received.
  struct Entry {
    common::LogPosition position;
    std::optional<common::SteadyTime> updated_at;
    /// Set after the endpoint or its owner did not respond; the endpoint is
    /// tried last until then.
    common::SteadyTime avoid_until;
  };

  /// Updates the endpoint's entry from the reply to a call.
  void Update(const common::EndpointId& endpoint,
              const connection::StatementReply& reply, common::SteadyTime now);

  const Entry& Find(const common::EndpointId& endpoint) const;

 private:
  std::map<common::EndpointId, Entry> entries;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_ENDPOINT_DIRECTORY_H_
