#include "Connection/http_object_store.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "Connection/http_client.h"

namespace camphorferry::connection {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

std::optional<ObjectVersion> ParseVersion(const json& body) {
  if (!body.is_object()) return std::nullopt;
  const auto version = body.find("version");
  if (version == body.end() || !version->is_number_unsigned()) {
    return std::nullopt;
  }
  return version->get<ObjectVersion>();
}

ReadResult ParseReadResult(const HttpResult& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr) return StoreNoAnswer{};
  if (response->status == kNotModified) return ObjectUnchanged{};
  if (response->status == kNotFound) return StoredObject{};
  if (response->status != kOk) return StoreNoAnswer{};
  const json body = json::parse(response->body, nullptr, false);
  const std::optional<ObjectVersion> version = ParseVersion(body);
  if (!version || !body.contains("value")) return StoreNoAnswer{};
  return StoredObject{*version, body.at("value").dump()};
}

WriteResult ParseWriteResult(const HttpResult& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr) return StoreNoAnswer{};
  const json body = json::parse(response->body, nullptr, false);
  const std::optional<ObjectVersion> version = ParseVersion(body);
  if (!version) return StoreNoAnswer{};
  if (response->status == kConflict) return ObjectConflict{*version};
  if (response->status == kOk || response->status == kCreated) {
    return ObjectWritten{*version};
  }
  return StoreNoAnswer{};
}

HostListResult ParseHostList(const HttpResult& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr || response->status != kOk) return StoreNoAnswer{};
  const json body = json::parse(response->body, nullptr, false);
  if (!body.is_object()) return StoreNoAnswer{};
  std::vector<HostListEntry> hosts;
  try {
    for (const json& host : body.at("hosts")) {
      HostListEntry entry;
      entry.host = common::HostId(host.at("id").get<std::string>());
      entry.address = host.at("address").get<std::string>();
      entry.domain =
          common::FailureDomainId(host.at("domain").get<std::string>());
      entry.state = host.at("state") == "leaving" ? HostListState::kLeaving
                                                  : HostListState::kLive;
      hosts.push_back(std::move(entry));
    }
  } catch (const json::exception&) {
    return StoreNoAnswer{};
  }
  return hosts;
}

}  // namespace

HttpObjectStore::HttpObjectStore(EventLoop* loop, SocketAddress address,
                                 common::Duration timeout)
    : loop(loop), address(std::move(address)), timeout(timeout) {}

void HttpObjectStore::Read(const std::string& path,
                           std::function<void(ReadResult)> done) {
  HttpRequest request;
  request.path = "/objects/" + path;
  SendHttpOnce(this->loop, this->address, request, this->timeout,
               [done = std::move(done)](const HttpResult& result) {
                 done(ParseReadResult(result));
               });
}

void HttpObjectStore::Watch(const std::string& path, ObjectVersion after,
                            common::Duration timeout,
                            std::function<void(ReadResult)> done) {
  HttpRequest request;
  request.path = "/objects/" + path;
  request.query["watch_after"] = std::to_string(after);
  request.query["timeout_ms"] =
      std::to_string(common::ToMilliseconds(timeout).count());
  SendHttpOnce(this->loop, this->address, request, timeout + this->timeout,
               [done = std::move(done)](const HttpResult& result) {
                 done(ParseReadResult(result));
               });
}

void HttpObjectStore::Write(const std::string& path, ObjectVersion if_version,
                            const std::string& value,
                            std::function<void(WriteResult)> done) {
  HttpRequest request;
  request.method = "PUT";
  request.path = "/objects/" + path;
  request.query["if_version"] = std::to_string(if_version);
  request.headers["Content-Type"] = "application/json";
  request.body = value;
  SendHttpOnce(this->loop, this->address, request, this->timeout,
               [done = std::move(done)](const HttpResult& result) {
                 done(ParseWriteResult(result));
               });
}

void HttpObjectStore::ReadHosts(std::function<void(HostListResult)> done) {
  HttpRequest request;
  request.path = "/hosts";
  SendHttpOnce(this->loop, this->address, request, this->timeout,
               [done = std::move(done)](const HttpResult& result) {
                 done(ParseHostList(result));
               });
}

}  // namespace camphorferry::connection
