#include "Process/failover_coordinator.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorferry::process {

namespace {

using std::chrono::milliseconds;

/// Three missed polls tell a failed primary from one lost packet or one slow
/// statement, and detection still fits the target for the failover gap.
constexpr int kSuspectMissedPolls = 3;
/// A refused connection fails at once. Without a delay, three refusals during
/// one restart of a listener would already make an endpoint suspect.
constexpr common::Duration kRefusedRetryDelay = milliseconds(50);
/// Poll interval for reachable databases while no primary is known, so that
/// daemons that did not promote the next primary learn of it early.
constexpr common::Duration kFastPollInterval = milliseconds(50);
/// Fast polling ends after this time: the group then lacks more than a
/// promotion, and the polls would exceed the bound on control traffic.
constexpr common::Duration kFastPollPeriod = std::chrono::seconds(5);
/// Suspect endpoints are polled less often, since each poll uses one of the
/// endpoint's limited connections.
constexpr common::Duration kSuspectInterval = milliseconds(500);
/// The caller reports poll timeouts itself. The margin only covers the case
/// that its report is lost.
constexpr common::Duration kPollReportMargin = milliseconds(50);
/// A gap between events that indicates that this process was paused. Ticks
/// arrive at least every 100 ms.
constexpr common::Duration kPauseThreshold = milliseconds(500);
/// Covers several times a new connection (12 ms) and a round trip between
/// regions (40 ms).
constexpr common::Duration kFenceTimeout = milliseconds(300);
constexpr common::Duration kPromoteTimeout = milliseconds(300);
constexpr common::Duration kFollowTimeout = milliseconds(300);
constexpr common::Duration kFollowRetryDelay = milliseconds(200);
/// After a majority has granted the fence, the coordinator waits this long for
/// the other reachable databases, because one of them may hold more
/// unacknowledged writes.
constexpr common::Duration kAdditionalGrantWait = milliseconds(100);
/// A fence of another coordinator indicates a round in progress, which gets
/// this long to finish.
constexpr common::Duration kConcurrentRoundWait = milliseconds(400);
/// A replica fenced by an abandoned round is repaired by a promotion, which
/// briefly interrupts writes. The repair is delayed in case another coordinator
/// is about to promote anyway.
constexpr common::Duration kRepairDelay = std::chrono::seconds(1);
constexpr common::Duration kInitialBackoff = milliseconds(100);
constexpr std::uint32_t kMaxBackoffDoublings = 3;
/// Flap damping: daemons that reach different databases may replace each
/// other's primary repeatedly. A primary announced within this time after the
/// previous one counts as a flap.
constexpr common::Duration kFlapWindow = std::chrono::seconds(10);
/// Flaps that are treated as separate failures and are not delayed.
constexpr std::uint32_t kUndelayedFlaps = 1;
/// Delay after the first flap beyond kUndelayedFlaps. It doubles with each
/// further flap, at most kMaxFlapDelayDoublings times.
constexpr common::Duration kInitialFlapDelay = milliseconds(500);
constexpr std::uint32_t kMaxFlapDelayDoublings = 3;
/// Range of the proposer-dependent part of the backoff, which separates two
/// daemons that both believe that they have the same rank.
constexpr std::uint64_t kBackoffJitterMs = 200;

}  // namespace

FailoverCoordinator::FailoverCoordinator(
    std::vector<common::EndpointId> endpoints, std::string proposer,
    std::size_t rank, FailoverPolicy policy)
    : proposer(std::move(proposer)), rank(rank), policy(policy) {
  for (common::EndpointId& endpoint : endpoints) {
    Member member;
    member.id = std::move(endpoint);
    this->members.push_back(std::move(member));
  }
}

std::vector<FailoverAction> FailoverCoordinator::Handle(
    const FailoverEvent& event, common::SteadyTime now) {
  this->DetectPause(now);
  std::visit([this, now](const auto& typed) { this->On(typed, now); }, event);
  this->ExpireRequests(now);
  this->CountFlap(now);
  this->AdvanceRound(now);
  this->StartRoundIfDue(now);
  this->SendFollows(now);
  this->SendPolls(now);
  return std::exchange(this->actions, {});
}

std::optional<KnownPrimary> FailoverCoordinator::Primary() const {
  if (!this->primary) return std::nullopt;
  const EndpointStatus& status = *this->Find(this->primary->endpoint)->status;
  const bool still_primary = status.role == request::EndpointRole::kPrimary &&
                             status.term == this->primary->term &&
                             status.fence <= status.term;
  if (!still_primary) return std::nullopt;
  return this->primary;
}

bool FailoverCoordinator::IsSuspect(const common::EndpointId& endpoint) const {
  const Member* member = this->Find(endpoint);
  return member != nullptr && member->reachability == Reachability::kSuspect;
}

void FailoverCoordinator::On(const StatusReceived& event,
                             common::SteadyTime now) {
  Member* member = this->Find(event.endpoint);
  if (member == nullptr) return;
  this->ObserveTerm(std::max(event.status.term, event.status.fence), now);
  this->UpdateStatus(member, event.status);
  const bool awaited = member->poll && event.request == member->poll->request;
  // A late response to an earlier poll does not show that the endpoint is still
  // responsive.
  if (event.request && !awaited) return;
  if (awaited) member->poll.reset();
  this->MarkReachable(member, now);
}

void FailoverCoordinator::On(const StatusFailed& event,
                             common::SteadyTime now) {
  Member* member = this->Find(event.endpoint);
  if (member == nullptr) return;
  if (!event.request) {
    // Many requests fail together when one connection breaks, so only polls are
    // counted.
    member->next_poll = std::min(member->next_poll, now);
    return;
  }
  if (!member->poll || event.request != member->poll->request) return;
  this->RecordMissedPoll(member, event.kind, now);
}

void FailoverCoordinator::On(const FenceReply& event, common::SteadyTime now) {
  Member* member = this->Find(event.endpoint);
  if (member == nullptr) return;
  this->ObserveTerm(event.fence, now);
  if (member->status) {
    member->status->fence = std::max(member->status->fence, event.fence);
  }
  if (!this->round || this->round->promote) return;
  if (event.fence > this->round->term) {
    // Another coordinator has fenced this database at a higher term. Continuing
    // at the lower term would only produce a primary that this database cannot
    // follow.
    this->AbandonRound(now);
    return;
  }
  if (this->round->pending.erase(event.request) == 0) return;
  const bool granted = event.granted && event.fence == this->round->term &&
                       event.proposer == this->proposer;
  if (!granted) return;
  this->round->grants.push_back({event.endpoint, event.position});
  if (this->round->grants.size() == this->Majority()) {
    this->round->majority_at = now;
  }
}

void FailoverCoordinator::On(const FenceFailed& event, common::SteadyTime) {
  if (!this->round) return;
  this->round->pending.erase(event.request);
}

void FailoverCoordinator::On(const PromoteReply& event,
                             common::SteadyTime now) {
  Member* member = this->Find(event.endpoint);
  if (member == nullptr) return;
  if (event.accepted) {
    EndpointStatus status;
    status.term = event.term;
    status.fence = event.term;
    status.role = request::EndpointRole::kPrimary;
    if (member->status) status.position = member->status->position;
    this->UpdateStatus(member, status);
    return;
  }
  if (!this->round || !this->round->promote) return;
  if (event.request != this->round->promote->request) return;
  this->AbandonRound(now);
}

void FailoverCoordinator::On(const PromoteFailed& event,
                             common::SteadyTime now) {
  if (!this->round || !this->round->promote) return;
  if (event.request != this->round->promote->request) return;
  this->AbandonLostPromote(now);
}

void FailoverCoordinator::On(const FollowReply& event, common::SteadyTime now) {
  Member* member = this->Find(event.endpoint);
  if (member == nullptr) return;
  if (event.accepted) {
    EndpointStatus status;
    status.term = event.term;
    status.fence = event.term;
    if (member->status) status.position = member->status->position;
    this->UpdateStatus(member, status);
  }
  if (!member->follow || event.request != member->follow->request) return;
  member->follow.reset();
  member->next_follow = now + kFollowRetryDelay;
}

void FailoverCoordinator::On(const FollowFailed& event,
                             common::SteadyTime now) {
  Member* member = this->Find(event.endpoint);
  if (member == nullptr || !member->follow) return;
  if (event.request != member->follow->request) return;
  member->follow.reset();
  member->next_follow = now + kFollowRetryDelay;
}

void FailoverCoordinator::On(const FailoverTick&, common::SteadyTime) {}

/// After a pause, the known reachability and the round are out of date: other
/// coordinators may have promoted a database in the meantime.
void FailoverCoordinator::DetectPause(common::SteadyTime now) {
  const bool paused =
      this->last_event && now - *this->last_event > kPauseThreshold;
  this->last_event = now;
  if (!paused) return;
  for (Member& member : this->members) {
    this->ForgetReachability(&member, now);
  }
  this->round.reset();
}

void FailoverCoordinator::ForgetReachability(Member* member,
                                             common::SteadyTime now) {
  member->reachability = Reachability::kUnknown;
  member->missed_polls = 0;
  member->poll.reset();
  member->next_poll = now;
}

void FailoverCoordinator::MarkReachable(Member* member,
                                        common::SteadyTime now) {
  member->reachability = Reachability::kReachable;
  member->missed_polls = 0;
  member->next_poll = now + kStatusInterval;
}

void FailoverCoordinator::RecordMissedPoll(Member* member, FailureKind kind,
                                           common::SteadyTime now) {
  member->poll.reset();
  ++member->missed_polls;
  member->next_poll = now;
  if (kind == FailureKind::kRefused) member->next_poll += kRefusedRetryDelay;
  if (member->missed_polls < kSuspectMissedPolls) return;
  member->reachability = Reachability::kSuspect;
  member->next_poll = now + kSuspectInterval;
}

/// A database's fence and term never decrease, so a status with a lower pair is
/// an older one that arrived late.
void FailoverCoordinator::UpdateStatus(Member* member,
                                       const EndpointStatus& status) {
  const bool older = member->status &&
                     std::tie(status.fence, status.term) <
                         std::tie(member->status->fence, member->status->term);
  if (older) return;
  member->status = status;
  if (status.role != request::EndpointRole::kPrimary) return;
  if (status.fence > status.term) return;
  if (this->primary && this->primary->term >= status.term) return;
  this->primary = KnownPrimary{member->id, status.term};
  this->actions.push_back(AnnouncePrimary{member->id, status.term});
}

void FailoverCoordinator::ObserveTerm(common::Term term,
                                      common::SteadyTime now) {
  if (term <= this->highest_term) return;
  const bool first = this->highest_term == 0;
  this->highest_term = term;
  // The first terms observed belong to the group's history, not to a round in
  // progress.
  if (first) return;
  this->next_round_not_before =
      std::max(this->next_round_not_before, now + kConcurrentRoundWait);
}

void FailoverCoordinator::ExpireRequests(common::SteadyTime now) {
  for (Member& member : this->members) {
    if (member.poll && now >= member.poll->deadline) {
      this->RecordMissedPoll(&member, FailureKind::kTimedOut, now);
    }
    if (member.follow && now >= member.follow->deadline) {
      member.follow.reset();
      member.next_follow = now;
    }
  }
}

void FailoverCoordinator::CountFlap(common::SteadyTime now) {
  if (!this->primary || this->primary->term == this->last_primary_term) return;
  const bool flapped = this->last_primary_term != 0 &&
                       now - this->last_primary_seen_at < kFlapWindow;
  this->flaps = flapped ? this->flaps + 1 : 0;
  this->last_primary_term = this->primary->term;
  this->last_primary_seen_at = now;
}

void FailoverCoordinator::AdvanceRound(common::SteadyTime now) {
  if (!this->round) return;
  const std::optional<KnownPrimary> known = this->Primary();
  if (known && known->term >= this->round->term) {
    this->round.reset();
    return;
  }
  if (this->round->promote) {
    if (now >= this->round->promote->deadline) this->AbandonLostPromote(now);
    return;
  }
  if (this->IsFencingComplete(now)) {
    this->Promote(now);
    return;
  }
  const std::size_t possible =
      this->round->grants.size() + this->round->pending.size();
  if (possible < this->Majority() || now >= this->round->deadline) {
    this->AbandonRound(now);
  }
}

bool FailoverCoordinator::IsFencingComplete(common::SteadyTime now) const {
  if (!this->round->majority_at) return false;
  if (now >= *this->round->majority_at + kAdditionalGrantWait) return true;
  return std::none_of(this->round->pending.begin(), this->round->pending.end(),
                      [this](const auto& entry) {
                        const Member* member = this->Find(entry.second);
                        return member->reachability == Reachability::kReachable;
                      });
}

void FailoverCoordinator::StartRoundIfDue(common::SteadyTime now) {
  const GroupState state = this->EvaluateGroup();
  if (state != this->group_state) this->state_since = now;
  this->group_state = state;
  if (state == GroupState::kHealthy) this->abandoned_rounds = 0;
  if (state == GroupState::kNoPrimary) this->ScheduleFastPolls(now);
  if (state == GroupState::kHealthy || state == GroupState::kUndecided) return;
  if (this->round || this->CountResponsive() < this->Majority()) return;
  if (now < this->next_round_not_before) return;
  if (now < this->state_since + this->RoundStartDelay(state)) return;
  this->StartRound(now);
}

void FailoverCoordinator::ScheduleFastPolls(common::SteadyTime now) {
  if (now - this->state_since > kFastPollPeriod) return;
  for (Member& member : this->members) {
    if (member.reachability != Reachability::kReachable) continue;
    member.next_poll = std::min(member.next_poll, now + kFastPollInterval);
  }
}

/// The round's term is higher than every term observed and every term that this
/// coordinator used before, so no term is used twice.
void FailoverCoordinator::StartRound(common::SteadyTime now) {
  Round started;
  started.term = ++this->highest_term;
  started.deadline = now + kFenceTimeout;
  for (const Member& member : this->members) {
    const FailoverRequestId request = this->next_request++;
    started.pending.emplace(request, member.id);
    this->actions.push_back(SendFence{member.id, request, started.term});
  }
  this->round = std::move(started);
}

void FailoverCoordinator::Promote(common::SteadyTime now) {
  this->round->target = this->ChooseCandidate().endpoint;
  const FailoverRequestId request = this->next_request++;
  this->round->promote = PendingRequest{request, now + kPromoteTimeout};
  this->last_promote_term = this->round->term;
  this->actions.push_back(
      SendPromote{this->round->target, request, this->round->term});
}

/// Chooses the most advanced log. Among equal logs the current primary is
/// preferred, because its replicas then keep their source.
const FailoverCoordinator::Grant& FailoverCoordinator::ChooseCandidate() const {
  if (!this->policy.promote_most_advanced) return this->round->grants.front();
  const auto rank_of = [this](const Grant& grant) {
    const bool is_primary =
        this->primary && this->primary->endpoint == grant.endpoint;
    return std::make_tuple(grant.position, is_primary);
  };
  return *std::max_element(this->round->grants.begin(),
                           this->round->grants.end(),
                           [&rank_of](const Grant& left, const Grant& right) {
                             return rank_of(left) < rank_of(right);
                           });
}

/// The target's next status shows whether the promotion took effect. The term
/// is not reused, since the request may still arrive.
void FailoverCoordinator::AbandonLostPromote(common::SteadyTime now) {
  Member* target = this->Find(this->round->target);
  this->AbandonRound(now);
  this->ForgetReachability(target, now);
}

void FailoverCoordinator::AbandonRound(common::SteadyTime now) {
  this->round.reset();
  const common::Duration backoff =
      kInitialBackoff *
      (1U << std::min(this->abandoned_rounds, kMaxBackoffDoublings));
  ++this->abandoned_rounds;
  const std::uint64_t jitter = common::RendezvousScore(
      std::to_string(this->abandoned_rounds), common::HostId(this->proposer));
  const common::Duration delay =
      backoff + this->RankDelay() +
      milliseconds(static_cast<std::int64_t>(jitter % kBackoffJitterMs));
  this->next_round_not_before =
      std::max(this->next_round_not_before, now + delay);
}

FailoverCoordinator::GroupState FailoverCoordinator::EvaluateGroup() const {
  const bool undecided = std::any_of(
      this->members.begin(), this->members.end(), [](const Member& member) {
        return member.reachability == Reachability::kUnknown;
      });
  if (undecided) return GroupState::kUndecided;
  if (!this->PrimaryIsReachable()) return GroupState::kNoPrimary;
  std::size_t usable = 0;
  bool fenced_above = false;
  for (const Member& member : this->members) {
    if (member.reachability != Reachability::kReachable) continue;
    const bool fenced = this->IsFencedAbove(member, this->primary->term);
    fenced_above = fenced_above || fenced;
    if (!fenced) ++usable;
  }
  if (!fenced_above) return GroupState::kHealthy;
  return usable < this->Majority() ? GroupState::kNoPrimary
                                   : GroupState::kReplicaFenced;
}

bool FailoverCoordinator::PrimaryIsReachable() const {
  const std::optional<KnownPrimary> known = this->Primary();
  if (!known) return false;
  return this->Find(known->endpoint)->reachability == Reachability::kReachable;
}

/// Members that missed the last poll are not counted even if they are not
/// suspect yet: a round that cannot reach a majority only leaves fences behind.
std::size_t FailoverCoordinator::CountResponsive() const {
  return static_cast<std::size_t>(std::count_if(
      this->members.begin(), this->members.end(), [](const Member& member) {
        return member.reachability == Reachability::kReachable &&
               member.missed_polls == 0;
      }));
}

bool FailoverCoordinator::IsFencedAbove(const Member& member,
                                        common::Term term) const {
  return member.status && member.status->fence > term;
}

common::Duration FailoverCoordinator::RankDelay() const {
  return kRankDelay * static_cast<std::int64_t>(this->rank);
}

common::Duration FailoverCoordinator::RoundStartDelay(GroupState state) const {
  common::Duration delay = this->RankDelay();
  if (state == GroupState::kReplicaFenced) delay += kRepairDelay;
  if (this->flaps <= kUndelayedFlaps) return delay;
  const std::uint32_t doublings = this->flaps - kUndelayedFlaps - 1;
  return delay + kInitialFlapDelay *
                     (1U << std::min(doublings, kMaxFlapDelayDoublings));
}

void FailoverCoordinator::SendFollows(common::SteadyTime now) {
  for (Member& member : this->members) {
    if (!this->NeedsFollow(member)) {
      member.outdated_since.reset();
      continue;
    }
    if (!member.outdated_since) member.outdated_since = now;
    // The coordinator that promoted the primary attaches the replicas without
    // delay.
    const bool promoted_here = this->last_promote_term == this->primary->term;
    const common::Duration delay =
        promoted_here ? common::Duration::zero() : this->RankDelay();
    if (now < *member.outdated_since + delay) continue;
    if (member.follow || now < member.next_follow) continue;
    const FailoverRequestId request = this->next_request++;
    member.follow = PendingRequest{request, now + kFollowTimeout};
    this->actions.push_back(SendFollow{member.id, request, this->primary->term,
                                       this->primary->endpoint});
  }
}

bool FailoverCoordinator::NeedsFollow(const Member& member) const {
  const std::optional<KnownPrimary> known = this->Primary();
  if (!known || known->endpoint == member.id) return false;
  if (member.reachability != Reachability::kReachable) return false;
  return member.status && member.status->term < known->term &&
         member.status->fence <= known->term;
}

void FailoverCoordinator::SendPolls(common::SteadyTime now) {
  for (Member& member : this->members) {
    if (member.poll || now < member.next_poll) continue;
    const FailoverRequestId request = this->next_request++;
    member.poll =
        PendingRequest{request, now + kStatusTimeout + kPollReportMargin};
    this->actions.push_back(
        SendStatusPoll{member.id, request, member.missed_polls > 0});
  }
}

FailoverCoordinator::Member* FailoverCoordinator::Find(
    const common::EndpointId& endpoint) {
  const auto found = std::find_if(
      this->members.begin(), this->members.end(),
      [&endpoint](const Member& member) { return member.id == endpoint; });
  return found == this->members.end() ? nullptr : &*found;
}

const FailoverCoordinator::Member* FailoverCoordinator::Find(
    const common::EndpointId& endpoint) const {
  return const_cast<FailoverCoordinator*>(this)->Find(endpoint);
}

}  // namespace camphorferry::process
