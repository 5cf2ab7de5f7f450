#ifndef CAMPHORFERRY_SESSION_PROMOTION_EVIDENCE_H_
#define CAMPHORFERRY_SESSION_PROMOTION_EVIDENCE_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Session/directory.h"

namespace camphorferry::session {

/// What a promotion plan knows of a member at one time, for its log lines.
struct MemberEvidence {
  common::EndpointId endpoint;
  /// The member is registered; otherwise one that has disappeared.
  bool is_registered = false;
  /// The plan counts the member as held.
  bool is_held = false;
  /// The member was held by its latest answer, which is too old to count.
  bool is_stale = false;
  /// The plan counts the member as missing. A held one is missing as well if
  /// another process of it has disappeared.
  bool is_missing = false;
  /// Term for which the member was held by its latest answer; 0 if it was not
  /// held.
  common::Term held_term = 0;
  /// Position in that answer.
  common::LogPosition received;
  /// Age of that answer; none if the member has given none.
  std::optional<common::Duration> age;
};

/// Joins entries of a log line by commas. Leaves out those beyond 1,000
/// characters and ends with their number, as a longer line would be dropped.
std::string JoinForLog(const std::vector<std::string>& entries);

/// Identifiers for a log line.
std::string DescribeIds(const std::set<common::EndpointId>& ids);

/// Members as id:state for a log line.
std::string DescribeMembers(const std::vector<GroupMember>& members);

/// Evidence for a log line, as id:state:held_term:term.index:age_ms. The state
/// is held, stale (held, by an answer that is too old to count), not_held (not
/// for this plan), no_answer, or former (disappeared). The last two have
/// nothing behind it.
std::string DescribeEvidence(const std::vector<MemberEvidence>& evidence);

/// Identifiers of the members that count as missing, for a log line.
std::string DescribeMissing(const std::vector<MemberEvidence>& evidence);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PROMOTION_EVIDENCE_H_
