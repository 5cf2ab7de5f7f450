#ifndef CAMPHORFERRY_VERSION_PLAN_H_
#define CAMPHORFERRY_VERSION_PLAN_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Version/configuration.h"

namespace camphorferry::version {

/// An object that is declared but not in the configuration in force.
template <typename Id, typename Value>
struct Added {
  Id id;
  Value value;

  bool operator==(const Added&) const = default;
};

/// An object whose content changes.
template <typename Id, typename Value>
struct Changed {
  Id id;
  Value old_value;
  Value new_value;

  bool operator==(const Changed&) const = default;
};

/// An object that is in the configuration in force but no longer declared.
template <typename Id, typename Value>
struct Removed {
  Id id;
  Value old_value;

  bool operator==(const Removed&) const = default;
};

/// A change of one object.
using Change = std::variant<
    Added<common::WorkspaceId, Workspace>,
    Changed<common::WorkspaceId, Workspace>,
    Removed<common::WorkspaceId, Workspace>, Added<common::ServiceId, Service>,
    Changed<common::ServiceId, Service>, Removed<common::ServiceId, Service>,
    Added<common::RouteId, Route>, Changed<common::RouteId, Route>,
    Removed<common::RouteId, Route>, Added<common::KeyId, Key>,
    Changed<common::KeyId, Key>, Removed<common::KeyId, Key>,
    Added<common::FailureDomainId, FailureDomain>,
    Changed<common::FailureDomainId, FailureDomain>,
    Removed<common::FailureDomainId, FailureDomain>>;

/// Why a change may affect clients that are served now.
enum class WarningKind {
  kWorkspaceRemoved,
  kRateLowered,
  kServiceRemoved,
  kEndpointRemoved,
  kRouteRemoved,
  kRouteMoved,
  kRouteOpened,
  kRouteNarrowed,
  kKeyWithdrawn,
  kDomainRemoved,
  kRateSlotsChanged,
};

/// Name of a warning kind in the plan's text and JSON.
std::string_view ToString(WarningKind kind);

/// Warns the operator about a change that may affect clients.
struct PlanWarning {
  WarningKind kind = WarningKind::kRateLowered;
  /// Kind and name of the object, such as "workspace trust".
  std::string object;

  bool operator==(const PlanWarning&) const = default;
};

/// The changes that applying the declarations would make.
struct Plan {
  /// Version that the plan was made against.
  ConfigurationVersion base_version = 0;
  std::vector<Change> changes;
  std::vector<PlanWarning> warnings;
  /// Digest of base version and declared content, by which operators confirm
  /// the plan.
  std::string digest;

  bool operator==(const Plan&) const = default;
};

/// Computes the digests of plans for one declared content against several
/// versions. The content is hashed only once.
class PlanDigester {
 public:
  explicit PlanDigester(const Configuration& declared);

  /// Digest of the plan against the version.
  std::string DigestAgainst(ConfigurationVersion base_version) const;

 private:
  std::string content_digest;
};

/// Digest of the plan for the declared content against the version.
std::string PlanDigest(ConfigurationVersion base_version,
                       const Configuration& declared);

/// Compares the configuration in force with the declared one. Ignores version
/// and applied plans of the declared one.
Plan MakePlan(const Configuration& current, const Configuration& declared);

/// Formats the plan for display. The line of each object starts with + if it is
/// added, ~ if changed and - if removed. Lines with ! are warnings.
std::string PlanToText(const Plan& plan);

/// Formats the plan as the operators' interface returns it, with the fields
/// base_version, digest, changes, warnings and text.
nlohmann::json PlanToJson(const Plan& plan);

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_PLAN_H_
