#ifndef CAMPHORFERRY_STANDINS_JSON_RESPONSE_H_
#define CAMPHORFERRY_STANDINS_JSON_RESPONSE_H_

#include <nlohmann/json.hpp>
#include <string>

#include "Connection/connection.h"

namespace camphorferry::standins {

inline constexpr int kHttpOk = 200;
inline constexpr int kHttpNotModified = 304;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpConflict = 409;
inline constexpr int kHttpUnavailable = 503;

/// Creates a response with a JSON body.
connection::HttpResponse JsonResponse(int status, const nlohmann::json& body);

/// Creates the response to a request that was rejected without any effect.
connection::HttpResponse RefusalResponse(int status, const std::string& reason,
                                         const std::string& detail);

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_JSON_RESPONSE_H_
