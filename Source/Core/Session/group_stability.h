#ifndef CAMPHORFERRY_SESSION_GROUP_STABILITY_H_
#define CAMPHORFERRY_SESSION_GROUP_STABILITY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "Session/directory.h"

namespace camphorferry::session {

/// Tells whether the members of a group have been unchanged for a while. A
/// database confirms commits within milliseconds of its start, before a
/// promoter can know it, and one that leaves takes its commits along. So while
/// members come and go, a client is told of a commit only once a listed replica
/// has it.
class GroupStability {
 public:
  /// How long the members are unchanged before the group counts as settled.
  static constexpr std::chrono::seconds kSettledAfter{10};

  /// Takes the listed members of the group. The first list is no change.
  void OnMembers(const std::vector<GroupMember>& members,
                 common::SteadyTime now);

  /// Whether no member is leaving and the last change of the members'
  /// processes is long enough ago. False before the first list.
  bool IsSettled(common::SteadyTime now) const;

 private:
  /// A database's process: its identifier and incarnation.
  using MemberProcess = std::pair<common::EndpointId, std::uint64_t>;

  std::set<MemberProcess> processes;
  bool is_listed = false;
  bool leaving = false;
  std::optional<common::SteadyTime> changed_at;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_GROUP_STABILITY_H_
