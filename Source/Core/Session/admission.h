#ifndef CAMPHORFERRY_SESSION_ADMISSION_H_
#define CAMPHORFERRY_SESSION_ADMISSION_H_

#include <cstdint>
#include <optional>

#include "Common/common.h"

namespace camphorferry::session {

/// Request of a daemon to the owner of a workspace's rate to admit operations.
struct AdmissionRequest {
  common::HostId requester;
  common::WorkspaceId workspace;
  /// Operations that the daemon has admitted alone since its last request.
  std::uint32_t admitted_alone = 0;
  /// Operations that wait at the daemon.
  std::uint32_t operations = 1;
  /// Operations per second that the daemon may admit alone now; 0 if no rate
  /// owner has replied within the last rate window.
  double alone_rate = 0;
  /// Another rate owner has replied to the daemon last.
  bool changed_owner = false;
  /// Time since the last reply of any rate owner, at most a rate window.
  common::Duration unanswered = common::Duration::zero();
};

/// The rate owner's answer.
struct AdmissionReply {
  /// Number of operations that are admitted.
  std::uint32_t admitted = 0;
  /// Time after which the daemon should ask again; none if all are admitted.
  std::optional<common::Duration> retry_after;
  /// The daemon does not decide, because it hears too few of the others.
  bool declined = false;
  /// Operations per second that the requester may admit alone for one rate
  /// window after this reply. The sum over all requesters is at most what the
  /// owner may admit.
  double alone_rate = 0;
};

/// Result of checking one operation against the rate of its workspace.
struct AdmissionDecision {
  /// Time after which the operation may be tried again; none if it is admitted.
  std::optional<common::Duration> retry_after;
  /// The daemon that has decided, named "keeper" in logs; empty if this daemon
  /// decided without an answer of the rate owner.
  common::HostId rate_owner;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_ADMISSION_H_
