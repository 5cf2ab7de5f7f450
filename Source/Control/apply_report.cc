#include "Control/apply_report.h"

#include <nlohmann/json.hpp>

namespace camphorferry::control {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kServerErrors = 500;

json ParseBody(const connection::HttpResponse& response) {
  json body = json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  return body.is_object() ? body : json::object();
}

std::optional<std::string> TextField(const json& body, const char* name) {
  const auto found = body.find(name);
  if (found == body.end() || !found->is_string()) return std::nullopt;
  return found->get<std::string>();
}

std::optional<version::ConfigurationVersion> VersionField(const json& body,
                                                          const char* name) {
  const auto found = body.find(name);
  if (found == body.end() || !found->is_number_unsigned()) return std::nullopt;
  return found->get<version::ConfigurationVersion>();
}

ApplyReport InterpretSuccess(const json& body) {
  const auto version = VersionField(body, "version");
  const auto result = TextField(body, "result");
  const bool already_applied = result == "already_applied";
  if (!version.has_value() || (!already_applied && result != "applied")) {
    return PlanOutcomeUnknown{"unreadable answer"};
  }
  return PlanAccepted{*version, already_applied};
}

ApplyReport InterpretReply(const OperatorReply& reply) {
  const json body = ParseBody(reply.response);
  const int status = reply.response.status;
  const std::string reason = ReasonOf(reply.response);
  if (status == kOk) return InterpretSuccess(body);
  if (status == kConflict && TextField(body, "reason") == "stale") {
    return PlanStale{VersionField(body, "base_version")};
  }
  // Any other refusal does not exclude that a daemon that was tried before has
  // applied the plan.
  const bool certainly_not_run =
      status < kServerErrors || TextField(body, "outcome") == "not_run";
  if (!certainly_not_run || reply.earlier_may_have_run) {
    return PlanOutcomeUnknown{reason};
  }
  if (status == kBadRequest) return PlanInvalid{reason};
  return PlanRefused{reason};
}

}  // namespace

ApplyReport InterpretApply(const OperatorResult& result) {
  if (const auto* reply = std::get_if<OperatorReply>(&result)) {
    return InterpretReply(*reply);
  }
  if (std::get<OperatorNoAnswer>(result).may_have_run) {
    return PlanOutcomeUnknown{"no answer"};
  }
  return PlanNotSent{};
}

std::string ReasonOf(const connection::HttpResponse& response) {
  const json body = ParseBody(response);
  std::string reason =
      TextField(body, "reason")
          .value_or("HTTP status " + std::to_string(response.status));
  const std::optional<std::string> detail = TextField(body, "detail");
  if (detail.has_value()) reason += " (" + *detail + ")";
  return reason;
}

}  // namespace camphorferry::control
