#ifndef CAMPHORFERRY_SESSION_PRIMARY_MONITOR_H_
#define CAMPHORFERRY_SESSION_PRIMARY_MONITOR_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Session/statement.h"

namespace camphorferry::session {

/// Why a primary has to be replaced.
enum class FailoverReason {
  /// It does not answer this daemon, and its replicas receive nothing from it.
  kDead,
  /// It does not answer this daemon, but its replicas still receive from it.
  kUnreachable,
  /// It answers, but does not acknowledge commits.
  kStalled,
  /// An abandoned promotion has left replicas held, so commits cannot be
  /// confirmed.
  kReplicasHeld,
  /// It is about to shut down.
  kLeaving,
  /// No member is known to lead.
  kNoPrimary
};

/// Reason as it is written to log events.
const char* ToString(FailoverReason reason);

/// What the group has to do about its primary.
struct FailoverDecision {
  /// The primary should be asked for its status now.
  bool probe = false;
  std::optional<FailoverReason> replace;
};

/// Failure detector that decides when a group's primary has to be replaced.
/// This daemon alone may be cut off from the primary, so a primary that its
/// replicas still receive from is given more time.
class PrimaryMonitor {
 public:
  /// The group has another primary now, or none.
  void OnPrimaryChanged(common::SteadyTime now, bool primary_known);

  /// The primary has answered a connection or a command.
  void OnResponsive(common::SteadyTime now);

  /// A connection to the primary could not be opened, was lost, or gave no
  /// answer in time.
  void OnUnresponsive(common::SteadyTime now);

  /// The primary has acknowledged a commit or a single write.
  void OnCommitSuccess(common::SteadyTime now);

  /// A commit or a single write ended without an answer.
  void OnCommitUnanswered(common::SteadyTime now);

  /// Takes the log position that a replica has reported.
  void OnReplicaPosition(common::SteadyTime now, common::LogPosition position);

  /// Takes whether a replica is held for a term above the primary's.
  void OnReplicaHeld(common::SteadyTime now, const common::EndpointId& replica,
                     bool held);

  /// Replicas that were held when they last reported their status.
  std::vector<common::EndpointId> HeldReplicas() const;

  /// The primary has announced that it shuts down.
  void SetLeaving(bool leaving) { this->leaving = leaving; }

  FailoverDecision Decide(common::SteadyTime now) const;

  /// The replica to be asked together with a primary that has to be replaced;
  /// none if there is no replica. The replicas take turns, since one that does
  /// not follow the new primary yet cannot reveal it.
  std::optional<common::EndpointId> NextReplica(
      const std::set<common::EndpointId>& replicas);

 private:
  struct Held {
    common::SteadyTime since;
    common::SteadyTime seen;
  };

  bool primary_known = false;
  bool leaving = false;
  std::optional<common::SteadyTime> no_primary_since;
  std::optional<common::SteadyTime> unresponsive_since;
  int unresponsive_count = 0;
  std::optional<common::SteadyTime> stalled_since;
  int stalled_count = 0;
  std::map<common::EndpointId, Held> held;
  std::optional<common::EndpointId> last_replica;
  common::LogPosition replica_position;
  std::optional<common::SteadyTime> replica_advanced_at;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PRIMARY_MONITOR_H_
