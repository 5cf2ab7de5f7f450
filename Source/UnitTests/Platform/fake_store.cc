#include "fake_store.h"

#include <algorithm>
#include <utility>

#include "fake_documents.h"

namespace camphorferry::platform {

namespace {

using connection::HttpRequest;
using connection::HttpResponse;
using nlohmann::json;

constexpr const char* kPrefix = "/-/objects/";
constexpr int kCreated = 201;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;

/// Interval at which pending watches are checked for changes and timeouts.
constexpr std::chrono::milliseconds kWatchPollInterval(20);
/// Delay of the responses in StoreState::kSlow.
constexpr std::chrono::milliseconds kSlowResponseDelay(400);

HttpResponse Json(int status, const json& body) {
  HttpResponse response;
  response.status = status;
  response.headers["content-type"] = "application/json";
  response.body = body.dump();
  return response;
}

}  // namespace

FakeStore::FakeStore(connection::EventLoop* loop, Promoter promoter)
    : loop(loop), promoter(std::move(promoter)) {
  this->server = std::make_unique<connection::HttpServer>(
      loop, connection::SocketAddress{"127.0.0.1", 0},
      connection::HttpServerLimits{},
      [this](const HttpRequest& request, const Responder& responder) {
        this->OnRequest(request, responder);
      });
  this->watch_timer =
      loop->Every(kWatchPollInterval, [this] { this->AnswerWatchers(); });
}

connection::SocketAddress FakeStore::Address() const {
  return {"127.0.0.1", this->server->Port()};
}

void FakeStore::SetState(StoreState changed) {
  this->state = changed;
  if (changed != StoreState::kSilent) this->unanswered.clear();
  if (changed != StoreState::kResets) return;
  for (const Watcher& watcher : this->watchers) {
    watcher.responder->CloseWithoutResponse();
  }
  this->watchers.clear();
}

void FakeStore::DropHistory() {
  this->history_start = this->revision;
  for (const Watcher& watcher : this->watchers) {
    this->Send(watcher.responder, Json(kGone, json::object()));
  }
  this->watchers.clear();
}

void FakeStore::Restore(std::uint64_t earlier_revision) {
  std::erase_if(this->history, [&](const Change& change) {
    return change.revision > earlier_revision;
  });
  this->objects.clear();
  for (const Change& change : this->history) {
    const std::string name = change.object["meta"]["name"];
    this->objects[change.kind][name] = change.object;
  }
  this->revision = earlier_revision;
  this->history_start = std::min(this->history_start, earlier_revision);
  this->era = this->era.value_or(0) + 1;
  for (const Watcher& watcher : this->watchers) {
    this->Send(watcher.responder, Json(kGone, json::object()));
  }
  this->watchers.clear();
}

void FakeStore::Send(const Responder& responder, HttpResponse response) {
  if (this->era.has_value()) {
    response.headers["Store-Era"] = std::to_string(*this->era);
  }
  responder->Send(response);
}

void FakeStore::Put(const session::DirectoryConfiguration& configuration) {
  this->Put("config", "main", EncodeConfiguration(configuration));
}

void FakeStore::Put(const session::GroupMember& member) {
  this->Put("servers", member.id.Value(), EncodeMember(member));
}

void FakeStore::PutMemberText(const std::string& name,
                              const std::string& spec) {
  const std::string placeholder =
      "text " + std::to_string(this->texts.size()) + " of " + name;
  this->texts[json(placeholder).dump()] = spec;
  this->Put("servers", name, placeholder);
}

HttpResponse FakeStore::TextResponse(const json& body) const {
  HttpResponse response = Json(200, body);
  for (const auto& [placeholder, text] : this->texts) {
    std::size_t found = 0;
    while ((found = response.body.find(placeholder, found)) !=
           std::string::npos) {
      response.body.replace(found, placeholder.size(), text);
      found += text.size();
    }
  }
  return response;
}

void FakeStore::Put(const std::string& kind, const std::string& name,
                    json spec) {
  json& object = this->objects[kind][name];
  object["meta"] = {{"name", name}, {"rev", ++this->revision}};
  object["spec"] = std::move(spec);
  this->history.push_back({this->revision, kind, object});
}

void FakeStore::OnRequest(const HttpRequest& request,
                          const Responder& responder) {
  ++this->calls;
  switch (this->state) {
    case StoreState::kBusy:
      this->Send(responder, Json(kUnavailable, json::object()));
      return;
    case StoreState::kSilent:
      this->unanswered.push_back(responder);
      return;
    case StoreState::kLosesCalls:
      this->lost.push_back(responder);
      return;
    case StoreState::kResets:
      responder->CloseWithoutResponse();
      return;
    case StoreState::kSlow:
      this->loop->RunLater(kSlowResponseDelay, [this, request, responder] {
        this->Answer(request, responder);
      });
      return;
    case StoreState::kLosesAnswers:
      if (request.method != "GET") {
        this->Serve(request);
        responder->CloseWithoutResponse();
        return;
      }
      break;
    case StoreState::kUp:
      break;
  }
  this->Answer(request, responder);
}

void FakeStore::Answer(const HttpRequest& request, const Responder& responder) {
  const std::string& after = request.Query("watch");
  if (after.empty()) {
    this->Send(responder, this->Serve(request));
    return;
  }
  Watcher watcher;
  watcher.kind = request.path.substr(std::string(kPrefix).size());
  watcher.after = std::stoull(after);
  watcher.responder = responder;
  watcher.until =
      common::SteadyNow() +
      std::chrono::milliseconds(std::stoll(request.Query("waitMs")));
  if (watcher.after < this->history_start || watcher.after > this->revision) {
    this->Send(responder, Json(kGone, json::object()));
    return;
  }
  this->watchers.push_back(std::move(watcher));
}

json FakeStore::EventsFor(const Watcher& watcher) const {
  json events = json::array();
  for (const Change& change : this->history) {
    if (change.revision <= watcher.after || change.kind != watcher.kind) {
      continue;
    }
    events.push_back({{"object", change.object}, {"deleted", false}});
  }
  return events;
}

void FakeStore::AnswerWatchers() {
  // A store that is down does not answer its watches either.
  if (this->state == StoreState::kBusy || this->state == StoreState::kSilent ||
      this->state == StoreState::kLosesCalls) {
    return;
  }
  const common::SteadyTime now = common::SteadyNow();
  for (auto it = this->watchers.begin(); it != this->watchers.end();) {
    json events = this->EventsFor(*it);
    if (events.empty() && now < it->until) {
      ++it;
      continue;
    }
    this->Send(it->responder,
               this->TextResponse({{"events", std::move(events)},
                                   {"storeRevision", this->revision}}));
    it = this->watchers.erase(it);
  }
}

json FakeStore::ListObjects(const std::string& kind) const {
  json items = json::array();
  const auto found = this->objects.find(kind);
  if (found != this->objects.end()) {
    for (const auto& [name, object] : found->second) items.push_back(object);
  }
  return {{"items", std::move(items)},
          {"hasMore", false},
          {"storeRevision", this->revision}};
}

HttpResponse FakeStore::Serve(const HttpRequest& request) {
  if (request.path == "/promotion") return this->ServePromotion(request);
  if (!request.path.starts_with(kPrefix)) return Json(kNotFound, {});
  const std::string rest = request.path.substr(std::string(kPrefix).size());
  const std::size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (request.method != "GET") return this->ServeChange(request, kind, name);
  if (name.empty()) return this->TextResponse(this->ListObjects(kind));
  const auto found = this->objects[kind].find(name);
  if (found == this->objects[kind].end()) return Json(kNotFound, {});
  return Json(200, found->second);
}

HttpResponse FakeStore::ServeChange(const HttpRequest& request,
                                    const std::string& kind,
                                    const std::string& path_name) {
  const json body = json::parse(request.body, nullptr, false);
  if (body.is_discarded() || !body.contains("meta")) {
    return Json(kBadRequest, {});
  }
  const json& meta = body["meta"];
  const std::string name =
      path_name.empty() ? meta.value("name", "") : path_name;
  const auto found = this->objects[kind].find(name);
  const bool exists = found != this->objects[kind].end();
  const bool creates = request.method == "POST";
  if (!exists && !creates) return Json(kNotFound, {});
  if (exists) {
    const bool outdated =
        meta.contains("rev") && meta["rev"] != found->second["meta"]["rev"];
    if (creates || outdated) return Json(kConflict, found->second);
    if (found->second["spec"] == body["spec"]) return Json(200, found->second);
  }
  this->Put(kind, name, body["spec"]);
  return Json(creates ? kCreated : 200, this->objects[kind][name]);
}

HttpResponse FakeStore::ServePromotion(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (body.is_discarded()) return Json(kBadRequest, {});
  const PromotionCall call{
      body.value("service", ""), body.value("id", ""),
      request.Header("x-duty-holder"),
      std::stoull("0" + request.Header("x-fencing-token"))};
  this->promotion_calls.push_back(call);
  const bool accepted = this->promoter(call.service, call.endpoint);
  return Json(accepted ? 200 : kConflict, json::object());
}

}  // namespace camphorferry::platform
