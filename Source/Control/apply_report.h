#ifndef CAMPHORFERRY_CONTROL_APPLY_REPORT_H_
#define CAMPHORFERRY_CONTROL_APPLY_REPORT_H_

#include <optional>
#include <string>
#include <variant>

#include "Control/operator_client.h"
#include "Version/version.h"

namespace camphorferry::control {

/// The plan was accepted; `already` if by an earlier confirmation.
struct PlanAccepted {
  version::ConfigurationVersion version = 0;
  bool already = false;
};

/// The configuration in force has moved since the plan was made.
struct PlanMoved {
  std::optional<version::ConfigurationVersion> base_version;
};

/// The daemon found the declarations or the request invalid.
struct PlanInvalid {
  std::string reason;
};

/// The plan was not put in force, and neither by an earlier attempt.
struct PlanRefused {
  std::string reason;
};

/// The plan may or may not have been put in force; confirming it again is safe
/// and tells.
struct PlanOutcomeUnknown {
  std::string reason;
};

/// No daemon received the confirmation.
struct PlanNotSent {};

using ApplyReport = std::variant<PlanAccepted, PlanMoved, PlanInvalid,
                                 PlanRefused, PlanOutcomeUnknown, PlanNotSent>;

/// Decides what the answer to a confirmation means.
ApplyReport InterpretApply(const OperatorResult& result);

/// The reason in the body with its detail; otherwise the HTTP status.
std::string ReasonOf(const connection::HttpResponse& response);

}  // namespace camphorferry::control

#endif  // CAMPHORFERRY_CONTROL_APPLY_REPORT_H_
