#ifndef CAMPHORFERRY_SESSION_PRIMARY_MONITOR_H_
#define CAMPHORFERRY_SESSION_PRIMARY_MONITOR_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Session/statement.h"

namespace camphorferry::session {

/// Why a primary is to be replaced.
enum class ReplaceReason {
  /// It answers nobody here, and its replicas receive nothing from it.
  kDead,
  /// It answers nobody here, though its replicas still receive.
  kUnreachable,
  /// It answers, but does not acknowledge commits.
  kStalled,
  /// A promotion that was given up has left replicas held, so commits can't be
  /// confirmed.
  kReplicasHeld,
  /// It is about to shut down.
  kLeaving,
  /// No member leads.
  kNoPrimary
};

/// Short name for logs.
const char* ToString(ReplaceReason reason);

/// What the monitor wants its task to do.
struct FailoverDecision {
  /// The primary is to be asked for its status now.
  bool probe = false;
  std::optional<ReplaceReason> replace;
};

/// Decides when a group's primary is replaced. One daemon's view may be wrong,
/// so a primary that its replicas still hear is given more time.
class PrimaryMonitor {
 public:
  /// The primary, or the absence of one, has changed.
  void OnPrimaryChanged(common::SteadyTime now, bool primary_known);

  /// The primary has answered something.
  void OnResponsive(common::SteadyTime now);

  /// A connection to the primary could not be made, ended or stayed silent.
  void OnUnresponsive(common::SteadyTime now);

  /// A commit or a single write was acknowledged.
  void OnCommitSuccess(common::SteadyTime now);

  /// A commit or a single write stayed unanswered past its limit.
  void OnCommitUnanswered(common::SteadyTime now);

  /// Newest log position that any replica has named.
  void OnReplicaPosition(common::SteadyTime now, common::LogPosition position);

  /// Whether a replica was found held for a term above the primary's.
  void OnReplicaHeld(common::SteadyTime now, const common::EndpointId& replica,
                     bool held);

  /// Replicas that were held when they were last asked.
  std::vector<common::EndpointId> HeldReplicas() const;

  /// The primary has announced that it shuts down.
  void SetLeaving(bool leaving) { this->leaving = leaving; }

  FailoverDecision Decide(common::SteadyTime now) const;

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
  common::LogPosition replica_position;
  std::optional<common::SteadyTime> replica_advanced_at;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PRIMARY_MONITOR_H_
