#ifndef CAMPHORFERRY_CONTROL_APPLY_REPORT_H_
#define CAMPHORFERRY_CONTROL_APPLY_REPORT_H_

#include <optional>
#include <string>
#include <variant>

#include "Control/operator_client.h"
#include "Version/version.h"

namespace camphorferry::control {

/// The plan was applied, by this confirmation or, if `already_applied` is set,
/// by an earlier one.
struct PlanAccepted {
  version::ConfigurationVersion version = 0;
  bool already_applied = false;
};

/// The plan is stale: the configuration in force or the declarations have
/// changed since it was made.
struct PlanStale {
  std::optional<version::ConfigurationVersion> base_version;
};

/// The daemon rejected the declarations or the request as invalid.
struct PlanInvalid {
  std::string reason;
};

/// The plan was not applied, neither by this confirmation nor by an attempt at
/// another daemon before it.
struct PlanRefused {
  std::string reason;
};

/// The plan may have been applied. Confirming it again is safe and shows
/// whether it was.
struct PlanOutcomeUnknown {
  std::string reason;
};

/// No daemon received the confirmation.
struct PlanNotSent {};

using ApplyReport = std::variant<PlanAccepted, PlanStale, PlanInvalid,
                                 PlanRefused, PlanOutcomeUnknown, PlanNotSent>;

/// Derives the outcome of a confirmation from the answer.
ApplyReport InterpretApply(const OperatorResult& result);

/// Reason and detail from the body of a response; its HTTP status if the body
/// has no reason.
std::string ReasonOf(const connection::HttpResponse& response);

}  // namespace camphorferry::control

#endif  // CAMPHORFERRY_CONTROL_APPLY_REPORT_H_
