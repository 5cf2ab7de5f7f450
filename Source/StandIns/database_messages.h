#ifndef CAMPHORFERRY_STANDINS_DATABASE_MESSAGES_H_
#define CAMPHORFERRY_STANDINS_DATABASE_MESSAGES_H_

#include <nlohmann/json.hpp>
#include <string>

#include "Common/common.h"
#include "StandIns/database_core.h"
#include "StandIns/message_reader.h"

namespace camphorferry::standins {

/// Body of POST /v1/execute.
struct ExecuteMessage {
  ExecuteRequest request;
  /// How long a lagging read waits.
  common::Duration wait = common::Duration::zero();
  /// Returned with the answer; empty if the sender gave none.
  std::string request_id;
};

/// Age in whole milliseconds, rounded up so that data is never reported as
/// fresher than it is. An unknown age is the largest one that still fits
/// common::Duration.
std::int64_t AgeToMilliseconds(common::Duration age);

/// Name of a role in messages.
std::string RoleName(DatabaseRole role);

/// Parse functions throw BadMessageError or request::BadOperationError.
ExecuteMessage ParseExecute(const std::string& body);
ReplicateRequest ParseReplicateRequest(const std::string& body);
ReplicateResult ParseReplicateResult(const std::string& body);

nlohmann::json ToJson(const ExecuteResult& result);
nlohmann::json ToJson(const ReplicateRequest& request);
nlohmann::json ToJson(const ReplicateResult& result);

/// HTTP status of the answer to POST /v1/execute.
int HttpStatusOf(const ExecuteResult& result);

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_DATABASE_MESSAGES_H_
