#include "Session/primary_view.h"

#include <algorithm>

namespace camphorferry::session {

void PrimaryView::OnMembers(const std::vector<GroupMember>& members) {
  std::map<common::EndpointId, Claim> present;
  for (const GroupMember& member : members) {
    const auto known = this->claims.find(member.id);
    Claim claim;
    if (known != this->claims.end() &&
        known->second.incarnation == member.incarnation) {
      claim = known->second;
    }
    claim.incarnation = member.incarnation;
    if (member.reports_primary != claim.reported) {
      claim.reported = member.reports_primary;
      claim.sequence = member.reports_primary ? this->next_sequence++ : 0;
      claim.led_term = 0;
    }
    present[member.id] = claim;
  }
  this->claims = std::move(present);
}

void PrimaryView::OnStatus(const common::EndpointId& id,
                           const EndpointStatus& status) {
  const auto found = this->claims.find(id);
  if (found == this->claims.end()) return;
  if (status.role == GroupRole::kReplica) {
    found->second.sequence = 0;
    this->highest_term = std::max(this->highest_term, status.term);
    return;
  }
  // A replaced primary may still answer as primary, but with a lower term.
  if (status.term < this->highest_term) {
    found->second.sequence = 0;
    return;
  }
  if (status.term > this->highest_term || found->second.sequence == 0) {
    found->second.sequence = this->next_sequence++;
  }
  this->highest_term = status.term;
  found->second.led_term = status.term;
}

void PrimaryView::OnNotPrimary(const common::EndpointId& id) {
  const auto found = this->claims.find(id);
  if (found != this->claims.end()) found->second.sequence = 0;
}

std::optional<common::EndpointId> PrimaryView::Primary() const {
  std::optional<common::EndpointId> best;
  std::uint64_t latest = 0;
  for (const auto& [id, claim] : this->claims) {
    if (claim.sequence > latest) {
      latest = claim.sequence;
      best = id;
    }
  }
  return best;
}

common::Term PrimaryView::PrimaryTerm() const {
  const std::optional<common::EndpointId> primary = this->Primary();
  return primary.has_value() ? this->claims.at(*primary).led_term : 0;
}

}  // namespace camphorferry::session
