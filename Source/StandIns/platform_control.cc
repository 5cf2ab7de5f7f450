#include "StandIns/platform_control.h"

#include "StandIns/json_response.h"
#include "StandIns/message_reader.h"

namespace camphorferry::standins {

using connection::HttpRequest;
using connection::HttpResponder;
using connection::HttpResponse;

PlatformControl::PlatformControl(connection::EventLoop* loop,
                                 const connection::SocketAddress& address,
                                 PlatformServer* platform)
    : platform(platform),
      server(loop, address, connection::HttpServerLimits(),
             [this](const HttpRequest& request,
                    const std::shared_ptr<HttpResponder>& responder) {
               responder->Send(this->HandleRequest(request));
             }) {}

HttpResponse PlatformControl::HandleRequest(const HttpRequest& request) {
  if (request.method == "POST") {
    try {
      return this->HandlePost(request);
    } catch (const BadMessageError& error) {
      return RefusalResponse(kHttpBadRequest, "bad_request", error.what());
    }
  }
  if (request.path == "/control/faults") return this->FaultsResponse();
  if (request.path == "/control/calls") return this->CallsResponse();
  return RefusalResponse(kHttpNotFound, "unknown_call", request.path);
}

HttpResponse PlatformControl::HandlePost(const HttpRequest& request) {
  if (request.path == "/control/faults") {
    this->SetFaults(request.body);
    return this->FaultsResponse();
  }
  if (request.path == "/control/hosts") {
    this->platform->Directory()->SetHosts(request.body);
    return JsonResponse(kHttpOk, {{"accepted", true}});
  }
  if (request.path == "/control/groups") {
    this->platform->Directory()->SetGroup(request.body);
    return JsonResponse(kHttpOk, {{"accepted", true}});
  }
  return RefusalResponse(kHttpNotFound, "unknown_call", request.path);
}

void PlatformControl::SetFaults(const std::string& body) {
  MessageReader message(body);
  PlatformFaults faults = this->platform->Faults();
  if (message.Has("down")) faults.down = message.Boolean("down");
  faults.delay = message.Milliseconds("delay_ms").value_or(faults.delay);
  if (message.Has("lose_answers")) {
    faults.lose_answers = message.Unsigned("lose_answers");
  }
  message.RejectUnknownFields();
  this->platform->SetFaults(faults);
}

HttpResponse PlatformControl::FaultsResponse() const {
  const PlatformFaults& faults = this->platform->Faults();
  return JsonResponse(
      kHttpOk, {{"down", faults.down},
                {"delay_ms", common::ToMilliseconds(faults.delay).count()},
                {"lose_answers", faults.lose_answers}});
}

HttpResponse PlatformControl::CallsResponse() const {
  const PlatformCalls& calls = this->platform->Calls();
  return JsonResponse(kHttpOk, {{"reads", calls.reads},
                                {"writes", calls.writes},
                                {"watches", calls.watches},
                                {"lists", calls.lists}});
}

}  // namespace camphorferry::standins
