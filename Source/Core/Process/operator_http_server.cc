#include "Process/operator_http_server.h"

#include <charconv>
#include <utility>
#include <vector>

namespace camphorferry::process {

namespace {

using nlohmann::json;

constexpr char kConfigurationPath[] = "config";
constexpr int kMaxApplyAttempts = 3;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

void SendJson(const std::shared_ptr<connection::HttpResponder>& responder,
              int status, const json& body) {
  connection::HttpResponse response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.body = body.dump() + "\n";
  responder->Send(response);
}

void SendText(const std::shared_ptr<connection::HttpResponder>& responder,
              const std::string& text) {
  connection::HttpResponse response;
  response.headers["Content-Type"] = "text/plain; charset=utf-8";
  response.body = text;
  responder->Send(response);
}

/// The operator's request is malformed or its declarations are invalid.
class BadOperatorRequestError : public common::Error {
 public:
  explicit BadOperatorRequestError(const std::string& detail) : Error(detail) {}
};

/// Declarations and, to apply a plan, the digest of the plan.
struct OperatorRequest {
  version::Configuration declared;
  std::string digest;
};

/// Throws BadOperatorRequestError with the first issue if the declarations are
/// invalid.
void RequireValid(const version::Configuration& declared) {
  const std::vector<version::ConfigurationIssue> issues =
      version::CheckConfiguration(declared);
  if (issues.empty()) return;
  const version::ConfigurationIssue& first = issues.front();
  throw BadOperatorRequestError(first.object + " " + first.field + ": found " +
                                first.found + ", allowed " + first.allowed);
}

OperatorRequest ParseOperatorRequest(const std::string& text) {
  const json body = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object() || !body.contains("declarations")) {
    throw BadOperatorRequestError("expected an object with declarations");
  }
  OperatorRequest request;
  request.declared = version::DeclarationsFromJson(body.at("declarations"));
  RequireValid(request.declared);
  const auto digest = body.find("digest");
  if (digest != body.end() && digest->is_string()) {
    request.digest = digest->get<std::string>();
  }
  return request;
}

std::uint64_t ParseSequence(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

OperatorHttpServer::OperatorHttpServer(connection::EventLoop* loop,
                                       const connection::SocketAddress& address,
                                       connection::ObjectStore* store,
                                       ConfigurationTask* configuration,
                                       Counters* counters, EventLog* events,
                                       OperatorCallbacks callbacks)
    : store(store),
      configuration(configuration),
      counters(counters),
      events(events),
      callbacks(std::move(callbacks)),
      server(loop, address, connection::HttpServerLimits{},
             [this](const connection::HttpRequest& request,
                    const Responder& responder) {
               this->OnRequest(request, responder);
             }) {}

void OperatorHttpServer::OnRequest(const connection::HttpRequest& request,
                                   const Responder& responder) {
  try {
    if (request.method == "GET" && this->OnGet(request, responder)) return;
    if (request.method == "POST" && request.path == "/operator/v1/plan") {
      this->OnPlan(request, responder);
      return;
    }
    if (request.method == "POST" && request.path == "/operator/v1/apply") {
      this->OnApply(request, responder);
      return;
    }
    if (request.method == "POST" && request.path == "/operator/v1/drain") {
      this->OnDrain(responder);
      return;
    }
    SendJson(responder, kNotFound, {{"reason", "unknown_path"}});
  } catch (const common::Error& error) {
    SendJson(responder, kBadRequest,
             {{"reason", "bad_request"}, {"detail", error.what()}});
  }
}

bool OperatorHttpServer::OnGet(const connection::HttpRequest& request,
                               const Responder& responder) {
  if (request.path == "/operator/v1/status") {
    SendJson(responder, 200, this->callbacks.status());
    return true;
  }
  if (request.path == "/operator/v1/counters") {
    this->callbacks.refresh_counters();
    if (request.Query("format") == "json") {
      SendJson(responder, 200, json::parse(this->counters->ToJson()));
    } else {
      SendText(responder, this->counters->ToText());
    }
    return true;
  }
  if (request.path == "/operator/v1/events") {
    SendJson(responder, 200,
             this->events->EventsAfter(ParseSequence(request.Query("after"))));
    return true;
  }
  if (request.path == "/operator/v1/configuration") {
    const version::ConfigurationPointer& current =
        this->configuration->Current();
    if (current == nullptr) {
      SendJson(responder, kUnavailable, {{"reason", "no_configuration"}});
    } else {
      SendJson(responder, 200, version::ConfigurationToJson(*current));
    }
    return true;
  }
  return false;
}

void OperatorHttpServer::OnPlan(const connection::HttpRequest& request,
                                const Responder& responder) {
  const OperatorRequest parsed = ParseOperatorRequest(request.body);
  this->ReadCurrent(responder, [responder, declared = parsed.declared](
                                   connection::ObjectVersion /*store_version*/,
                                   const version::Configuration& current) {
    const version::Plan plan = version::MakePlan(current, declared);
    SendJson(responder, 200, version::PlanToJson(plan));
  });
}

void OperatorHttpServer::OnApply(const connection::HttpRequest& request,
                                 const Responder& responder) {
  const OperatorRequest parsed = ParseOperatorRequest(request.body);
  if (parsed.digest.empty()) {
    throw BadOperatorRequestError("expected the digest of a plan");
  }
  this->Apply(parsed.declared, parsed.digest, responder, kMaxApplyAttempts);
}

void OperatorHttpServer::Apply(const version::Configuration& declared,
                               const std::string& digest,
                               const Responder& responder,
                               int remaining_attempts) {
  this->ReadCurrent(responder, [=, this](
                                   connection::ObjectVersion store_version,
                                   const version::Configuration& current) {
    version::ApplyDecision decision =
        version::DecideApply(current, declared, digest);
    if (const auto* already = std::get_if<version::AlreadyApplied>(&decision)) {
      SendJson(responder, 200,
               {{"version", already->version}, {"result", "already_applied"}});
      return;
    }
    const auto* stale = std::get_if<version::StalePlan>(&decision);
    if (stale != nullptr || remaining_attempts == 0) {
      SendJson(responder, kConflict,
               {{"reason", "stale"}, {"base_version", current.version}});
      return;
    }
    // The conflicting write may be this very plan, applied through another
    // daemon, so the decision is repeated with the new content of the store.
    this->Write(store_version,
                std::move(std::get<version::WriteConfiguration>(decision).next),
                responder, [=, this] {
                  this->Apply(declared, digest, responder,
                              remaining_attempts - 1);
                });
  });
}

void OperatorHttpServer::OnDrain(const Responder& responder) {
  SendJson(responder, 200, {{"result", "draining"}});
  this->callbacks.drain();
}

void OperatorHttpServer::ReadCurrent(const Responder& responder,
                                     CurrentCallback then) {
  this->store->Read(
      kConfigurationPath, [responder, then = std::move(then)](
                              const connection::ReadResult& result) {
        const auto* object = std::get_if<connection::StoredObject>(&result);
        if (object == nullptr) {
          SendJson(responder, kUnavailable,
                   {{"reason", "store_unavailable"}, {"outcome", "not_run"}});
          return;
        }
        try {
          then(object->version,
               object->version == 0
                   ? version::Configuration{}
                   : version::ParseConfiguration(object->value));
        } catch (const common::Error& error) {
          SendJson(responder, kUnavailable,
                   {{"reason", "store_content_invalid"},
                    {"outcome", "not_run"},
                    {"detail", error.what()}});
        }
      });
}

void OperatorHttpServer::Write(connection::ObjectVersion store_version,
                               version::Configuration next,
                               const Responder& responder,
                               std::function<void()> on_conflict) {
  const auto written =
      std::make_shared<const version::Configuration>(std::move(next));
  this->store->Write(
      kConfigurationPath, store_version,
      version::ConfigurationToJson(*written).dump(),
      [this, written, responder, on_conflict = std::move(on_conflict)](
          const connection::WriteResult& result) {
        if (std::holds_alternative<connection::ObjectWritten>(result)) {
          this->events->Record(common::WallNow(), common::Subsystem::kVersion,
                               "plan_applied", {{"version", written->version}});
          this->configuration->OnWritten(written);
          SendJson(responder, 200,
                   {{"version", written->version}, {"result", "applied"}});
          return;
        }
        if (std::holds_alternative<connection::ObjectConflict>(result)) {
          on_conflict();
          return;
        }
        // The write may have taken effect; applying the plan again shows
        // whether it did.
        SendJson(responder, kUnavailable,
                 {{"reason", "store_unavailable"}, {"outcome", "unknown"}});
      });
}

}  // namespace camphorferry::process
