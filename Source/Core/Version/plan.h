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

/// An object that the configuration in force does not have.
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

/// An object that is no longer declared.
template <typename Id, typename Value>
struct Removed {
  Id id;
  Value old_value;

  bool operator==(const Removed&) const = default;
};

/// One change of one object.
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

/// Why a change may hurt clients that are served now.
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

/// Name of a warning kind, as in messages and JSON.
std::string_view ToString(WarningKind kind);

/// A change that the operator should read twice.
struct PlanWarning {
  WarningKind kind = WarningKind::kRateLowered;
  /// Kind and name of the object, such as "workspace trust".
  std::string object;

  bool operator==(const PlanWarning&) const = default;
};

/// What would change if the declarations were put in force.
struct Plan {
  /// Version that the plan was made against.
  ConfigurationVersion base_version = 0;
  std::vector<Change> changes;
  std::vector<PlanWarning> warnings;
  /// Identifies base version and declared content; what operators confirm.
  std::string digest;

  bool operator==(const Plan&) const = default;
};

/// Digests of plans with one declared content, which is hashed once.
class PlanDigester {
 public:
  explicit PlanDigester(const Configuration& declared);

  /// Digest of the plan against a version.
  std::string DigestAgainst(ConfigurationVersion base_version) const;

 private:
  std::string content_digest;
};

/// Digest of a plan against a version with the declared content.
std::string PlanDigest(ConfigurationVersion base_version,
                       const Configuration& declared);

/// Compares the configuration in force with the declared one. Version and
/// applied plans of the declared one are ignored.
Plan MakePlan(const Configuration& current, const Configuration& declared);

/// The plan for people: a line for each object, + added, ~ changed, - removed,
/// ! warning.
std::string PlanToText(const Plan& plan);

/// The plan as the operators' interface returns it: base_version, digest,
/// changes, warnings and text.
nlohmann::json PlanToJson(const Plan& plan);

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_PLAN_H_
