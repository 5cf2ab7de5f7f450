#include "Process/failover_coordinator.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorferry::process {

namespace {

using std::chrono::milliseconds;

/// Three misses distinguish a dead primary from one lost packet or one slow
/// statement, and still fit the target for the failover gap.
constexpr int kSuspectMisses = 3;
/// A refused connection fails at once; without a pause three refusals during
/// one restart of a listener would already make an endpoint suspect.
constexpr common::Duration kRefusedRetryDelay = milliseconds(50);
/// While no primary is known, reachable databases are polled this often, so
/// that daemons that didn't promote the next one learn of it early.
constexpr common::Duration kUrgentInterval = milliseconds(50);
/// The frequent polls end after this time: the group then lacks more than a
/// promotion, and they would exceed the bound on control traffic.
constexpr common::Duration kUrgentPeriod = std::chrono::seconds(5);
/// Suspect endpoints are polled less often, since each poll takes one of the
/// endpoint's scarce connections.
constexpr common::Duration kSuspectInterval = milliseconds(500);
/// The caller reports a timeout itself; this only covers a lost report.
constexpr common::Duration kReportMargin = milliseconds(50);
/// A gap between events that shows that this process was paused. Ticks come at
/// least every 100 ms.
constexpr common::Duration kPauseThreshold = milliseconds(500);
/// Covers a new connection (12 ms) and a round trip between regions (40 ms)
/// several times.
constexpr common::Duration kFenceTimeout = milliseconds(300);
constexpr common::Duration kPromoteTimeout = milliseconds(300);
constexpr common::Duration kFollowTimeout = milliseconds(300);
constexpr common::Duration kFollowRetryDelay = milliseconds(200);
/// After a majority has granted, reachable databases get this long to grant as
/// well: one of them may hold more unacknowledged writes.
constexpr common::Duration kThirdGrantWait = milliseconds(100);
/// A fence of another coordinator shows a round in progress, which gets this
/// long to finish.
constexpr common::Duration kOtherRoundWait = milliseconds(400);
/// A replica that was fenced by an abandoned round is repaired by a promotion,
/// which interrupts writes for a moment, so it is delayed in case another
/// coordinator is about to promote anyway.
constexpr common::Duration kRepairDelay = std::chrono::seconds(1);
constexpr common::Duration kFirstBackoff = milliseconds(100);
constexpr std::uint32_t kMaxBackoffDoublings = 3;
/// Daemons that reach different databases may replace each other's primary
/// again and again. A primary that was announced less than this long after the
/// one before it counts as a quick change.
constexpr common::Duration kQuickChange = std::chrono::seconds(10);
/// Quick changes that are taken for separate failures and cost no delay.
constexpr std::uint32_t kFreeQuickChanges = 1;
/// Delay after the first quick change above that; it doubles with each further
/// one, three times at most.
constexpr common::Duration kQuickChangeDelay = milliseconds(500);
constexpr std::uint32_t kMaxDelayDoublings = 3;
/// Spread of the part of the backoff that depends on the proposer. It separates
/// two daemons that both believe that they have the same rank.
constexpr std::uint64_t kBackoffSpreadMs = 200;

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
  this->CountQuickChange(now);
  this->AdvanceRound(now);
  this->StartRoundIfDue(now);
  this->SendFollows(now);
  this->SendPolls(now);
  return std::exchange(this->actions, {});
}

std::optional<KnownPrimary> FailoverCoordinator::Primary() const {
  if (!this->primary) return std::nullopt;
  const EndpointStatus& status = *this->Find(this->primary->endpoint)->status;
  const bool holds = status.role == request::EndpointRole::kPrimary &&
                     status.term == this->primary->term &&
                     status.fence <= status.term;
  if (!holds) return std::nullopt;
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
  this->Learn(member, event.status);
  const bool awaited = member->poll && event.request == member->poll->request;
  // A late answer to an older poll doesn't show that the endpoint still
  // answers.
  if (event.request && !awaited) return;
  if (awaited) member->poll.reset();
  this->Heard(member, now);
}

void FailoverCoordinator::On(const StatusFailed& event,
                             common::SteadyTime now) {
  Member* member = this->Find(event.endpoint);
  if (member == nullptr) return;
  if (!event.request) {
    // Many requests fail together when one connection breaks, so only polls
    // are counted.
    member->next_poll = std::min(member->next_poll, now);
    return;
  }
  if (!member->poll || event.request != member->poll->request) return;
  this->CountMiss(member, event.kind, now);
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
    // Another coordinator is ahead at this database. Going on at the lower term
    // would only produce a primary that this database can't follow.
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
    this->Learn(member, status);
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
  this->LosePromote(now);
}

void FailoverCoordinator::On(const FollowReply& event, common::SteadyTime now) {
  Member* member = this->Find(event.endpoint);
  if (member == nullptr) return;
  if (event.accepted) {
    EndpointStatus status;
    status.term = event.term;
    status.fence = event.term;
    if (member->status) status.position = member->status->position;
    this->Learn(member, status);
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

/// After a pause everything that was known about reachability and the round is
/// out of date: others may have promoted a database meanwhile.
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
  member->misses = 0;
  member->poll.reset();
  member->next_poll = now;
}

void FailoverCoordinator::Heard(Member* member, common::SteadyTime now) {
  member->reachability = Reachability::kReachable;
  member->misses = 0;
  member->next_poll = now + kStatusInterval;
}

void FailoverCoordinator::CountMiss(Member* member, FailureKind kind,
                                    common::SteadyTime now) {
  member->poll.reset();
  ++member->misses;
  member->next_poll = now;
  if (kind == FailureKind::kRefused) member->next_poll += kRefusedRetryDelay;
  if (member->misses < kSuspectMisses) return;
  member->reachability = Reachability::kSuspect;
  member->next_poll = now + kSuspectInterval;
}

/// A database's fence and term never fall, so a status with a lower pair is an
/// older one that arrived late.
void FailoverCoordinator::Learn(Member* member, const EndpointStatus& status) {
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
  // The first terms seen are the group's past, not a round in progress.
  if (first) return;
  this->not_before = std::max(this->not_before, now + kOtherRoundWait);
}

void FailoverCoordinator::ExpireRequests(common::SteadyTime now) {
  for (Member& member : this->members) {
    if (member.poll && now >= member.poll->deadline) {
      this->CountMiss(&member, FailureKind::kTimedOut, now);
    }
    if (member.follow && now >= member.follow->deadline) {
      member.follow.reset();
      member.next_follow = now;
    }
  }
}

void FailoverCoordinator::CountQuickChange(common::SteadyTime now) {
  if (!this->primary || this->primary->term == this->counted_term) return;
  const bool quick =
      this->counted_term != 0 && now - this->counted_at < kQuickChange;
  this->quick_changes = quick ? this->quick_changes + 1 : 0;
  this->counted_term = this->primary->term;
  this->counted_at = now;
}

void FailoverCoordinator::AdvanceRound(common::SteadyTime now) {
  if (!this->round) return;
  const std::optional<KnownPrimary> known = this->Primary();
  if (known && known->term >= this->round->term) {
    this->round.reset();
    return;
  }
  if (this->round->promote) {
    if (now >= this->round->promote->deadline) this->LosePromote(now);
    return;
  }
  if (this->FencingComplete(now)) {
    this->Promote(now);
    return;
  }
  const std::size_t possible =
      this->round->grants.size() + this->round->pending.size();
  if (possible < this->Majority() || now >= this->round->deadline) {
    this->AbandonRound(now);
  }
}

bool FailoverCoordinator::FencingComplete(common::SteadyTime now) const {
  if (!this->round->majority_at) return false;
  if (now >= *this->round->majority_at + kThirdGrantWait) return true;
  return std::none_of(this->round->pending.begin(), this->round->pending.end(),
                      [this](const auto& entry) {
                        const Member* member = this->Find(entry.second);
                        return member->reachability == Reachability::kReachable;
                      });
}

void FailoverCoordinator::StartRoundIfDue(common::SteadyTime now) {
  const GroupState found = this->EvaluateGroup();
  if (found != this->group_state) this->state_since = now;
  this->group_state = found;
  if (found == GroupState::kHealthy) this->attempts = 0;
  if (found == GroupState::kNoPrimary) this->ScheduleUrgentPolls(now);
  if (found == GroupState::kHealthy || found == GroupState::kUndecided) return;
  if (this->round || this->CountAnswering() < this->Majority()) return;
  if (now < this->not_before) return;
  if (now < this->state_since + this->StartDelay(found)) return;
  this->StartRound(now);
}

void FailoverCoordinator::ScheduleUrgentPolls(common::SteadyTime now) {
  if (now - this->state_since > kUrgentPeriod) return;
  for (Member& member : this->members) {
    if (member.reachability != Reachability::kReachable) continue;
    member.next_poll = std::min(member.next_poll, now + kUrgentInterval);
  }
}

/// The round's term is above everything seen and above every term that this
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
  this->round->target = this->ChooseGrant().endpoint;
  const FailoverRequestId request = this->next_request++;
  this->round->promote = Outstanding{request, now + kPromoteTimeout};
  this->promoted_term = this->round->term;
  this->actions.push_back(
      SendPromote{this->round->target, request, this->round->term});
}

/// The most advanced log; among equals the present primary, whose replicas then
/// keep their source.
const FailoverCoordinator::Grant& FailoverCoordinator::ChooseGrant() const {
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
/// isn't used again, since the request may still arrive.
void FailoverCoordinator::LosePromote(common::SteadyTime now) {
  Member* target = this->Find(this->round->target);
  this->AbandonRound(now);
  this->ForgetReachability(target, now);
}

void FailoverCoordinator::AbandonRound(common::SteadyTime now) {
  this->round.reset();
  const common::Duration backoff =
      kFirstBackoff * (1U << std::min(this->attempts, kMaxBackoffDoublings));
  ++this->attempts;
  const std::uint64_t spread = common::RendezvousScore(
      std::to_string(this->attempts), common::HostId(this->proposer));
  const common::Duration delay =
      backoff + this->RankDelay() +
      milliseconds(static_cast<std::int64_t>(spread % kBackoffSpreadMs));
  this->not_before = std::max(this->not_before, now + delay);
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

/// Members that missed the last poll don't count, although they aren't suspect
/// yet: a round that can't reach a majority only leaves fences behind.
std::size_t FailoverCoordinator::CountAnswering() const {
  return static_cast<std::size_t>(std::count_if(
      this->members.begin(), this->members.end(), [](const Member& member) {
        return member.reachability == Reachability::kReachable &&
               member.misses == 0;
      }));
}

bool FailoverCoordinator::IsFencedAbove(const Member& member,
                                        common::Term term) const {
  return member.status && member.status->fence > term;
}

common::Duration FailoverCoordinator::RankDelay() const {
  return kRankDelay * static_cast<std::int64_t>(this->rank);
}

common::Duration FailoverCoordinator::StartDelay(GroupState found) const {
  common::Duration delay = this->RankDelay();
  if (found == GroupState::kReplicaFenced) delay += kRepairDelay;
  if (this->quick_changes <= kFreeQuickChanges) return delay;
  const std::uint32_t doublings = this->quick_changes - kFreeQuickChanges - 1;
  return delay +
         kQuickChangeDelay * (1U << std::min(doublings, kMaxDelayDoublings));
}

void FailoverCoordinator::SendFollows(common::SteadyTime now) {
  for (Member& member : this->members) {
    if (!this->NeedsFollow(member)) {
      member.behind_since.reset();
      continue;
    }
    if (!member.behind_since) member.behind_since = now;
    // The coordinator that promoted the primary finishes its work at once.
    const bool own = this->promoted_term == this->primary->term;
    const common::Duration delay =
        own ? common::Duration::zero() : this->RankDelay();
    if (now < *member.behind_since + delay) continue;
    if (member.follow || now < member.next_follow) continue;
    const FailoverRequestId request = this->next_request++;
    member.follow = Outstanding{request, now + kFollowTimeout};
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
    member.poll = Outstanding{request, now + kStatusTimeout + kReportMargin};
    this->actions.push_back(
        SendStatusPoll{member.id, request, member.misses > 0});
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
