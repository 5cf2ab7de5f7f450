#include "Version/configuration_check.h"

#include <utility>

#include "Version/configuration_json.h"

namespace camphorferry::version {

namespace {

using common::FaultKind;

/// Collects the issues of one configuration. Run can be called once.
class ConfigurationChecker {
 public:
  explicit ConfigurationChecker(const Configuration& configuration)
      : configuration(configuration) {}

  std::vector<ConfigurationIssue> Run() && {
    for (const auto& [id, workspace] : this->configuration.workspaces) {
      this->CheckWorkspace("workspace." + id.Value(), workspace);
    }
    for (const auto& [id, service] : this->configuration.services) {
      this->CheckService("service." + id.Value(), service);
    }
    for (const auto& [id, route] : this->configuration.routes) {
      this->CheckRoute("route." + id.Value(), route);
    }
    for (const auto& [id, key] : this->configuration.keys) {
      this->CheckKey("key." + id.Value(), key);
    }
    for (const auto& [id, domain] : this->configuration.domains) {
      this->CheckRange("domain." + id.Value(), "rate_slots", domain.rate_slots,
                       1, kMaxRateSlots);
    }
    this->CheckSize();
    return std::move(this->issues);
  }

 private:
  void Add(FaultKind kind, const std::string& object, const std::string& field,
           std::string found, std::string allowed) {
    this->issues.push_back(ConfigurationIssue{
        kind, object, field, std::move(found), std::move(allowed)});
  }

  void CheckRange(const std::string& object, const std::string& field,
                  std::uint32_t value, std::uint32_t min, std::uint32_t max) {
    if (value >= min && value <= max) return;
    this->Add(FaultKind::kNotAllowed, object, field, std::to_string(value),
              std::to_string(min) + " to " + std::to_string(max));
  }

  void CheckWorkspace(const std::string& object, const Workspace& workspace) {
    this->CheckRange(object, "rate", workspace.rate, 1, kMaxRate);
    this->CheckRange(object, "burst", workspace.burst, 1, kMaxRate);
    this->CheckRange(object, "weight", workspace.weight, 1, kMaxWeight);
  }

  void CheckService(const std::string& object, const Service& service) {
    this->CheckRange(object, "slots", service.slots, 1, kMaxSlots);
    this->CheckRange(object, "connections", service.connections,
                     kMinConnections, kMaxConnections);
    if (service.endpoints.size() != kEndpointsPerService) {
      this->Add(FaultKind::kNotAllowed, object, "endpoint",
                std::to_string(service.endpoints.size()) + " endpoints",
                "exactly 3 endpoints");
    }
    for (std::size_t i = 0; i < service.endpoints.size(); ++i) {
      this->CheckEndpoint(object + ".endpoint[" + std::to_string(i) + "]",
                          service.endpoints[i]);
    }
  }

  void CheckEndpoint(const std::string& object, const Endpoint& endpoint) {
    if (!this->endpoint_ids.insert(endpoint.id).second) {
      this->Add(FaultKind::kDuplicate, object, "id", endpoint.id.Value(),
                "each endpoint id once in all services");
    }
    if (!this->endpoint_addresses.insert(endpoint.address).second) {
      this->Add(FaultKind::kDuplicate, object, "address", endpoint.address,
                "each endpoint address once in all services");
    }
    this->CheckReference(object, "domain", endpoint.domain,
                         this->configuration.domains, "a declared domain");
  }

  void CheckRoute(const std::string& object, const Route& route) {
    this->CheckReference(object, "service", route.service,
                         this->configuration.services, "a declared service");
    for (const common::WorkspaceId& workspace : route.workspaces) {
      this->CheckReference(object, "workspaces", workspace,
                           this->configuration.workspaces,
                           "declared workspaces");
    }
    if (route.open && !route.workspaces.empty()) {
      this->Add(FaultKind::kContradiction, object, "workspaces",
                std::to_string(route.workspaces.size()) + " workspaces",
                "none on an open route, which needs no key");
    }
    if (!route.open && route.workspaces.empty()) {
      this->Add(FaultKind::kMissingKey, object, "workspaces", "nothing",
                "at least one workspace, or open = true");
    }
  }

  void CheckKey(const std::string& object, const Key& key) {
    this->CheckReference(object, "workspace", key.workspace,
                         this->configuration.workspaces,
                         "a declared workspace");
    // If two keys had the same digest, the workspace of a presented key would
    // be ambiguous.
    if (!this->key_digests.insert(key.digest).second) {
      this->Add(FaultKind::kDuplicate, object, "digest", key.digest,
                "each digest once");
    }
  }

  template <typename Id, typename Value>
  void CheckReference(const std::string& object, const std::string& field,
                      const Id& id, const std::map<Id, Value>& declared,
                      const std::string& allowed) {
    if (declared.contains(id)) return;
    this->Add(FaultKind::kUnknownReference, object, field, id.Value(), allowed);
  }

  void CheckSize() {
    const std::size_t size =
        DeclarationsToJson(this->configuration).dump().size();
    if (size <= kMaxDocumentBytes) return;
    this->Add(FaultKind::kNotAllowed, "", "", std::to_string(size) + " bytes",
              "a document of at most " + std::to_string(kMaxDocumentBytes) +
                  " bytes");
  }

  const Configuration& configuration;
  std::set<common::EndpointId> endpoint_ids;
  std::set<std::string> endpoint_addresses;
  std::set<std::string> key_digests;
  std::vector<ConfigurationIssue> issues;
};

}  // namespace

std::vector<ConfigurationIssue> CheckConfiguration(
    const Configuration& configuration) {
  return ConfigurationChecker(configuration).Run();
}

common::Fault ToFault(const ConfigurationIssue& issue) {
  const std::string separator =
      issue.object.empty() || issue.field.empty() ? "" : ".";
  return common::Fault{issue.kind,  "declarations",
                       0,           issue.object + separator + issue.field,
                       issue.found, issue.allowed};
}

}  // namespace camphorferry::version
