#include "StandIns/database_control.h"

#include <utility>

#include "StandIns/json_response.h"
#include "StandIns/message_reader.h"

namespace camphorferry::standins {

using connection::HttpRequest;
using connection::HttpResponder;
using connection::HttpResponse;

DatabaseControl::DatabaseControl(connection::EventLoop* loop,
                                 const connection::SocketAddress& address,
                                 DatabaseServer* database)
    : database(database),
      server(loop, address, connection::HttpServerLimits(),
             [this](const HttpRequest& request,
                    const std::shared_ptr<HttpResponder>& responder) {
               responder->Send(this->HandleRequest(request));
             }) {}

HttpResponse DatabaseControl::HandleRequest(const HttpRequest& request) {
  const std::string call = request.method + " " + request.path;
  try {
    if (call == "POST /control/faults") return this->SetFaults(request.body);
  } catch (const BadMessageError& error) {
    return RefusalResponse(kHttpBadRequest, "bad_request", error.what());
  }
  if (call == "GET /control/faults") return this->FaultsResponse();
  if (call == "GET /control/dump") {
    return JsonResponse(kHttpOk, this->database->Dump());
  }
  return RefusalResponse(kHttpNotFound, "unknown_call", call);
}

HttpResponse DatabaseControl::SetFaults(const std::string& body) {
  MessageReader message(body);
  DatabaseFaults faults = this->database->Faults();
  if (message.Has("isolated")) faults.isolated = message.Boolean("isolated");
  const bool silence_open =
      message.Has("silence_open") && message.Boolean("silence_open");
  faults.replication_delay = message.Milliseconds("replication_delay_ms")
                                 .value_or(faults.replication_delay);
  faults.statement_delay = message.Milliseconds("statement_delay_ms")
                               .value_or(faults.statement_delay);
  message.RejectUnknownFields();
  this->database->SetFaults(faults);
  if (silence_open) this->database->SilenceOpenConnections();
  return this->FaultsResponse();
}

HttpResponse DatabaseControl::FaultsResponse() const {
  const DatabaseFaults faults = this->database->Faults();
  return JsonResponse(
      kHttpOk, {{"isolated", faults.isolated},
                {"replication_delay_ms",
                 common::ToMilliseconds(faults.replication_delay).count()},
                {"statement_delay_ms",
                 common::ToMilliseconds(faults.statement_delay).count()}});
}

}  // namespace camphorferry::standins
