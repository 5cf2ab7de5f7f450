#ifndef CAMPHORFERRY_VERSION_APPLY_H_
#define CAMPHORFERRY_VERSION_APPLY_H_

#include <cstddef>
#include <string>
#include <variant>

#include "Version/plan.h"

namespace camphorferry::version {

/// Plans that stay recognizable for a repeated confirmation. An operator
/// repeats within minutes; 64 plans cover several at the expected rate of
/// 17,000 a day.
inline constexpr std::size_t kKeptAppliedPlans = 64;

/// The confirmed plan was put in force by an earlier confirmation, or it
/// changes nothing.
struct AlreadyApplied {
  /// Version that the plan produced.
  ConfigurationVersion version = 0;
};

/// The plan was made against an older version.
struct BaseVersionMoved {
  ConfigurationVersion planned_against = 0;
};

/// The confirmed digest belongs to other declarations, or to a plan too old to
/// tell.
struct DeclarationsDiffer {};

/// What was confirmed is not what would happen now; a new plan is needed.
struct StalePlan {
  std::variant<BaseVersionMoved, DeclarationsDiffer> reason;
  ConfigurationVersion current_version = 0;
};

/// The configuration to write, on condition that the store still holds version
/// `next.version - 1`.
struct WriteConfiguration {
  Configuration next;
};

using ApplyDecision =
    std::variant<AlreadyApplied, StalePlan, WriteConfiguration>;

/// Decides about a confirmation against the configuration in the store. Every
/// write must come from here, since a repeated confirmation is recognized by
/// its place in the list of applied plans. When the conditional update fails or
/// its answer is lost, the caller reads the store and decides again. The
/// declared configuration must have passed CheckConfiguration.
ApplyDecision DecideApply(const Configuration& current,
                          const Configuration& declared,
                          const std::string& confirmed_digest);

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_APPLY_H_
