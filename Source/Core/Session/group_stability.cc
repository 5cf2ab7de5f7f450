#include "Session/group_stability.h"

#include <utility>

namespace camphorferry::session {

void GroupStability::OnMembers(const std::vector<GroupMember>& members,
                               common::SteadyTime now) {
  std::set<MemberProcess> listed;
  this->leaving = false;
  for (const GroupMember& member : members) {
    listed.emplace(member.id, member.incarnation);
    if (member.state == MemberState::kLeaving) this->leaving = true;
  }
  if (this->is_listed && listed != this->processes) this->changed_at = now;
  this->processes = std::move(listed);
  this->is_listed = true;
}

bool GroupStability::IsSettled(common::SteadyTime now) const {
  const bool has_changed =
      this->changed_at.has_value() && now - *this->changed_at < kSettledAfter;
  return this->is_listed && !this->leaving && !has_changed;
}

}  // namespace camphorferry::session
