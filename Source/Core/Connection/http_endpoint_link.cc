#include "Connection/http_endpoint_link.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace camphorferry::connection {

namespace {

using nlohmann::json;

json PositionToJson(common::LogPosition position) {
  return json::array({position.term, position.index});
}

common::LogPosition PositionFromJson(const json& value) {
  return {value.at(0).get<common::Term>(), value.at(1).get<common::LogIndex>()};
}

/// JSON body of a response. Null if there is no response; discarded if the body
/// is not JSON.
json ParseBody(const HttpResult& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr) return nullptr;
  return json::parse(response->body, nullptr, /*allow_exceptions=*/false);
}

/// Builds the request body. The operations are JSON text already and are
/// inserted without parsing them again.
std::string BuildExecuteBody(const StatementCall& call) {
  json fields = {{"request_id", call.request_id}};
  if (call.is_write) {
    fields["term"] = call.term;
  } else {
    fields["min_position"] = PositionToJson(call.min_position);
    fields["wait_ms"] = common::ToMilliseconds(call.wait).count();
  }
  if (call.max_age) {
    fields["max_age_ms"] = common::ToMilliseconds(*call.max_age).count();
  }
  if (!call.idempotency_key.empty()) {
    fields["idempotency"] = {{"workspace", call.workspace.Value()},
                             {"key", call.idempotency_key},
                             {"digest", call.idempotency_digest}};
  }
  std::string body = fields.dump();
  body.pop_back();
  return body + ",\"operations\":" + call.operations + "}";
}

request::Outcome DoneFromJson(json& body) {
  request::Done done;
  done.results = std::move(body.at("results"));
  done.position = PositionFromJson(body.at("position"));
  done.served_by_primary = body.at("role") == "primary";
  done.age = std::chrono::milliseconds(body.value("age_ms", std::int64_t{0}));
  return done;
}

/// A response that is not understood leaves the outcome unknown, because the
/// statement may have run.
request::Outcome OutcomeFromJson(json& body) {
  if (!body.is_object()) {
    return request::Unknown{request::UnknownReason::kNoAnswer};
  }
  if (body.value("outcome", "") == "done") return DoneFromJson(body);
  const auto reason =
      request::NotRunReasonFromName(body.value("reason", std::string()));
  if (body.value("outcome", "") != "not_run" || !reason) {
    return request::Unknown{request::UnknownReason::kNoAnswer};
  }
  return request::NotRun{*reason, std::nullopt};
}

StatementReply ParseStatementReply(const HttpResult& result) {
  if (const auto* failure = std::get_if<HttpFailure>(&result)) {
    if (*failure == HttpFailure::kNotSent) {
      return {request::NotRun{request::NotRunReason::kEndpointUnreachable,
                              std::nullopt},
              0};
    }
    return {request::Unknown{request::UnknownReason::kNoAnswer}, 0};
  }
  json body = ParseBody(result);
  try {
    StatementReply reply;
    reply.term = body.is_object() ? body.value("term", common::Term{0})
                                  : common::Term{0};
    reply.outcome = OutcomeFromJson(body);
    return reply;
  } catch (const json::exception&) {
    return {request::Unknown{request::UnknownReason::kNoAnswer}, 0};
  }
}

/// Parses the reply to a control call with the given function. A malformed
/// reply counts as a timeout.
template <typename Answer, typename Read>
ControlResult<Answer> ParseControlReply(const HttpResult& result, Read read) {
  const auto* failure = std::get_if<HttpFailure>(&result);
  if (failure != nullptr && *failure == HttpFailure::kNotSent) {
    return ControlFailure::kRefused;
  }
  const json body = ParseBody(result);
  if (!body.is_object()) return ControlFailure::kTimedOut;
  try {
    return read(body);
  } catch (const json::exception&) {
    return ControlFailure::kTimedOut;
  }
}

EndpointStatus StatusFromJson(const json& body) {
  EndpointStatus status;
  status.term = body.at("term").get<common::Term>();
  status.fence = body.at("fence").get<common::Term>();
  status.role = body.at("role") == "primary" ? request::EndpointRole::kPrimary
                                             : request::EndpointRole::kReplica;
  status.position = PositionFromJson(body.at("position"));
  return status;
}

FenceReply FenceFromJson(const json& body) {
  FenceReply reply;
  reply.granted = body.at("granted").get<bool>();
  reply.fence = body.at("fence").get<common::Term>();
  reply.proposer = body.at("proposer").get<std::string>();
  reply.position = PositionFromJson(body.at("position"));
  return reply;
}

ControlAccepted AcceptedFromJson(const json& body) {
  return {body.at("accepted").get<bool>()};
}

}  // namespace

HttpEndpointLink::HttpEndpointLink(EventLoop* loop,
                                   const SocketAddress& address)
    : connection(loop, address) {}

void HttpEndpointLink::Execute(const StatementCall& call,
                               common::Duration timeout,
                               std::function<void(StatementReply)> done) {
  this->Post("/v1/execute", BuildExecuteBody(call), timeout,
             [done = std::move(done)](const HttpResult& result) {
               done(ParseStatementReply(result));
             });
}

void HttpEndpointLink::Confirm(common::LogPosition position,
                               common::Duration wait, common::Duration timeout,
                               std::function<void(ConfirmReply)> done) {
  const json body = {{"position", PositionToJson(position)},
                     {"wait_ms", common::ToMilliseconds(wait).count()}};
  const auto read = [](const json& answer) {
    ConfirmReply reply;
    reply.answered = true;
    reply.held = answer.at("held").get<bool>();
    reply.fence = answer.at("fence").get<common::Term>();
    reply.position = PositionFromJson(answer.at("position"));
    return reply;
  };
  this->Post("/v1/confirm", body.dump(), timeout,
             [done = std::move(done), read](const HttpResult& result) {
               const auto reply = ParseControlReply<ConfirmReply>(result, read);
               const auto* answer = std::get_if<ConfirmReply>(&reply);
               done(answer == nullptr ? ConfirmReply{} : *answer);
             });
}

void HttpEndpointLink::Status(
    common::Duration timeout,
    std::function<void(ControlResult<EndpointStatus>)> done) {
  HttpRequest request;
  request.path = "/v1/status";
  this->connection.Send(
      request, timeout, [done = std::move(done)](const HttpResult& result) {
        done(ParseControlReply<EndpointStatus>(result, StatusFromJson));
      });
}

void HttpEndpointLink::Fence(
    common::Term term, const std::string& proposer, common::Duration timeout,
    std::function<void(ControlResult<FenceReply>)> done) {
  const json body = {{"term", term}, {"proposer", proposer}};
  this->Post("/v1/fence", body.dump(), timeout,
             [done = std::move(done)](const HttpResult& result) {
               done(ParseControlReply<FenceReply>(result, FenceFromJson));
             });
}

void HttpEndpointLink::Promote(
    common::Term term, const std::string& proposer, common::Duration timeout,
    std::function<void(ControlResult<ControlAccepted>)> done) {
  const json body = {{"term", term}, {"proposer", proposer}};
  this->Post(
      "/v1/promote", body.dump(), timeout,
      [done = std::move(done)](const HttpResult& result) {
        done(ParseControlReply<ControlAccepted>(result, AcceptedFromJson));
      });
}

void HttpEndpointLink::Follow(
    common::Term term, const std::string& proposer,
    const std::string& primary_address, common::Duration timeout,
    std::function<void(ControlResult<ControlAccepted>)> done) {
  const json body = {
      {"term", term}, {"proposer", proposer}, {"primary", primary_address}};
  this->Post(
      "/v1/follow", body.dump(), timeout,
      [done = std::move(done)](const HttpResult& result) {
        done(ParseControlReply<ControlAccepted>(result, AcceptedFromJson));
      });
}

bool HttpEndpointLink::Busy() const { return this->connection.Busy(); }

bool HttpEndpointLink::Usable() const { return this->connection.Usable(); }

void HttpEndpointLink::Post(const std::string& path, const std::string& body,
                            common::Duration timeout,
                            HttpClientConnection::Callback callback) {
  HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.headers["Content-Type"] = "application/json";
  request.body = body;
  this->connection.Send(request, timeout, std::move(callback));
}

}  // namespace camphorferry::connection
