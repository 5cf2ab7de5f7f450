#ifndef CAMPHORFERRY_PROCESS_ENDPOINT_DIRECTORY_H_
#define CAMPHORFERRY_PROCESS_ENDPOINT_DIRECTORY_H_

#include <map>
#include <optional>

#include "Connection/connection.h"

namespace camphorferry::process {

/// What this daemon has learned about endpoints from the answers that passed
/// through it. It is soft state: each endpoint checks position and age itself.
class EndpointDirectory {
 public:
  /// Last position that an endpoint reported, and when.
  struct Entry {
    common::LogPosition position;
    std::optional<common::SteadyTime> learned;
    /// The endpoint or its owner did not answer; it is tried last until then.
    common::SteadyTime avoid_until;
  };

  /// Takes the reply to a call.
  void Learn(const common::EndpointId& endpoint,
             const connection::StatementReply& reply, common::SteadyTime now);

  const Entry& Find(const common::EndpointId& endpoint) const;

 private:
  std::map<common::EndpointId, Entry> entries;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_ENDPOINT_DIRECTORY_H_
