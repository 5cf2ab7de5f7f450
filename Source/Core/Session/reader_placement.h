#ifndef CAMPHORFERRY_SESSION_READER_PLACEMENT_H_
#define CAMPHORFERRY_SESSION_READER_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "Common/common.h"

namespace camphorferry::session {

/// A member of a group that may serve a read, as seen by this daemon.
struct ReaderCandidate {
  common::EndpointId id;
  common::Duration round_trip = common::Duration::zero();
  /// Requests that wait for a channel to the member.
  std::size_t waiting = 0;
  /// An idle channel of the caller is open.
  bool has_idle = false;
  /// Another channel can be opened without closing that of another caller.
  bool has_room = true;
  /// Expected extra delay because the member has failed or could not be reached
  /// recently.
  common::Duration expected_failure_delay = common::Duration::zero();
};

/// Chooses the member that serves a read: the one with the shortest expected
/// delay. Does no I/O.
///
/// Load pattern: more callers than channels. An endpoint accepts few
/// connections and each belongs to one caller, so callers that all read from
/// the nearest member keep closing each other's channels, while those to the
/// next member are idle. Callers without an open channel are therefore spread
/// over the members of the region that have room or, if none has, over all of
/// them, always to the same member for the same caller. None if there is no
/// candidate.
std::optional<common::EndpointId> PlaceRead(
    const std::string& caller, const std::vector<ReaderCandidate>& candidates);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_READER_PLACEMENT_H_
