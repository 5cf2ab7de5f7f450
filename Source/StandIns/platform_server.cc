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

constexpr std::uint64_t kMaxWatchMs = 600'000;

connection::HttpServerLimits ServerLimits() {
  connection::HttpServerLimits limits;
  // A watch may be pending for longer than the server's usual idle time.
  limits.idle_timeout = std::chrono::hours(1);
  return limits;
}

/// Reads a query parameter; throws BadMessageError.
std::uint64_t Number(const HttpRequest& request, const std::string& name,
                     std::uint64_t largest) {
  if (!request.query.contains(name)) {
    throw BadMessageError(MessageFault::kMissingField, name);
  }
  const std::string& text = request.Query(name);
  std::uint64_t number = 0;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, number);
  if (parsed.ec != std::errc() || parsed.ptr != last) {
    throw BadMessageError(MessageFault::kWrongType, name);
  }
  if (number > largest) throw BadMessageError(MessageFault::kOutOfRange, name);
  return number;
}

/// Throws BadMessageError if the query has other parameters.
void AllowOnly(const HttpRequest& request,
               std::initializer_list<std::string_view> names) {
  for (const auto& [name, value] : request.query) {
    bool known = false;
    for (const std::string_view allowed : names) known |= name == allowed;
    if (!known) throw BadMessageError(MessageFault::kUnknownField, name);
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
                               common::Duration list_lag)
    : loop(loop),
      directory(loop, list_lag),
      waiters(loop),
      server(loop, address, ServerLimits(),
             [this](const HttpRequest& request, const Responder& responder) {
               this->Receive(request, responder);
             }) {}

void PlatformServer::SetFaults(const PlatformFaults& faults) {
  this->faults = faults;
  if (!this->faults.down) return;
  for (const Responder& responder : this->unanswered) {
    responder->CloseUnanswered();
  }
  this->unanswered.clear();
}

void PlatformServer::Receive(const HttpRequest& request,
                             const Responder& responder) {
  if (this->faults.down) {
    responder->CloseUnanswered();
    return;
  }
  this->unanswered.insert(responder);
  try {
    this->Route(request, responder);
  } catch (const BadMessageError& error) {
    this->Answer(responder,
                 RefusalResponse(kHttpBadRequest, "bad_request", error.what()));
  }
}

void PlatformServer::Route(const HttpRequest& request,
                           const Responder& responder) {
  constexpr std::string_view kObjects = "/objects/";
  const bool is_object = request.path.starts_with(kObjects) &&
                         request.path.size() > kObjects.size();
  if (is_object) {
    const std::string path = request.path.substr(kObjects.size());
    if (request.method == "PUT") return this->Put(path, request, responder);
    if (request.method == "GET" && request.query.empty()) {
      return this->GetObject(path, responder);
    }
    if (request.method == "GET") return this->Watch(path, request, responder);
  }
  if (request.method == "GET") {
    AllowOnly(request, {});
    return this->List(request.path, responder);
  }
  this->Answer(responder, RefusalResponse(kHttpNotFound, "unknown_call",
                                          request.method + " " + request.path));
}

void PlatformServer::GetObject(const std::string& path,
                               const Responder& responder) {
  ++this->calls.reads;
  const std::optional<StoredObject> object = this->store.Get(path);
  this->Answer(responder,
               object ? ObjectResponse(*object)
                      : RefusalResponse(kHttpNotFound, "no_object", path));
}

void PlatformServer::Watch(const std::string& path, const HttpRequest& request,
                           const Responder& responder) {
  AllowOnly(request, {"watch_after", "timeout_ms"});
  const ObjectVersion after = Number(request, "watch_after", UINT64_MAX);
  const std::chrono::milliseconds limit(
      Number(request, "timeout_ms", kMaxWatchMs));
  ++this->calls.watches;
  this->waiters.Wait(limit, [this, path, after, responder](bool last) {
    // An outage has ended the watch.
    if (!this->unanswered.contains(responder)) return true;
    const std::optional<StoredObject> object =
        this->store.GetNewer(path, after);
    if (!object && !last) return false;
    HttpResponse unchanged;
    unchanged.status = kHttpNotModified;
    this->Answer(responder, object ? ObjectResponse(*object) : unchanged);
    return true;
  });
}

void PlatformServer::Put(const std::string& path, const HttpRequest& request,
                         const Responder& responder) {
  AllowOnly(request, {"if_version"});
  const ObjectVersion if_version = Number(request, "if_version", UINT64_MAX);
  json value = json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  if (value.is_discarded()) {
    throw BadMessageError(MessageFault::kNotJson, "");
  }
  ++this->calls.writes;
  const PutResult result = this->store.Put(path, std::move(value), if_version);
  const bool changed = std::holds_alternative<PutDone>(result);
  if (changed && this->faults.lose_answers > 0) {
    --this->faults.lose_answers;
    this->unanswered.erase(responder);
    responder->CloseUnanswered();
  } else {
    this->Answer(responder, PutResponse(result));
  }
  if (changed) this->waiters.Notify();
}

void PlatformServer::List(const std::string& path, const Responder& responder) {
  ++this->calls.lists;
  if (path == "/hosts") {
    this->Answer(responder,
                 JsonResponse(kHttpOk, {{"hosts", this->directory.Hosts()}}));
    return;
  }
  constexpr std::string_view kGroups = "/groups/";
  if (path.starts_with(kGroups)) {
    const std::optional<json> group =
        this->directory.Group(path.substr(kGroups.size()));
    if (group) {
      this->Answer(responder, JsonResponse(kHttpOk, {{"databases", *group}}));
      return;
    }
  }
  this->Answer(responder, RefusalResponse(kHttpNotFound, "not_found", path));
}

void PlatformServer::Answer(const Responder& responder,
                            const HttpResponse& response) {
  if (this->faults.delay == common::Duration::zero()) {
    this->Finish(responder, response);
    return;
  }
  this->loop->RunLater(this->faults.delay, [this, responder, response] {
    this->Finish(responder, response);
  });
}

void PlatformServer::Finish(const Responder& responder,
                            const HttpResponse& response) {
  // Does nothing if an outage has closed the connection in between.
  if (this->unanswered.erase(responder) > 0) responder->Send(response);
}

}  // namespace camphorferry::standins
