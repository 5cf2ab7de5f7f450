#ifndef CAMPHORFERRY_SESSION_DEPARTURES_H_
#define CAMPHORFERRY_SESSION_DEPARTURES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Common/common.h"
#include "Session/directory.h"

namespace camphorferry::session {

/// What a daemon knows of a member that has announced its shutdown.
struct DepartureNotice {
  common::EndpointId endpoint;
  std::uint64_t incarnation = 0;
  /// Time since the daemon learned of the announcement.
  common::Duration age = common::Duration::zero();
};

/// Decides how long the members of a group may be used after they have
/// announced their shutdown. The announcement itself bears no time. A daemon
/// that has just started, or that sees a member for the first time, does not
/// know how old it is, and does not use the member before a peer has told.
class Departures {
 public:
  /// The members are known to be these.
  void OnMembers(const std::vector<GroupMember>& present,
                 common::SteadyTime now);

  /// A peer had learned of an announcement by the given time.
  void OnPeerNotice(const common::EndpointId& endpoint,
                    std::uint64_t incarnation, common::SteadyTime learned);

  /// Whether statements may be sent to a member, as far as its shutdown is
  /// concerned.
  bool MayUse(const common::EndpointId& endpoint, common::SteadyTime now) const;

  /// The announcements whose age is known.
  std::vector<DepartureNotice> Notices(common::SteadyTime now) const;

 private:
  struct State {
    std::uint64_t incarnation = 0;
    bool leaving = false;
    /// When this daemon, or a peer, learned of the announcement; none if it may
    /// be of any age.
    std::optional<common::SteadyTime> learned;
  };

  std::map<common::EndpointId, State> members;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_DEPARTURES_H_
