#ifndef CAMPHORFERRY_SESSION_PRIMARY_VIEW_H_
#define CAMPHORFERRY_SESSION_PRIMARY_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Session/directory.h"
#include "Session/statement.h"

namespace camphorferry::session {

/// Tracks which member of a group is assumed to be the primary. The assumption
/// only routes statements. Whether the member really leads is proved by
/// LeadershipProofs or by the acknowledgement of a commit.
class PrimaryView {
 public:
  /// Sets the current members of the group.
  void OnMembers(const std::vector<GroupMember>& members);

  /// Takes the status that a member has reported about itself.
  void OnStatus(const common::EndpointId& id, const EndpointStatus& status);

  /// A member has refused a statement because it is not the primary.
  void OnNotPrimary(const common::EndpointId& id);

  /// The member that was last to claim leadership; none if no member claims it
  /// or if the one that did was replaced by a member that is not known yet.
  std::optional<common::EndpointId> Primary() const;

  /// Term that the primary has reported to lead; 0 if it is known from its
  /// entry only, so that it may lead a term that no member has reported yet.
  common::Term PrimaryTerm() const;

  /// Highest term that any member has reported.
  common::Term HighestTerm() const { return this->highest_term; }

 private:
  struct Claim {
    bool reported = false;
    std::uint64_t incarnation = 0;
    /// Order in which the claims became known; 0 if the member does not claim
    /// to lead.
    std::uint64_t sequence = 0;
    /// Term that the member itself has reported with its claim; none if only
    /// its entry claims that it leads.
    std::optional<common::Term> term;

    void Withdraw();
  };

  /// Takes a term that a member has reported. The primaries of lower terms have
  /// been replaced.
  void OnTerm(common::Term term);

  std::map<common::EndpointId, Claim> claims;
  std::uint64_t next_sequence = 1;
  common::Term highest_term = 0;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PRIMARY_VIEW_H_
