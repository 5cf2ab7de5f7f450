#ifndef CAMPHORFERRY_SESSION_TERMS_CLOSED_H_
#define CAMPHORFERRY_SESSION_TERMS_CLOSED_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

#include "Common/common.h"
#include "Session/closing_messages.h"

namespace camphorferry::session {

/// A member that has disappeared for longer than this is not taken into account
/// by promotions any more.
inline constexpr std::chrono::seconds kFormerMemberRetention(10);

/// Processes of members, by identifier and incarnation, that have disappeared.
using FormerMembers = std::set<std::pair<common::EndpointId, std::uint64_t>>;

/// No daemon tells clients of commits of the closed terms any more, and what
/// the daemons know.
struct TermsClosed {
  /// The first term that is not closed.
  common::Term below = 0;
  /// A member that is behind this position lacks a commit of which a client has
  /// been told.
  common::LogPosition acknowledged;
  /// A member that has reached this position has all commits of which the
  /// daemons that have answered have told clients.
  common::LogPosition acknowledged_end;
  /// Highest term that any member has reported to a daemon.
  common::Term highest_term = 0;
  /// The primary of the newest term that any daemon has heard, with the end of
  /// its log; none if none is known.
  std::optional<PrimaryLogEnd> primary;
  /// All daemons have answered, and one of them has heard the primary since the
  /// latest start of any of them. So what daemons that have ended have told
  /// clients of does not lie behind the end of that primary's log.
  bool covers_all = false;
  /// All daemons have answered, and no process has run at their hosts before:
  /// nobody else has told clients of a commit.
  bool all_told = false;
  /// Processes that have disappeared lately, and members that had announced it.
  FormerMembers former;
  std::set<common::EndpointId> ended;
  /// Longest time for which a daemon has followed the members.
  common::Duration followed = common::Duration::zero();
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_TERMS_CLOSED_H_
