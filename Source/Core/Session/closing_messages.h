#ifndef CAMPHORFERRY_SESSION_CLOSING_MESSAGES_H_
#define CAMPHORFERRY_SESSION_CLOSING_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "Common/common.h"
#include "Session/closed_term.h"

namespace camphorferry::session {

/// Asks a daemon to keep to an entry of the lease record that it may not have
/// read yet.
struct CloseTermRequest {
  common::ServiceId service;
  ClosedTerm closed;
};

/// The end of the log of a primary, as it has reported it itself.
struct PrimaryLogEnd {
  common::EndpointId endpoint;
  common::Term term = 0;
  common::LogPosition end;
  /// Time since the report was requested.
  common::Duration age = common::Duration::zero();
};

/// A process of a member that has disappeared from the directory.
struct FormerProcess {
  common::EndpointId endpoint;
  std::uint64_t incarnation = 0;
  /// Time since it disappeared.
  common::Duration age = common::Duration::zero();
  /// It had announced its shutdown.
  bool ended = false;
};

/// What a daemon knows of a service once it has closed the term.
struct CloseTermReply {
  /// A member that is behind this position lacks a commit of which this daemon
  /// has told a client.
  common::LogPosition acknowledged;
  /// A member that has reached this position has all commits of which this
  /// daemon has told clients.
  common::LogPosition acknowledged_end;
  /// Time since this daemon's process has started.
  common::Duration running = common::Duration::zero();
  /// No process has run at this daemon's host before.
  bool is_first_process = false;
  /// Time for which this daemon has followed the members of the service.
  common::Duration followed = common::Duration::zero();
  /// The primary of the newest term that has reported to this daemon; none if
  /// there was none.
  std::optional<PrimaryLogEnd> primary;
  std::vector<FormerProcess> former;
  /// Highest term that any member has reported to this daemon.
  common::Term highest_term = 0;
  /// Highest position that a replica has reported to this daemon. What lies
  /// before it has been confirmed.
  common::LogPosition replica_end;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_CLOSING_MESSAGES_H_
