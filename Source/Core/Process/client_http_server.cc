#include "Process/client_http_server.h"

#include <utility>

namespace camphorferry::process {

namespace {

constexpr char kBearer[] = "Bearer ";

/// The Authorization header uses another scheme than Bearer.
class UnknownKeySchemeError : public common::Error {
 public:
  UnknownKeySchemeError() : Error("expected Authorization: Bearer KEY") {}
};

std::string ReadKey(const connection::HttpRequest& request) {
  const std::string& header = request.Header("authorization");
  if (header.empty()) return "";
  if (!header.starts_with(kBearer)) throw UnknownKeySchemeError();
  return header.substr(sizeof(kBearer) - 1);
}

connection::HttpResponse TextResponse(int status, const std::string& text) {
  connection::HttpResponse response;
  response.status = status;
  response.headers["Content-Type"] = "text/plain; charset=utf-8";
  response.body = text;
  return response;
}

}  // namespace

ClientHttpServer::ClientHttpServer(connection::EventLoop* loop,
                                   const connection::SocketAddress& address,
                                   RequestContext* context,
                                   std::function<bool()> ready)
    : context(context),
      ready(std::move(ready)),
      server(
          loop, address, connection::HttpServerLimits{},
          [this](const connection::HttpRequest& request, Responder responder) {
            this->OnRequest(request, std::move(responder));
          }) {}

void ClientHttpServer::OnRequest(const connection::HttpRequest& request,
                                 Responder responder) {
  constexpr int kHttpNotFound = 404;
  constexpr int kHttpUnavailable = 503;
  if (request.path == "/v1/statement" && request.method == "POST") {
    this->OnStatement(request, std::move(responder));
    return;
  }
  if (request.path == "/healthz") {
    responder->Send(TextResponse(200, "ok\n"));
    return;
  }
  if (request.path == "/readyz") {
    const bool is_ready = this->ready();
    responder->Send(TextResponse(is_ready ? 200 : kHttpUnavailable,
                                 is_ready ? "ready\n" : "not ready\n"));
    return;
  }
  responder->Send(TextResponse(kHttpNotFound, "unknown path\n"));
}

void ClientHttpServer::OnStatement(const connection::HttpRequest& request,
                                   Responder responder) {
  const std::string generated = std::to_string(this->context->random());
  const std::string request_id =
      request::RequestIdOrGenerated(request.headers, generated);
  const auto reject = [&](request::NotRunReason reason) {
    this->Answer(responder, request_id,
                 {request::NotRun{reason, std::nullopt}, ""});
  };
  try {
    request::RequestRecord record =
        request::RequestRecord::Parse(request.headers, request.body, generated,
                                      common::SteadyNow(), common::WallNow());
    std::make_shared<RequestTask>(
        this->context, std::move(record), ReadKey(request),
        [this, responder, request_id](const RequestAnswer& answer) {
          this->Answer(responder, request_id, answer);
        })
        ->Start();
  } catch (const UnknownKeySchemeError&) {
    reject(request::NotRunReason::kUnknownKey);
  } catch (const common::Error& error) {
    reject(request::RefusalReason(error).value_or(
        request::NotRunReason::kBadRequest));
  }
}

void ClientHttpServer::Answer(const Responder& responder,
                              const std::string& request_id,
                              const RequestAnswer& answer) {
  connection::HttpResponse response;
  response.status = request::HttpStatus(answer.outcome);
  response.headers["Content-Type"] = "application/json";
  if (!answer.session.empty()) {
    response.headers["Camphorferry-Session"] = answer.session;
  }
  response.close = this->context->draining;
  response.body =
      request::OutcomeToJson(answer.outcome, request_id).dump() + "\n";
  this->context->counters->Add("client_answers_" +
                               std::to_string(response.status));
  responder->Send(response);
}

}  // namespace camphorferry::process
