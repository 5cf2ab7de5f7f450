#include "Version/apply.h"

#include <algorithm>
#include <optional>

namespace camphorferry::version {

namespace {

// Number of older versions that are tried to find the base version of a stale
// plan. Only the error message depends on it, so older plans can be left out.
constexpr ConfigurationVersion kMaxSearchedVersions = 1024;

/// Version that an applied plan produced; none if the digest is not in the
/// list. Each applied plan adds one version and one digest, so the version
/// follows from the digest's distance to the newest one.
std::optional<ConfigurationVersion> VersionOfAppliedPlan(
    const Configuration& current, const std::string& digest) {
  const auto newest = current.applied_plans.rbegin();
  const auto found = std::find(newest, current.applied_plans.rend(), digest);
  if (found == current.applied_plans.rend()) return std::nullopt;
  const auto distance = static_cast<ConfigurationVersion>(found - newest);
  if (distance >= current.version) return std::nullopt;
  return current.version - distance;
}

/// Version that a stale plan was made against; none if that is not among the
/// last kMaxSearchedVersions or if the declarations differ.
std::optional<ConfigurationVersion> BaseVersionOf(const Configuration& current,
                                                  const Configuration& declared,
                                                  const std::string& digest) {
  const ConfigurationVersion searched =
      std::min(current.version, kMaxSearchedVersions);
  const PlanDigester digester(declared);
  for (ConfigurationVersion back = 1; back <= searched; ++back) {
    const ConfigurationVersion version = current.version - back;
    if (digester.DigestAgainst(version) == digest) return version;
  }
  return std::nullopt;
}

StalePlan ExplainStale(const Configuration& current,
                       const Configuration& declared,
                       const std::string& digest) {
  const std::optional<ConfigurationVersion> base =
      BaseVersionOf(current, declared, digest);
  if (!base.has_value()) {
    return StalePlan{DeclarationsDiffer{}, current.version};
  }
  return StalePlan{BaseVersionOutdated{*base}, current.version};
}

Configuration NextConfiguration(const Configuration& current,
                                const Configuration& declared,
                                const std::string& digest) {
  Configuration next = declared;
  next.version = current.version + 1;
  next.applied_plans = current.applied_plans;
  next.applied_plans.push_back(digest);
  if (next.applied_plans.size() > kMaxAppliedPlans) {
    next.applied_plans.erase(next.applied_plans.begin(),
                             next.applied_plans.end() -
                                 static_cast<std::ptrdiff_t>(kMaxAppliedPlans));
  }
  return next;
}

}  // namespace

ApplyDecision DecideApply(const Configuration& current,
                          const Configuration& declared,
                          const std::string& confirmed_digest) {
  const std::optional<ConfigurationVersion> applied =
      VersionOfAppliedPlan(current, confirmed_digest);
  if (applied.has_value()) {
    // If the files were edited after the plan was applied, confirming the old
    // digest again must not report that the edited files are in force.
    const bool same_declarations =
        PlanDigest(*applied - 1, declared) == confirmed_digest;
    if (same_declarations) return AlreadyApplied{*applied};
    return StalePlan{DeclarationsDiffer{}, current.version};
  }
  const Plan plan = MakePlan(current, declared);
  if (plan.digest != confirmed_digest) {
    return ExplainStale(current, declared, confirmed_digest);
  }
  if (plan.changes.empty()) return AlreadyApplied{current.version};
  return WriteConfiguration{
      NextConfiguration(current, declared, confirmed_digest)};
}

}  // namespace camphorferry::version
