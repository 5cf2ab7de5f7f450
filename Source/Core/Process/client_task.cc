#include "Process/client_task.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace camphorferry::process {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kDefaultDeadline(5000);
/// Every admitted request ends inside the time that a shutdown allows.
constexpr std::chrono::seconds kMaxDeadline(25);
constexpr char kBearer[] = "Bearer ";

/// The request's headers or body are not valid.
class BadClientRequestError : public common::Error {
 public:
  BadClientRequestError(request::NotRunReason reason, const std::string& detail)
      : Error(detail), reason(reason) {}

  request::NotRunReason Reason() const { return this->reason; }

 private:
  request::NotRunReason reason;
};

std::optional<std::int64_t> ReadMilliseconds(
    const connection::HttpRequest& request, const std::string& header) {
  const std::string& text = request.Header(header);
  if (text.empty()) return std::nullopt;
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  const bool valid =
      parsed.ec == std::errc() && parsed.ptr == end && value >= 0;
  if (!valid) {
    throw BadClientRequestError(request::NotRunReason::kBadRequest,
                                header + " must be a number of milliseconds");
  }
  return value;
}

std::string ReadKey(const connection::HttpRequest& request) {
  const std::string& header = request.Header("authorization");
  if (header.empty()) return "";
  if (!header.starts_with(kBearer)) {
    throw BadClientRequestError(request::NotRunReason::kUnknownKey,
                                "expected Authorization: Bearer KEY");
  }
  return header.substr(sizeof(kBearer) - 1);
}

std::string ReadIdempotencyKey(const connection::HttpRequest& request) {
  const std::string& header = request.Header("idempotency-key");
  if (header.empty()) return "";
  try {
    return request::IdempotencyKey::Parse(header,
                                          std::chrono::system_clock::now())
        .Text();
  } catch (const request::IdempotencyKeyExpiredError& error) {
    throw BadClientRequestError(request::NotRunReason::kIdempotencyKeyExpired,
                                error.what());
  } catch (const request::BadIdempotencyKeyError& error) {
    throw BadClientRequestError(request::NotRunReason::kBadRequest,
                                error.what());
  }
}

void ReadBody(const std::string& text, ClientStatement* statement) {
  const json body = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object()) {
    throw BadClientRequestError(request::NotRunReason::kBadRequest,
                                "the body must be a JSON object");
  }
  const auto route = body.find("route");
  const auto operations = body.find("operations");
  if (route == body.end() || !route->is_string() || operations == body.end()) {
    throw BadClientRequestError(request::NotRunReason::kBadRequest,
                                "the body needs route and operations");
  }
  statement->route = common::RouteId(route->get<std::string>());
  statement->operations = request::ParseOperations(*operations);
  const auto repeatable = body.find("repeatable");
  if (repeatable == body.end()) return;
  if (!repeatable->is_boolean()) {
    throw BadClientRequestError(request::NotRunReason::kBadRequest,
                                "repeatable must be true or false");
  }
  statement->repeatable = repeatable->get<bool>();
}

ClientStatement ParseStatement(const connection::HttpRequest& request) {
  ClientStatement statement;
  statement.key = ReadKey(request);
  statement.session = request.Header("camphorferry-session");
  statement.idempotency_key = ReadIdempotencyKey(request);
  const std::int64_t deadline_ms =
      ReadMilliseconds(request, "camphorferry-deadline-ms")
          .value_or(kDefaultDeadline.count());
  statement.deadline =
      std::chrono::steady_clock::now() +
      std::min<common::Duration>(std::chrono::milliseconds(std::min(
                                     deadline_ms, std::int64_t{1'000'000})),
                                 kMaxDeadline);
  const auto max_age = ReadMilliseconds(request, "camphorferry-max-age-ms");
  if (max_age) statement.max_age = std::chrono::milliseconds(*max_age);
  ReadBody(request.body, &statement);
  return statement;
}

json OutcomeToJson(const request::Outcome& outcome) {
  return std::visit(
      common::Overloaded{
          [](const request::Done& done) {
            return json{
                {"outcome", "done"},
                {"results", done.results},
                {"served_by", done.served_by_primary ? "primary" : "replica"},
                {"age_ms", common::ToMilliseconds(done.age).count()}};
          },
          [](const request::NotRun& not_run) {
            json body = {{"outcome", "not_run"},
                         {"reason", request::ReasonName(not_run.reason)}};
            if (not_run.retry_after) {
              body["retry_after_ms"] =
                  common::ToMilliseconds(*not_run.retry_after).count();
            }
            return body;
          },
          [](const request::Unknown& unknown) {
            return json{{"outcome", "unknown"},
                        {"reason", request::ReasonName(unknown.reason)}};
          }},
      outcome);
}

connection::HttpResponse TextResponse(int status, const std::string& text) {
  connection::HttpResponse response;
  response.status = status;
  response.headers["Content-Type"] = "text/plain; charset=utf-8";
  response.body = text;
  return response;
}

}  // namespace

ClientTask::ClientTask(connection::EventLoop* loop,
                       const connection::SocketAddress& address,
                       RequestContext* context, std::function<bool()> ready)
    : context(context),
      ready(std::move(ready)),
      server(
          loop, address, connection::HttpServerLimits{},
          [this](const connection::HttpRequest& request, Responder responder) {
            this->OnRequest(request, std::move(responder));
          }) {}

void ClientTask::OnRequest(const connection::HttpRequest& request,
                           Responder responder) {
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
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
    responder->Send(TextResponse(is_ready ? 200 : kUnavailable,
                                 is_ready ? "ready\n" : "not ready\n"));
    return;
  }
  responder->Send(TextResponse(kNotFound, "unknown path\n"));
}

void ClientTask::OnStatement(const connection::HttpRequest& request,
                             Responder responder) {
  const std::string request_id = this->RequestIdOf(request);
  const auto refuse = [&](request::NotRunReason reason) {
    this->Answer(responder, request_id,
                 {request::NotRun{reason, std::nullopt}, ""});
  };
  ClientStatement statement;
  try {
    statement = ParseStatement(request);
  } catch (const BadClientRequestError& error) {
    refuse(error.Reason());
    return;
  } catch (const request::BadOperationError&) {
    refuse(request::NotRunReason::kBadRequest);
    return;
  }
  statement.request_id = request_id;
  std::make_shared<RequestTask>(
      this->context, std::move(statement),
      [this, responder, request_id](const RequestAnswer& answer) {
        this->Answer(responder, request_id, answer);
      })
      ->Start();
}

std::string ClientTask::RequestIdOf(const connection::HttpRequest& request) {
  constexpr std::size_t kMaxLength = 128;
  const std::string& given = request.Header("request-id");
  if (!given.empty() && given.size() <= kMaxLength) return given;
  return std::to_string(this->context->random());
}

void ClientTask::Answer(const Responder& responder,
                        const std::string& request_id,
                        const RequestAnswer& answer) {
  json body = OutcomeToJson(answer.outcome);
  body["request_id"] = request_id;
  connection::HttpResponse response;
  response.status = request::HttpStatus(answer.outcome);
  response.headers["Content-Type"] = "application/json";
  if (!answer.session.empty()) {
    response.headers["Camphorferry-Session"] = answer.session;
  }
  response.close = this->context->draining;
  response.body = body.dump() + "\n";
  this->context->counters->Add("client_answers_" +
                               std::to_string(response.status));
  responder->Send(response);
}

}  // namespace camphorferry::process
