#ifndef CAMPHORFERRY_VERSION_APPLY_H_
#define CAMPHORFERRY_VERSION_APPLY_H_

#include <cstddef>
#include <string>
#include <variant>

#include "Version/plan.h"

namespace camphorferry::version {

/// Number of applied plans whose digests are kept to recognize a repeated
/// confirmation. Operators repeat a confirmation within minutes. At the
/// expected rate of 17,000 plans per day, 64 plans cover about five minutes.
inline constexpr std::size_t kMaxAppliedPlans = 64;

/// The confirmed plan was already applied by an earlier confirmation, or it
/// contains no changes.
struct AlreadyApplied {
  /// Version that applying the plan produced, or the current one if the plan
  /// contains no changes.
  ConfigurationVersion version = 0;
};

/// The plan was made against an older version of the configuration.
struct BaseVersionOutdated {
  ConfigurationVersion base_version = 0;
};

/// The confirmed digest belongs to other declarations, or to a plan that is too
/// old to be identified.
struct DeclarationsDiffer {};

/// The confirmed plan no longer matches the configuration in the store or the
/// declarations; a new plan is needed.
struct StalePlan {
  std::variant<BaseVersionOutdated, DeclarationsDiffer> reason;
  ConfigurationVersion current_version = 0;
};

/// The configuration to write by a conditional update, which must fail unless
/// the store still holds version `next.version - 1`.
struct WriteConfiguration {
  Configuration next;
};

using ApplyDecision =
    std::variant<AlreadyApplied, StalePlan, WriteConfiguration>;

/// Decides whether a confirmed plan is to be written, given the configuration
/// in the store. Every write must be decided here, because the version of a
/// repeated confirmation is derived from its position in the list of applied
/// plans. If the conditional update fails or its answer is lost, the caller
/// must read the store and decide again. The declared configuration must have
/// passed CheckConfiguration.
ApplyDecision DecideApply(const Configuration& current,
                          const Configuration& declared,
                          const std::string& confirmed_digest);

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_APPLY_H_
