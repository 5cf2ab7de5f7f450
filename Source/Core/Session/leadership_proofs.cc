#include "Session/leadership_proofs.h"

#include <algorithm>

namespace camphorferry::session {

namespace {

/// Whether the primary had not been replaced when the round began.
bool ProvesLeadership(const LeadershipRound& round) {
  if (round.primary.role != GroupRole::kPrimary) return false;
  if (!round.replica.has_value()) return true;
  const EndpointStatus& replica = *round.replica;
  return replica.role == GroupRole::kReplica &&
         replica.term == round.primary.term &&
         replica.held <= round.primary.term;
}

}  // namespace

std::optional<common::LogPosition> ConfirmedPosition(
    const LeadershipRound& round) {
  if (!ProvesLeadership(round) || !round.replica.has_value()) {
    return std::nullopt;
  }
  const common::LogPosition received = round.replica->received;
  if (received.term != round.primary.term) return std::nullopt;
  return received;
}

bool LeadershipProofs::Record(const LeadershipRound& round) {
  if (!ProvesLeadership(round)) return false;
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
