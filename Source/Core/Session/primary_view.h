#ifndef CAMPHORFERRY_SESSION_PRIMARY_VIEW_H_
#define CAMPHORFERRY_SESSION_PRIMARY_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Session/directory.h"
#include "Session/statement.h"

namespace camphorferry::session {

/// Which member of a group is believed to lead. The belief only directs
/// statements; whether the member really leads is proved by
/// LeadershipLedger or by the acknowledgement of a commit.
class PrimaryView {
 public:
  /// Takes the present members of the group.
  void OnMembers(const std::vector<GroupMember>& members);

  /// Takes a member's answer about itself.
  void OnStatus(const common::EndpointId& id, const EndpointStatus& status);

  /// A member has refused a statement because it does not lead.
  void OnNotPrimary(const common::EndpointId& id);

  /// The member that claimed to lead last; none if no member claims it.
  std::optional<common::EndpointId> Primary() const;

  /// Highest term that any member has named.
  common::Term HighestTerm() const { return this->highest_term; }

 private:
  struct Claim {
    bool reported = false;
    std::uint64_t incarnation = 0;
    /// Order in which claims became known; 0 for no claim.
    std::uint64_t sequence = 0;
  };

  std::map<common::EndpointId, Claim> claims;
  std::uint64_t next_sequence = 1;
  common::Term highest_term = 0;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PRIMARY_VIEW_H_
