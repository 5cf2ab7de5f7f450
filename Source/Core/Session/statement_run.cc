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
/// Limit of a command that prepares a channel: a round trip between regions (40
/// ms) and a reserve for a busy daemon.
constexpr std::chrono::milliseconds kPrepareTimeout(500);
/// An operation that has waited for longer since its admission is admitted
/// again. Otherwise all operations that waited for a new primary would reach it
/// at once and exceed the rates of their workspaces. A tenth of the rate window
/// (5 s).
constexpr std::chrono::milliseconds kMaxAdmissionAge(500);
/// Longest pause before an operation above its rate is admitted again; other
/// operations of the workspace may end sooner than the rate owner expects.
constexpr std::chrono::milliseconds kMaxRatePause(300);
/// Proofs are required to be younger than the route allows by this margin.
constexpr std::chrono::milliseconds kStalenessMargin(100);
/// Pause before a busy statement is sent again.
constexpr std::chrono::milliseconds kBusyRetryPause(10);
/// Maximum number of retries of a busy statement inside a transaction.
constexpr int kMaxBusyRetries = 20;

/// Whether an endpoint has answered with success and its signature.
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
  this->CancelChannelRequest();
  if (this->channel != nullptr) {
    this->channel->Close();
    this->ReleaseChannel();
  }
}

void StatementRun::CancelChannelRequest() {
  if (!this->pool_request.has_value()) return;
  if (EndpointPool* pool = this->group->PoolOf(this->endpoint)) {
    pool->Cancel(*this->pool_request);
  }
  this->pool_request.reset();
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
  ++this->attempts;
  const bool single_write =
      this->request.writes && this->request.use == TransactionUse::kNone;
  if (!single_write) {
    this->min_position = this->MinReadPosition();
    if (!this->min_position.has_value()) {
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
  this->AcquireFor(*target);
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
    if (!this->pool_request.has_value()) return;
    this->CancelChannelRequest();
    this->tried.insert(this->endpoint);
    this->last_reason = "no_free_channel";
    this->no_channel = true;
    this->Attempt();
  });
  ChannelRequest channel_request;
  channel_request.caller = this->request.caller;
  channel_request.values = this->request.values;
  channel_request.priority = this->request.priority + 1;
  channel_request.done = [weak = this->weak_from_this()](
                             const ChannelGrant& grant) {
    const auto run = weak.lock();
    if (run != nullptr && run->done) {
      run->OnGrant(grant);
      return;
    }
    const auto* unused = std::get_if<std::shared_ptr<EndpointChannel>>(&grant);
    if (unused != nullptr) ReturnToPool(*unused);
  };
  this->pool_request = 0;
  const ChannelRequestId granted_or_waiting =
      pool->Acquire(std::move(channel_request));
  // The channel may have been granted before Acquire returned.
  if (this->pool_request.has_value()) this->pool_request = granted_or_waiting;
}

void StatementRun::OnGrant(const ChannelGrant& grant) {
  this->pool_request.reset();
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
      this->channel->State().NextPreparation(this->request.values,
                                             this->request.shape);
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
    this->channel->State().OnApplied(preparation);
    this->Prepare();
    return;
  }
  // The channel's state is unknown now, so the channel is not used any more.
  if (answer == nullptr) this->group->OnUnresponsive(this->endpoint);
  this->channel->Close();
  if (this->request.use == TransactionUse::kContinues) {
    this->Fail(StatementError::kAborted, "channel_lost");
    return;
  }
  this->ReleaseChannel();
  this->tried.insert(this->endpoint);
  this->Retry(kNextMemberPause, "preparation_failed");
}

void StatementRun::Begin() {
  this->channel->Send(
      this->codec->EncodeBegin(this->request.read_only, this->min_position),
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
          ? this->min_position
          : std::nullopt;
  const std::string command =
      this->request.shape.has_value()
          ? this->codec->EncodeExecute(
                this->request.statement,
                this->channel->State().PreparedName(*this->request.shape),
                bound)
          : this->codec->EncodeStatement(this->request.statement, bound);
  this->sent_once = true;
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
  this->timer = this->loop->After(this->request.hedge_after, [this] {
    const auto keep = this->shared_from_this();
    this->SendHedge();
  });
}

void StatementRun::SendHedge() {
  this->group->OnStatementFailed(this->endpoint);
  if (!this->group->TryHedge(this->request.caller, this->endpoint)) {
    return;
  }
  this->tried.insert(this->endpoint);
  this->may_have_run = true;
  this->last_reason = "slow_answer";
  ReturnToPoolWhenAnswered(
      std::exchange(this->channel, nullptr),
      [weak = this->weak_from_this()](const ChannelResult& result) {
        const auto run = weak.lock();
        if (run != nullptr && run->done) run->OnEarlierAnswer(result);
      });
  this->Attempt();
}

void StatementRun::OnEarlierAnswer(const ChannelResult& result) {
  const auto* answer = std::get_if<EndpointAnswer>(&result);
  // The current attempt continues if the earlier one has failed.
  if (answer == nullptr || !IsSigned(*answer)) return;
  this->CancelChannelRequest();
  if (this->channel != nullptr) {
    if (this->statement_sent) {
      ReturnToPoolWhenAnswered(std::exchange(this->channel, nullptr),
                               [](const ChannelResult&) {});
    } else {
      // While a preparation command is in progress, the state of the channel is
      // unknown.
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
      this->group->OnUnresponsive(this->endpoint);
      this->group->OnCommitUnanswered(this->endpoint);
      this->ReleaseChannel();
      this->Fail(StatementError::kUnknownOutcome,
                 lost->silent ? "no_answer" : "connection_lost");
      return;
    }
    this->OnLost(lost->silent);
    return;
  }
  const EndpointAnswer& answer = std::get<EndpointAnswer>(result);
  this->group->OnResponsive(this->endpoint);
  if (answer.error.has_value()) {
    if (ends_write && answer.error->code == StatementError::kTimeout) {
      this->group->OnCommitUnanswered(this->endpoint);
    }
    this->OnRefused(answer);
    return;
  }
  if (!IsSigned(answer)) {
    // Without the endpoint's signature there is no proof that it ran the
    // statement.
    this->channel->Close();
    if (ends_write) {
      this->ReleaseChannel();
      this->Fail(StatementError::kUnknownOutcome, "no_signature");
    } else {
      this->OnLost(false);
    }
    return;
  }
  this->group->OnStatementSucceeded(this->endpoint);
  if (ends_write) this->group->OnCommitSuccess(this->endpoint);
  this->Deliver(answer);
}

void StatementRun::OnLost(bool silent) {
  this->group->OnUnresponsive(this->endpoint);
  this->group->OnStatementFailed(this->endpoint);
  this->channel->Close();
  if (this->request.use == TransactionUse::kContinues) {
    this->Fail(StatementError::kAborted, "connection_lost");
    return;
  }
  this->may_have_run = true;
  this->ReleaseChannel();
  this->tried.insert(this->endpoint);
  this->Retry(kNextMemberPause, silent ? "no_answer" : "connection_lost");
}

void StatementRun::OnRefused(const EndpointAnswer& answer) {
  const StatementError code = answer.error->code;
  if (code == StatementError::kReadOnly) {
    this->group->OnNotPrimary(this->endpoint);
  }
  if (code == StatementError::kFailed) {
    this->group->OnStatementFailed(this->endpoint);
  }
  if (code == StatementError::kNoSuchStatement &&
      this->request.shape.has_value()) {
    this->channel->State().ForgetPrepared(*this->request.shape);
  }
  if (this->request.use == TransactionUse::kContinues) {
    const bool may_repeat = answer.phase == TransactionPhase::kOpen &&
                            (code == StatementError::kBusy ||
                             code == StatementError::kNoSuchStatement) &&
                            ++this->attempts < kMaxBusyRetries;
    if (may_repeat) {
      this->timer = this->loop->After(kBusyRetryPause, [this] {
        const auto keep = this->shared_from_this();
        if (!this->channel->Usable()) {
          this->OnLost(false);
          return;
        }
        this->Prepare();
      });
      return;
    }
    this->Fail(code == StatementError::kNoSuchStatement
                   ? StatementError::kAborted
                   : code,
               answer.error->text);
    return;
  }
  // A transaction that the client does not know of yet is rolled back by
  // closing the channel.
  if (answer.phase != TransactionPhase::kIdle) this->channel->Close();
  const bool retry_read = !this->request.writes &&
                          code == StatementError::kFailed &&
                          this->request.use == TransactionUse::kNone;
  const bool retry_begin =
      this->request.use == TransactionUse::kOpens &&
      (code == StatementError::kFailed || code == StatementError::kTimeout);
  this->ReleaseChannel();
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

void StatementRun::ReleaseChannel() {
  if (this->channel == nullptr) return;
  ReturnToPool(std::exchange(this->channel, nullptr));
}

void StatementRun::Fail(StatementError code, const std::string& text) {
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
               {"offered", this->sent_once ? "yes" : "no"},
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
