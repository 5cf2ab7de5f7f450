#include "Session/statement_attempt.h"

#include <utility>

namespace camphorferry::session {

namespace {

/// Limit of a command that prepares a channel: a round trip between regions (40
/// ms) and a reserve for a busy daemon.
constexpr std::chrono::milliseconds kPrepareTimeout(500);
/// Maximum number of repetitions of a busy statement inside a transaction.
constexpr int kMaxBusyRepetitions = 19;

AttemptFailure FailureOf(PoolFailure failure) {
  switch (failure) {
    case PoolFailure::kWrongEndpoint:
      return AttemptFailure::kWrongEndpoint;
    case PoolFailure::kOverloaded:
      return AttemptFailure::kOverloaded;
    case PoolFailure::kUnreachable:
      return AttemptFailure::kUnreachable;
  }
  return AttemptFailure::kUnreachable;
}

}  // namespace

std::size_t SizeOf(const AttemptRequest& request) {
  std::size_t bytes =
      request.statement.request_id.size() + request.statement.text.size();
  if (request.shape.has_value()) bytes += request.shape->shape.size();
  for (const auto& [name, value] : request.values) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

const char* ToString(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNoFreeChannel:
      return "no_free_channel";
    case AttemptFailure::kOverloaded:
      return "overloaded";
    case AttemptFailure::kUnreachable:
      return "unreachable";
    case AttemptFailure::kWrongEndpoint:
      return "wrong_endpoint";
    case AttemptFailure::kPreparationFailed:
      return "preparation_failed";
    case AttemptFailure::kPreparationUnanswered:
      return "preparation_unanswered";
    case AttemptFailure::kStopping:
      return "stopping";
    case AttemptFailure::kNoTransaction:
      return "no_transaction";
    case AttemptFailure::kUnauthorized:
      return "unauthorized";
    case AttemptFailure::kOtherCaller:
      return "other_caller";
    case AttemptFailure::kExpired:
      return "expired";
    case AttemptFailure::kConnectionLost:
      return "connection_lost";
    case AttemptFailure::kNoAnswer:
      return "no_answer";
    case AttemptFailure::kNoSignature:
      return "no_signature";
  }
  return "unknown";
}

std::optional<AttemptFailure> FailureOf(
    const std::optional<AccessRefusal>& refusal) {
  if (!refusal.has_value()) return std::nullopt;
  return refusal->code == StatementError::kUnauthorized
             ? AttemptFailure::kUnauthorized
             : AttemptFailure::kOtherCaller;
}

bool MayHaveRun(AttemptFailure failure) {
  return failure == AttemptFailure::kConnectionLost ||
         failure == AttemptFailure::kNoAnswer ||
         failure == AttemptFailure::kNoSignature;
}

bool IsSigned(const EndpointAnswer& answer) {
  return !answer.error.has_value() && answer.signature.has_value() &&
         !answer.signature->empty() && *answer.signature != "-";
}

StatementAttempt::StatementAttempt(connection::EventLoop* loop,
                                   const WireCodec* codec,
                                   AttemptRequest request, Observers observers)
    : loop(loop),
      codec(codec),
      request(std::move(request)),
      observers(std::move(observers)) {}

void StatementAttempt::Start(const std::shared_ptr<EndpointPool>& from_pool) {
  const auto keep = this->shared_from_this();
  this->pool = from_pool;
  this->timer = this->loop->After(this->request.channel_wait, [this] {
    if (!this->pool_request.has_value()) return;
    this->CancelChannelRequest();
    this->Finish(AttemptFailure::kNoFreeChannel);
  });
  ChannelRequest channel_request;
  channel_request.caller = this->request.caller;
  channel_request.values = this->request.values;
  channel_request.priority = this->request.priority + 1;
  channel_request.waiting_since = this->request.waiting_since;
  channel_request.deadline = this->request.channel_deadline;
  channel_request.done = [weak = this->weak_from_this()](
                             const ChannelGrant& grant) {
    const auto attempt = weak.lock();
    if (attempt != nullptr && attempt->observers.done) {
      attempt->OnGrant(grant);
      return;
    }
    const auto* unused = std::get_if<std::shared_ptr<EndpointChannel>>(&grant);
    if (unused != nullptr) ReturnToPool(*unused);
  };
  this->pool_request = 0;
  const ChannelRequestId granted_or_waiting =
      from_pool->Acquire(std::move(channel_request));
  // The channel may have been granted before Acquire returned.
  if (this->pool_request.has_value()) this->pool_request = granted_or_waiting;
}

void StatementAttempt::Continue(std::shared_ptr<EndpointChannel> with_channel) {
  this->channel = std::move(with_channel);
  this->Prepare();
}

void StatementAttempt::Cancel() {
  this->observers.done = nullptr;
  this->timer.reset();
  this->CancelChannelRequest();
  this->CloseChannel();
}

void StatementAttempt::Abandon() {
  const bool answer_awaited = this->channel != nullptr &&
                              this->statement_sent &&
                              this->request.use == TransactionUse::kNone;
  if (!answer_awaited) {
    // While a preparation command is in progress, the state of the channel is
    // unknown.
    this->Cancel();
    return;
  }
  this->observers.done = nullptr;
  this->timer.reset();
  ReturnToPoolWhenAnswered(std::exchange(this->channel, nullptr),
                           [](const ChannelResult&) {});
}

void StatementAttempt::CancelChannelRequest() {
  if (!this->pool_request.has_value()) return;
  if (const auto waits_at = this->pool.lock()) {
    waits_at->Cancel(*this->pool_request);
  }
  this->pool_request.reset();
}

void StatementAttempt::OnGrant(const ChannelGrant& grant) {
  this->pool_request.reset();
  this->timer.reset();
  if (const auto* failure = std::get_if<PoolFailure>(&grant)) {
    this->Finish(FailureOf(*failure));
    return;
  }
  this->channel = std::get<std::shared_ptr<EndpointChannel>>(grant);
  this->Prepare();
}

bool StatementAttempt::EndIfBarred() {
  const std::optional<AttemptFailure> failure = this->observers.barred();
  if (!failure.has_value()) return false;
  if (this->begun) {
    RollBackAndReturnToPool(std::exchange(this->channel, nullptr));
  } else if (this->request.use != TransactionUse::kContinues) {
    this->ReleaseChannel();
  }
  this->Finish(*failure);
  return true;
}

void StatementAttempt::Prepare() {
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
                        const auto attempt = weak.lock();
                        if (attempt != nullptr && attempt->observers.done) {
                          attempt->OnPrepared(preparation, result);
                        }
                      });
}

void StatementAttempt::OnPrepared(const ChannelPreparation& preparation,
                                  const ChannelResult& result) {
  const auto* answer = std::get_if<EndpointAnswer>(&result);
  if (answer != nullptr && !answer->error.has_value()) {
    this->channel->State().OnApplied(preparation);
    this->Prepare();
    return;
  }
  // The channel's state is unknown now, so the channel is not used any more.
  this->CloseChannel();
  this->Finish(answer == nullptr ? AttemptFailure::kPreparationUnanswered
                                 : AttemptFailure::kPreparationFailed);
}

void StatementAttempt::Begin() {
  if (this->EndIfBarred()) return;
  this->channel->Send(
      this->codec->EncodeBegin(this->request.read_only,
                               this->request.min_position),
      kPrepareTimeout,
      [weak = this->weak_from_this()](const ChannelResult& result) {
        const auto attempt = weak.lock();
        if (attempt != nullptr && attempt->observers.done) {
          attempt->OnBegun(result);
        }
      });
}

void StatementAttempt::OnBegun(const ChannelResult& result) {
  const auto* answer = std::get_if<EndpointAnswer>(&result);
  const bool refused = answer != nullptr && answer->error.has_value();
  if (refused) {
    this->OnRefused(*answer);
    return;
  }
  if (answer != nullptr && answer->phase == TransactionPhase::kOpen) {
    this->begun = true;
    this->SendStatement();
    return;
  }
  const auto* lost = std::get_if<ChannelLost>(&result);
  this->CloseChannel();
  this->Finish(lost != nullptr && lost->silent
                   ? AttemptFailure::kNoAnswer
                   : AttemptFailure::kConnectionLost);
}

void StatementAttempt::SendStatement() {
  if (this->EndIfBarred()) return;
  const std::optional<common::LogPosition> bound =
      this->request.use == TransactionUse::kNone && !this->request.writes
          ? this->request.min_position
          : std::nullopt;
  const std::string command =
      this->request.shape.has_value()
          ? this->codec->EncodeExecute(
                this->request.statement,
                this->channel->State().PreparedName(*this->request.shape),
                bound)
          : this->codec->EncodeStatement(this->request.statement, bound);
  this->statement_sent = true;
  this->channel->Send(
      command, this->request.statement_timeout,
      [weak = this->weak_from_this()](const ChannelResult& result) {
        const auto attempt = weak.lock();
        if (attempt != nullptr && attempt->observers.done) {
          attempt->OnAnswer(result);
        }
      });
  this->observers.sent();
}

void StatementAttempt::OnAnswer(const ChannelResult& result) {
  if (const auto* lost = std::get_if<ChannelLost>(&result)) {
    this->CloseChannel();
    this->Finish(lost->silent ? AttemptFailure::kNoAnswer
                              : AttemptFailure::kConnectionLost);
    return;
  }
  const EndpointAnswer& answer = std::get<EndpointAnswer>(result);
  if (answer.error.has_value()) {
    this->OnRefused(answer);
    return;
  }
  if (!IsSigned(answer)) {
    this->CloseChannel();
    this->Finish(AttemptFailure::kNoSignature);
    return;
  }
  if (answer.phase == TransactionPhase::kIdle) this->ReleaseChannel();
  this->Finish(answer);
}

bool StatementAttempt::TryRepeat(const EndpointAnswer& answer) {
  const StatementError code = answer.error->code;
  const bool may_repeat = this->request.use == TransactionUse::kContinues &&
                          answer.phase == TransactionPhase::kOpen &&
                          (code == StatementError::kBusy ||
                           code == StatementError::kNoSuchStatement) &&
                          ++this->repetitions <= kMaxBusyRepetitions;
  if (!may_repeat) return false;
  this->timer = this->loop->After(kBusyRetryPause, [this] {
    const auto keep = this->shared_from_this();
    if (this->channel->Usable()) {
      this->Prepare();
      return;
    }
    // The endpoint has refused the statement, and it was not sent again.
    this->CloseChannel();
    this->Finish(AttemptFailure::kPreparationFailed);
  });
  return true;
}

void StatementAttempt::OnRefused(const EndpointAnswer& answer) {
  if (answer.error->code == StatementError::kNoSuchStatement &&
      this->request.shape.has_value()) {
    this->channel->State().ForgetPrepared(*this->request.shape);
  }
  if (this->TryRepeat(answer)) return;
  if (this->request.use != TransactionUse::kContinues) {
    // A transaction that the client does not know of yet is rolled back by
    // closing the channel.
    if (answer.phase != TransactionPhase::kIdle) this->channel->Close();
    this->ReleaseChannel();
  }
  this->Finish(answer);
}

void StatementAttempt::ReleaseChannel() {
  if (this->channel == nullptr) return;
  ReturnToPool(std::exchange(this->channel, nullptr));
}

void StatementAttempt::CloseChannel() {
  if (this->channel == nullptr) return;
  this->channel->Close();
  this->ReleaseChannel();
}

void StatementAttempt::Finish(
    std::variant<EndpointAnswer, AttemptFailure> outcome) {
  const auto keep = this->shared_from_this();
  this->timer.reset();
  const auto done = std::exchange(this->observers.done, nullptr);
  done(
      AttemptResult{std::move(outcome), std::exchange(this->channel, nullptr)});
}

}  // namespace camphorferry::session
