#include "Version/configuration_json.h"

#include <initializer_list>
#include <limits>
#include <utility>

namespace camphorferry::version {

namespace {

using nlohmann::json;

/// Reads the fields of one JSON object and throws BadConfigurationError with
/// the path of a faulty field.
class ObjectReader {
 public:
  ObjectReader(const json& object, std::string path)
      : object(object), path(std::move(path)) {
    if (!object.is_object()) {
      throw BadConfigurationError(DocumentFault::kWrongType, this->path);
    }
  }

  [[noreturn]] void Fail(DocumentFault fault, const std::string& name) const {
    throw BadConfigurationError(fault, this->PathOf(name));
  }

  std::string PathOf(const std::string& name) const {
    return this->path.empty() ? name : this->path + "/" + name;
  }

  const json& Required(const std::string& name) const {
    const auto found = this->object.find(name);
    if (found == this->object.end()) {
      this->Fail(DocumentFault::kMissingField, name);
    }
    return *found;
  }

  ObjectReader Object(const std::string& name) const {
    return ObjectReader(this->Required(name), this->PathOf(name));
  }

  const json& List(const std::string& name) const {
    const json& value = this->Required(name);
    if (!value.is_array()) this->Fail(DocumentFault::kWrongType, name);
    return value;
  }

  bool Boolean(const std::string& name) const {
    const json& value = this->Required(name);
    if (!value.is_boolean()) this->Fail(DocumentFault::kWrongType, name);
    return value.get<bool>();
  }

  std::string Text(const std::string& name) const {
    return this->TextOf(this->Required(name), name);
  }

  std::string TextOf(const json& value, const std::string& name) const {
    if (!value.is_string()) this->Fail(DocumentFault::kWrongType, name);
    return value.get<std::string>();
  }

  template <typename Id>
  Id Name(const std::string& name) const {
    return this->NameOf<Id>(this->Required(name), name);
  }

  template <typename Id>
  Id NameOf(const json& value, const std::string& name) const {
    std::string text = this->TextOf(value, name);
    if (!common::IsValidName(text)) this->Fail(DocumentFault::kBadName, name);
    return Id(std::move(text));
  }

  std::string Address(const std::string& name) const {
    std::string text = this->Text(name);
    if (!common::IsIpAndPort(text)) {
      this->Fail(DocumentFault::kBadAddress, name);
    }
    return text;
  }

  std::string DigestOf(const json& value, const std::string& name) const {
    std::string text = this->TextOf(value, name);
    if (!common::IsSha256Hex(text)) this->Fail(DocumentFault::kBadDigest, name);
    return text;
  }

  template <typename Number>
  Number Unsigned(const std::string& name) const {
    const json& value = this->Required(name);
    if (!value.is_number_integer()) this->Fail(DocumentFault::kWrongType, name);
    if (!value.is_number_unsigned() && value.get<std::int64_t>() < 0) {
      this->Fail(DocumentFault::kOutOfRange, name);
    }
    const auto number = value.get<std::uint64_t>();
    if (number > std::numeric_limits<Number>::max()) {
      this->Fail(DocumentFault::kOutOfRange, name);
    }
    return static_cast<Number>(number);
  }

  void RejectFieldsExcept(std::initializer_list<std::string_view> names) const {
    for (const auto& [name, value] : this->object.items()) {
      bool known = false;
      for (const std::string_view allowed : names) known |= name == allowed;
      if (!known) this->Fail(DocumentFault::kUnknownField, name);
    }
  }

  /// Reads a field whose value maps names to objects.
  template <typename Id, typename Value, typename Read>
  std::map<Id, Value> Map(const std::string& name, Read read) const {
    const ObjectReader members = this->Object(name);
    std::map<Id, Value> values;
    for (const auto& [member, value] : members.object.items()) {
      if (!common::IsValidName(member)) {
        members.Fail(DocumentFault::kBadName, member);
      }
      values.emplace(Id(member),
                     read(ObjectReader(value, members.PathOf(member))));
    }
    return values;
  }

 private:
  const json& object;
  std::string path;
};

Workspace ReadWorkspace(const ObjectReader& reader) {
  reader.RejectFieldsExcept({"rate", "burst", "weight"});
  return Workspace{reader.Unsigned<std::uint32_t>("rate"),
                   reader.Unsigned<std::uint32_t>("burst"),
                   reader.Unsigned<std::uint32_t>("weight")};
}

Endpoint ReadEndpoint(const ObjectReader& reader) {
  reader.RejectFieldsExcept({"id", "address", "domain"});
  return Endpoint{reader.Name<common::EndpointId>("id"),
                  reader.Address("address"),
                  reader.Name<common::FailureDomainId>("domain")};
}

Service ReadService(const ObjectReader& reader) {
  reader.RejectFieldsExcept({"endpoints", "slots", "connections"});
  Service service;
  for (const json& endpoint : reader.List("endpoints")) {
    const std::string endpoint_path =
        reader.PathOf("endpoints/" + std::to_string(service.endpoints.size()));
    service.endpoints.push_back(
        ReadEndpoint(ObjectReader(endpoint, endpoint_path)));
  }
  service.slots = reader.Unsigned<std::uint32_t>("slots");
  service.connections = reader.Unsigned<std::uint32_t>("connections");
  return service;
}

Route ReadRoute(const ObjectReader& reader) {
  reader.RejectFieldsExcept({"service", "open", "workspaces"});
  Route route;
  route.service = reader.Name<common::ServiceId>("service");
  route.open = reader.Boolean("open");
  for (const json& workspace : reader.List("workspaces")) {
    const auto id = reader.NameOf<common::WorkspaceId>(workspace, "workspaces");
    if (!route.workspaces.insert(id).second) {
      reader.Fail(DocumentFault::kDuplicate, "workspaces");
    }
  }
  return route;
}

Key ReadKey(const ObjectReader& reader) {
  reader.RejectFieldsExcept({"workspace", "digest"});
  return Key{reader.Name<common::WorkspaceId>("workspace"),
             reader.DigestOf(reader.Required("digest"), "digest")};
}

FailureDomain ReadDomain(const ObjectReader& reader) {
  reader.RejectFieldsExcept({"region", "rate_slots"});
  return FailureDomain{reader.Name<common::RegionId>("region"),
                       reader.Unsigned<std::uint32_t>("rate_slots")};
}

Configuration ReadDeclarations(const ObjectReader& reader) {
  Configuration configuration;
  configuration.workspaces =
      reader.Map<common::WorkspaceId, Workspace>("workspaces", ReadWorkspace);
  configuration.services =
      reader.Map<common::ServiceId, Service>("services", ReadService);
  configuration.routes =
      reader.Map<common::RouteId, Route>("routes", ReadRoute);
  configuration.keys = reader.Map<common::KeyId, Key>("keys", ReadKey);
  configuration.domains =
      reader.Map<common::FailureDomainId, FailureDomain>("domains", ReadDomain);
  return configuration;
}

template <typename Id, typename Value>
json MapToJson(const std::map<Id, Value>& values) {
  json object = json::object();
  for (const auto& [id, value] : values) object[id.Value()] = ToJson(value);
  return object;
}

}  // namespace

json ToJson(const Workspace& workspace) {
  return json{{"rate", workspace.rate},
              {"burst", workspace.burst},
              {"weight", workspace.weight}};
}

json ToJson(const Service& service) {
  json endpoints = json::array();
  for (const Endpoint& endpoint : service.endpoints) {
    endpoints.push_back(json{{"id", endpoint.id.Value()},
                             {"address", endpoint.address},
                             {"domain", endpoint.domain.Value()}});
  }
  return json{{"endpoints", std::move(endpoints)},
              {"slots", service.slots},
              {"connections", service.connections}};
}

json ToJson(const Route& route) {
  json workspaces = json::array();
  for (const common::WorkspaceId& workspace : route.workspaces) {
    workspaces.push_back(workspace.Value());
  }
  return json{{"service", route.service.Value()},
              {"open", route.open},
              {"workspaces", std::move(workspaces)}};
}

json ToJson(const Key& key) {
  return json{{"workspace", key.workspace.Value()}, {"digest", key.digest}};
}

json ToJson(const FailureDomain& domain) {
  return json{{"region", domain.region.Value()},
              {"rate_slots", domain.rate_slots}};
}

std::string_view ToString(DocumentFault fault) {
  switch (fault) {
    case DocumentFault::kNotJson:
      return "not_json";
    case DocumentFault::kMissingField:
      return "missing_field";
    case DocumentFault::kUnknownField:
      return "unknown_field";
    case DocumentFault::kWrongType:
      return "wrong_type";
    case DocumentFault::kOutOfRange:
      return "out_of_range";
    case DocumentFault::kBadName:
      return "bad_name";
    case DocumentFault::kBadAddress:
      return "bad_address";
    case DocumentFault::kBadDigest:
      return "bad_digest";
    case DocumentFault::kDuplicate:
      return "duplicate";
  }
  return "invalid";
}

BadConfigurationError::BadConfigurationError(DocumentFault fault,
                                             const std::string& path)
    : Error("configuration document: " + std::string(ToString(fault)) +
            (path.empty() ? "" : " at " + path)),
      fault(fault),
      path(path) {}

json ConfigurationToJson(const Configuration& configuration) {
  json document = DeclarationsToJson(configuration);
  document["version"] = configuration.version;
  document["applied_plans"] = configuration.applied_plans;
  return document;
}

Configuration ConfigurationFromJson(const json& document) {
  const ObjectReader reader(document, "");
  reader.RejectFieldsExcept({"version", "applied_plans", "workspaces",
                             "services", "routes", "keys", "domains"});
  Configuration configuration = ReadDeclarations(reader);
  configuration.version = reader.Unsigned<ConfigurationVersion>("version");
  for (const json& digest : reader.List("applied_plans")) {
    configuration.applied_plans.push_back(
        reader.DigestOf(digest, "applied_plans"));
  }
  return configuration;
}

Configuration ParseConfiguration(std::string_view text) {
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (document.is_discarded()) {
    throw BadConfigurationError(DocumentFault::kNotJson, "");
  }
  return ConfigurationFromJson(document);
}

json DeclarationsToJson(const Configuration& configuration) {
  return json{{"workspaces", MapToJson(configuration.workspaces)},
              {"services", MapToJson(configuration.services)},
              {"routes", MapToJson(configuration.routes)},
              {"keys", MapToJson(configuration.keys)},
              {"domains", MapToJson(configuration.domains)}};
}

Configuration DeclarationsFromJson(const json& document) {
  const ObjectReader reader(document, "");
  reader.RejectFieldsExcept(
      {"workspaces", "services", "routes", "keys", "domains"});
  return ReadDeclarations(reader);
}

}  // namespace camphorferry::version
