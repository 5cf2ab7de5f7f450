#include "Session/primary_view.h"

#include <algorithm>

namespace camphorferry::session {

void PrimaryView::Claim::Withdraw() {
  this->sequence = 0;
  this->term.reset();
}

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
      if (member.reports_primary) {
        claim.sequence = this->next_sequence++;
      } else {
        claim.Withdraw();
      }
    }
    present[member.id] = claim;
  }
  this->claims = std::move(present);
}

void PrimaryView::OnStatus(const common::EndpointId& id,
                           const EndpointStatus& status) {
  const auto found = this->claims.find(id);
  if (found == this->claims.end()) return;
  Claim& claim = found->second;
  const bool newer = status.term > this->highest_term;
  this->OnTerm(status.term);
  // A replaced primary may still answer as primary, but with a lower term.
  if (status.role == GroupRole::kReplica || status.term < this->highest_term) {
    claim.Withdraw();
    return;
  }
  if (newer || claim.sequence == 0) claim.sequence = this->next_sequence++;
  claim.term = status.term;
}

void PrimaryView::OnTerm(common::Term term) {
  if (term <= this->highest_term) return;
  this->highest_term = term;
  for (auto& [id, claim] : this->claims) {
    if (claim.term.has_value() && *claim.term < term) claim.Withdraw();
  }
}

void PrimaryView::OnNotPrimary(const common::EndpointId& id) {
  const auto found = this->claims.find(id);
  if (found != this->claims.end()) found->second.Withdraw();
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
  return primary.has_value() ? this->claims.at(*primary).term.value_or(0) : 0;
}

}  // namespace camphorferry::session
