#include "Session/primary_monitor.h"

namespace camphorferry::session {

namespace {

/// A primary that has not answered for this long counts as dead. Above the
/// longest round trip (40 ms) plus several statements of a busy endpoint, so
/// that a slow answer does not count as a failure.
constexpr std::chrono::milliseconds kDeadAfter(500);
/// Failures needed in addition, so that a single lost connection does not count
/// as a failure of the primary.
constexpr int kMinFailures = 2;
/// If the replicas' logs have not advanced for this long, the replicas do not
/// hear the primary either. Above the longest usual pause between two commits
/// of a group.
constexpr std::chrono::milliseconds kReplicasIdleAfter(400);
/// A primary that its replicas still receive from is replaced only after this
/// daemon has not reached it for this long; shorter network faults usually end
/// by themselves.
constexpr std::chrono::milliseconds kUnreachableAfter(2000);
/// Unanswered commits in a row, and time since the first of them, after which a
/// primary counts as cut off from its replicas.
constexpr int kMinStalledCommits = 2;
constexpr std::chrono::milliseconds kStalledAfter(300);
/// A replica that stays held for this long belongs to no usual promotion, which
/// fences for at most 2,000 ms and takes effect within 1,000 ms. One that takes
/// longer keeps the promotion lease, so that no other one begins.
constexpr std::chrono::milliseconds kAbandonedHoldAfter(3500);
/// A status older than this does not show whether a replica is still held.
constexpr std::chrono::milliseconds kMaxHeldStatusAge(1000);
/// A group without a known primary may be in the middle of a promotion by
/// another daemon, which takes about a second.
constexpr std::chrono::milliseconds kNoPrimaryAfter(1500);

}  // namespace

const char* ToString(FailoverReason reason) {
  switch (reason) {
    case FailoverReason::kDead:
      return "dead";
    case FailoverReason::kUnreachable:
      return "unreachable";
    case FailoverReason::kStalled:
      return "stalled";
    case FailoverReason::kReplicasHeld:
      return "replicas_held";
    case FailoverReason::kLeaving:
      return "leaving";
    case FailoverReason::kNoPrimary:
      return "no_primary";
  }
  return "unknown";
}

void PrimaryMonitor::OnPrimaryChanged(common::SteadyTime now, bool now_known) {
  this->primary_known = now_known;
  this->no_primary_since = now_known ? std::nullopt : std::optional(now);
  this->unresponsive_since.reset();
  this->unresponsive_count = 0;
  this->stalled_since.reset();
  this->stalled_count = 0;
  this->held.clear();
  this->leaving = false;
}

void PrimaryMonitor::OnResponsive(common::SteadyTime /*now*/) {
  this->unresponsive_since.reset();
  this->unresponsive_count = 0;
}

void PrimaryMonitor::OnUnresponsive(common::SteadyTime now) {
  if (!this->unresponsive_since.has_value()) this->unresponsive_since = now;
  ++this->unresponsive_count;
}

void PrimaryMonitor::OnCommitSuccess(common::SteadyTime /*now*/) {
  this->stalled_since.reset();
  this->stalled_count = 0;
}

void PrimaryMonitor::OnCommitUnanswered(common::SteadyTime now) {
  if (!this->stalled_since.has_value()) this->stalled_since = now;
  ++this->stalled_count;
}

void PrimaryMonitor::OnReplicaPosition(common::SteadyTime now,
                                       common::LogPosition position) {
  if (position > this->replica_position) {
    this->replica_position = position;
    this->replica_advanced_at = now;
  }
}

void PrimaryMonitor::OnReplicaHeld(common::SteadyTime now,
                                   const common::EndpointId& replica,
                                   bool is_held) {
  if (!is_held) {
    this->held.erase(replica);
    return;
  }
  const auto [place, is_new] = this->held.try_emplace(replica, Held{now, now});
  // The replica may have been resumed and held again between two statuses that
  // are far apart.
  if (now - place->second.seen > kMaxHeldStatusAge) place->second.since = now;
  place->second.seen = now;
}

std::vector<common::EndpointId> PrimaryMonitor::HeldReplicas() const {
  std::vector<common::EndpointId> replicas;
  for (const auto& [id, state] : this->held) replicas.push_back(id);
  return replicas;
}

FailoverDecision PrimaryMonitor::Decide(common::SteadyTime now) const {
  FailoverDecision decision;
  if (!this->primary_known) {
    if (this->no_primary_since.has_value() &&
        now - *this->no_primary_since >= kNoPrimaryAfter) {
      decision.replace = FailoverReason::kNoPrimary;
    }
    return decision;
  }
  if (this->leaving) decision.replace = FailoverReason::kLeaving;
  for (const auto& [id, state] : this->held) {
    if (now - state.since >= kAbandonedHoldAfter &&
        now - state.seen <= kMaxHeldStatusAge) {
      decision.replace = FailoverReason::kReplicasHeld;
    }
  }
  if (this->unresponsive_since.has_value()) {
    decision.probe = true;
    const common::Duration silence = now - *this->unresponsive_since;
    if (this->unresponsive_count >= kMinFailures && silence >= kDeadAfter) {
      const bool replicas_idle =
          !this->replica_advanced_at.has_value() ||
          now - *this->replica_advanced_at >= kReplicasIdleAfter;
      if (replicas_idle) decision.replace = FailoverReason::kDead;
      if (silence >= kUnreachableAfter) {
        decision.replace = FailoverReason::kUnreachable;
      }
    }
  }
  if (this->stalled_count >= kMinStalledCommits &&
      now - *this->stalled_since >= kStalledAfter) {
    decision.probe = true;
    decision.replace = FailoverReason::kStalled;
  }
  return decision;
}

std::optional<common::EndpointId> PrimaryMonitor::NextReplica(
    const std::set<common::EndpointId>& replicas) {
  if (replicas.empty()) return std::nullopt;
  auto next = this->last_replica.has_value()
                  ? replicas.upper_bound(*this->last_replica)
                  : replicas.begin();
  if (next == replicas.end()) next = replicas.begin();
  this->last_replica = *next;
  return *next;
}

}  // namespace camphorferry::session
