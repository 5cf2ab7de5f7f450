#ifndef CAMPHORFERRY_UNITTESTS_CORE_VERSION_CONFIGURATION_GENERATOR_H_
#define CAMPHORFERRY_UNITTESTS_CORE_VERSION_CONFIGURATION_GENERATOR_H_

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "Version/version.h"

namespace camphorferry::version {

/// Generates names from a small set, so that objects often refer to each other.
template <typename Id>
rc::Gen<Id> GenName() {
  return rc::gen::map(
      rc::gen::element<std::string>("a", "b-1", "C_2", "d.3", "e"),
      [](std::string text) { return Id(std::move(text)); });
}

/// Generates a map with at most as many entries as there are names.
/// RapidCheck's own map generator gives up if it draws the same name too often.
template <typename Id, typename Value>
rc::Gen<std::map<Id, Value>> GenMap(const rc::Gen<Value>& value) {
  const auto entry = rc::gen::pair(GenName<Id>(), value);
  return rc::gen::map(
      rc::gen::container<std::vector<std::pair<Id, Value>>>(entry),
      [](const std::vector<std::pair<Id, Value>>& entries) {
        return std::map<Id, Value>(entries.begin(), entries.end());
      });
}

inline rc::Gen<std::set<common::WorkspaceId>> GenWorkspaces() {
  return rc::gen::map(rc::gen::container<std::vector<common::WorkspaceId>>(
                          GenName<common::WorkspaceId>()),
                      [](const std::vector<common::WorkspaceId>& names) {
                        return std::set<common::WorkspaceId>(names.begin(),
                                                             names.end());
                      });
}

inline rc::Gen<std::string> GenDigest() {
  return rc::gen::map(
      rc::gen::arbitrary<std::string>(),
      [](const std::string& text) { return common::Sha256Hex(text); });
}

inline rc::Gen<Service> GenService() {
  const auto endpoint = rc::gen::build<Endpoint>(
      rc::gen::set(&Endpoint::id, GenName<common::EndpointId>()),
      rc::gen::set(&Endpoint::address, rc::gen::element<std::string>(
                                           "127.0.0.1:1", "10.0.0.9:65535")),
      rc::gen::set(&Endpoint::domain, GenName<common::FailureDomainId>()));
  return rc::gen::build<Service>(
      rc::gen::set(&Service::endpoints,
                   rc::gen::container<std::vector<Endpoint>>(endpoint)),
      rc::gen::set(&Service::slots), rc::gen::set(&Service::connections));
}

/// Generates any configuration that a document can hold, valid or not.
inline rc::Gen<Configuration> GenConfiguration() {
  using rc::gen::build;
  using rc::gen::set;
  const auto workspace = build<Workspace>(
      set(&Workspace::rate), set(&Workspace::burst), set(&Workspace::weight));
  const auto route =
      build<Route>(set(&Route::service, GenName<common::ServiceId>()),
                   set(&Route::open), set(&Route::workspaces, GenWorkspaces()));
  const auto key =
      build<Key>(set(&Key::workspace, GenName<common::WorkspaceId>()),
                 set(&Key::digest, GenDigest()));
  const auto domain = build<FailureDomain>(
      set(&FailureDomain::region, GenName<common::RegionId>()),
      set(&FailureDomain::rate_slots));
  return build<Configuration>(
      set(&Configuration::version),
      set(&Configuration::workspaces, GenMap<common::WorkspaceId>(workspace)),
      set(&Configuration::services, GenMap<common::ServiceId>(GenService())),
      set(&Configuration::routes, GenMap<common::RouteId>(route)),
      set(&Configuration::keys, GenMap<common::KeyId>(key)),
      set(&Configuration::domains, GenMap<common::FailureDomainId>(domain)),
      set(&Configuration::applied_plans,
          rc::gen::container<std::vector<std::string>>(GenDigest())));
}

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_UNITTESTS_CORE_VERSION_CONFIGURATION_GENERATOR_H_
