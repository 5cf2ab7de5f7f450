#include "Process/peer_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorferry::process {

namespace {

using common::ToMilliseconds;
using std::chrono::milliseconds;

void SetOutcome(const request::Outcome& outcome,
                peer::v1::ExecuteReply* message) {
  std::visit(
      common::Overloaded{
          [message](const request::Done& done) {
            message->set_outcome(peer::v1::ExecuteReply::OUTCOME_DONE);
            message->set_results(done.results.dump());
            ToMessage(done.position, message->mutable_position());
            message->set_served_by_primary(done.served_by_primary);
            message->set_age_ms(ToMilliseconds(done.age).count());
          },
          [message](const request::NotRun& not_run) {
            message->set_outcome(peer::v1::ExecuteReply::OUTCOME_NOT_RUN);
            message->set_reason(
                std::string(request::ReasonName(not_run.reason)));
            if (not_run.retry_after) {
              message->set_retry_after_ms(
                  ToMilliseconds(*not_run.retry_after).count());
            }
          },
          [message](const request::Unknown& unknown) {
            message->set_outcome(peer::v1::ExecuteReply::OUTCOME_UNKNOWN);
            message->set_reason(
                std::string(request::ReasonName(unknown.reason)));
          }},
      outcome);
}

request::Outcome DoneFrom(const peer::v1::ExecuteReply& message) {
  request::Done done;
  done.results = nlohmann::json::parse(message.results(), nullptr, false);
  if (done.results.is_discarded()) {
    return request::Unknown{request::UnknownReason::kNoAnswer};
  }
  done.position = FromMessage(message.position());
  done.served_by_primary = message.served_by_primary();
  done.age = milliseconds(message.age_ms());
  return done;
}

request::Outcome OutcomeFrom(const peer::v1::ExecuteReply& message) {
  if (message.outcome() == peer::v1::ExecuteReply::OUTCOME_DONE) {
    return DoneFrom(message);
  }
  const auto reason = request::NotRunReasonFromName(message.reason());
  if (message.outcome() == peer::v1::ExecuteReply::OUTCOME_NOT_RUN && reason) {
    request::NotRun not_run{*reason, std::nullopt};
    if (message.retry_after_ms() > 0) {
      not_run.retry_after = milliseconds(message.retry_after_ms());
    }
    return not_run;
  }
  const auto unknown = request::UnknownReasonFromName(message.reason());
  return request::Unknown{unknown.value_or(request::UnknownReason::kNoAnswer)};
}

peer::v1::PeerState ToState(PeerState state) {
  switch (state) {
    case PeerState::kStarting:
      return peer::v1::PEER_STATE_STARTING;
    case PeerState::kLive:
      return peer::v1::PEER_STATE_LIVE;
    case PeerState::kDraining:
      return peer::v1::PEER_STATE_DRAINING;
  }
  return peer::v1::PEER_STATE_UNSPECIFIED;
}

PeerState FromState(peer::v1::PeerState state) {
  if (state == peer::v1::PEER_STATE_LIVE) return PeerState::kLive;
  if (state == peer::v1::PEER_STATE_DRAINING) return PeerState::kDraining;
  return PeerState::kStarting;
}

}  // namespace

void ToMessage(common::LogPosition position, peer::v1::LogPosition* message) {
  message->set_term(position.term);
  message->set_index(position.index);
}

common::LogPosition FromMessage(const peer::v1::LogPosition& message) {
  return {message.term(), message.index()};
}

peer::v1::ExecuteRequest ToMessage(const connection::StatementCall& call,
                                   common::SteadyTime now) {
  peer::v1::ExecuteRequest message;
  message.set_request_id(call.request_id);
  message.set_workspace(call.workspace.Value());
  message.set_weight(call.weight);
  message.set_service(call.service.Value());
  message.set_endpoint(call.endpoint.Value());
  message.set_operations(call.operations);
  message.set_is_write(call.is_write);
  message.set_term(call.term);
  message.set_idempotency_key(call.idempotency_key);
  message.set_idempotency_digest(call.idempotency_digest);
  ToMessage(call.min_position, message.mutable_min_position());
  message.set_wait_ms(ToMilliseconds(call.wait).count());
  message.set_max_age_ms(call.max_age ? ToMilliseconds(*call.max_age).count()
                                      : -1);
  message.set_deadline_ms(ToMilliseconds(call.deadline - now).count());
  return message;
}

connection::StatementCall FromMessage(const peer::v1::ExecuteRequest& message,
                                      common::SteadyTime now) {
  connection::StatementCall call;
  call.request_id = message.request_id();
  call.workspace = common::WorkspaceId(message.workspace());
  call.weight = std::max(message.weight(), 1U);
  call.service = common::ServiceId(message.service());
  call.endpoint = common::EndpointId(message.endpoint());
  call.operations = message.operations();
  call.is_write = message.is_write();
  call.term = message.term();
  call.idempotency_key = message.idempotency_key();
  call.idempotency_digest = message.idempotency_digest();
  call.min_position = FromMessage(message.min_position());
  call.wait = milliseconds(message.wait_ms());
  if (message.max_age_ms() >= 0) {
    call.max_age = milliseconds(message.max_age_ms());
  }
  call.deadline = now + milliseconds(message.deadline_ms());
  return call;
}

peer::v1::ExecuteReply ToMessage(const connection::StatementReply& reply) {
  peer::v1::ExecuteReply message;
  SetOutcome(reply.outcome, &message);
  message.set_term(reply.term);
  message.set_primary_endpoint(reply.primary.endpoint.Value());
  message.set_primary_term(reply.primary.term);
  return message;
}

connection::StatementReply FromMessage(const peer::v1::ExecuteReply& message) {
  const connection::PrimaryHint primary{
      common::EndpointId(message.primary_endpoint()), message.primary_term()};
  return {OutcomeFrom(message), message.term(), primary};
}

peer::v1::ConfirmReply ToMessage(const connection::ConfirmReply& reply) {
  peer::v1::ConfirmReply message;
  message.set_answered(reply.answered);
  message.set_held(reply.held);
  message.set_fence(reply.fence);
  ToMessage(reply.position, message.mutable_position());
  return message;
}

connection::ConfirmReply FromMessage(const peer::v1::ConfirmReply& message) {
  return {message.answered(), message.held(), message.fence(),
          FromMessage(message.position())};
}

peer::v1::HeartbeatMessage ToMessage(const HeartbeatExchange& exchange) {
  const PeerHeartbeat& heartbeat = exchange.heartbeat;
  peer::v1::HeartbeatMessage message;
  message.set_host(heartbeat.host.Value());
  message.set_incarnation(heartbeat.incarnation);
  message.set_failure_domain(heartbeat.domain.Value());
  message.set_state(ToState(heartbeat.state));
  message.set_configuration_version(exchange.configuration_version);
  for (const PeerReport& report : heartbeat.reports) {
    peer::v1::PeerReport* entry = message.add_reports();
    entry->set_host(report.host.Value());
    entry->set_incarnation(report.incarnation);
    entry->set_failure_domain(report.domain.Value());
    entry->set_state(ToState(report.state));
    entry->set_silent(report.silent);
    entry->set_age_ms(ToMilliseconds(report.age).count());
  }
  return message;
}

HeartbeatExchange FromMessage(const peer::v1::HeartbeatMessage& message) {
  HeartbeatExchange exchange;
  PeerHeartbeat& heartbeat = exchange.heartbeat;
  heartbeat.host = common::HostId(message.host());
  heartbeat.incarnation = message.incarnation();
  heartbeat.domain = common::FailureDomainId(message.failure_domain());
  heartbeat.state = FromState(message.state());
  exchange.configuration_version = message.configuration_version();
  for (const peer::v1::PeerReport& entry : message.reports()) {
    PeerReport report;
    report.host = common::HostId(entry.host());
    report.incarnation = entry.incarnation();
    report.domain = common::FailureDomainId(entry.failure_domain());
    report.state = FromState(entry.state());
    report.silent = entry.silent();
    report.age = milliseconds(entry.age_ms());
    heartbeat.reports.push_back(std::move(report));
  }
  return exchange;
}

}  // namespace camphorferry::process
