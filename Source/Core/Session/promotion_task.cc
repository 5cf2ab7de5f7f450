#include "Session/promotion_task.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

using common::LogLevel;
using common::Subsystem;

/// Delay before the next promotion after one has ended or another daemon holds
/// the lease.
constexpr std::chrono::milliseconds kRestartDelay(400);
/// Daemons that detect a loss at the same time each wait for a random part of
/// this before they request the lease, so that usually only one of them does.
constexpr std::chrono::milliseconds kMaxStartJitter(150);
/// Interval at which the lease is renewed while an order is outstanding. Well
/// below the time after which another daemon takes it over.
constexpr std::chrono::milliseconds kRenewalInterval(1000);
/// An order is given only within this time after the platform has answered on
/// the same connection. Enough for the write that records the order, also at a
/// store that is fifty times slower.
constexpr std::chrono::milliseconds kMaxPlatformAnswerAge(600);
/// Delay before the next promotion of a daemon that the platform did not
/// answer, so that another one acquires the lease.
constexpr std::chrono::milliseconds kDelayWithoutPlatform(2000);

const char* ToString(PromotionAnswer answer) {
  switch (answer) {
    case PromotionAnswer::kAccepted:
      return "accepted";
    case PromotionAnswer::kRejected:
      return "rejected";
    case PromotionAnswer::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

/// The evidence of one member; none if the plan does not know it.
const MemberEvidence* FindEvidence(const std::vector<MemberEvidence>& evidence,
                                   const common::EndpointId& id) {
  const auto found = std::find_if(
      evidence.begin(), evidence.end(),
      [&](const MemberEvidence& member) { return member.endpoint == id; });
  return found == evidence.end() ? nullptr : &*found;
}

}  // namespace

PromotionTask::PromotionTask(GroupContext context, common::ServiceId service,
                             PromotionCallbacks callbacks)
    : context(std::move(context)),
      service(std::move(service)),
      callbacks(std::move(callbacks)),
      closing(this->context, this->service),
      random(std::random_device{}()) {}

PromotionTask::~PromotionTask() { *this->alive = false; }

void PromotionTask::Start(FailoverReason reason, common::SteadyTime now) {
  if (this->running || now < this->next_start) return;
  this->running = true;
  this->phase_started_at = now;
  std::uniform_int_distribution<int> jitter(
      0, static_cast<int>(kMaxStartJitter.count()));
  this->context.loop->RunLater(std::chrono::milliseconds(jitter(this->random)),
                               [this, still_alive = this->alive, reason] {
                                 if (!*still_alive) return;
                                 if (!this->callbacks.still_needed()) {
                                   this->running = false;
                                   return;
                                 }
                                 this->context.promotion_lease->Acquire(
                                     [this, still_alive, reason](bool held) {
                                       if (!*still_alive) return;
                                       if (held) {
                                         this->RefreshMembers(reason);
                                         return;
                                       }
                                       this->running = false;
                                       this->next_start =
                                           common::SteadyNow() + kRestartDelay;
                                     });
                               });
}

void PromotionTask::RefreshMembers(FailoverReason reason) {
  this->following = this->context.follow_members_closely();
  this->context.refresh_members(
      [this, still_alive = this->alive, reason](bool listed) {
        if (!*still_alive) return;
        if (listed) {
          this->Begin(reason);
        } else {
          this->End({false, "members_unknown"});
        }
      });
}

void PromotionTask::Begin(FailoverReason reason) {
  const common::SteadyTime now = common::SteadyNow();
  this->RecordPhase("duty");
  if (!this->callbacks.still_needed()) {
    this->End({false, "not_needed"});
    return;
  }
  const std::vector<GroupMember> members = this->callbacks.members();
  const FormerMembers former = this->callbacks.former_members();
  const std::optional<common::EndpointId> primary = this->callbacks.primary();
  const std::set<common::EndpointId> ended = this->callbacks.ended_members();
  std::set<common::EndpointId> former_ids;
  for (const auto& [id, incarnation] : former) former_ids.insert(id);
  this->old_primary = primary;
  common::Log(Subsystem::kConnection, LogLevel::kWarning, "promotion_started",
              {{"service", this->service},
               {"reason", ToString(reason)},
               {"old_primary", primary.value_or(common::EndpointId())},
               {"term", this->callbacks.highest_term()},
               {"members", members.size()},
               {"former_members", former.size()},
               {"member_states", DescribeMembers(members)},
               {"former_ids", DescribeIds(former_ids)},
               {"ended_ids", DescribeIds(ended)}});
  this->plan = std::make_shared<PromotionPlan>(
      members, former, primary, this->callbacks.primary_term(),
      this->callbacks.highest_term(), now, ended);
  this->behind_logged = false;
  const ClosedTerms& closed = this->context.promotion_lease->Closed();
  const auto entry = closed.find(this->service);
  if (entry != closed.end()) this->plan->SetClosedBefore(entry->second.below);
  this->SettleExecutedOrder(now);
  const std::optional<OpenOrder> open =
      this->context.promotion_lease->OpenOrderOf(this->service, now);
  if (open.has_value()) {
    common::Log(
        Subsystem::kConnection, LogLevel::kWarning, "promotion_awaits_order",
        {{"service", this->service},
         {"endpoint", open->record.endpoint},
         {"term", open->record.term},
         {"orders", open->record.count},
         {"token", open->record.token},
         {"unanswered", open->record.unanswered},
         {"lasts_ms", common::ToMilliseconds(open->until - now).count()}});
    this->plan->SetEarlierOrder(*open);
  }
  this->Perform(this->plan->Begin(now));
}

void PromotionTask::OnMembers(const std::vector<GroupMember>& members,
                              common::SteadyTime now) {
  if (this->plan != nullptr) this->Perform(this->plan->OnMembers(members, now));
}

void PromotionTask::Tick(common::SteadyTime now) {
  if (this->plan == nullptr) return;
  this->LogBehind(now);
  this->Perform(this->plan->OnTick(now));
  this->RenewLease(now);
}

void PromotionTask::RenewLease(common::SteadyTime now) {
  if (this->plan == nullptr || !this->plan->KeepsLease()) return;
  if (now < this->next_renewal) return;
  this->next_renewal = now + kRenewalInterval;
  this->context.promotion_lease->Confirm(
      [](const std::optional<PromotionLeaseRecord>& /*record*/) {});
}

void PromotionTask::Perform(const std::vector<PromotionAction>& actions) {
  // An action may end this plan and a new one may start.
  const std::shared_ptr<PromotionPlan> current = this->plan;
  const auto send_command = [this, &current](const common::EndpointId& id,
                                             const MemberCommand& command,
                                             const char* purpose) {
    this->SendCommand(
        id, command,
        [this, still_alive = this->alive, current, id, purpose,
         sent = common::SteadyNow()](const CommandResult& result) {
          if (!*still_alive || !result.status.has_value()) return;
          if (this->plan != current) return;
          this->LogStatus(id, purpose, *result.status);
          const common::SteadyTime now = common::SteadyNow();
          const std::vector<MemberEvidence> before = current->Evidence(now);
          const std::vector<PromotionAction> next =
              current->OnStatus(id, *result.status, now, sent);
          this->LogHoldEnded(before, id, *result.status);
          this->Perform(next);
        });
  };
  std::vector<common::EndpointId> held;
  for (const PromotionAction& action : actions) {
    std::visit(
        common::Overloaded{
            [&](const SendStepDown& send) {
              send_command(send.endpoint,
                           {MemberCommandKind::kStepDown, send.term},
                           "step_down");
            },
            [&](const SendHold& send) {
              send_command(send.endpoint, {MemberCommandKind::kHold, send.term},
                           "hold");
            },
            [&](const SendResume& send) { held.push_back(send.endpoint); },
            [&](const SendStatus& send) {
              send_command(send.endpoint, {}, "status");
            },
            [&](const CloseTerms& close) {
              this->CloseTermsBelow(close.below);
            },
            [&](const OpenTerms& open) { this->closing.Open(open.below); },
            [&](const OrderPromotion& order) { this->SendOrder(order); },
            [&](const PromotionFinished& finished) {
              this->ResumeAndEnd(held, finished);
            },
        },
        action);
  }
}

void PromotionTask::SendCommand(const common::EndpointId& id,
                                const MemberCommand& command,
                                CommandCallback done) {
  if (this->old_primary == id) {
    this->callbacks.send_command_by_any(id, command, std::move(done));
  } else {
    this->callbacks.send_command(id, command, std::move(done));
  }
}

void PromotionTask::CloseTermsBelow(common::Term below) {
  this->closing.Close(below, [this, current = this->plan](
                                 const std::optional<TermsClosed>& closed) {
    if (this->plan != current) return;
    const common::SteadyTime now = common::SteadyNow();
    this->Perform(closed.has_value() ? current->OnTermsClosed(*closed, now)
                                     : current->OnTermsNotClosed(now));
  });
}

void PromotionTask::LogBehind(common::SteadyTime now) {
  if (this->behind_logged) return;
  const std::optional<PromotionPlan::MemberBehind> behind =
      this->plan->BehindMember(now);
  if (!behind.has_value()) return;
  this->behind_logged = true;
  common::Log(Subsystem::kConnection, LogLevel::kWarning,
              "promotion_member_behind",
              {{"service", this->service},
               {"endpoint", behind->endpoint},
               {"received_term", behind->received.term},
               {"received_index", behind->received.index},
               {"acknowledged_term", behind->acknowledged.term},
               {"acknowledged_index", behind->acknowledged.index}});
}

void PromotionTask::LogStatus(const common::EndpointId& id, const char* purpose,
                              const EndpointStatus& status) const {
  common::Log(Subsystem::kConnection, LogLevel::kInfo, "promotion_member",
              {{"service", this->service},
               {"endpoint", id},
               {"command", purpose},
               {"leads", status.role == GroupRole::kPrimary ? "yes" : "no"},
               {"term", status.term},
               {"received_term", status.received.term},
               {"received_index", status.received.index},
               {"held", status.held}});
}

void PromotionTask::LogHoldEnded(const std::vector<MemberEvidence>& before,
                                 const common::EndpointId& id,
                                 const EndpointStatus& status) const {
  const MemberEvidence* held = FindEvidence(before, id);
  if (held == nullptr || !(held->is_held || held->is_stale)) return;
  if (status.held >= held->held_term) return;
  const std::vector<MemberEvidence> after =
      this->plan->Evidence(common::SteadyNow());
  // Once a promotion has taken effect, holds end with it.
  const MemberEvidence* now_held = FindEvidence(after, id);
  if (now_held == nullptr || now_held->is_held || now_held->is_stale) return;
  common::Log(Subsystem::kConnection, LogLevel::kWarning,
              "promotion_hold_ended",
              {{"service", this->service},
               {"endpoint", id},
               {"held_term", held->held_term},
               {"held_index", held->received.index},
               {"last_held_ms", common::ToMilliseconds(*held->age).count()},
               {"leads", status.role == GroupRole::kPrimary ? "yes" : "no"},
               {"term", status.term},
               {"received_term", status.received.term},
               {"received_index", status.received.index},
               {"held", status.held},
               {"ordered", this->given.has_value() ? "yes" : "no"}});
}

void PromotionTask::LogEvidence(const common::EndpointId& id,
                                common::SteadyTime now) const {
  const std::vector<MemberEvidence> evidence = this->plan->Evidence(now);
  common::Log(Subsystem::kConnection, LogLevel::kWarning, "promotion_evidence",
              {{"service", this->service},
               {"endpoint", id},
               {"term", this->plan->NewestTerm()},
               {"known", DescribeEvidence(evidence)},
               {"missing", DescribeMissing(evidence)}});
}

void PromotionTask::WithdrawOrder(const common::EndpointId& id,
                                  std::uint64_t number, const char* reason) {
  common::Log(
      Subsystem::kConnection, LogLevel::kWarning, "promotion_order_withdrawn",
      {{"service", this->service}, {"endpoint", id}, {"reason", reason}});
  this->context.promotion_lease->WithdrawOrder(this->service, number);
}

void PromotionTask::ResumeAndEnd(const std::vector<common::EndpointId>& held,
                                 const PromotionFinished& finished) {
  if (held.empty()) {
    this->End(finished);
    return;
  }
  // This daemon may have been suspended and another one may have taken over the
  // promotion. The other's order relies on the replicas being held.
  this->context.promotion_lease->Confirm(
      [this, still_alive = this->alive, held,
       finished](const std::optional<PromotionLeaseRecord>& record) {
        if (!*still_alive) return;
        if (!record.has_value()) {
          common::Log(Subsystem::kConnection, LogLevel::kWarning,
                      "replicas_left_held", {{"service", this->service}});
          this->End(finished);
          return;
        }
        this->Resume(held, finished);
      });
}

void PromotionTask::Resume(const std::vector<common::EndpointId>& held,
                           const PromotionFinished& finished) {
  struct Progress {
    std::size_t pending = 0;
    bool unanswered = false;
  };
  const auto progress = std::make_shared<Progress>();
  progress->pending = held.size();
  for (const common::EndpointId& id : held) {
    this->SendCommand(id, {MemberCommandKind::kResume},
                      [this, still_alive = this->alive, progress,
                       finished](const CommandResult& result) {
                        if (!*still_alive) return;
                        if (result.sent && !result.status.has_value()) {
                          progress->unanswered = true;
                        }
                        if (--progress->pending > 0) return;
                        PromotionFinished ended = finished;
                        ended.command_may_execute |= progress->unanswered;
                        this->End(ended);
                      });
  }
}

void PromotionTask::SendOrder(const OrderPromotion& order) {
  this->RecordPhase("fence");
  this->context.platform->ConnectForPromotion([this, still_alive = this->alive,
                                               current = this->plan,
                                               order](PromoteCall promote) {
    if (!*still_alive || this->plan != current) return;
    if (promote) {
      this->RecordOrder(current, order,
                        {std::move(promote), common::SteadyNow()});
      return;
    }
    common::Log(Subsystem::kConnection, LogLevel::kWarning,
                "promotion_platform_not_reached",
                {{"service", this->service}, {"endpoint", order.endpoint}});
    this->Perform(current->OnPlatformNotReached(common::SteadyNow()));
  });
}

void PromotionTask::RecordOrder(const std::shared_ptr<PromotionPlan>& current,
                                const OrderPromotion& order,
                                const OpenPromoteCall& call) {
  this->context.promotion_lease->RecordOrder(
      this->service, order.endpoint, current->NewestTerm(),
      [this, still_alive = this->alive, current, order,
       call](const std::optional<PromotionLeaseRecord>& record) {
        if (!*still_alive) return;
        if (record.has_value()) {
          this->SendRecordedOrder(current, order, *record, call);
          return;
        }
        if (this->plan != current) return;
        common::Log(Subsystem::kConnection, LogLevel::kWarning,
                    "promotion_duty_unconfirmed", {{"service", this->service}});
        current->OnOrderNotSent();
      });
}

void PromotionTask::SendRecordedOrder(
    const std::shared_ptr<PromotionPlan>& current, const OrderPromotion& order,
    const PromotionLeaseRecord& record, const OpenPromoteCall& call) {
  const common::SteadyTime now = common::SteadyNow();
  const std::uint64_t number = record.orders.at(this->service).number;
  if (this->plan == current) this->LogEvidence(order.endpoint, now);
  // Recording may have taken a second, in which a hold may have ended.
  if (this->plan != current || !current->IsChosen(order.endpoint, now) ||
      !this->context.promotion_lease->MayOrder(now) ||
      now - call.since >= kMaxPlatformAnswerAge) {
    this->WithdrawOrder(order.endpoint, number, "not_given");
    if (this->plan == current) current->OnOrderNotSent();
    return;
  }
  common::Log(Subsystem::kConnection, LogLevel::kWarning, "promotion_ordered",
              {{"service", this->service},
               {"endpoint", order.endpoint},
               {"token", FencingToken(record)},
               {"revision", record.revision.number}});
  if (!this->given.has_value()) this->given = {order.endpoint, now, 0};
  ++this->given->count;
  call.promote(
      this->service, order.endpoint, record,
      [this, still_alive = this->alive, current, id = order.endpoint, number,
       token = FencingToken(record), now](PromotionAnswer answer) {
        if (!*still_alive) return;
        const common::Duration taken = common::SteadyNow() - now;
        common::Log(Subsystem::kConnection, LogLevel::kWarning,
                    "promotion_order_answered",
                    {{"service", this->service},
                     {"endpoint", id},
                     {"token", token},
                     {"answer", ToString(answer)},
                     {"after_ms", common::ToMilliseconds(taken).count()}});
        if (answer == PromotionAnswer::kRejected) {
          this->WithdrawOrder(id, number, "rejected");
        } else if (answer == PromotionAnswer::kAccepted) {
          this->context.promotion_lease->OnOrderAccepted(this->service, number);
        }
        if (this->plan != current) return;
        this->Perform(current->OnOrderAnswer(answer, common::SteadyNow()));
      });
}

void PromotionTask::SettleExecutedOrder(common::SteadyTime now) {
  const std::optional<OpenOrder> open =
      this->context.promotion_lease->OpenOrderOf(this->service, now);
  const std::optional<common::EndpointId> primary = this->callbacks.primary();
  if (open.has_value() && primary.has_value() &&
      open->record.IsExecuted(*primary, this->callbacks.primary_term())) {
    const common::Duration age = now - (open->until - kOrderLifetime);
    common::Log(Subsystem::kConnection, LogLevel::kWarning,
                "promotion_order_settled",
                {{"service", this->service},
                 {"endpoint", open->record.endpoint},
                 {"term", open->record.term},
                 {"primary_term", this->callbacks.primary_term()},
                 {"known_ms", common::ToMilliseconds(age).count()}});
    this->context.promotion_lease->SettleOrder(this->service);
  }
}

void PromotionTask::RecordPhase(const std::string& phase) {
  const common::SteadyTime now = common::SteadyNow();
  this->context.metrics->Observe(
      "promotion_phase_seconds",
      "Time that a promotion of this daemon spent getting the duty, holding "
      "the members, and until the new primary leads.",
      "phase", phase, now - this->phase_started_at);
  this->phase_started_at = now;
}

void PromotionTask::End(const PromotionFinished& finished) {
  // Empty if the plan has given no order.
  std::string ordered;
  std::string since_order;
  if (this->given.has_value()) {
    const common::Duration since = common::SteadyNow() - this->given->first_at;
    ordered = this->given->endpoint.Value();
    since_order = std::to_string(common::ToMilliseconds(since).count());
  }
  common::Log(
      Subsystem::kConnection, LogLevel::kWarning, "promotion_ended",
      {{"service", this->service},
       {"promoted", finished.promoted ? "yes" : "no"},
       {"reason", finished.reason},
       {"primary", this->callbacks.primary().value_or(common::EndpointId())},
       {"primary_term", this->callbacks.primary_term()},
       {"ordered", ordered},
       {"orders", this->given.has_value() ? this->given->count : 0},
       {"since_order_ms", since_order},
       {"may_execute", finished.command_may_execute ? "yes" : "no"}});
  this->given.reset();
  this->context.metrics->Count("promotions",
                               "Promotions of this daemon by how they ended.",
                               "result", finished.reason);
  if (finished.promoted) this->RecordPhase("promote");
  this->plan.reset();
  this->closing.Cancel();
  this->following.reset();
  this->running = false;
  this->SettleExecutedOrder(common::SteadyNow());
  // The next holder's promotion must not meet a command of this one.
  if (finished.command_may_execute) {
    this->context.promotion_lease->Abandon();
  } else {
    this->context.promotion_lease->Release();
  }
  this->next_start =
      common::SteadyNow() +
      (finished.platform_not_reached ? kDelayWithoutPlatform : kRestartDelay);
}

}  // namespace camphorferry::session
