#include "StandIns/database_messages.h"

#include <chrono>
#include <utility>
#include <variant>

namespace camphorferry::standins {

namespace {

using nlohmann::json;

json ToJson(const LogEntry& entry) {
  json idempotency;
  if (entry.idempotency) {
    idempotency = {{"workspace", entry.idempotency->workspace},
                   {"key", entry.idempotency->key},
                   {"digest", entry.digest}};
  }
  return {{"position", PositionToJson(entry.position)},
          {"operations", request::OperationsToJson(entry.operations)},
          {"idempotency", std::move(idempotency)},
          {"results", entry.results}};
}

/// Parses the "idempotency" object, which statements and log entries share.
void ReadIdempotency(MessageReader* message,
                     std::optional<IdempotencyRecordKey>* key,
                     std::string* digest) {
  if (!message->Has("idempotency")) return;
  MessageReader object_reader(message->Value("idempotency"));
  *key = IdempotencyRecordKey{object_reader.Text("workspace"),
                              object_reader.Text("key")};
  *digest = object_reader.Text("digest");
  object_reader.RejectUnknownFields();
}

LogEntry ParseEntry(const json& object) {
  MessageReader message(object);
  LogEntry entry;
  entry.position = message.Position("position");
  // The entry that marks the start of a term has no operations.
  const json& operations = message.Value("operations");
  if (!operations.empty()) {
    entry.operations = request::ParseOperations(operations);
  }
  ReadIdempotency(&message, &entry.idempotency, &entry.digest);
  if (message.Has("results")) entry.results = message.Value("results");
  message.RejectUnknownFields();
  return entry;
}

}  // namespace

std::int64_t AgeToMilliseconds(common::Duration age) {
  if (age == kUnknownAge) return common::ToMilliseconds(age).count();
  return std::chrono::ceil<std::chrono::milliseconds>(age).count();
}

std::string RoleName(DatabaseRole role) {
  return role == DatabaseRole::kPrimary ? "primary" : "replica";
}

ExecuteMessage ParseExecute(const std::string& body) {
  MessageReader message(body);
  ExecuteMessage parsed;
  ExecuteRequest& request = parsed.request;
  if (message.Has("term")) request.term = message.Unsigned("term");
  request.operations = request::ParseOperations(message.Value("operations"));
  ReadIdempotency(&message, &request.idempotency, &request.digest);
  if (message.Has("min_position")) {
    request.min_position = message.Position("min_position");
  }
  request.max_age = message.Milliseconds("max_age_ms");
  parsed.wait =
      message.Milliseconds("wait_ms").value_or(common::Duration::zero());
  if (message.Has("request_id")) parsed.request_id = message.Text("request_id");
  message.RejectUnknownFields();
  return parsed;
}

ReplicateRequest ParseReplicateRequest(const std::string& body) {
  MessageReader message(body);
  ReplicateRequest request;
  request.term = message.Unsigned("term");
  request.from = message.Position("from");
  request.limit = message.Unsigned("limit");
  message.RejectUnknownFields();
  return request;
}

ReplicateResult ParseReplicateResult(const std::string& body) {
  MessageReader message(body);
  ReplicateResult result;
  result.accepted = message.Boolean("accepted");
  result.matched = message.Boolean("matched");
  result.complete = message.Boolean("complete");
  for (const json& entry : message.Value("entries")) {
    result.entries.push_back(ParseEntry(entry));
  }
  message.RejectUnknownFields();
  return result;
}

json ToJson(const ExecuteResult& result) {
  return std::visit(
      common::Overloaded{
          [](const ExecuteDone& done) {
            json message = {{"outcome", "done"},
                            {"results", done.results},
                            {"position", PositionToJson(done.position)},
                            {"term", done.term},
                            {"role", RoleName(done.role)},
                            {"age_ms", AgeToMilliseconds(done.age)}};
            if (done.replayed) message["replayed"] = true;
            return message;
          },
          [](const ExecuteNotRun& not_run) {
            return json{{"outcome", "not_run"},
                        {"reason", request::ReasonName(not_run.reason)},
                        {"term", not_run.term}};
          }},
      result);
}

json ToJson(const ReplicateRequest& request) {
  return {{"term", request.term},
          {"from", PositionToJson(request.from)},
          {"limit", request.limit}};
}

json ToJson(const ReplicateResult& result) {
  json entries = json::array();
  for (const LogEntry& entry : result.entries) entries.push_back(ToJson(entry));
  return {{"accepted", result.accepted},
          {"matched", result.matched},
          {"complete", result.complete},
          {"entries", std::move(entries)}};
}

int HttpStatusOf(const ExecuteResult& result) {
  const auto* not_run = std::get_if<ExecuteNotRun>(&result);
  if (not_run == nullptr) return request::HttpStatus(request::Done());
  return request::HttpStatus(
      request::NotRun{not_run->reason, /*retry_after=*/std::nullopt});
}

}  // namespace camphorferry::standins
