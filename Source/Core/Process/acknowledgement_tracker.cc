#include "Process/acknowledgement_tracker.h"

#include <algorithm>
#include <utility>

namespace camphorferry::process {

namespace {

using std::chrono::milliseconds;

/// Replication usually delivers an entry within a few milliseconds. A replica
/// that takes longer than this is lagging, and the next replica is asked.
constexpr common::Duration kReplicaWait = milliseconds(50);
/// The next replica is asked although the previous one has not responded:
/// kReplicaWait plus a round trip between regions (40 ms).
constexpr common::Duration kHedgeDelay = milliseconds(100);
/// Minimum time between two requests to the same replica.
constexpr common::Duration kRetryDelay = milliseconds(10);

}  // namespace

AcknowledgementTracker::AcknowledgementTracker(
    ExecutedStatement statement,
    const std::vector<common::EndpointId>& replicas,
    common::SteadyTime deadline, AcknowledgementPolicy policy)
    : statement(std::move(statement)), deadline(deadline), policy(policy) {
  for (const common::EndpointId& id : replicas) {
    // The primary's own copy does not show that a second copy exists.
    if (id == this->statement.endpoint) continue;
    Replica replica;
    replica.id = id;
    this->replicas.push_back(std::move(replica));
  }
}

AcknowledgementDecision AcknowledgementTracker::Start(common::SteadyTime now) {
  if (!this->policy.require_replica) this->confirmed = true;
  // An entry of an older term may still be replaced by a later primary, even if
  // replicas hold it. Only an entry of the primary's own term commits the
  // entries before it.
  if (this->statement.position.term != this->statement.term) {
    this->outcome_unknown = true;
  }
  return this->Decide(now);
}

AcknowledgementDecision AcknowledgementTracker::Handle(
    const AcknowledgementEvent& event, common::SteadyTime now) {
  std::visit([this, now](const auto& typed) { this->On(typed, now); }, event);
  return this->Decide(now);
}

void AcknowledgementTracker::On(const ConfirmReply& event,
                                common::SteadyTime now) {
  Replica* replica = this->Find(event.endpoint);
  if (replica == nullptr || this->outcome_unknown || this->confirmed) return;
  replica->request_pending = false;
  replica->retry_not_before = now + kRetryDelay;
  if (event.fence > this->statement.term) {
    // A fence never decreases, so this replica can no longer confirm.
    replica->fenced_above = true;
    this->superseded_by =
        std::max(this->superseded_by.value_or(event.fence), event.fence);
    return;
  }
  this->confirmed = event.held && now < this->deadline;
}

void AcknowledgementTracker::On(const ConfirmFailed& event,
                                common::SteadyTime now) {
  Replica* replica = this->Find(event.endpoint);
  if (replica == nullptr) return;
  replica->request_pending = false;
  replica->retry_not_before = now + kRetryDelay;
}

void AcknowledgementTracker::On(const AcknowledgementTick&,
                                common::SteadyTime) {}

AcknowledgementDecision AcknowledgementTracker::Decide(common::SteadyTime now) {
  if (this->outcome_unknown) return this->GiveUp();
  if (this->confirmed) return Acknowledge{};
  const bool all_fenced_above =
      std::all_of(this->replicas.begin(), this->replicas.end(),
                  [](const Replica& replica) { return replica.fenced_above; });
  if (all_fenced_above || now >= this->deadline) return this->GiveUp();
  const bool pending = std::any_of(
      this->replicas.begin(), this->replicas.end(),
      [](const Replica& replica) { return replica.request_pending; });
  if (pending && now < *this->last_request + kHedgeDelay) return AwaitReply{};
  Replica* replica = this->NextReplica(now);
  if (replica == nullptr) return AwaitReply{};
  replica->request_pending = true;
  this->last_request = now;
  const common::Duration remaining = this->deadline - now;
  return RequestConfirmation{replica->id, this->statement.position,
                             std::min(kReplicaWait, remaining)};
}

AcknowledgementDecision AcknowledgementTracker::GiveUp() {
  this->outcome_unknown = true;
  return ReportUnknown{this->superseded_by};
}

/// The first replica in the given order that was not asked recently, so that
/// the replicas are asked in turn.
AcknowledgementTracker::Replica* AcknowledgementTracker::NextReplica(
    common::SteadyTime now) {
  for (Replica& replica : this->replicas) {
    if (replica.request_pending || replica.fenced_above) continue;
    if (now >= replica.retry_not_before) return &replica;
  }
  return nullptr;
}

AcknowledgementTracker::Replica* AcknowledgementTracker::Find(
    const common::EndpointId& endpoint) {
  const auto found = std::find_if(
      this->replicas.begin(), this->replicas.end(),
      [&endpoint](const Replica& replica) { return replica.id == endpoint; });
  return found == this->replicas.end() ? nullptr : &*found;
}

}  // namespace camphorferry::process
