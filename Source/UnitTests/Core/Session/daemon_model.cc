#include "daemon_model.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

using std::chrono::milliseconds;

/// Age at which a daemon gives up waiting for the answer to a command.
constexpr milliseconds kCommandTimeout(400);
constexpr milliseconds kOrderTimeout(1000);
/// Until an unanswered order reaches the platform if it is held.
constexpr milliseconds kLongestHeldOrder(8900);
/// A daemon starts no promotion for this long after one has ended.
constexpr milliseconds kRestartDelay(400);
constexpr int kMaxStartJitter = 150;
/// Longest time for which a host is suspended.
constexpr int kLongestFreeze = 6000;
/// As in PromotionTask.
constexpr milliseconds kRenewalInterval(1000);
/// How long a daemon's monitor demands another primary.
constexpr milliseconds kDemandDuration(5000);
/// Longest time for which the process of a daemon that was killed is down.
constexpr int kLongestDown = 400;
/// Until a daemon that was killed starts a promotion.
constexpr milliseconds kDaemonStart(500);
/// Longest time until a daemon hears of a change of the entries.
constexpr int kLongestWatchLag = 3000;

const char* ToString(ModelCommand command) {
  switch (command) {
    case ModelCommand::kStatus:
      return "status";
    case ModelCommand::kHold:
      return "hold";
    case ModelCommand::kResume:
      return "resume";
    case ModelCommand::kStepDown:
      return "step-down";
  }
  return "unknown";
}

}  // namespace

DaemonModel::DaemonModel(ModelContext* context, DatabaseGroupModel* group,
                         ModelLeaseRecord* store, ModelFleet* fleet,
                         ModelFaults faults, int number)
    : context(context),
      group(group),
      store(store),
      fleet(fleet),
      faults(faults),
      number(number),
      listed_at(context->time.Now()) {
  if (faults.lagging_watches) {
    this->watch_lag = context->Between(0, kLongestWatchLag);
  }
  // It has run for long when the schedule begins.
  const common::SteadyTime before =
      context->time.Now() - std::chrono::minutes(1);
  this->started = before;
  this->followed_since = before;
  this->gate.OnRegistered(before);
  this->gate.OnRecord({}, context->time.Now());
  this->is_registered = true;
  this->has_known_record = true;
  this->stability.OnMembers(
      this->group->EntriesAt(context->time.Now() - this->watch_lag), before);
  this->UpdateMembers();
  for (const GroupMember& member : this->members) {
    const auto status = this->group->Execute(this->group->IndexOf(member.id),
                                             ModelCommand::kStatus, 0);
    if (status.has_value()) this->view.OnStatus(member.id, *status);
  }
}

void DaemonModel::SetLink(int database, bool up) {
  if (up) {
    this->cut.erase(database);
  } else {
    this->cut.insert(database);
  }
  this->context->Trace(std::string(up ? "joined: " : "cut: ") + this->Name() +
                       "-" + DatabaseGroupModel::NameOf(database));
}

void DaemonModel::UpdateMembers() {
  std::vector<GroupMember> present = this->group->EntriesAt(
      std::max(this->context->time.Now() - this->watch_lag, this->listed_at));
  this->stability.OnMembers(present, this->context->time.Now());
  if (present == this->members) return;
  FormerMembers former = this->Former();
  UpdateFormerMembers(this->members, present, &former);
  std::erase_if(this->former_members,
                [&](const auto& item) { return !former.contains(item.first); });
  for (const auto& process : former) {
    this->former_members.try_emplace(
        process, this->context->time.Now() + kFormerMemberRetention);
  }
  for (const auto& id : EndedMembers(this->members, present)) {
    this->ended_members.try_emplace(id, this->context->time.Now());
  }
  this->members = std::move(present);
  std::string line = this->Name() + " sees the members";
  for (const GroupMember& member : this->members) {
    line += " " + member.id.Value() + (member.reports_primary ? "*" : "") +
            (member.state == MemberState::kLeaving ? "-" : "") + "/" +
            std::to_string(member.incarnation);
  }
  this->context->Trace(line);
  this->view.OnMembers(this->members);
  if (this->plan != nullptr) {
    this->Perform(
        this->plan->OnMembers(this->members, this->context->time.Now()));
  }
}

void DaemonModel::ListMembers() {
  this->listed_at = this->context->time.Now();
  this->UpdateMembers();
}

FormerMembers DaemonModel::Former() const {
  FormerMembers former;
  for (const auto& [process, until] : this->former_members) {
    former.insert(process);
  }
  return former;
}

std::set<common::EndpointId> DaemonModel::Ended() const {
  std::set<common::EndpointId> ended;
  for (const auto& [id, since] : this->ended_members) ended.insert(id);
  return ended;
}

void DaemonModel::RunLater(milliseconds delay, std::function<void()> task) {
  this->context->time.RunLater(delay, [this, sender = this->process,
                                       task = std::move(task)]() mutable {
    if (this->process != sender) return;
    if (!this->IsFrozen()) {
      task();
      return;
    }
    this->RunLater(
        common::ToMilliseconds(this->frozen_until - this->context->time.Now()),
        std::move(task));
  });
}

void DaemonModel::Freeze() {
  if (this->IsFrozen() || this->IsDown()) return;
  this->frozen_until =
      this->context->time.Now() + this->context->Between(500, kLongestFreeze);
  this->context->Trace(this->Name() + " is suspended");
}

void DaemonModel::Probe(int database) {
  if (database >= this->group->Size()) return;
  if (this->IsFrozen() || this->IsDown()) return;
  this->Send(common::EndpointId(DatabaseGroupModel::NameOf(database)),
             ModelCommand::kStatus, 0,
             [](const EndpointStatus&, common::SteadyTime) {});
}

void DaemonModel::Send(const common::EndpointId& id, ModelCommand command,
                       common::Term term, StatusCallback done) {
  const int index = this->group->IndexOf(id);
  if (index < 0) return;
  const std::string name = this->Name() + " " + ToString(command) +
                           (term == 0 ? "" : " " + std::to_string(term)) +
                           " to " + id.Value();
  milliseconds there = this->context->Between(1, 40);
  if (this->cut.contains(index) || this->context->Happens(10)) {
    // Lost, or delayed until the network delivers it.
    if (!this->faults.late_commands || !this->context->Happens(50)) return;
    there = this->context->Between(40, 800);
  } else if (this->faults.late_commands && this->context->Happens(10)) {
    there = this->context->Between(40, 800);
  }
  const common::SteadyTime sent = this->context->time.Now();
  const std::uint64_t process = this->group->ProcessOf(index);
  this->context->time.RunLater(
      there, [this, index, id, command, term, sent, process, name,
              done = std::move(done), asking = this->process] {
        if (this->cut.contains(index)) return;
        if (this->group->ProcessOf(index) != process) return;
        const std::optional<EndpointStatus> status =
            this->group->Execute(index, command, term);
        if (!status.has_value()) return;
        this->context->Trace(name + ": " + Describe(*status));
        if (this->context->Happens(10)) return;
        // The process that has asked may have ended.
        if (this->process != asking) return;
        this->RunLater(
            this->context->Between(1, 40),
            [this, index, id, sent, process, name, done, answer = *status] {
              if (this->cut.contains(index)) return;
              if (this->group->ProcessOf(index) != process) return;
              if (this->context->time.Now() - sent > kCommandTimeout) return;
              this->OnMemberStatus(id, answer, sent);
              done(answer, sent);
            });
      });
}

void DaemonModel::DemandReplacement() {
  this->wanted_until = this->context->time.Now() + kDemandDuration;
}

void DaemonModel::Tick() {
  const common::SteadyTime now = this->context->time.Now();
  if (this->IsDown()) return;
  std::erase_if(this->former_members,
                [now](const auto& item) { return item.second <= now; });
  std::erase_if(this->ended_members, [now](const auto& item) {
    return now - item.second >= kFormerMemberRetention;
  });
  if (this->store_reachable) {
    if (this->plan == nullptr) {
      this->UpdateMembers();
    } else {
      this->ListMembers();
    }
  }
  this->UpdateKnowledge();
  this->CheckClosed();
  if (this->plan != nullptr) this->Perform(this->plan->OnTick(now));
  if (this->plan != nullptr && this->plan->KeepsLease() &&
      now >= this->next_renewal) {
    this->next_renewal = now + kRenewalInterval;
    this->Confirm();
  }
  if (this->running || now < this->next_start || now > this->wanted_until) {
    return;
  }
  this->running = true;
  this->RunLater(this->context->Between(0, kMaxStartJitter), [this] {
    if (this->Acquire()) {
      this->Begin();
      return;
    }
    this->running = false;
    this->next_start = this->context->time.Now() + kRestartDelay;
  });
}

void DaemonModel::Begin() {
  const common::SteadyTime now = this->context->time.Now();
  if (this->store_reachable) this->ListMembers();
  const std::optional<common::EndpointId> primary = this->view.Primary();
  this->context->Trace(
      this->Name() + " begins a plan, primary " +
      (primary.has_value() ? primary->Value() : std::string("unknown")) +
      ", highest term " + std::to_string(this->view.HighestTerm()));
  this->plan = std::make_shared<PromotionPlan>(
      this->members, this->Former(), primary, this->view.PrimaryTerm(),
      this->view.HighestTerm(), now, this->Ended());
  this->SettleExecutedOrder();
  const std::optional<OpenOrder> open = this->OpenOrderOfGroup();
  if (open.has_value()) {
    this->context->Trace(this->Name() + " awaits the order for " +
                         open->record.endpoint.Value());
    this->plan->SetEarlierOrder(*open);
  }
  this->plan->SetClosedBefore(this->record.closed.below);
  this->Perform(this->plan->Begin(now));
}

void DaemonModel::Perform(const std::vector<PromotionAction>& actions) {
  const std::shared_ptr<PromotionPlan> current = this->plan;
  const auto send = [this, &current](const common::EndpointId& id,
                                     ModelCommand command, common::Term term) {
    this->Send(id, command, term,
               [this, current, id](const EndpointStatus& status,
                                   common::SteadyTime sent) {
                 if (this->plan != current) return;
                 this->Perform(current->OnStatus(
                     id, status, this->context->time.Now(), sent));
               });
  };
  std::vector<common::EndpointId> held;
  for (const PromotionAction& action : actions) {
    std::visit(
        common::Overloaded{
            [&](const SendStepDown& step) {
              send(step.endpoint, ModelCommand::kStepDown, step.term);
            },
            [&](const SendHold& hold) {
              send(hold.endpoint, ModelCommand::kHold, hold.term);
            },
            [&](const SendResume& resume) { held.push_back(resume.endpoint); },
            [&](const SendStatus& status) {
              send(status.endpoint, ModelCommand::kStatus, 0);
            },
            [&](const CloseTerms& close) { this->Close(close.below); },
            [&](const OpenTerms& open) { this->Open(open.below); },
            [&](const OrderPromotion& order) {
              this->SendOrder(order.endpoint);
            },
            [&](const PromotionFinished& finished) {
              this->ResumeAndEnd(held, finished);
            },
        },
        action);
  }
}

void DaemonModel::SetPromotionPath(bool up) {
  this->promotion_path_up = up;
  this->context->Trace(this->Name() + "-platform: " + (up ? "up" : "held"));
  if (!up) return;
  for (std::function<void()>& request :
       std::exchange(this->held_requests, {})) {
    this->Deliver(this->context->Between(1, 40), std::move(request));
  }
}

void DaemonModel::Kill() {
  ++this->process;
  this->plan.reset();
  this->running = false;
  this->record = ModelLeaseRecord{};
  this->record_seen_at.reset();
  this->seen_order = 0;
  this->confirmed_at.reset();
  this->holds_lease = false;
  this->abandoned_at.reset();
  this->lost_lease = false;
  this->former_members.clear();
  this->ended_members.clear();
  this->members.clear();
  this->view = PrimaryView();
  this->frozen_until = common::SteadyTime();
  this->down_until =
      this->context->time.Now() + this->context->Between(1, kLongestDown);
  this->ForgetKnowledge();
  this->context->daemon_processes[this->number] = this->process;
  this->next_start = this->context->time.Now() + kDaemonStart;
  this->context->Trace(this->Name() + " is killed");
}

void DaemonModel::Deliver(milliseconds after, std::function<void()> request) {
  this->context->time.RunLater(
      after, [this, request = std::move(request)]() mutable {
        if (this->promotion_path_up) {
          request();
        } else {
          this->held_requests.push_back(std::move(request));
        }
      });
}

void DaemonModel::SendOrder(const common::EndpointId& id) {
  // The platform has to answer a request first.
  const std::shared_ptr<PromotionPlan> current = this->plan;
  const auto proved = std::make_shared<bool>(false);
  this->Deliver(this->context->Between(1, 40), [this, id, current, proved] {
    if (this->plan != current) return;
    this->RunLater(this->context->Between(1, 40), [this, id, current, proved] {
      if (!this->promotion_path_up || this->plan != current) return;
      if (!std::exchange(*proved, true)) this->SendProvedOrder(id);
    });
  });
  this->RunLater(kOrderTimeout, [this, current, proved] {
    if (std::exchange(*proved, true) || this->plan != current) return;
    this->Perform(current->OnPlatformNotReached(this->context->time.Now()));
  });
}

void DaemonModel::SendProvedOrder(const common::EndpointId& id) {
  if (!this->plan->IsChosen(id, this->context->time.Now()) ||
      !this->RecordOrder(id, this->plan->NewestTerm()) || !this->MayOrder()) {
    this->context->Trace(this->Name() + " may not order " + id.Value());
    this->plan->OnOrderNotSent();
    return;
  }
  const int index = this->group->IndexOf(id);
  const std::uint64_t token = this->record.held_since;
  this->context->Trace(this->Name() + " ORDERS " + id.Value() + ", token " +
                       std::to_string(token));
  const auto answer = [this, current = this->plan,
                       sender = this->process](PromotionAnswer given) {
    if (this->process != sender) return;
    if (given == PromotionAnswer::kRejected) this->WithdrawOrder();
    if (given == PromotionAnswer::kAccepted) this->OnOrderAccepted();
    if (this->plan != current || current == nullptr) return;
    this->Perform(current->OnOrderAnswer(given, this->context->time.Now()));
  };
  const bool answered = !this->context->Happens(20);
  if (!answered && this->context->Happens(30)) {
    this->RunLater(kOrderTimeout,
                   [answer] { answer(PromotionAnswer::kNoAnswer); });
    return;
  }
  const milliseconds age = this->context->Between(
      5, static_cast<int>(this->LatestArrival(answered).count()));
  const auto deliver = [this, index, token, answer, answered,
                        sender = this->process,
                        given = this->group->AssessOrder()] {
    const milliseconds age =
        common::ToMilliseconds(this->context->time.Now() - given.at);
    const bool accepted = this->group->Order(index, this->number, token, given);
    this->context->Trace(
        "the platform " + std::string(accepted ? "accepts" : "rejects") +
        " the order for " + DatabaseGroupModel::NameOf(index) + " of " +
        this->Name() + (answered ? "" : ", answer lost"));
    if (!answered || age >= kOrderTimeout || this->process != sender) return;
    this->RunLater(this->context->Between(1, 40), [answer, accepted] {
      answer(accepted ? PromotionAnswer::kAccepted
                      : PromotionAnswer::kRejected);
    });
  };
  this->Deliver(age, deliver);
  if (answered) return;
  this->RunLater(kOrderTimeout,
                 [answer] { answer(PromotionAnswer::kNoAnswer); });
}

milliseconds DaemonModel::LatestArrival(bool answered) const {
  if (answered) return milliseconds(50);
  if (this->faults.held_orders) return kLongestHeldOrder;
  return milliseconds(this->faults.late_orders ? 3000 : 200);
}

void DaemonModel::ResumeAndEnd(const std::vector<common::EndpointId>& held,
                               const PromotionFinished& finished) {
  if (held.empty() || !this->Confirm()) {
    this->End(finished);
    return;
  }
  const auto answered = std::make_shared<std::size_t>(0);
  for (const common::EndpointId& id : held) {
    this->Send(
        id, ModelCommand::kResume, 0,
        [answered](const EndpointStatus&, common::SteadyTime) { ++*answered; });
  }
  this->RunLater(kCommandTimeout,
                 [this, answered, count = held.size(), finished] {
                   PromotionFinished ended = finished;
                   ended.command_may_execute |= *answered < count;
                   this->End(ended);
                 });
}

void DaemonModel::End(const PromotionFinished& finished) {
  this->context->Trace(this->Name() + " ends its plan: " + finished.reason);
  this->plan.reset();
  this->poll.reset();
  this->running = false;
  this->SettleExecutedOrder();
  if (finished.command_may_execute) {
    this->abandoned_at = this->context->time.Now();
  }
  this->Release();
  if (finished.promoted) this->wanted_until = this->context->time.Now();
  this->next_start = this->context->time.Now() + kRestartDelay;
}

}  // namespace camphorferry::session
