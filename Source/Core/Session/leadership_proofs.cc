#include "Session/leadership_proofs.h"

#include <algorithm>

namespace camphorferry::session {

bool LeadershipProofs::Record(const LeadershipRound& round) {
  if (round.primary.role != GroupRole::kPrimary) return false;
  if (round.replica.has_value()) {
    const EndpointStatus& replica = *round.replica;
    const bool follows = replica.role == GroupRole::kReplica &&
                         replica.term == round.primary.term &&
                         replica.held <= round.primary.term;
    if (!follows) return false;
  }
  this->Add(round.started, round.primary.received);
  return true;
}

std::optional<common::LogPosition> LeadershipProofs::RequiredPosition(
    common::SteadyTime time) const {
  for (const Proof& proof : this->proofs) {
    if (proof.as_of >= time) return proof.position;
  }
  return std::nullopt;
}

std::optional<common::SteadyTime> LeadershipProofs::LatestTime() const {
  if (this->proofs.empty()) return std::nullopt;
  return this->proofs.back().as_of;
}

std::optional<common::LogPosition> LeadershipProofs::LatestPosition() const {
  if (this->proofs.empty()) return std::nullopt;
  return this->proofs.back().position;
}

void LeadershipProofs::Add(common::SteadyTime as_of,
                           common::LogPosition position) {
  const auto place =
      std::upper_bound(this->proofs.begin(), this->proofs.end(), as_of,
                       [](common::SteadyTime time, const Proof& proof) {
                         return time < proof.as_of;
                       });
  this->proofs.insert(place, Proof{as_of, position});
}

void LeadershipProofs::DropOlderThan(common::SteadyTime cutoff) {
  while (!this->proofs.empty() && this->proofs.front().as_of < cutoff) {
    this->proofs.pop_front();
  }
}

}  // namespace camphorferry::session
