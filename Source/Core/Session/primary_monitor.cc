#include "Session/primary_monitor.h"

namespace camphorferry::session {

namespace {

/// Silence after which a primary counts as dead. Above the longest round trip
/// (40 ms) and several turns of a busy slot, so that a slow answer is no death.
constexpr std::chrono::milliseconds kDeadAfter(500);
/// Failures that must add up besides, so that one lost connection is no death.
constexpr int kMinFailures = 2;
/// Replicas that received nothing for this long don't hear the primary either.
/// Above the longest usual pause between two commits of a group.
constexpr std::chrono::milliseconds kReplicasIdleAfter(400);
/// A primary that its replicas hear is replaced only when this daemon has
/// missed it for so long; shorter cuts end by themselves.
constexpr std::chrono::milliseconds kUnreachableAfter(2000);
/// Unanswered commits that show a primary without replicas.
constexpr int kMinStalledCommits = 2;
constexpr std::chrono::milliseconds kStalledAfter(300);
/// A replica that is held for so long belongs to no promotion under way: one
/// fences for 2,000 ms at most and takes effect within 1,000 ms.
constexpr std::chrono::milliseconds kAbandonedHoldAfter(3500);
/// An older answer says nothing about whether a replica is still held.
constexpr std::chrono::milliseconds kMaxHeldStatusAge(1000);
/// A group without a primary may be in the middle of another daemon's
/// promotion, which takes about a second.
constexpr std::chrono::milliseconds kNoPrimaryAfter(1500);

}  // namespace

const char* ToString(ReplaceReason reason) {
  switch (reason) {
    case ReplaceReason::kDead:
      return "dead";
    case ReplaceReason::kUnreachable:
      return "unreachable";
    case ReplaceReason::kStalled:
      return "stalled";
    case ReplaceReason::kReplicasHeld:
      return "replicas_held";
    case ReplaceReason::kLeaving:
      return "leaving";
    case ReplaceReason::kNoPrimary:
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
  // Between two answers that are far apart it may have been free.
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
      decision.replace = ReplaceReason::kNoPrimary;
    }
    return decision;
  }
  if (this->leaving) decision.replace = ReplaceReason::kLeaving;
  for (const auto& [id, state] : this->held) {
    if (now - state.since >= kAbandonedHoldAfter &&
        now - state.seen <= kMaxHeldStatusAge) {
      decision.replace = ReplaceReason::kReplicasHeld;
    }
  }
  if (this->unresponsive_since.has_value()) {
    decision.probe = true;
    const common::Duration silence = now - *this->unresponsive_since;
    if (this->unresponsive_count >= kMinFailures && silence >= kDeadAfter) {
      const bool quiet = !this->replica_advanced_at.has_value() ||
                         now - *this->replica_advanced_at >= kReplicasIdleAfter;
      if (quiet) decision.replace = ReplaceReason::kDead;
      if (silence >= kUnreachableAfter) {
        decision.replace = ReplaceReason::kUnreachable;
      }
    }
  }
  if (this->stalled_count >= kMinStalledCommits &&
      now - *this->stalled_since >= kStalledAfter) {
    decision.replace = ReplaceReason::kStalled;
  }
  return decision;
}

}  // namespace camphorferry::session
