#include "Session/statement_messages.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

// The conversions below would hide those of the header.
using session::FromMessage;
using session::ToMessage;

fleet::v1::TransactionUse ToMessage(TransactionUse use) {
  switch (use) {
    case TransactionUse::kNone:
      return fleet::v1::NONE;
    case TransactionUse::kOpens:
      return fleet::v1::OPENS;
    case TransactionUse::kContinues:
      return fleet::v1::CONTINUES;
  }
  return fleet::v1::NONE;
}

TransactionUse FromMessage(fleet::v1::TransactionUse use) {
  switch (use) {
    case fleet::v1::OPENS:
      return TransactionUse::kOpens;
    case fleet::v1::CONTINUES:
      return TransactionUse::kContinues;
    default:
      return TransactionUse::kNone;
  }
}

fleet::v1::TransactionPhase ToMessage(TransactionPhase phase) {
  switch (phase) {
    case TransactionPhase::kIdle:
      return fleet::v1::IDLE;
    case TransactionPhase::kOpen:
      return fleet::v1::OPEN;
    case TransactionPhase::kFailed:
      return fleet::v1::FAILED;
  }
  return fleet::v1::FAILED;
}

TransactionPhase FromMessage(fleet::v1::TransactionPhase phase) {
  switch (phase) {
    case fleet::v1::IDLE:
      return TransactionPhase::kIdle;
    case fleet::v1::OPEN:
      return TransactionPhase::kOpen;
    default:
      return TransactionPhase::kFailed;
  }
}

fleet::v1::StatementFailure ToMessage(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNoFreeChannel:
    case AttemptFailure::kOverloaded:
      return fleet::v1::NO_FREE_CHANNEL;
    case AttemptFailure::kUnreachable:
      return fleet::v1::UNREACHABLE;
    case AttemptFailure::kWrongEndpoint:
      return fleet::v1::WRONG_ENDPOINT;
    case AttemptFailure::kPreparationFailed:
      return fleet::v1::PREPARATION_FAILED;
    case AttemptFailure::kPreparationUnanswered:
      return fleet::v1::PREPARATION_UNANSWERED;
    case AttemptFailure::kStopping:
      return fleet::v1::STOPPING;
    case AttemptFailure::kNoTransaction:
      return fleet::v1::NO_TRANSACTION;
    case AttemptFailure::kUnauthorized:
      return fleet::v1::UNAUTHORIZED;
    case AttemptFailure::kOtherCaller:
      return fleet::v1::OTHER_CALLER;
    case AttemptFailure::kExpired:
      return fleet::v1::EXPIRED;
    case AttemptFailure::kConnectionLost:
      return fleet::v1::CONNECTION_LOST;
    case AttemptFailure::kNoAnswer:
      return fleet::v1::NO_ANSWER;
    case AttemptFailure::kNoSignature:
      return fleet::v1::NO_SIGNATURE;
  }
  return fleet::v1::NO_ANSWER;
}

/// Failures that this daemon does not know are taken as those after which the
/// statement may have run.
AttemptFailure FromMessage(fleet::v1::StatementFailure failure) {
  switch (failure) {
    case fleet::v1::NO_FREE_CHANNEL:
      return AttemptFailure::kNoFreeChannel;
    case fleet::v1::UNREACHABLE:
      return AttemptFailure::kUnreachable;
    case fleet::v1::WRONG_ENDPOINT:
      return AttemptFailure::kWrongEndpoint;
    case fleet::v1::PREPARATION_FAILED:
      return AttemptFailure::kPreparationFailed;
    case fleet::v1::PREPARATION_UNANSWERED:
      return AttemptFailure::kPreparationUnanswered;
    case fleet::v1::STOPPING:
      return AttemptFailure::kStopping;
    case fleet::v1::NO_TRANSACTION:
      return AttemptFailure::kNoTransaction;
    case fleet::v1::UNAUTHORIZED:
      return AttemptFailure::kUnauthorized;
    case fleet::v1::OTHER_CALLER:
      return AttemptFailure::kOtherCaller;
    case fleet::v1::EXPIRED:
      return AttemptFailure::kExpired;
    case fleet::v1::CONNECTION_LOST:
      return AttemptFailure::kConnectionLost;
    case fleet::v1::NO_SIGNATURE:
      return AttemptFailure::kNoSignature;
    default:
      return AttemptFailure::kNoAnswer;
  }
}

void SetAnswer(const EndpointAnswer& answer,
               fleet::v1::StatementReply* message) {
  for (const std::string& row : answer.rows) message->add_rows(row);
  if (answer.signature.has_value()) message->set_signature(*answer.signature);
  message->set_phase(ToMessage(answer.phase));
  if (answer.position.has_value()) {
    *message->mutable_position() = ToMessage(*answer.position);
  }
  if (answer.error.has_value()) {
    message->set_error_code(static_cast<std::uint32_t>(answer.error->code));
    message->set_error_text(answer.error->text);
  }
}

EndpointAnswer AnswerOf(const fleet::v1::StatementReply& message) {
  EndpointAnswer answer;
  answer.rows.assign(message.rows().begin(), message.rows().end());
  if (message.has_signature()) answer.signature = message.signature();
  answer.phase = FromMessage(message.phase());
  if (message.has_position()) {
    answer.position = FromMessage(message.position());
  }
  if (message.has_error_code()) {
    answer.error =
        EndpointError{static_cast<StatementError>(message.error_code()),
                      message.error_text()};
  }
  return answer;
}

std::uint32_t Milliseconds(common::Duration duration) {
  return static_cast<std::uint32_t>(common::ToMilliseconds(duration).count());
}

}  // namespace

fleet::v1::Position ToMessage(const common::LogPosition& position) {
  fleet::v1::Position message;
  message.set_term(position.term);
  message.set_index(position.index);
  return message;
}

common::LogPosition FromMessage(const fleet::v1::Position& message) {
  return {message.term(), message.index()};
}

fleet::v1::StatementRequest ToMessage(const ForwardedStatement& request) {
  const AttemptRequest& attempt = request.attempt;
  fleet::v1::StatementRequest message;
  message.set_host(request.requester.Value());
  message.set_service(request.service.Value());
  message.set_endpoint(request.endpoint.Value());
  message.set_workspace(attempt.caller);
  message.set_request_id(attempt.statement.request_id);
  message.set_text(attempt.shape.has_value() ? attempt.statement.argument
                                             : attempt.statement.text);
  if (attempt.shape.has_value()) {
    message.mutable_prepared()->set_writes(attempt.shape->access ==
                                           AccessKind::kWrite);
    message.mutable_prepared()->set_shape(attempt.shape->shape);
  }
  message.set_commits(attempt.statement.kind == StatementKind::kCommit);
  message.set_use(ToMessage(attempt.use));
  message.set_read_only(attempt.read_only);
  message.set_writes(attempt.writes);
  if (attempt.min_position.has_value()) {
    *message.mutable_min_position() = ToMessage(*attempt.min_position);
  }
  for (const auto& [name, value] : attempt.values) {
    fleet::v1::SessionValue* entry = message.add_values();
    entry->set_name(name);
    entry->set_value(value);
  }
  message.set_priority(attempt.priority);
  message.set_channel_wait_ms(Milliseconds(attempt.channel_wait));
  message.set_statement_timeout_ms(Milliseconds(attempt.statement_timeout));
  message.set_transaction(request.transaction);
  if (request.claim.has_value()) {
    fleet::v1::AccessClaim* claim = message.mutable_claim();
    claim->set_key_digest(request.claim->key_digest);
    claim->set_open(request.claim->open);
    claim->set_version(request.claim->version);
  }
  const common::SteadyTime now = common::SteadyNow();
  if (attempt.waiting_since.has_value()) {
    message.set_waited_ms(Milliseconds(now - *attempt.waiting_since));
  }
  if (attempt.channel_deadline.has_value()) {
    message.set_may_wait_ms(Milliseconds(
        std::max(*attempt.channel_deadline - now, common::Duration::zero())));
  }
  return message;
}

ForwardedStatement FromMessage(const fleet::v1::StatementRequest& message) {
  ForwardedStatement request;
  request.requester = common::HostId(message.host());
  request.service = common::ServiceId(message.service());
  request.endpoint = common::EndpointId(message.endpoint());
  request.transaction = message.transaction();
  if (message.has_claim()) {
    request.claim =
        AccessClaim{message.claim().key_digest(), message.claim().open(),
                    message.claim().version()};
  }
  AttemptRequest& attempt = request.attempt;
  attempt.caller = message.workspace();
  attempt.statement.request_id = message.request_id();
  attempt.writes = message.writes();
  if (message.has_prepared()) {
    attempt.shape = PreparedShape{
        message.prepared().writes() ? AccessKind::kWrite : AccessKind::kRead,
        message.prepared().shape()};
    attempt.statement.kind = StatementKind::kExecute;
    attempt.statement.argument = message.text();
  } else {
    attempt.statement.kind = message.commits() ? StatementKind::kCommit
                             : attempt.writes  ? StatementKind::kWrite
                                               : StatementKind::kRead;
    attempt.statement.text = message.text();
  }
  attempt.use = FromMessage(message.use());
  attempt.read_only = message.read_only();
  if (message.has_min_position()) {
    attempt.min_position = FromMessage(message.min_position());
  }
  for (const auto& entry : message.values()) {
    attempt.values[entry.name()] = entry.value();
  }
  attempt.priority = message.priority();
  attempt.channel_wait = std::chrono::milliseconds(message.channel_wait_ms());
  attempt.statement_timeout =
      std::chrono::milliseconds(message.statement_timeout_ms());
  const common::SteadyTime now = common::SteadyNow();
  if (message.has_waited_ms()) {
    attempt.waiting_since =
        now - std::chrono::milliseconds(message.waited_ms());
  }
  if (message.has_may_wait_ms()) {
    attempt.channel_deadline =
        now + std::chrono::milliseconds(message.may_wait_ms());
  }
  return request;
}

fleet::v1::StatementReply ToMessage(const ForwardedResult& result) {
  fleet::v1::StatementReply message;
  if (const auto* answer = std::get_if<EndpointAnswer>(&result.outcome)) {
    SetAnswer(*answer, &message);
  } else {
    const auto failure = std::get<AttemptFailure>(result.outcome);
    message.set_failure(ToMessage(failure));
    message.set_overloaded(failure == AttemptFailure::kOverloaded);
  }
  message.set_transaction(result.transaction);
  return message;
}

ForwardedResult FromMessage(const fleet::v1::StatementReply& message) {
  ForwardedResult result;
  if (message.failure() == fleet::v1::NO_FAILURE) {
    EndpointAnswer answer = AnswerOf(message);
    if (answer.error.has_value() || IsSigned(answer)) {
      result.outcome = std::move(answer);
    } else {
      result.outcome = AttemptFailure::kNoSignature;
    }
  } else {
    result.outcome = message.overloaded() ? AttemptFailure::kOverloaded
                                          : FromMessage(message.failure());
  }
  result.transaction = message.transaction();
  return result;
}

fleet::v1::EndTransactionRequest ToMessage(const TransactionEnd& request) {
  fleet::v1::EndTransactionRequest message;
  message.set_host(request.requester.Value());
  message.set_transaction(request.number);
  return message;
}

TransactionEnd FromMessage(const fleet::v1::EndTransactionRequest& message) {
  return {common::HostId(message.host()), message.transaction()};
}

fleet::v1::ProofReply ToMessage(
    const std::optional<common::LogPosition>& position) {
  fleet::v1::ProofReply message;
  if (position.has_value()) *message.mutable_position() = ToMessage(*position);
  return message;
}

std::optional<common::LogPosition> FromMessage(
    const fleet::v1::ProofReply& message) {
  if (!message.has_position()) return std::nullopt;
  return FromMessage(message.position());
}

}  // namespace camphorferry::session
