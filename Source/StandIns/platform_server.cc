#include "StandIns/platform_server.h"

#include <charconv>
#include <chrono>
#include <optional>
#include <utility>
#include <variant>

#include "StandIns/json_response.h"
#include "StandIns/message_reader.h"

namespace camphorferry::standins {

namespace {

using connection::HttpRequest;
using connection::HttpResponse;
using nlohmann::json;

constexpr std::uint64_t kMaxWatchTimeoutMs = 600'000;

connection::HttpServerLimits ServerLimits() {
  connection::HttpServerLimits limits;
  // A watch may be pending for longer than the server's default idle timeout.
  limits.idle_timeout = std::chrono::hours(1);
  return limits;
}

/// Parses a numeric query parameter; throws BadMessageError.
std::uint64_t QueryNumber(const HttpRequest& request, const std::string& name,
                          std::uint64_t maximum) {
  if (!request.query.contains(name)) {
    throw BadMessageError(MessageError::kMissingField, name);
  }
  const std::string& text = request.Query(name);
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    throw BadMessageError(MessageError::kWrongType, name);
  }
  if (number > maximum) throw BadMessageError(MessageError::kOutOfRange, name);
  return number;
}

/// Throws BadMessageError if the query has a parameter that is not allowed.
void RejectOtherParameters(const HttpRequest& request,
                           std::initializer_list<std::string_view> names) {
  for (const auto& [name, value] : request.query) {
    bool known = false;
    for (const std::string_view allowed : names) known |= name == allowed;
    if (!known) throw BadMessageError(MessageError::kUnknownField, name);
  }
}

HttpResponse ObjectResponse(const StoredObject& object) {
  return JsonResponse(kHttpOk,
                      {{"version", object.version}, {"value", object.value}});
}

HttpResponse PutResponse(const PutResult& result) {
  return std::visit(
      common::Overloaded{
          [](const PutDone& done) {
            return JsonResponse(kHttpOk, {{"version", done.version}});
          },
          [](const PutConflict& conflict) {
            return JsonResponse(kHttpConflict, {{"version", conflict.current}});
          }},
      result);
}

}  // namespace

PlatformServer::PlatformServer(connection::EventLoop* loop,
                               const connection::SocketAddress& address,
                               common::Duration list_delay)
    : loop(loop),
      directory(loop, list_delay),
      waiters(loop),
      server(loop, address, ServerLimits(),
             [this](const HttpRequest& request, const Responder& responder) {
               this->OnRequest(request, responder);
             }) {}

void PlatformServer::SetFaults(const PlatformFaults& faults) {
  this->faults = faults;
  if (!this->faults.down) return;
  for (const Responder& responder : this->pending_responders) {
    responder->CloseWithoutResponse();
  }
  this->pending_responders.clear();
}

void PlatformServer::OnRequest(const HttpRequest& request,
                               const Responder& responder) {
  if (this->faults.down) {
    responder->CloseWithoutResponse();
    return;
  }
  this->pending_responders.insert(responder);
  try {
    this->Route(request, responder);
  } catch (const BadMessageError& error) {
    this->Respond(responder, RefusalResponse(kHttpBadRequest, "bad_request",
                                             error.what()));
  }
}

void PlatformServer::Route(const HttpRequest& request,
                           const Responder& responder) {
  constexpr std::string_view kObjectsPrefix = "/objects/";
  const bool is_object = request.path.starts_with(kObjectsPrefix) &&
                         request.path.size() > kObjectsPrefix.size();
  if (is_object) {
    const std::string path = request.path.substr(kObjectsPrefix.size());
    if (request.method == "PUT") return this->Put(path, request, responder);
    if (request.method == "GET" && request.query.empty()) {
      return this->GetObject(path, responder);
    }
    if (request.method == "GET") return this->Watch(path, request, responder);
  }
  if (request.method == "GET") {
    RejectOtherParameters(request, {});
    return this->List(request.path, responder);
  }
  this->Respond(responder,
                RefusalResponse(kHttpNotFound, "unknown_call",
                                request.method + " " + request.path));
}

void PlatformServer::GetObject(const std::string& path,
                               const Responder& responder) {
  ++this->calls.reads;
  const std::optional<StoredObject> object = this->store.Get(path);
  this->Respond(responder,
                object ? ObjectResponse(*object)
                       : RefusalResponse(kHttpNotFound, "no_object", path));
}

void PlatformServer::Watch(const std::string& path, const HttpRequest& request,
                           const Responder& responder) {
  RejectOtherParameters(request, {"watch_after", "timeout_ms"});
  const ObjectVersion after = QueryNumber(request, "watch_after", UINT64_MAX);
  const std::chrono::milliseconds timeout(
      QueryNumber(request, "timeout_ms", kMaxWatchTimeoutMs));
  ++this->calls.watches;
  this->waiters.Wait(timeout, [this, path, after, responder](bool expired) {
    // An outage has closed the connection of the watch.
    if (!this->pending_responders.contains(responder)) return true;
    const std::optional<StoredObject> object =
        this->store.GetIfNewer(path, after);
    if (!object && !expired) return false;
    HttpResponse unchanged;
    unchanged.status = kHttpNotModified;
    this->Respond(responder, object ? ObjectResponse(*object) : unchanged);
    return true;
  });
}

void PlatformServer::Put(const std::string& path, const HttpRequest& request,
                         const Responder& responder) {
  RejectOtherParameters(request, {"if_version"});
  const ObjectVersion if_version =
      QueryNumber(request, "if_version", UINT64_MAX);
  json value = json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  if (value.is_discarded()) {
    throw BadMessageError(MessageError::kNotJson, "");
  }
  ++this->calls.writes;
  const PutResult result = this->store.Put(path, std::move(value), if_version);
  const bool changed = std::holds_alternative<PutDone>(result);
  if (changed && this->faults.lose_answers > 0) {
    --this->faults.lose_answers;
    this->pending_responders.erase(responder);
    responder->CloseWithoutResponse();
  } else {
    this->Respond(responder, PutResponse(result));
  }
  if (changed) this->waiters.Notify();
}

void PlatformServer::List(const std::string& path, const Responder& responder) {
  ++this->calls.lists;
  if (path == "/hosts") {
    this->Respond(responder,
                  JsonResponse(kHttpOk, {{"hosts", this->directory.Hosts()}}));
    return;
  }
  constexpr std::string_view kGroupsPrefix = "/groups/";
  if (path.starts_with(kGroupsPrefix)) {
    const std::optional<json> group =
        this->directory.Group(path.substr(kGroupsPrefix.size()));
    if (group) {
      this->Respond(responder, JsonResponse(kHttpOk, {{"databases", *group}}));
      return;
    }
  }
  this->Respond(responder, RefusalResponse(kHttpNotFound, "not_found", path));
}

void PlatformServer::Respond(const Responder& responder,
                             const HttpResponse& response) {
  if (this->faults.delay == common::Duration::zero()) {
    this->SendIfPending(responder, response);
    return;
  }
  this->loop->RunLater(this->faults.delay, [this, responder, response] {
    this->SendIfPending(responder, response);
  });
}

void PlatformServer::SendIfPending(const Responder& responder,
                                   const HttpResponse& response) {
  // The responder is no longer pending if an outage closed its connection.
  if (this->pending_responders.erase(responder) > 0) responder->Send(response);
}

}  // namespace camphorferry::standins
