#include "Session/statement_run.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

using common::LogLevel;
using common::Subsystem;

/// Pause before a statement is tried again at a group of which no member could
/// take it. Short compared with a change of the primary, long compared with a
/// round trip.
constexpr std::chrono::milliseconds kRetryPause(40);
/// Pause before another member is tried.
constexpr std::chrono::milliseconds kNextMemberPause(2);
/// How long one attempt waits for a channel before another member is chosen.
constexpr std::chrono::milliseconds kChannelWait(250);
/// Added to the time limits of an attempt that a connection owner makes: round
/// trips between regions (40 ms), also those that prepare the channel, and a
/// reserve for busy daemons.
constexpr std::chrono::milliseconds kForwardingReserve(400);
/// An operation that has waited for longer since its admission is admitted
/// again. Otherwise all operations that waited for a new primary would reach it
/// at once and exceed the rates of their workspaces. A tenth of the rate window
/// (5 s).
constexpr std::chrono::milliseconds kMaxAdmissionAge(500);
/// Longest pause before an operation above its rate is admitted again; other
/// operations of the workspace may end sooner than the rate owner expects.
constexpr std::chrono::milliseconds kMaxRatePause(300);
/// A commit that a replica has not confirmed yet is waited for at least this
/// long: a round of status questions, and the time until the replica has it.
constexpr std::chrono::milliseconds kMinConfirmationWait(200);
/// Proofs are required to be younger than the route allows by this margin.
constexpr std::chrono::milliseconds kStalenessMargin(100);

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
      admitted(this->request.received) {
  AttemptRequest& attempt_request = this->request.attempt;
  attempt_request.channel_wait = kChannelWait;
  if (this->group->UsesConnectionOwners()) {
    attempt_request.waiting_since = this->request.received;
    attempt_request.channel_deadline = this->request.channel_deadline;
  }
}

StatementRun::~StatementRun() = default;

void StatementRun::Start() {
  if (this->request.attempt.use != TransactionUse::kContinues) {
    this->Attempt();
    return;
  }
  this->channel = std::exchange(this->request.channel, std::monostate());
  this->endpoint = EndpointOf(this->channel);
  if (!this->group->MayUse(this->endpoint)) {
    this->Fail(StatementError::kAborted, "endpoint_evacuated");
    return;
  }
  ++this->attempt_number;
  this->log_end_before = this->group->LogEnd();
  if (const auto* forwarded =
          std::get_if<ForwardedTransaction>(&this->channel)) {
    this->Forward(forwarded->owner, forwarded->number);
    return;
  }
  auto own = std::get<std::shared_ptr<EndpointChannel>>(
      std::exchange(this->channel, std::monostate()));
  this->NewOwnAttempt()->Continue(std::move(own));
}

void StatementRun::Cancel() {
  this->done = nullptr;
  this->timer.reset();
  ++this->attempt_number;
  if (this->attempt != nullptr) {
    std::exchange(this->attempt, nullptr)->Cancel();
  }
  this->AbandonAttempts();
  RollBack(&this->channel);
}

void StatementRun::AbandonAttempts() {
  if (this->attempt != nullptr) this->earlier.push_back(this->attempt);
  this->attempt.reset();
  for (const auto& unused : std::exchange(this->earlier, {})) unused->Abandon();
}

common::SteadyTime StatementRun::StalenessBound() const {
  if (this->request.guarantee == ReadGuarantee::kLatest) {
    return this->request.received;
  }
  return this->request.received - this->request.max_staleness +
         kStalenessMargin;
}

std::optional<common::LogPosition> StatementRun::MinReadPosition() const {
  std::optional<common::LogPosition> position =
      this->group->RequiredPosition(this->StalenessBound());
  if (position.has_value() && this->request.own_position.has_value() &&
      this->request.guarantee == ReadGuarantee::kReadYourWrites) {
    position = std::max(*position, *this->request.own_position);
  }
  return position;
}

void StatementRun::Attempt() {
  if (!this->done) return;
  const common::SteadyTime now = common::SteadyNow();
  const bool over = now >= this->request.deadline ||
                    (this->no_channel && now >= this->request.channel_deadline);
  this->no_channel = false;
  if (over) {
    this->Fail(StatementError::kBusy, this->last_reason);
    return;
  }
  if (const auto refusal = this->request.check_access()) {
    this->Fail(refusal->code, refusal->reason);
    return;
  }
  ++this->attempts;
  const bool single_write = this->request.attempt.writes &&
                            this->request.attempt.use == TransactionUse::kNone;
  if (!single_write) {
    this->request.attempt.min_position = this->MinReadPosition();
    if (!this->request.attempt.min_position.has_value()) {
      this->last_reason = "no_proof_of_freshness";
      this->group->AwaitProof(this->StalenessBound(),
                              this->request.deadline - now,
                              [weak = this->weak_from_this()](bool /*proved*/) {
                                const auto run = weak.lock();
                                if (run != nullptr) run->Attempt();
                              });
      return;
    }
    if (this->request.guarantee != ReadGuarantee::kLatest) {
      // Requests the next proof before this one is too old for any statement.
      constexpr int kRefreshDivisor = 2;
      this->group->RefreshProof(now -
                                this->request.max_staleness / kRefreshDivisor);
    }
  }
  const std::optional<common::EndpointId> target = this->ChooseEndpoint();
  if (!target.has_value()) {
    this->Retry(kRetryPause,
                this->request.needs_primary ? "no_primary" : "no_reader");
    return;
  }
  if (this->may_have_run || now - this->admitted > kMaxAdmissionAge) {
    this->Readmit();
    return;
  }
  this->StartAt(*target);
}

void StatementRun::Readmit() {
  this->request.readmit(
      [weak = this->weak_from_this()](
          const std::optional<common::Duration>& retry_after) {
        const auto run = weak.lock();
        if (run != nullptr && run->done) run->OnReadmitted(retry_after);
      });
}

void StatementRun::OnReadmitted(
    const std::optional<common::Duration>& retry_after) {
  if (retry_after.has_value()) {
    this->Retry(
        std::clamp<common::Duration>(*retry_after, kRetryPause, kMaxRatePause),
        "rate_exceeded");
    return;
  }
  this->admitted = common::SteadyNow();
  this->may_have_run = false;
  this->Attempt();
}

std::optional<common::EndpointId> StatementRun::ChooseEndpoint() {
  if (this->request.needs_primary) return this->group->UsablePrimary();
  std::optional<common::EndpointId> reader =
      this->group->ChooseReader(this->request.attempt.caller, this->tried);
  if (!reader.has_value()) {
    this->tried.clear();
    reader =
        this->group->ChooseReader(this->request.attempt.caller, this->tried);
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

std::shared_ptr<StatementAttempt> StatementRun::NewOwnAttempt() {
  this->owner = common::HostId();
  this->attempt = std::make_shared<StatementAttempt>(
      this->loop, this->codec, this->request.attempt,
      this->NewObservers(this->attempt_number));
  return this->attempt;
}

StatementAttempt::Observers StatementRun::NewObservers(std::uint64_t number) {
  StatementAttempt::Observers observers;
  observers.barred =
      [weak = this->weak_from_this()]() -> std::optional<AttemptFailure> {
    const auto run = weak.lock();
    if (run == nullptr || !run->done) return std::nullopt;
    return FailureOf(run->request.check_access());
  };
  observers.sent = [weak = this->weak_from_this(), number] {
    const auto run = weak.lock();
    if (run == nullptr || number != run->attempt_number) return;
    run->sent_once = true;
    run->StartHedgeTimer();
  };
  observers.done = [weak = this->weak_from_this(),
                    number](AttemptResult result) {
    const auto run = weak.lock();
    TransactionChannel open;
    if (result.channel != nullptr) open = std::move(result.channel);
    if (run == nullptr) {
      RollBack(&open);
      return;
    }
    run->OnAttemptResult(number, std::move(result.outcome), std::move(open));
  };
  return observers;
}

void StatementRun::StartAt(const common::EndpointId& id) {
  this->endpoint = id;
  this->log_end_before = this->group->LogEnd();
  this->attempt_started = common::SteadyNow();
  ++this->attempt_number;
  const std::optional<FleetHost> wanted =
      this->group->ConnectionOwner(id, this->request.attempt.caller);
  // An owner gets statements of many daemons, each of which limits only its own
  // large ones.
  const bool large = SizeOf(this->request.attempt) > kSmallMessageBytes;
  if (wanted.has_value() && !large &&
      !this->avoided_owners.contains(wanted->id)) {
    this->Forward(*wanted, 0);
    return;
  }
  const std::shared_ptr<EndpointPool> pool = this->group->SharedPoolOf(id);
  if (pool == nullptr) {
    this->Retry(kRetryPause, "member_gone");
    return;
  }
  this->NewOwnAttempt()->Start(pool);
}

void StatementRun::Forward(const FleetHost& to, std::uint64_t transaction) {
  this->owner = to.id;
  ForwardedStatement forwarded;
  forwarded.service = this->group->Service();
  forwarded.endpoint = this->endpoint;
  forwarded.attempt = this->request.attempt;
  forwarded.transaction = transaction;
  forwarded.claim = this->request.claim_access();
  const common::Duration timeout = kForwardingReserve + kChannelWait +
                                   this->request.attempt.statement_timeout;
  this->sent_once = true;
  this->StartHedgeTimer();
  this->group->ForwardStatement(
      to, std::move(forwarded), timeout,
      [weak = this->weak_from_this(), group = this->group, to,
       endpoint = this->endpoint,
       number = this->attempt_number](const ForwardingResult& result) {
        TransactionChannel open;
        const auto* reply = std::get_if<ForwardedResult>(&result);
        if (reply != nullptr && reply->transaction != 0) {
          open =
              ForwardedTransaction{to, endpoint, reply->transaction,
                                   [group, to, ended = reply->transaction] {
                                     group->EndForwardedTransaction(to, ended);
                                   }};
        }
        const auto run = weak.lock();
        if (run == nullptr || !run->done) {
          RollBack(&open);
          return;
        }
        if (reply != nullptr) {
          run->OnAttemptResult(number, reply->outcome, std::move(open));
        } else {
          run->OnOwnerSilent(number, std::get<OwnerSilent>(result));
        }
      });
}

void StatementRun::OnOwnerSilent(std::uint64_t number,
                                 const OwnerSilent& silence) {
  // The endpoint is not to blame for the silence of the connection owner.
  const auto keep = this->shared_from_this();
  if (number != this->attempt_number) return;
  RollBack(&this->channel);
  common::Log(Subsystem::kConnection, LogLevel::kWarning,
              "connection_owner_silent",
              {{"owner", this->owner},
               {"endpoint", this->endpoint},
               {"request", this->request.attempt.statement.request_id},
               {"sent", silence.sent ? "yes" : "no"}});
  this->avoided_owners.insert(this->owner);
  this->timer.reset();
  const bool continues =
      this->request.attempt.use == TransactionUse::kContinues;
  if (!silence.sent && !continues) {
    this->Retry(kNextMemberPause, "owner_unreachable");
    return;
  }
  if (silence.sent && this->EndsWrite()) {
    this->Fail(StatementError::kUnknownOutcome, "no_answer_of_owner");
    return;
  }
  if (continues) {
    this->Fail(StatementError::kAborted, "no_answer_of_owner");
    return;
  }
  this->may_have_run = true;
  this->Retry(kNextMemberPause, "no_answer_of_owner");
}

void StatementRun::StartHedgeTimer() {
  if (this->request.attempt.use != TransactionUse::kNone ||
      this->request.attempt.writes) {
    return;
  }
  this->group->OnReadSent();
  this->timer = this->loop->After(this->request.hedge_after, [this] {
    const auto keep = this->shared_from_this();
    this->SendHedge();
  });
}

void StatementRun::RecordReadTime(bool served) {
  // A transaction's later statements stay at the member of the first.
  const bool placed = !this->request.needs_primary &&
                      this->request.attempt.use != TransactionUse::kContinues;
  if (!placed || !this->group->UsesConnectionOwners()) return;
  this->group->OnReadTime(this->endpoint,
                          common::SteadyNow() - this->attempt_started, served);
}

void StatementRun::SendHedge() {
  this->RecordReadTime(false);
  this->group->OnStatementFailed(this->endpoint);
  if (!this->group->TryHedge(this->endpoint)) {
    return;
  }
  this->tried.insert(this->endpoint);
  if (!this->owner.Empty()) this->avoided_owners.insert(this->owner);
  this->may_have_run = true;
  this->last_reason = "slow_answer";
  if (this->attempt != nullptr) {
    this->earlier.push_back(std::exchange(this->attempt, nullptr));
  }
  ++this->attempt_number;
  this->Attempt();
}

void StatementRun::OnAttemptResult(
    std::uint64_t number, std::variant<EndpointAnswer, AttemptFailure> outcome,
    TransactionChannel with_channel) {
  const auto keep = this->shared_from_this();
  if (!this->done || number != this->attempt_number) {
    RollBack(&with_channel);
    if (this->done) this->OnEarlierResult(outcome);
    return;
  }
  const auto* answer = std::get_if<EndpointAnswer>(&outcome);
  this->RecordReadTime(answer != nullptr && !answer->error.has_value());
  this->attempt.reset();
  this->timer.reset();
  this->channel = std::move(with_channel);
  if (answer != nullptr) {
    this->OnAnswer(*answer);
  } else {
    this->OnFailure(std::get<AttemptFailure>(outcome));
  }
}

void StatementRun::OnEarlierResult(
    const std::variant<EndpointAnswer, AttemptFailure>& outcome) {
  const auto* answer = std::get_if<EndpointAnswer>(&outcome);
  // The current attempt continues if the earlier one has failed.
  if (answer == nullptr || !IsSigned(*answer)) return;
  ++this->attempt_number;
  this->Deliver(*answer);
}

bool StatementRun::EndsWrite() const {
  return this->request.attempt.writes &&
         (this->request.attempt.use == TransactionUse::kNone ||
          this->request.attempt.statement.kind == StatementKind::kCommit);
}

void StatementRun::OnAnswer(const EndpointAnswer& answer) {
  this->group->OnResponsive(this->endpoint);
  if (answer.error.has_value()) {
    if (this->EndsWrite() && answer.error->code == StatementError::kTimeout) {
      this->group->OnCommitUnanswered(this->endpoint);
    }
    this->OnRefused(answer);
    return;
  }
  this->group->OnStatementSucceeded(this->endpoint);
  if (!this->EndsWrite()) {
    this->Deliver(answer);
    return;
  }
  this->group->OnCommitSuccess(this->endpoint);
  this->Acknowledge(answer);
}

void StatementRun::Acknowledge(const EndpointAnswer& answer) {
  if (!answer.position.has_value()) {
    this->Fail(StatementError::kUnknownOutcome, "no_position");
    return;
  }
  this->group->AcknowledgeCommit(
      this->log_end_before, *answer.position,
      std::max(this->request.deadline,
               common::SteadyNow() + kMinConfirmationWait),
      [weak = this->weak_from_this(), answer = answer](bool told) mutable {
        const auto run = weak.lock();
        if (run == nullptr || !run->done) return;
        if (told) {
          run->Deliver(std::move(answer));
          return;
        }
        run->group->OnCommitUnanswered(run->endpoint);
        run->Fail(StatementError::kUnknownOutcome, "not_acknowledged");
      });
}

void StatementRun::OnAccessLost(AttemptFailure failure) {
  // Only some codes promise that nothing of a transaction is kept.
  const bool commit =
      this->request.attempt.statement.kind == StatementKind::kCommit;
  this->Fail(failure == AttemptFailure::kUnauthorized && !commit
                 ? StatementError::kUnauthorized
                 : StatementError::kAborted,
             ToString(failure));
}

void StatementRun::OnFailure(AttemptFailure failure) {
  if (failure == AttemptFailure::kUnauthorized ||
      failure == AttemptFailure::kOtherCaller) {
    this->OnAccessLost(failure);
    return;
  }
  const bool may_have_run_now = MayHaveRun(failure);
  if (may_have_run_now || failure == AttemptFailure::kPreparationUnanswered) {
    this->group->OnUnresponsive(this->endpoint);
  }
  if (may_have_run_now && this->EndsWrite()) {
    if (failure != AttemptFailure::kNoSignature) {
      this->group->OnCommitUnanswered(this->endpoint);
    }
    this->Fail(StatementError::kUnknownOutcome, ToString(failure));
    return;
  }
  if (may_have_run_now) this->group->OnStatementFailed(this->endpoint);
  if (this->request.attempt.use == TransactionUse::kContinues) {
    this->Fail(StatementError::kAborted, ToString(failure));
    return;
  }
  if (may_have_run_now) this->may_have_run = true;
  switch (failure) {
    case AttemptFailure::kStopping:
    case AttemptFailure::kExpired:
      this->avoided_owners.insert(this->owner);
      this->Retry(kNextMemberPause, ToString(failure));
      return;
    case AttemptFailure::kNoFreeChannel:
      this->tried.insert(this->endpoint);
      this->last_reason = ToString(failure);
      this->no_channel = true;
      this->Attempt();
      return;
    case AttemptFailure::kOverloaded:
      this->OnOverloaded();
      return;
    case AttemptFailure::kUnreachable:
    case AttemptFailure::kWrongEndpoint:
      this->tried.insert(this->endpoint);
      // The owner may be cut off from an endpoint that this daemon reaches.
      if (!this->owner.Empty()) this->avoided_owners.insert(this->owner);
      this->Retry(this->request.needs_primary
                      ? common::Duration(kRetryPause)
                      : common::Duration(kNextMemberPause),
                  ToString(failure));
      return;
    default:
      this->tried.insert(this->endpoint);
      this->Retry(kNextMemberPause, ToString(failure));
      return;
  }
}

void StatementRun::OnOverloaded() {
  this->tried.insert(this->endpoint);
  this->overloaded.insert(this->endpoint);
  this->last_reason = ToString(AttemptFailure::kOverloaded);
  if (!this->request.needs_primary &&
      this->group->HasReader(this->overloaded)) {
    this->Attempt();
    return;
  }
  // Clients that are refused together must not return together: the time is
  // spread around half of what this one could have waited.
  const common::Duration mean =
      (this->request.channel_deadline - this->request.received) / 2;
  constexpr std::size_t kSteps = 1024;
  const auto step = static_cast<std::int64_t>(
      std::hash<std::string>()(this->request.attempt.statement.request_id) %
      kSteps);
  const common::Duration retry_after =
      mean / 2 + mean * step / static_cast<std::int64_t>(kSteps);
  this->Fail(StatementError::kBusy,
             "overloaded; retry after " +
                 std::to_string(common::ToMilliseconds(retry_after).count()) +
                 " ms");
}

void StatementRun::OnRefused(const EndpointAnswer& answer) {
  const StatementError code = answer.error->code;
  if (code == StatementError::kReadOnly) {
    this->group->OnNotPrimary(this->endpoint);
  }
  if (code == StatementError::kFailed) {
    this->group->OnStatementFailed(this->endpoint);
  }
  if (this->request.attempt.use == TransactionUse::kContinues) {
    this->Fail(code == StatementError::kNoSuchStatement
                   ? StatementError::kAborted
                   : code,
               answer.error->text);
    return;
  }
  const bool retry_read = !this->request.attempt.writes &&
                          code == StatementError::kFailed &&
                          this->request.attempt.use == TransactionUse::kNone;
  const bool retry_begin =
      this->request.attempt.use == TransactionUse::kOpens &&
      (code == StatementError::kFailed || code == StatementError::kTimeout);
  if (HasNotRun(code) || retry_read || retry_begin) {
    if (!HasNotRun(code)) this->may_have_run = true;
    if (code != StatementError::kNoSuchStatement) {
      this->tried.insert(this->endpoint);
    }
    const bool elsewhere = !this->request.needs_primary;
    this->Retry(elsewhere ? common::Duration(kNextMemberPause)
                          : common::Duration(kBusyRetryPause),
                ToString(code));
    return;
  }
  this->Fail(code, answer.error->text);
}

void StatementRun::Fail(StatementError code, const std::string& text) {
  const auto keep = this->shared_from_this();
  this->timer.reset();
  const auto finished = std::exchange(this->done, nullptr);
  this->AbandonAttempts();
  const common::Duration age = common::SteadyNow() - this->request.received;
  common::Log(Subsystem::kRequest, LogLevel::kInfo, "statement_refused",
              {{"request", this->request.attempt.statement.request_id},
               {"code", ToString(code)},
               {"reason", text},
               {"last", this->last_reason},
               {"service", this->group->Service()},
               {"endpoint", this->endpoint},
               {"attempts", this->attempts},
               {"offered", this->sent_once ? "yes" : "no"},
               {"age_ms", common::ToMilliseconds(age).count()}});
  finished(RunResult{RunFailure{code, text},
                     std::exchange(this->channel, std::monostate())});
}

void StatementRun::Deliver(EndpointAnswer answer) {
  const auto keep = this->shared_from_this();
  this->timer.reset();
  const auto finished = std::exchange(this->done, nullptr);
  this->AbandonAttempts();
  finished(RunResult{std::move(answer),
                     std::exchange(this->channel, std::monostate())});
}

}  // namespace camphorferry::session
