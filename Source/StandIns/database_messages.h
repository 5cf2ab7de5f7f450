#ifndef CAMPHORFERRY_STANDINS_DATABASE_MESSAGES_H_
#define CAMPHORFERRY_STANDINS_DATABASE_MESSAGES_H_

#include <nlohmann/json.hpp>
#include <string>

#include "Common/common.h"
#include "StandIns/database_core.h"
#include "StandIns/message_reader.h"

namespace camphorferry::standins {

/// Request body of POST /v1/execute.
struct ExecuteMessage {
  ExecuteRequest request;
  /// Maximum time that a read waits for a lagging replica.
  common::Duration wait = common::Duration::zero();
  /// Echoed in the response; empty if the request has none.
  std::string request_id;
};

/// Converts an age to whole milliseconds, rounding up so that data is never
/// reported as more recent than it is. An unknown age becomes the largest value
/// that common::Duration can represent.
std::int64_t AgeToMilliseconds(common::Duration age);

/// Name of a role in JSON messages.
std::string RoleName(DatabaseRole role);

/// Parse request and response bodies. They throw BadMessageError or
/// request::BadOperationError.
ExecuteMessage ParseExecute(const std::string& body);
ReplicateRequest ParseReplicateRequest(const std::string& body);
ReplicateResult ParseReplicateResult(const std::string& body);

nlohmann::json ToJson(const ExecuteResult& result);
nlohmann::json ToJson(const ReplicateRequest& request);
nlohmann::json ToJson(const ReplicateResult& result);

/// HTTP status of the response to POST /v1/execute.
int HttpStatusOf(const ExecuteResult& result);

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_DATABASE_MESSAGES_H_
