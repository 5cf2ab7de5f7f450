#include "StandIns/json_response.h"

namespace camphorferry::standins {

using nlohmann::json;

connection::HttpResponse JsonResponse(int status, const json& body) {
  connection::HttpResponse response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  // The detail of a rejection may quote request bytes that are not valid UTF-8.
  response.body = body.dump(-1, ' ', /*ensure_ascii=*/false,
                            json::error_handler_t::replace);
  return response;
}

connection::HttpResponse RefusalResponse(int status, const std::string& reason,
                                         const std::string& detail) {
  json body = {{"outcome", "not_run"}, {"reason", reason}};
  if (!detail.empty()) body["detail"] = detail;
  return JsonResponse(status, body);
}

}  // namespace camphorferry::standins
