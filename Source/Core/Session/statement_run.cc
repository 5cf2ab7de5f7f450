#include "Session/statement_run.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

using common::LogLevel;
using common::Subsystem;

/// Pause before a statement is offered again to a group of which no member
/// could take it. Short beside a change of primary, long beside a round trip.
constexpr std::chrono::milliseconds kRetryPause(40);
/// Pause before another member is tried.
constexpr std::chrono::milliseconds kNextMemberPause(2);
/// Wait of one attempt for a channel, after which another member is chosen.
constexpr std::chrono::milliseconds kChannelWait(250);
/// Limit of a command that only prepares a channel: a round trip between
/// regions (40 ms) with room for a busy daemon.
constexpr std::chrono::milliseconds kPrepareTimeout(500);
/// An operation that has waited longer since its admission is admitted anew.
/// Otherwise all that waited for a new primary would reach it at once, above
/// the rates of their workspaces. A tenth of the rate window (5 s).
constexpr std::chrono::milliseconds kAdmissionAge(500);
/// Longest pause before an operation above its rate is admitted anew; other
/// operations of the workspace may end sooner than the keeper foresees.
constexpr std::chrono::milliseconds kLongestRatePause(300);
/// Proofs are asked to be younger than the route allows by this much.
constexpr std::chrono::milliseconds kStalenessMargin(100);
/// Pause before a statement is sent again in its open transaction.
constexpr std::chrono::milliseconds kBusyPause(10);
/// Repetitions of a busy statement inside a transaction.
constexpr int kBusyRepetitions = 20;

/// Whether an endpoint has answered with success and its own signature.
bool IsSigned(const EndpointAnswer& answer) {
  return !answer.error.has_value() && answer.signature.has_value() &&
         !answer.signature->empty() && *answer.signature != "-";
}

}  // namespace

StatementRun::StatementRun(connection::EventLoop* loop, const WireCodec* codec,
                           std::shared_ptr<ServiceGroup> group,
                           RunRequest request,
                           std::function<void(RunResult)> done)
    : loop(loop),
      codec(codec),
      group(std::move(group)),
      request(std::move(request)),
      done(std::move(done)),
      admitted(this->request.received) {}

StatementRun::~StatementRun() = default;

void StatementRun::Start() {
  if (this->request.use == TransactionUse::kContinues) {
    this->channel = this->request.channel;
    this->endpoint = this->channel->Endpoint();
    this->Prepare();
    return;
  }
  this->Attempt();
}

void StatementRun::Cancel() {
  this->done = nullptr;
  this->timer.reset();
  this->WithdrawDemand();
  if (this->channel != nullptr) {
    this->channel->Close();
    this->ReleaseChannel();
  }
}

void StatementRun::WithdrawDemand() {
  if (!this->demand.has_value()) return;
  if (EndpointPool* pool = this->group->PoolOf(this->endpoint)) {
    pool->Cancel(*this->demand);
  }
  this->demand.reset();
}

common::SteadyTime StatementRun::StalenessBound() const {
  if (this->request.guarantee == ReadGuarantee::kLatest) {
    return this->request.received;
  }
  return this->request.received - this->request.max_staleness +
         kStalenessMargin;
}

std::optional<common::LogPosition> StatementRun::FreshPosition() const {
  std::optional<common::LogPosition> position =
      this->group->PositionAt(this->StalenessBound());
  if (position.has_value() && this->request.own_position.has_value() &&
      this->request.guarantee == ReadGuarantee::kReadYourWrites) {
    position = std::max(*position, *this->request.own_position);
  }
  return position;
}

void StatementRun::Attempt() {
  if (!this->done) return;
  const common::SteadyTime now = common::SteadyNow();
  const bool over =
      now >= this->request.give_up ||
      (this->lacked_channel && now >= this->request.give_up_channel);
  this->lacked_channel = false;
  if (over) {
    this->Fail(Refusal::kBusy, this->last_reason);
    return;
  }
  ++this->attempts;
  const bool single_write =
      this->request.writes && this->request.use == TransactionUse::kNone;
  if (!single_write) {
    this->after = this->FreshPosition();
    if (!this->after.has_value()) {
      this->last_reason = "no_proof_of_freshness";
      this->group->AwaitProof(this->StalenessBound(),
                              this->request.give_up - now,
                              [weak = this->weak_from_this()](bool /*proved*/) {
                                const auto run = weak.lock();
                                if (run != nullptr) run->Attempt();
                              });
      return;
    }
    if (this->request.guarantee != ReadGuarantee::kLatest) {
      // Asks for the next proof before this one is too old for anybody.
      constexpr int kRefreshPart = 2;
      this->group->RefreshProof(now -
                                this->request.max_staleness / kRefreshPart);
    }
  }
  const std::optional<common::EndpointId> target = this->ChooseEndpoint();
  if (!target.has_value()) {
    this->Retry(kRetryPause,
                this->request.needs_primary ? "no_primary" : "no_reader");
    return;
  }
  if (this->may_have_run || now - this->admitted > kAdmissionAge) {
    this->AdmitAgain();
    return;
  }
  this->AcquireFor(*target);
}

void StatementRun::AdmitAgain() {
  this->request.admit_again(
      [weak = this->weak_from_this()](
          const std::optional<common::Duration>& retry_after) {
        const auto run = weak.lock();
        if (run != nullptr && run->done) run->OnAdmittedAgain(retry_after);
      });
}

void StatementRun::OnAdmittedAgain(
    const std::optional<common::Duration>& retry_after) {
  if (retry_after.has_value()) {
    this->Retry(std::clamp<common::Duration>(*retry_after, kRetryPause,
                                             kLongestRatePause),
                "rate_exceeded");
    return;
  }
  this->admitted = common::SteadyNow();
  this->may_have_run = false;
  this->Attempt();
}

std::optional<common::EndpointId> StatementRun::ChooseEndpoint() {
  if (this->request.needs_primary) return this->group->Primary();
  std::optional<common::EndpointId> reader =
      this->group->ChooseReader(this->request.caller, this->tried);
  if (!reader.has_value()) {
    this->tried.clear();
    reader = this->group->ChooseReader(this->request.caller, this->tried);
  }
  return reader;
}

void StatementRun::Retry(common::Duration pause, const char* reason) {
  this->last_reason = reason;
  this->timer = this->loop->After(pause, [this] {
    const auto keep = this->shared_from_this();
    this->Attempt();
  });
}

void StatementRun::AcquireFor(const common::EndpointId& id) {
  this->endpoint = id;
  this->statement_sent = false;
  EndpointPool* pool = this->group->PoolOf(id);
  if (pool == nullptr) {
    this->Retry(kRetryPause, "member_gone");
    return;
  }
  const auto keep = this->shared_from_this();
  this->timer = this->loop->After(kChannelWait, [this] {
    const auto self = this->shared_from_this();
    if (!this->demand.has_value()) return;
    this->WithdrawDemand();
    this->tried.insert(this->endpoint);
    this->last_reason = "no_free_channel";
    this->lacked_channel = true;
    this->Attempt();
  });
  ChannelDemand wish;
  wish.caller = this->request.caller;
  wish.values = this->request.values;
  wish.priority = this->request.priority + 1;
  wish.done = [weak = this->weak_from_this()](const ChannelGrant& grant) {
    const auto run = weak.lock();
    if (run != nullptr && run->done) {
      run->OnGrant(grant);
      return;
    }
    const auto* unused = std::get_if<std::shared_ptr<EndpointChannel>>(&grant);
    if (unused != nullptr) GiveBack(*unused);
  };
  this->demand = 0;
  const DemandId granted_or_waiting = pool->Acquire(std::move(wish));
  // The grant may have come from within the call.
  if (this->demand.has_value()) this->demand = granted_or_waiting;
}

void StatementRun::OnGrant(const ChannelGrant& grant) {
  this->demand.reset();
  this->timer.reset();
  const auto* granted = std::get_if<std::shared_ptr<EndpointChannel>>(&grant);
  if (granted == nullptr) {
    this->tried.insert(this->endpoint);
    this->Retry(this->request.needs_primary
                    ? common::Duration(kRetryPause)
                    : common::Duration(kNextMemberPause),
                "unreachable");
    return;
  }
  this->channel = *granted;
  this->Prepare();
}

void StatementRun::Prepare() {
  const std::optional<ChannelPreparation> next =
      this->channel->Memory().Next(this->request.values, this->request.shape);
  if (!next.has_value()) {
    if (this->request.use == TransactionUse::kOpens) {
      this->Begin();
    } else {
      this->SendStatement();
    }
    return;
  }
  const std::string command = std::visit(
      common::Overloaded{
          [this](const ResetChannel&) { return this->codec->EncodeReset(); },
          [this](const SetChannelValue& set) {
            return this->codec->EncodeSetValue(set.name, set.value);
          },
          [this](const PrepareOnChannel& prepare) {
            return this->codec->EncodePrepare(prepare.endpoint_name,
                                              prepare.shape);
          },
      },
      *next);
  this->channel->Send(command, kPrepareTimeout,
                      [weak = this->weak_from_this(),
                       preparation = *next](const ChannelResult& result) {
                        if (const auto run = weak.lock()) {
                          run->OnPrepared(preparation, result);
                        }
                      });
}

void StatementRun::OnPrepared(const ChannelPreparation& preparation,
                              const ChannelResult& result) {
  if (!this->done) return;
  const auto* answer = std::get_if<EndpointAnswer>(&result);
  if (answer != nullptr && !answer->error.has_value()) {
    this->channel->Memory().Applied(preparation);
    this->Prepare();
    return;
  }
  // The channel's state is unknown now, so it is not used on.
  if (answer == nullptr) this->group->OnUnreached(this->endpoint);
  this->channel->Close();
  if (this->request.use == TransactionUse::kContinues) {
    this->Fail(Refusal::kAborted, "channel_lost");
    return;
  }
  this->ReleaseChannel();
  this->tried.insert(this->endpoint);
  this->Retry(kNextMemberPause, "preparation_failed");
}

void StatementRun::Begin() {
  this->channel->Send(
      this->codec->EncodeBegin(this->request.read_only, this->after),
      kPrepareTimeout,
      [weak = this->weak_from_this()](const ChannelResult& result) {
        if (const auto run = weak.lock()) {
          run->OnBegun(result);
        }
      });
}

void StatementRun::OnBegun(const ChannelResult& result) {
  if (!this->done) return;
  const auto* answer = std::get_if<EndpointAnswer>(&result);
  if (answer != nullptr && !answer->error.has_value() &&
      answer->phase == TransactionPhase::kOpen) {
    this->SendStatement();
    return;
  }
  if (answer == nullptr || !answer->error.has_value()) {
    this->OnLost(answer == nullptr && std::get<ChannelLost>(result).silent);
    return;
  }
  this->OnRefused(*answer);
}

void StatementRun::SendStatement() {
  const std::optional<common::LogPosition> bound =
      this->request.use == TransactionUse::kNone && !this->request.writes
          ? this->after
          : std::nullopt;
  const std::string command =
      this->request.shape.has_value()
          ? this->codec->EncodeExecute(
                this->request.statement,
                this->channel->Memory().NameOf(*this->request.shape), bound)
          : this->codec->EncodeStatement(this->request.statement, bound);
  this->offered = true;
  this->statement_sent = true;
  this->channel->Send(
      command, this->request.statement_timeout,
      [weak = this->weak_from_this()](const ChannelResult& result) {
        if (const auto run = weak.lock()) {
          run->OnAnswer(result);
        }
      });
  if (this->request.use != TransactionUse::kNone || this->request.writes) {
    return;
  }
  this->group->OnReadSent();
  this->timer = this->loop->After(this->request.repeat_after, [this] {
    const auto keep = this->shared_from_this();
    this->RepeatElsewhere();
  });
}

void StatementRun::RepeatElsewhere() {
  this->group->OnFailed(this->endpoint);
  if (!this->group->TakeRepetition(this->request.caller, this->endpoint)) {
    return;
  }
  this->tried.insert(this->endpoint);
  this->may_have_run = true;
  this->last_reason = "slow_answer";
  GiveBackWhenAnswered(
      std::exchange(this->channel, nullptr),
      [weak = this->weak_from_this()](const ChannelResult& result) {
        const auto run = weak.lock();
        if (run != nullptr && run->done) run->OnEarlierAnswer(result);
      });
  this->Attempt();
}

void StatementRun::OnEarlierAnswer(const ChannelResult& result) {
  const auto* answer = std::get_if<EndpointAnswer>(&result);
  // The present attempt goes on if the earlier one has failed.
  if (answer == nullptr || !IsSigned(*answer)) return;
  this->WithdrawDemand();
  if (this->channel != nullptr) {
    if (this->statement_sent) {
      GiveBackWhenAnswered(std::exchange(this->channel, nullptr),
                           [](const ChannelResult&) {});
    } else {
      // What the endpoint holds for the channel is unknown while a preparation
      // is under way.
      this->channel->Close();
      this->ReleaseChannel();
    }
  }
  this->Deliver(*answer);
}

void StatementRun::OnAnswer(const ChannelResult& result) {
  if (!this->done) return;
  const bool ends_write =
      this->request.writes &&
      (this->request.use == TransactionUse::kNone ||
       this->request.statement.kind == StatementKind::kCommit);
  if (const auto* lost = std::get_if<ChannelLost>(&result)) {
    if (ends_write) {
      this->group->OnUnreached(this->endpoint);
      this->group->OnCommitUnanswered(this->endpoint);
      this->ReleaseChannel();
      this->Fail(Refusal::kUnknownOutcome,
                 lost->silent ? "no_answer" : "connection_lost");
      return;
    }
    this->OnLost(lost->silent);
    return;
  }
  const EndpointAnswer& answer = std::get<EndpointAnswer>(result);
  this->group->OnReached(this->endpoint);
  if (answer.error.has_value()) {
    if (ends_write && answer.error->code == Refusal::kTimeout) {
      this->group->OnCommitUnanswered(this->endpoint);
    }
    this->OnRefused(answer);
    return;
  }
  if (!IsSigned(answer)) {
    // Without the endpoint's signature nothing shows that it ran.
    this->channel->Close();
    if (ends_write) {
      this->ReleaseChannel();
      this->Fail(Refusal::kUnknownOutcome, "no_signature");
    } else {
      this->OnLost(false);
    }
    return;
  }
  this->group->OnServed(this->endpoint);
  if (ends_write) this->group->OnCommitDone(this->endpoint);
  this->Deliver(answer);
}

void StatementRun::OnLost(bool silent) {
  this->group->OnUnreached(this->endpoint);
  this->group->OnFailed(this->endpoint);
  this->channel->Close();
  if (this->request.use == TransactionUse::kContinues) {
    this->Fail(Refusal::kAborted, "connection_lost");
    return;
  }
  this->may_have_run = true;
  this->ReleaseChannel();
  this->tried.insert(this->endpoint);
  this->Retry(kNextMemberPause, silent ? "no_answer" : "connection_lost");
}

void StatementRun::OnRefused(const EndpointAnswer& answer) {
  const Refusal code = answer.error->code;
  if (code == Refusal::kReadOnly) this->group->OnNotPrimary(this->endpoint);
  if (code == Refusal::kFailed) this->group->OnFailed(this->endpoint);
  if (code == Refusal::kNoSuchStatement && this->request.shape.has_value()) {
    this->channel->Memory().Forget(*this->request.shape);
  }
  if (this->request.use == TransactionUse::kContinues) {
    const bool may_repeat =
        answer.phase == TransactionPhase::kOpen &&
        (code == Refusal::kBusy || code == Refusal::kNoSuchStatement) &&
        ++this->attempts < kBusyRepetitions;
    if (may_repeat) {
      this->timer = this->loop->After(kBusyPause, [this] {
        const auto keep = this->shared_from_this();
        if (!this->channel->Usable()) {
          this->OnLost(false);
          return;
        }
        this->Prepare();
      });
      return;
    }
    this->Fail(code == Refusal::kNoSuchStatement ? Refusal::kAborted : code,
               answer.error->text);
    return;
  }
  // A transaction that only its run has seen is rolled back by closing.
  if (answer.phase != TransactionPhase::kIdle) this->channel->Close();
  const bool read_again = !this->request.writes && code == Refusal::kFailed &&
                          this->request.use == TransactionUse::kNone;
  const bool opened_again =
      this->request.use == TransactionUse::kOpens &&
      (code == Refusal::kFailed || code == Refusal::kTimeout);
  this->ReleaseChannel();
  if (HasNotRun(code) || read_again || opened_again) {
    if (!HasNotRun(code)) this->may_have_run = true;
    if (code != Refusal::kNoSuchStatement) this->tried.insert(this->endpoint);
    const bool elsewhere = !this->request.needs_primary;
    this->Retry(elsewhere ? common::Duration(kNextMemberPause)
                          : common::Duration(kBusyPause),
                ToString(code));
    return;
  }
  this->Fail(code, answer.error->text);
}

void StatementRun::ReleaseChannel() {
  if (this->channel == nullptr) return;
  GiveBack(std::exchange(this->channel, nullptr));
}

void StatementRun::Fail(Refusal code, const std::string& text) {
  const auto keep = this->shared_from_this();
  this->timer.reset();
  const auto finished = std::exchange(this->done, nullptr);
  const common::Duration age = common::SteadyNow() - this->request.received;
  common::Log(Subsystem::kRequest, LogLevel::kInfo, "statement_refused",
              {{"request", this->request.statement.request_id},
               {"code", ToString(code)},
               {"reason", text},
               {"last", this->last_reason},
               {"service", this->group->Service()},
               {"endpoint", this->endpoint},
               {"attempts", this->attempts},
               {"offered", this->offered ? "yes" : "no"},
               {"age_ms", common::ToMilliseconds(age).count()}});
  finished(
      RunResult{RunFailure{code, text}, std::exchange(this->channel, nullptr)});
}

void StatementRun::Deliver(EndpointAnswer answer) {
  const auto keep = this->shared_from_this();
  this->timer.reset();
  const auto finished = std::exchange(this->done, nullptr);
  std::shared_ptr<EndpointChannel> pinned;
  if (answer.phase == TransactionPhase::kIdle) {
    this->ReleaseChannel();
  } else {
    pinned = std::exchange(this->channel, nullptr);
  }
  finished(RunResult{std::move(answer), std::move(pinned)});
}

}  // namespace camphorferry::session
