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

/// Version of the configuration; each accepted plan raises it.
using ConfigurationVersion = std::uint64_t;

/// Limits and weight of one workspace over the whole fleet.
struct Workspace {
  /// Requests per second.
  std::uint32_t rate = 0;
  /// Requests above the rate that may come at once.
  std::uint32_t burst = 0;
  /// Share of scarce slots relative to other workspaces.
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

/// A database group.
struct Service {
  std::vector<Endpoint> endpoints;
  /// Statements that each endpoint runs at once.
  std::uint32_t slots = 1;
  /// Connections that each endpoint accepts.
  std::uint32_t connections = 4;

  bool operator==(const Service&) const = default;
};

/// Name that clients use for a service, and who may use it.
struct Route {
  common::ServiceId service;
  /// An open route needs no key.
  bool open = false;
  std::set<common::WorkspaceId> workspaces;

  bool operator==(const Route&) const = default;
};

/// A client's key; only its SHA-256 digest is kept.
struct Key {
  common::WorkspaceId workspace;
  /// 64 hexadecimal digits.
  std::string digest;

  bool operator==(const Key&) const = default;
};

/// A failure domain and its part of the rate slots.
struct FailureDomain {
  common::RegionId region;
  std::uint32_t rate_slots = 1;

  bool operator==(const FailureDomain&) const = default;
};

/// Everything that operators have declared, at one version.
struct Configuration {
  ConfigurationVersion version = 0;
  std::map<common::WorkspaceId, Workspace> workspaces;
  std::map<common::ServiceId, Service> services;
  std::map<common::RouteId, Route> routes;
  std::map<common::KeyId, Key> keys;
  std::map<common::FailureDomainId, FailureDomain> domains;
  /// Digests of the latest plans in force, newest last, so that a repeated
  /// confirmation whose answer was lost is recognized.
  std::vector<std::string> applied_plans;

  bool operator==(const Configuration&) const = default;
};

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_CONFIGURATION_H_
