#include "Session/promotion_plan.h"

#include <algorithm>

namespace camphorferry::session {

namespace {

/// How long the plan waits for the old primary's answer before it decides by
/// the replicas alone, and for the remaining replicas before it decides by the
/// old primary's position.
constexpr std::chrono::milliseconds kFenceReplyWait(300);
/// If no other member is known to have the whole log of an old primary that has
/// stepped down, the old primary itself is promoted again after this time.
constexpr std::chrono::milliseconds kReinstateAfter(1000);
/// A plan that cannot fence enough members within this time ends, and the
/// replicas are resumed.
constexpr std::chrono::milliseconds kFencingTimeout(2000);
/// An order without effect is repeated after this time, which is longer than
/// the longest promotion (1,000 ms).
constexpr std::chrono::milliseconds kOrderRetryInterval(1800);
/// A held member that has not answered for this long may have started again and
/// receive entries, or have lost its log. Above the limit of a status request
/// (400 ms) and the interval between two of them.
constexpr std::chrono::milliseconds kMaxAnswerAge(1000);
/// Limit of the whole plan, apart from its wait for an earlier order: a
/// promotion that was ordered but has not taken effect by then is abandoned.
constexpr std::chrono::milliseconds kPlanTimeout(6000);
/// A plan whose terms are not closed within this time ends: a write of the
/// record, a listing of the hosts (1,000 ms each) and the time for which
/// daemons act on what they have read (3,000 ms).
constexpr std::chrono::milliseconds kClosingTimeout(6000);
/// A commit may have been confirmed by a database that has just started if no
/// member is known to have all that the old primary had. Its entry is written
/// within this time.
constexpr std::chrono::milliseconds kEntryWait(1500);
/// Entries of live members that have expired are written again within this
/// time.
constexpr std::chrono::milliseconds kEntryReturn(10000);
/// An order is not repeated within this time before the plan ends.
constexpr std::chrono::milliseconds kLastOrderBeforeEnd(3000);

}  // namespace

void UpdateFormerMembers(const std::vector<GroupMember>& before,
                         const std::vector<GroupMember>& now,
                         FormerMembers* former) {
  for (const GroupMember& member : before) {
    if (member.state == MemberState::kLeaving) continue;
    former->emplace(member.id, member.incarnation);
  }
  for (const GroupMember& member : now) {
    former->erase({member.id, member.incarnation});
  }
}

std::set<common::EndpointId> EndedMembers(
    const std::vector<GroupMember>& before,
    const std::vector<GroupMember>& now) {
  std::set<common::EndpointId> ended;
  for (const GroupMember& member : before) {
    if (member.state == MemberState::kLeaving) ended.insert(member.id);
  }
  for (const GroupMember& member : now) ended.erase(member.id);
  return ended;
}

PromotionPlan::PromotionPlan(const std::vector<GroupMember>& group,
                             FormerMembers former,
                             const std::optional<common::EndpointId>& primary,
                             common::Term primary_term,
                             common::Term highest_term, common::SteadyTime now,
                             std::set<common::EndpointId> ended)
    : former(std::move(former)),
      ended(std::move(ended)),
      primary(primary),
      primary_term(primary_term),
      initial_term(highest_term),
      newest_term(highest_term),
      term(highest_term + 1),
      started(now),
      fencing_deadline(now + kFencingTimeout),
      deadline(now + kPlanTimeout) {
  for (const GroupMember& member : group) {
    this->members[member.id].entry = member;
  }
}

void PromotionPlan::SetEarlierOrder(const OpenOrder& order) {
  this->earlier_order = order;
  this->fencing_deadline =
      std::max(this->fencing_deadline, order.until + kFencingTimeout);
}

std::vector<PromotionAction> PromotionPlan::Begin(common::SteadyTime now) {
  if (this->members.empty()) return this->Finish("no_members", now);
  return this->FenceUnanswered();
}

void PromotionPlan::RequestClosing(std::vector<PromotionAction>* actions) {
  if (this->requested_below >= this->term) return;
  this->requested_below = this->term;
  actions->emplace_back(CloseTerms{this->term});
}

std::vector<PromotionAction> PromotionPlan::OnTermsClosed(
    const TermsClosed& closed, common::SteadyTime now) {
  if (this->phase != Phase::kFencing) return {};
  this->acknowledged = std::max(this->acknowledged, closed.acknowledged);
  this->acknowledged_end =
      std::max(this->acknowledged_end, closed.acknowledged_end);
  for (const auto& [id, incarnation] : closed.former) {
    const auto known = this->members.find(id);
    const bool is_registered = known != this->members.end() &&
                               known->second.entry.incarnation == incarnation;
    if (!is_registered) this->former.emplace(id, incarnation);
  }
  for (const common::EndpointId& id : closed.ended) {
    if (!this->members.contains(id)) this->ended.insert(id);
  }
  this->TakeTerm(closed.highest_term);
  if (closed.primary.has_value()) this->TakeLeader(*closed.primary);
  this->covers_all = closed.covers_all && closed.primary.has_value() &&
                     closed.primary->term == this->newest_term;
  if (closed.below >= this->closed_below) {
    this->closed_below = closed.below;
    this->closed_at = now;
    const common::Duration known_in = closed.all_told
                                          ? common::Duration::zero()
                                          : kEntryReturn - closed.followed;
    this->members_known_at =
        now + std::max<common::Duration>(known_in, common::Duration::zero());
    this->fencing_deadline = this->members_known_at + kFencingTimeout;
    if (this->earlier_order.has_value()) {
      this->fencing_deadline = std::max(
          this->fencing_deadline, this->earlier_order->until + kFencingTimeout);
    }
    this->deadline = std::max(this->deadline, now + kPlanTimeout);
  }
  return this->FenceUnanswered();
}

std::vector<PromotionAction> PromotionPlan::OnTermsNotClosed(
    common::SteadyTime now) {
  if (this->phase != Phase::kFencing) return {};
  return this->Finish("terms_not_closed", now);
}

void PromotionPlan::TakeLeader(const PrimaryLogEnd& leader) {
  this->TakeTerm(leader.term);
  if (leader.term < this->newest_term) return;
  this->primary_end = std::max(this->primary_end, leader.end);
  if (leader.age < kFormerMemberRetention) {
    this->primary_heard_lately = leader.endpoint;
  }
  if (this->primary.has_value() && this->primary_term >= leader.term) return;
  this->primary = leader.endpoint;
  this->primary_term = leader.term;
}

std::vector<PromotionAction> PromotionPlan::FenceUnanswered() {
  std::vector<PromotionAction> actions;
  this->RequestClosing(&actions);
  for (auto& [id, member] : this->members) {
    if (member.fenced.has_value()) continue;
    if (this->primary == id) {
      actions.emplace_back(this->StepDown(id, &member));
    } else if (this->MayHold(member)) {
      actions.emplace_back(this->Hold(id, &member));
    } else {
      actions.emplace_back(SendStatus{id});
    }
  }
  return actions;
}

SendStepDown PromotionPlan::StepDown(const common::EndpointId& id,
                                     Member* member) const {
  member->step_down_sent = true;
  return {id, this->term};
}

SendHold PromotionPlan::Hold(const common::EndpointId& id,
                             Member* member) const {
  member->hold_sent = true;
  member->hold_term = this->term;
  return {id, this->term};
}

std::vector<PromotionAction> PromotionPlan::CheckMembers() {
  for (auto& [id, member] : this->members) {
    member.step_down_sent = false;
    member.hold_sent = false;
  }
  std::vector<PromotionAction> actions = this->FenceUnanswered();
  for (const auto& [id, member] : this->members) {
    if (member.fenced.has_value()) actions.emplace_back(SendStatus{id});
  }
  return actions;
}

std::vector<PromotionAction> PromotionPlan::OnStatus(
    const common::EndpointId& id, const EndpointStatus& status,
    common::SteadyTime now, common::SteadyTime sent) {
  const auto found = this->members.find(id);
  if (found == this->members.end() || this->phase == Phase::kFinished) {
    return {};
  }
  found->second.latest = status;
  found->second.latest_at = now;
  if (this->phase == Phase::kOrdered) {
    if (status.term <= this->newest_term) {
      return this->TakeStatus(id, status, sent);
    }
    if (this->chosen == id && status.role == GroupRole::kPrimary) {
      return this->FinishPromoted(id, status.term);
    }
    // Another member has been promoted instead, or the chosen one follows it.
    if (this->chosen == id || status.role == GroupRole::kPrimary) {
      return this->FinishSuperseded(id, status.term, now);
    }
    return {};
  }
  // Another daemon has promoted a member in the meantime, or the term was out
  // of date. A replica may have told of the newer term before.
  if (status.role == GroupRole::kPrimary && status.term > this->initial_term &&
      status.term >= this->newest_term) {
    return this->FinishSuperseded(id, status.term, now);
  }
  if (this->TakeTerm(status.term)) return this->FenceUnanswered();
  std::vector<PromotionAction> actions = this->TakeStatus(id, status, sent);
  if (!actions.empty()) return actions;
  return this->OrderIfPossible(now);
}

bool PromotionPlan::TakeTerm(common::Term known) {
  if (known <= this->newest_term) return false;
  this->newest_term = known;
  // The end of an earlier term's log does not cover the commits of this one.
  this->covers_all = false;
  if (this->newest_term >= this->term) this->RaiseTerm(known + 1);
  return true;
}

void PromotionPlan::RaiseTerm(common::Term raised) {
  this->term = raised;
  for (auto& [id, member] : this->members) {
    member.fenced.reset();
    member.step_down_sent = false;
    member.hold_sent = false;
  }
}

std::vector<PromotionAction> PromotionPlan::TakeStatus(
    const common::EndpointId& id, const EndpointStatus& status,
    common::SteadyTime sent) {
  Member& member = this->members.at(id);
  member.fenced.reset();
  if (!std::exchange(member.has_answered, true)) {
    member.held_before = status.held > 0;
    if (status.held > this->newest_term) {
      this->earlier_hold = std::max(this->earlier_hold, status.held);
    }
  }
  if (status.role == GroupRole::kPrimary) {
    // A hold has no effect on a primary.
    this->primary = id;
    this->primary_term = status.term;
    this->primary_end = std::max(this->primary_end, status.received);
    if (member.step_down_sent) return {};
    return {this->StepDown(id, &member)};
  }
  if (status.held < this->term) {
    // A primary that has stepped down follows any other primary and confirms
    // its commits, so it is held as well.
    if (!this->MayHold(member) || member.hold_sent) return {};
    return {this->Hold(id, &member)};
  }
  if (!this->IsClosed() || sent < this->closed_at) return {};
  member.fenced = status;
  member.fenced_at = sent;
  member.was_fenced = true;
  member.hold_sent = false;
  return {};
}

std::vector<PromotionAction> PromotionPlan::OnMembers(
    const std::vector<GroupMember>& group, common::SteadyTime now) {
  std::vector<GroupMember> before;
  for (const auto& [id, member] : this->members) before.push_back(member.entry);
  UpdateFormerMembers(before, group, &this->former);
  for (const common::EndpointId& id : EndedMembers(before, group)) {
    this->ended.insert(id);
    const std::optional<EndpointStatus>& last = this->members.at(id).fenced;
    if (last.has_value()) this->ended_received[id] = last->received;
  }
  std::map<common::EndpointId, Member> present;
  for (const GroupMember& member : group) {
    const auto known = this->members.find(member.id);
    const bool same_process =
        known != this->members.end() &&
        known->second.entry.incarnation == member.incarnation;
    present[member.id] = same_process ? known->second : Member{};
    present[member.id].entry = member;
  }
  this->members = std::move(present);
  if (this->phase == Phase::kFinished) return {};
  if (this->phase == Phase::kFencing) {
    std::vector<PromotionAction> actions = this->OrderIfPossible(now);
    if (!actions.empty()) return actions;
  }
  return this->FenceUnanswered();
}

bool PromotionPlan::MayLackEnded(common::SteadyTime now) const {
  return std::any_of(
      this->ended.begin(), this->ended.end(), [&](const auto& id) {
        const auto last = this->ended_received.find(id);
        if (last == this->ended_received.end()) return true;
        return std::none_of(this->members.begin(), this->members.end(),
                            [&](const auto& entry) {
                              const Member& member = entry.second;
                              return IsHeld(member, now) &&
                                     member.fenced->received >= last->second;
                            });
      });
}

bool PromotionPlan::MayHold(const Member& member) const {
  // Replicas receive what the old primary has until the terms are closed.
  if (!this->IsClosed()) return false;
  return this->phase == Phase::kOrdered ? !member.was_fenced
                                        : member.has_answered;
}

bool PromotionPlan::IsLeaving(const Member& member) {
  return member.entry.state == MemberState::kLeaving || member.entry.evacuated;
}

bool PromotionPlan::IsHeld(const Member& member, common::SteadyTime now) {
  return member.fenced.has_value() && now - member.fenced_at < kMaxAnswerAge;
}

std::optional<common::EndpointId> PromotionPlan::MostAdvanced(
    const std::optional<common::EndpointId>& without,
    common::SteadyTime now) const {
  const Member* best = nullptr;
  std::optional<common::EndpointId> best_id;
  for (const auto& [id, member] : this->members) {
    if (without == id || !IsHeld(member, now)) continue;
    const bool better = best == nullptr ||
                        member.fenced->received > best->fenced->received ||
                        (member.fenced->received == best->fenced->received &&
                         IsLeaving(*best) && !IsLeaving(member));
    if (better) {
      best = &member;
      best_id = id;
    }
  }
  return best_id;
}

bool PromotionPlan::HasAllOf(const common::EndpointId& id,
                             const common::EndpointId& other) const {
  return this->members.at(id).fenced->received >=
         this->members.at(other).fenced->received;
}

std::set<common::EndpointId> PromotionPlan::Missing(
    common::SteadyTime now) const {
  // Processes of one member never run at the same time, so each member counts
  // once.
  std::set<common::EndpointId> missing;
  for (const auto& [id, incarnation] : this->former) missing.insert(id);
  // One that has ended takes no part any more.
  if (this->primary_heard_lately.has_value() &&
      !this->members.contains(*this->primary_heard_lately) &&
      !this->ended.contains(*this->primary_heard_lately)) {
    missing.insert(*this->primary_heard_lately);
  }
  for (const auto& [id, member] : this->members) {
    if (!IsHeld(member, now)) missing.insert(id);
  }
  return missing;
}

std::vector<MemberEvidence> PromotionPlan::Evidence(
    common::SteadyTime now) const {
  const std::set<common::EndpointId> missing = this->Missing(now);
  std::vector<MemberEvidence> evidence;
  for (const auto& [id, member] : this->members) {
    MemberEvidence known;
    known.endpoint = id;
    known.is_registered = true;
    known.is_held = IsHeld(member, now);
    known.is_missing = missing.contains(id);
    // The answer that showed the hold, if the member is held for this plan.
    const bool relies = member.fenced.has_value();
    known.is_stale = relies && !known.is_held;
    const std::optional<EndpointStatus>& answer =
        relies ? member.fenced : member.latest;
    if (answer.has_value()) {
      known.held_term = answer->held;
      known.received = answer->received;
      known.age = now - (relies ? member.fenced_at : member.latest_at);
    }
    evidence.push_back(known);
  }
  for (const common::EndpointId& id : missing) {
    if (this->members.contains(id)) continue;
    MemberEvidence disappeared;
    disappeared.endpoint = id;
    disappeared.is_missing = true;
    evidence.push_back(disappeared);
  }
  return evidence;
}

std::size_t PromotionPlan::CountEmptyLogs(common::SteadyTime now) const {
  return std::count_if(
      this->members.begin(), this->members.end(), [now](const auto& entry) {
        const Member& member = entry.second;
        return IsHeld(member, now) && member.fenced->received.index == 0;
      });
}

bool PromotionPlan::OtherMayLead(common::SteadyTime now) const {
  if (this->earlier_hold < this->term) return false;
  const std::set<common::EndpointId> missing = this->Missing(now);
  return std::any_of(
      missing.begin(), missing.end(),
      [this](const common::EndpointId& id) { return this->primary != id; });
}

std::optional<common::EndpointId> PromotionPlan::ChooseCandidate(
    common::SteadyTime now) const {
  std::optional<common::EndpointId> best = this->ChooseByLogs(now);
  if (!best.has_value() || !this->EarlierOrderMayExecute(now)) return best;
  if (this->earlier_order->may_arrive) return std::nullopt;
  const common::EndpointId& ordered = this->earlier_order->record.endpoint;
  const auto found = this->members.find(ordered);
  const bool has_all = found != this->members.end() &&
                       IsHeld(found->second, now) &&
                       this->HasAllOf(ordered, *best);
  return has_all ? std::optional(ordered) : std::nullopt;
}

bool PromotionPlan::IsPrimaryHeld(
    const std::set<common::EndpointId>& missing) const {
  // Other daemons may have told of a primary that has left.
  return this->primary.has_value() && this->members.contains(*this->primary) &&
         !missing.contains(*this->primary);
}

bool PromotionPlan::PrimaryShowsAll(
    const std::set<common::EndpointId>& missing) const {
  if (!this->IsPrimaryHeld(missing)) return false;
  // Terms from the first one that was not closed may have been led.
  if (this->primary_term < this->newest_term ||
      this->primary_term < this->closed_before) {
    return false;
  }
  const common::LogPosition received =
      this->members.at(*this->primary).fenced->received;
  return this->primary_end.index > 0 && received >= this->primary_end &&
         received >= this->acknowledged_end;
}

std::optional<common::EndpointId> PromotionPlan::ChooseByLogs(
    common::SteadyTime now) const {
  std::optional<common::EndpointId> chosen = this->ChooseByMembers(now);
  if (!chosen.has_value()) return std::nullopt;
  const common::LogPosition received =
      this->members.at(*chosen).fenced->received;
  if (received < this->acknowledged) return std::nullopt;
  // What an ended member had confirmed may be in no other log.
  if (received < this->acknowledged_end && this->MayLackEnded(now)) {
    return std::nullopt;
  }
  if (received < this->acknowledged_end &&
      !this->PrimaryShowsAll(this->Missing(now)) &&
      now - this->closed_at < kEntryWait) {
    return std::nullopt;
  }
  return chosen;
}

std::optional<PromotionPlan::MemberBehind> PromotionPlan::BehindMember(
    common::SteadyTime now) const {
  if (this->phase != Phase::kFencing) return std::nullopt;
  const std::optional<common::EndpointId> chosen = this->ChooseByMembers(now);
  if (!chosen.has_value()) return std::nullopt;
  const common::LogPosition received =
      this->members.at(*chosen).fenced->received;
  if (received >= this->acknowledged) return std::nullopt;
  return MemberBehind{*chosen, received, this->acknowledged};
}

bool PromotionPlan::MembersSuffice(const std::set<common::EndpointId>& missing,
                                   common::SteadyTime now) const {
  // Members that have not been seen since the daemons started may live.
  if (now < this->members_known_at) return false;
  // Every acknowledged commit is on two members. With at most one member
  // missing, the other one is held, and no commit can be confirmed any more.
  if (missing.size() > 1) return false;
  // The pair that acknowledged a commit may have been the missing member and
  // one that has lost its log since.
  if (missing.size() + this->CountEmptyLogs(now) > 1 && !missing.empty()) {
    return false;
  }
  // The pair may have been a member that has ended and the old primary, or one
  // that has lost its log since.
  if (!this->MayLackEnded(now)) return true;
  if (this->CountEmptyLogs(now) > 0) return false;
  return missing.empty() || this->IsPrimaryHeld(missing);
}

bool PromotionPlan::MostAdvancedCoversAll(common::SteadyTime now) const {
  if (!this->covers_all || this->newest_term < this->closed_before) {
    return false;
  }
  const std::optional<common::EndpointId> best = this->MostAdvanced({}, now);
  if (!best.has_value() || this->primary_end.index == 0) return false;
  const common::LogPosition received = this->members.at(*best).fenced->received;
  return received >= std::max(this->primary_end, this->acknowledged_end);
}

std::optional<common::EndpointId> PromotionPlan::ChooseByMembers(
    common::SteadyTime now) const {
  if (!this->IsClosed()) return std::nullopt;
  const std::set<common::EndpointId> missing = this->Missing(now);
  const bool members_suffice = this->MembersSuffice(missing, now);
  if (!members_suffice && !this->PrimaryShowsAll(missing) &&
      !this->MostAdvancedCoversAll(now)) {
    return std::nullopt;
  }
  const common::Duration age = now - this->closed_at;
  // A reachable primary steps down first, so that clients of other daemons
  // learn of the change from its refusals.
  if (this->primary.has_value() && missing.contains(*this->primary)) {
    // It has not reported to lead the newest known term, so it may lead the
    // earlier promotion's. If it leads an older one, it must not meet members
    // that were held for a later term and have to be resumed.
    if (this->earlier_hold >= this->term &&
        this->primary_term < this->newest_term) {
      return std::nullopt;
    }
    return age < kFenceReplyWait ? std::nullopt : this->MostAdvanced({}, now);
  }
  std::optional<common::EndpointId> replica =
      this->MostAdvanced(this->primary, now);
  std::optional<common::EndpointId> best = this->MostAdvanced({}, now);
  const bool has_all = replica.has_value() && best.has_value() &&
                       this->HasAllOf(*replica, *best);
  if (missing.empty() && members_suffice) {
    // What only the old primary has was acknowledged only if a member that had
    // confirmed it has lost its log since, or has left longer ago.
    const bool copies_lost =
        this->MayLackEnded(now) || this->CountEmptyLogs(now) > 0;
    const bool has_acknowledged =
        replica.has_value() &&
        this->members.at(*replica).fenced->received >= this->acknowledged_end;
    const bool replica_suffices = has_all || (!copies_lost && has_acknowledged);
    return replica.has_value() && replica_suffices ? replica : best;
  }
  if (age < kFenceReplyWait) return std::nullopt;
  if (has_all) return replica;
  // A missing or unknown member may be the one that confirmed the latest
  // commits of the old primary.
  return age < kReinstateAfter ? std::nullopt : best;
}

std::vector<PromotionAction> PromotionPlan::OrderIfPossible(
    common::SteadyTime now) {
  const std::optional<common::EndpointId> candidate =
      this->ChooseCandidate(now);
  if (!candidate.has_value()) return {};
  if (this->OtherMayLead(now)) {
    // The holds end when the plan does, even if the promoted member leads an
    // earlier term than theirs.
    this->RaiseTerm(this->earlier_hold + 1);
    return this->FenceUnanswered();
  }
  this->phase = Phase::kOrdered;
  this->chosen = candidate;
  // The wait for an earlier order does not shorten the time for this one.
  this->deadline =
      std::max(this->deadline, now + kPlanTimeout - kFencingTimeout);
  return {this->Order(now)};
}

OrderPromotion PromotionPlan::Order(common::SteadyTime now) {
  this->last_order = now;
  ++this->unanswered_orders;
  return OrderPromotion{*this->chosen};
}

bool PromotionPlan::IsChosen(const common::EndpointId& id,
                             common::SteadyTime now) const {
  return this->phase == Phase::kOrdered && this->ChooseCandidate(now) == id;
}

void PromotionPlan::OnOrderNotSent() {
  if (this->phase != Phase::kOrdered) return;
  --this->unanswered_orders;
  if (this->unanswered_orders == 0 && !this->accepted_at.has_value()) {
    this->phase = Phase::kFencing;
  }
}

std::vector<PromotionAction> PromotionPlan::OnPlatformNotReached(
    common::SteadyTime now) {
  this->OnOrderNotSent();
  if (this->phase != Phase::kFencing) return {};
  std::vector<PromotionAction> actions =
      this->Finish("platform_not_reached", now);
  std::get<PromotionFinished>(actions.back()).platform_not_reached = true;
  return actions;
}

bool PromotionPlan::OrderMayExecute(common::SteadyTime now) const {
  if (this->unanswered_orders > 0) return true;
  if (this->EarlierOrderMayExecute(now)) return true;
  return this->accepted_at.has_value() &&
         now - *this->accepted_at < kOrderLifetime;
}

bool PromotionPlan::EarlierOrderMayExecute(common::SteadyTime now) const {
  return this->earlier_order.has_value() && now < this->earlier_order->until;
}

std::vector<PromotionAction> PromotionPlan::OnOrderAnswer(
    PromotionAnswer answer, common::SteadyTime now) {
  if (this->phase != Phase::kOrdered) return {};
  // The order counts as unanswered, so that it may still be executed.
  if (answer == PromotionAnswer::kNoAnswer) return {};
  --this->unanswered_orders;
  if (answer == PromotionAnswer::kRejected) {
    return this->Finish("rejected", now);
  }
  this->accepted_at = now;
  return {SendStatus{*this->chosen}};
}

std::vector<PromotionAction> PromotionPlan::OnTick(common::SteadyTime now) {
  switch (this->phase) {
    case Phase::kFencing: {
      const common::Duration extra =
          this->IsClosed() ? common::Duration::zero() : kClosingTimeout;
      if (now >= this->fencing_deadline + extra) {
        return this->Finish("members_unreachable", now);
      }
      std::vector<PromotionAction> actions = this->OrderIfPossible(now);
      if (!actions.empty()) return actions;
      return this->CheckMembers();
    }
    case Phase::kOrdered: {
      if (now >= this->deadline) {
        return this->Finish("no_effect", now);
      }
      std::vector<PromotionAction> actions = this->CheckMembers();
      // The holds may have ended since the first order.
      if (now - this->last_order >= kOrderRetryInterval &&
          now < this->deadline - kLastOrderBeforeEnd &&
          this->ChooseCandidate(now) == this->chosen) {
        actions.push_back(this->Order(now));
      }
      return actions;
    }
    case Phase::kFinished:
      return {};
  }
  return {};
}

std::vector<PromotionAction> PromotionPlan::Finish(const char* reason,
                                                   common::SteadyTime now) {
  const bool open = this->OrderMayExecute(now);
  std::vector<PromotionAction> actions;
  // An order that may still be executed must not meet replicas that have
  // confirmed commits since their positions were read. An accepted one may have
  // taken effect unseen, and the old primary must not get commits confirmed.
  if (!open && !this->accepted_at.has_value()) {
    for (const auto& [id, member] : this->members) {
      // The hold of an earlier promotion may be what stops an old primary.
      if (member.hold_term == 0 || member.held_before) continue;
      actions.emplace_back(SendResume{id});
    }
  }
  if (!open && !this->accepted_at.has_value()) {
    this->Reopen(this->closed_before, &actions);
  }
  this->phase = Phase::kFinished;
  actions.emplace_back(PromotionFinished{false, reason, open});
  return actions;
}

std::vector<PromotionAction> PromotionPlan::FinishPromoted(
    const common::EndpointId& id, common::Term led) {
  // Holds that the plan has found are of promotions that have ended. If they
  // are for a later term, this promotion doesn't end them either.
  for (auto& [held, member] : this->members) {
    if (!member.fenced.has_value()) continue;
    member.hold_term = std::max(member.hold_term, member.fenced->held);
  }
  std::vector<PromotionAction> actions = this->ResumeHeldAbove(id, led);
  this->Reopen(led, &actions);
  this->phase = Phase::kFinished;
  actions.emplace_back(
      PromotionFinished{true, "leads", this->unanswered_orders > 0});
  return actions;
}

std::vector<PromotionAction> PromotionPlan::FinishSuperseded(
    const common::EndpointId& id, common::Term led, common::SteadyTime now) {
  if (this->earlier_order.has_value() &&
      this->earlier_order->record.IsExecuted(id, led)) {
    this->earlier_order.reset();
  }
  const bool open = this->OrderMayExecute(now);
  std::vector<PromotionAction> actions;
  if (!open) {
    actions = this->ResumeHeldAbove(id, led);
    this->Reopen(std::max(led, this->closed_before), &actions);
  }
  this->phase = Phase::kFinished;
  actions.emplace_back(PromotionFinished{false, "other_primary", open});
  return actions;
}

void PromotionPlan::Reopen(common::Term from,
                           std::vector<PromotionAction>* actions) {
  const common::Term closed =
      std::max(this->requested_below, this->closed_before);
  if (from < closed) actions->emplace_back(OpenTerms{from});
}

std::vector<PromotionAction> PromotionPlan::ResumeHeldAbove(
    const common::EndpointId& informant, common::Term led) const {
  std::vector<PromotionAction> actions;
  for (const auto& [id, member] : this->members) {
    if (id == informant || member.hold_term <= led) continue;
    actions.emplace_back(SendResume{id});
  }
  return actions;
}

}  // namespace camphorferry::session
