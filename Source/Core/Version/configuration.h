#ifndef CAMPHORFERRY_VERSION_CONFIGURATION_H_
#define CAMPHORFERRY_VERSION_CONFIGURATION_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Common/common.h"

namespace camphorferry::version {

/// Version of the configuration; each applied plan increments it.
using ConfigurationVersion = std::uint64_t;

/// Rate limit and weight of one workspace for the whole fleet of daemons.
struct Workspace {
  /// Requests per second.
  std::uint32_t rate = 0;
  /// Capacity of the token bucket: requests that may exceed the rate at once.
  std::uint32_t burst = 0;
  /// Share of the endpoints' slots under contention, relative to the weights of
  /// other workspaces.
  std::uint32_t weight = 1;

  bool operator==(const Workspace&) const = default;
};

/// One database of a service.
struct Endpoint {
  common::EndpointId id;
  /// IP:PORT.
  std::string address;
  common::FailureDomainId domain;

  bool operator==(const Endpoint&) const = default;
};

/// A group of replicated databases.
struct Service {
  std::vector<Endpoint> endpoints;
  /// Number of statements that each endpoint runs concurrently.
  std::uint32_t slots = 1;
  /// Number of connections that each endpoint accepts.
  std::uint32_t connections = 4;

  bool operator==(const Service&) const = default;
};

/// Name under which clients use a service, and the workspaces that may use it.
struct Route {
  common::ServiceId service;
  /// An open route needs no key.
  bool open = false;
  std::set<common::WorkspaceId> workspaces;

  bool operator==(const Route&) const = default;
};

/// A client's API key, of which only the SHA-256 digest is stored.
struct Key {
  common::WorkspaceId workspace;
  /// 64 lower-case hexadecimal digits.
  std::string digest;

  bool operator==(const Key&) const = default;
};

/// A failure domain and the number of its rate slots. The rates of workspaces
/// are divided among the rate slots of all domains.
struct FailureDomain {
  common::RegionId region;
  std::uint32_t rate_slots = 1;

  bool operator==(const FailureDomain&) const = default;
};

/// One version of everything that operators have declared.
struct Configuration {
  ConfigurationVersion version = 0;
  std::map<common::WorkspaceId, Workspace> workspaces;
  std::map<common::ServiceId, Service> services;
  std::map<common::RouteId, Route> routes;
  std::map<common::KeyId, Key> keys;
  std::map<common::FailureDomainId, FailureDomain> domains;
  /// Digests of the last applied plans, newest last. They identify a repeated
  /// confirmation whose first answer was lost.
  std::vector<std::string> applied_plans;

  bool operator==(const Configuration&) const = default;
};

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_CONFIGURATION_H_
