#include "Process/acknowledgement_tracker.h"

#include <algorithm>
#include <utility>

namespace camphorferry::process {

namespace {

using std::chrono::milliseconds;

/// Replication usually delivers the entry within a few milliseconds; a replica
/// that takes longer than this is lagging and the other one is asked.
constexpr common::Duration kConfirmWait = milliseconds(50);
/// The next replica is asked although the last one hasn't answered yet: the
/// wait above plus a round trip between regions (40 ms).
constexpr common::Duration kHedgeDelay = milliseconds(100);
/// Keeps a replica that answers at once from being asked in a tight loop.
constexpr common::Duration kRepeatDelay = milliseconds(10);

}  // namespace

AcknowledgementTracker::AcknowledgementTracker(
    ExecutedStatement execution,
    const std::vector<common::EndpointId>& replicas,
    common::SteadyTime deadline, AcknowledgementPolicy policy)
    : execution(std::move(execution)), deadline(deadline), policy(policy) {
  for (const common::EndpointId& id : replicas) {
    // The primary's own copy proves nothing about a second one.
    if (id == this->execution.endpoint) continue;
    Replica replica;
    replica.id = id;
    this->replicas.push_back(std::move(replica));
  }
}

AcknowledgementDecision AcknowledgementTracker::Start(common::SteadyTime now) {
  if (!this->policy.require_replica) this->confirmed = true;
  // A copy of an entry of an older term may still be replaced by a later
  // primary; only an entry of the primary's own term settles those before it.
  if (this->execution.position.term != this->execution.term) {
    this->given_up = true;
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
  if (replica == nullptr || this->given_up || this->confirmed) return;
  replica->asked = false;
  replica->not_before = now + kRepeatDelay;
  if (event.fence > this->execution.term) {
    // A fence never falls, so this replica can't confirm any more.
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
  replica->asked = false;
  replica->not_before = now + kRepeatDelay;
}

void AcknowledgementTracker::On(const AcknowledgementTick&,
                                common::SteadyTime) {}

AcknowledgementDecision AcknowledgementTracker::Decide(common::SteadyTime now) {
  if (this->given_up) return this->Unknown();
  if (this->confirmed) return Acknowledge{};
  const bool all_fenced_above =
      std::all_of(this->replicas.begin(), this->replicas.end(),
                  [](const Replica& replica) { return replica.fenced_above; });
  if (all_fenced_above || now >= this->deadline) return this->Unknown();
  const bool waiting =
      std::any_of(this->replicas.begin(), this->replicas.end(),
                  [](const Replica& replica) { return replica.asked; });
  if (waiting && now < *this->asked_at + kHedgeDelay) return AwaitReply{};
  Replica* replica = this->NextReplica(now);
  if (replica == nullptr) return AwaitReply{};
  replica->asked = true;
  this->asked_at = now;
  const common::Duration left = this->deadline - now;
  return RequestConfirmation{replica->id, this->execution.position,
                             std::min(kConfirmWait, left)};
}

AcknowledgementDecision AcknowledgementTracker::Unknown() {
  this->given_up = true;
  return ReportUnknown{this->superseded_by};
}

/// The first replica in order that wasn't asked lately, so that the other one
/// gets its turn after an answer that didn't help.
AcknowledgementTracker::Replica* AcknowledgementTracker::NextReplica(
    common::SteadyTime now) {
  for (Replica& replica : this->replicas) {
    if (replica.asked || replica.fenced_above) continue;
    if (now >= replica.not_before) return &replica;
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
