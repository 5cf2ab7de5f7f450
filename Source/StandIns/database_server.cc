#include "StandIns/database_server.h"

#include <chrono>
#include <utility>

#include "StandIns/json_response.h"

namespace camphorferry::standins {

namespace {

using connection::HttpRequest;
using connection::HttpResponder;
using connection::HttpResponse;
using nlohmann::json;

/// Maximum number of statements that wait for a slot; above the default
/// connection limit, with one statement for each connection.
constexpr std::size_t kMaxQueuedStatements = 64;

connection::HttpServerLimits ServerLimits() {
  connection::HttpServerLimits limits;
  // Silent connections must stay open for the duration of a test.
  limits.idle_timeout = std::chrono::hours(1);
  return limits;
}

common::SteadyTime Now() { return common::SteadyNow(); }

HttpResponse StatementResponse(const ExecuteMessage& message,
                               const ExecuteResult& result) {
  json body = ToJson(result);
  if (!message.request_id.empty()) body["request_id"] = message.request_id;
  return JsonResponse(HttpStatusOf(result), body);
}

HttpResponse TooManyConnectionsResponse() {
  constexpr request::NotRunReason kReason =
      request::NotRunReason::kTooManyConnections;
  HttpResponse response = RefusalResponse(
      kHttpUnavailable, std::string(request::ReasonName(kReason)), "");
  response.close = true;
  return response;
}

}  // namespace

DatabaseServer::DatabaseServer(connection::EventLoop* loop,
                               const DatabaseSettings& settings)
    : loop(loop),
      settings(settings),
      core(settings.id),
      waiters(loop),
      slots(settings.slots, kMaxQueuedStatements),
      puller(loop, &this->core, &this->network_faults,
             [this] { this->waiters.Notify(); }),
      server(loop, settings.listen, ServerLimits(),
             [this](HttpRequest request,
                    std::shared_ptr<HttpResponder> responder) {
               this->OnRequest(std::move(request), std::move(responder));
             }) {
  if (settings.primary) this->core.InitializeAsPrimary();
  if (settings.follow) {
    this->core.Follow(1, connection::ToString(*settings.follow));
  }
  this->puller.SetDelay(settings.replication_delay);
}

DatabaseFaults DatabaseServer::Faults() const {
  return DatabaseFaults{.isolated = this->network_faults.Isolated(),
                        .replication_delay = this->puller.Delay(),
                        .statement_delay = this->statement_delay};
}

void DatabaseServer::SetFaults(const DatabaseFaults& faults) {
  this->network_faults.SetIsolated(faults.isolated);
  this->puller.SetDelay(faults.replication_delay);
  this->statement_delay = faults.statement_delay;
}

json DatabaseServer::Dump() const {
  json dump = this->StatusJson();
  dump["id"] = this->core.Id();
  dump["tables"] = this->core.DumpTables();
  dump["log_length"] = this->core.LogLength();
  return dump;
}

void DatabaseServer::OnRequest(HttpRequest request,
                               std::shared_ptr<HttpResponder> responder) {
  const std::uint64_t id = request.connection_id;
  const bool first_request = this->network_faults.RegisterConnection(id);
  if (this->network_faults.IsSilent(id)) {
    this->network_faults.HoldUnanswered(std::move(responder));
    return;
  }
  const ResponseCallback respond = [this, id, responder = std::move(responder)](
                                       const HttpResponse& response) {
    this->network_faults.Send(id, responder, response);
  };
  if (first_request &&
      this->server.OpenConnections() > this->settings.connections) {
    respond(TooManyConnectionsResponse());
    return;
  }
  if (!first_request ||
      this->settings.connect_delay == common::Duration::zero()) {
    this->Route(request, respond);
    return;
  }
  this->loop->RunLater(this->settings.connect_delay,
                       [this, request = std::move(request), respond] {
                         this->Route(request, respond);
                       });
}

void DatabaseServer::Route(const HttpRequest& request,
                           const ResponseCallback& respond) {
  // Handlers parse the whole request before they change state, so a rejected
  // request has had no effect.
  try {
    this->Dispatch(request, respond);
  } catch (const BadMessageError& error) {
    respond(RefusalResponse(kHttpBadRequest, "bad_request", error.what()));
  } catch (const request::BadOperationError& error) {
    respond(RefusalResponse(kHttpBadRequest, "bad_request", error.what()));
  } catch (const connection::BadSocketAddressError& error) {
    respond(RefusalResponse(kHttpBadRequest, "bad_request", error.what()));
  }
}

void DatabaseServer::Dispatch(const HttpRequest& request,
                              const ResponseCallback& respond) {
  const std::string call = request.method + " " + request.path;
  if (call == "GET /v1/status") return this->Status(respond);
  if (call == "POST /v1/execute") return this->Execute(request.body, respond);
  if (call == "POST /v1/confirm") return this->Confirm(request.body, respond);
  if (call == "POST /v1/fence") return this->Fence(request.body, respond);
  if (call == "POST /v1/promote") return this->Promote(request.body, respond);
  if (call == "POST /v1/follow") return this->Follow(request.body, respond);
  if (call == "POST /v1/replicate") {
    return this->Replicate(request.body, respond);
  }
  respond(RefusalResponse(kHttpNotFound, "unknown_call", call));
}

void DatabaseServer::Execute(const std::string& body,
                             const ResponseCallback& respond) {
  const ExecuteMessage message = ParseExecute(body);
  if (request::IsReadOnly(message.request.operations)) {
    this->WaitUntilCaughtUp(message, respond);
    return;
  }
  this->AcquireSlot(message, respond);
}

void DatabaseServer::WaitUntilCaughtUp(const ExecuteMessage& message,
                                       const ResponseCallback& respond) {
  // A waiting read holds no slot, since reads that wait at a lagging replica
  // would otherwise block all other statements.
  this->waiters.Wait(message.wait, [this, message, respond](bool expired) {
    if (!expired && this->core.IsLagging(message.request, Now())) return false;
    this->AcquireSlot(message, respond);
    return true;
  });
}

void DatabaseServer::AcquireSlot(const ExecuteMessage& message,
                                 const ResponseCallback& respond) {
  const bool accepted = this->slots.Submit(
      [this, message, respond] { this->RunStatement(message, respond); });
  if (accepted) return;
  respond(StatementResponse(
      message, ExecuteNotRun{.reason = request::NotRunReason::kQueueFull,
                             .term = this->core.Status(Now()).term}));
}

void DatabaseServer::RunStatement(const ExecuteMessage& message,
                                  const ResponseCallback& respond) {
  const ExecuteResult result = this->core.Execute(message.request, Now());
  if (!request::IsReadOnly(message.request.operations)) this->waiters.Notify();
  const auto finish = [this, respond,
                       response = StatementResponse(message, result)] {
    respond(response);
    this->slots.Release();
  };
  if (this->statement_delay == common::Duration::zero()) {
    finish();
    return;
  }
  // The delay follows the execution, so a fault during the delay leaves the
  // sender with an unknown outcome.
  this->loop->RunLater(this->statement_delay, finish);
}

void DatabaseServer::Confirm(const std::string& body,
                             const ResponseCallback& respond) {
  MessageReader message(body);
  const common::LogPosition position = message.Position("position");
  const common::Duration wait =
      message.Milliseconds("wait_ms").value_or(common::Duration::zero());
  message.RejectUnknownFields();
  this->waiters.Wait(wait, [this, position, respond](bool expired) {
    const ConfirmResult result = this->core.Confirm(position);
    const bool may_still_replicate =
        !result.held && result.fence <= position.term;
    if (may_still_replicate && !expired) return false;
    respond(
        JsonResponse(kHttpOk, {{"held", result.held},
                               {"fence", result.fence},
                               {"term", this->core.Status(Now()).term},
                               {"position", PositionToJson(result.position)}}));
    return true;
  });
}

void DatabaseServer::Status(const ResponseCallback& respond) {
  respond(JsonResponse(kHttpOk, this->StatusJson()));
}

void DatabaseServer::Fence(const std::string& body,
                           const ResponseCallback& respond) {
  MessageReader message(body);
  const common::Term term = message.Unsigned("term");
  const std::string proposer = message.Text("proposer");
  message.RejectUnknownFields();
  const FenceResult result = this->core.Fence(term, proposer);
  respond(JsonResponse(kHttpOk, {{"granted", result.granted},
                                 {"fence", result.fence},
                                 {"proposer", result.proposer},
                                 {"position", PositionToJson(result.position)},
                                 {"term", this->core.Status(Now()).term}}));
  this->waiters.Notify();
}

void DatabaseServer::Promote(const std::string& body,
                             const ResponseCallback& respond) {
  MessageReader message(body);
  const common::Term term = message.Unsigned("term");
  const std::string proposer = message.Text("proposer");
  message.RejectUnknownFields();
  const bool accepted = this->core.Promote(term, proposer);
  json status = this->StatusJson();
  status["accepted"] = accepted;
  respond(JsonResponse(kHttpOk, status));
  if (accepted) this->puller.Restart();
  this->waiters.Notify();
}

void DatabaseServer::Follow(const std::string& body,
                            const ResponseCallback& respond) {
  MessageReader message(body);
  const common::Term term = message.Unsigned("term");
  message.Text("proposer");
  const std::string primary = connection::ToString(
      connection::ParseSocketAddress(message.Text("primary")));
  message.RejectUnknownFields();
  const bool accepted = this->core.Follow(term, primary);
  json status = this->StatusJson();
  status["accepted"] = accepted;
  respond(JsonResponse(kHttpOk, status));
  if (accepted) this->puller.Restart();
  this->waiters.Notify();
}

void DatabaseServer::Replicate(const std::string& body,
                               const ResponseCallback& respond) {
  const ReplicateRequest request = ParseReplicateRequest(body);
  respond(JsonResponse(kHttpOk, ToJson(this->core.Replicate(request))));
}

json DatabaseServer::StatusJson() const {
  const DatabaseStatus status = this->core.Status(Now());
  return {{"term", status.term},
          {"fence", status.fence},
          {"role", RoleName(status.role)},
          {"position", PositionToJson(status.position)},
          // Entries are applied when they are appended.
          {"applied", PositionToJson(status.position)},
          {"age_ms", AgeToMilliseconds(status.age)},
          {"slots", this->slots.Slots()},
          {"running", this->slots.Running()},
          {"connections", this->settings.connections},
          {"open_connections", this->server.OpenConnections()}};
}

}  // namespace camphorferry::standins
