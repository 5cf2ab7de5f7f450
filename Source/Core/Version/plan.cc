#include "Version/plan.h"

#include <algorithm>
#include <utility>

#include "Version/configuration_json.h"

namespace camphorferry::version {

namespace {

using nlohmann::json;

/// Names and values of an object's fields in display order.
using FieldTexts = std::vector<std::pair<std::string, std::string>>;

// The parentheses distinguish it from all names.
constexpr const char* kNone = "(none)";

std::string KindName(const common::WorkspaceId& /*id*/) { return "workspace"; }
std::string KindName(const common::ServiceId& /*id*/) { return "service"; }
std::string KindName(const common::RouteId& /*id*/) { return "route"; }
std::string KindName(const common::KeyId& /*id*/) { return "key"; }
std::string KindName(const common::FailureDomainId& /*id*/) { return "domain"; }

template <typename Id>
std::string ObjectName(const Id& id) {
  return KindName(id) + " " + id.Value();
}

FieldTexts FieldsOf(const Workspace& workspace) {
  return {{"rate", std::to_string(workspace.rate)},
          {"burst", std::to_string(workspace.burst)},
          {"weight", std::to_string(workspace.weight)}};
}

FieldTexts FieldsOf(const Service& service) {
  FieldTexts fields{{"slots", std::to_string(service.slots)},
                    {"connections", std::to_string(service.connections)}};
  for (const Endpoint& endpoint : service.endpoints) {
    fields.emplace_back("endpoint " + endpoint.id.Value(),
                        endpoint.address + " in " + endpoint.domain.Value());
  }
  return fields;
}

FieldTexts FieldsOf(const Route& route) {
  std::string workspaces;
  for (const common::WorkspaceId& workspace : route.workspaces) {
    workspaces += (workspaces.empty() ? "" : " ") + workspace.Value();
  }
  return {{"service", route.service.Value()},
          {"open", route.open ? "true" : "false"},
          {"workspaces", workspaces.empty() ? kNone : workspaces}};
}

FieldTexts FieldsOf(const Key& key) {
  return {{"workspace", key.workspace.Value()}, {"digest", key.digest}};
}

FieldTexts FieldsOf(const FailureDomain& domain) {
  return {{"region", domain.region.Value()},
          {"rate_slots", std::to_string(domain.rate_slots)}};
}

std::string FieldOrNone(const FieldTexts& fields, const std::string& name) {
  for (const auto& [field, text] : fields) {
    if (field == name) return text;
  }
  return kNone;
}

void AppendField(const std::string& name, const std::string& value,
                 std::string* text) {
  *text += "    ";
  *text += name;
  *text += ": ";
  *text += value;
  *text += "\n";
}

void AppendChange(const std::string& name, const std::string& before,
                  const std::string& after, std::string* text) {
  std::string value = before;
  value += " -> ";
  value += after;
  AppendField(name, value, text);
}

/// Formats one line for each field that differs.
std::string FormatFieldChanges(const FieldTexts& before,
                               const FieldTexts& after) {
  std::string text;
  for (const auto& [name, old_text] : before) {
    const std::string new_text = FieldOrNone(after, name);
    if (new_text != old_text) AppendChange(name, old_text, new_text, &text);
  }
  for (const auto& [name, new_text] : after) {
    const bool is_new = FieldOrNone(before, name) == kNone;
    if (is_new && new_text != kNone) AppendChange(name, kNone, new_text, &text);
  }
  return text;
}

std::string FormatFields(const FieldTexts& fields) {
  std::string text;
  for (const auto& [name, value] : fields) {
    AppendField(name, value, &text);
  }
  return text;
}

struct ChangeToText {
  template <typename Id, typename Value>
  std::string operator()(const Added<Id, Value>& change) const {
    return "+ " + ObjectName(change.id) + "\n" +
           FormatFields(FieldsOf(change.value));
  }
  template <typename Id, typename Value>
  std::string operator()(const Changed<Id, Value>& change) const {
    const std::string fields = FormatFieldChanges(FieldsOf(change.old_value),
                                                  FieldsOf(change.new_value));
    // The order of endpoints is part of the content but not shown as a field.
    return "~ " + ObjectName(change.id) + "\n" +
           (fields.empty() ? "    order of endpoints\n" : fields);
  }
  template <typename Id, typename Value>
  std::string operator()(const Removed<Id, Value>& change) const {
    return "- " + ObjectName(change.id) + "\n";
  }
};

struct ChangeToJson {
  template <typename Id>
  static json Named(const Id& id, const char* change) {
    return json{
        {"kind", KindName(id)}, {"name", id.Value()}, {"change", change}};
  }
  template <typename Id, typename Value>
  json operator()(const Added<Id, Value>& change) const {
    json object = Named(change.id, "added");
    object["new"] = ToJson(change.value);
    return object;
  }
  template <typename Id, typename Value>
  json operator()(const Changed<Id, Value>& change) const {
    json object = Named(change.id, "changed");
    object["old"] = ToJson(change.old_value);
    object["new"] = ToJson(change.new_value);
    return object;
  }
  template <typename Id, typename Value>
  json operator()(const Removed<Id, Value>& change) const {
    json object = Named(change.id, "removed");
    object["old"] = ToJson(change.old_value);
    return object;
  }
};

/// Adds the changes of one kind of object.
template <typename Id, typename Value>
void CompareObjects(const std::map<Id, Value>& current,
                    const std::map<Id, Value>& declared,
                    std::vector<Change>* changes) {
  for (const auto& [id, value] : current) {
    const auto found = declared.find(id);
    if (found == declared.end()) {
      changes->push_back(Removed<Id, Value>{id, value});
    } else if (found->second != value) {
      changes->push_back(Changed<Id, Value>{id, value, found->second});
    }
  }
  for (const auto& [id, value] : declared) {
    if (!current.contains(id)) changes->push_back(Added<Id, Value>{id, value});
  }
}

bool ContainsEndpoint(const Service& service, const Endpoint& endpoint) {
  return std::find(service.endpoints.begin(), service.endpoints.end(),
                   endpoint) != service.endpoints.end();
}

/// Adds the warnings of each change.
class WarningCollector {
 public:
  WarningCollector(const Configuration& current,
                   std::vector<PlanWarning>* warnings)
      : current(current), warnings(warnings) {}

  void operator()(const Removed<common::WorkspaceId, Workspace>& change) const {
    this->Add(WarningKind::kWorkspaceRemoved, change.id);
  }
  void operator()(const Changed<common::WorkspaceId, Workspace>& change) const {
    const bool lowered = change.new_value.rate < change.old_value.rate ||
                         change.new_value.burst < change.old_value.burst;
    if (lowered) this->Add(WarningKind::kRateLowered, change.id);
  }
  void operator()(const Removed<common::ServiceId, Service>& change) const {
    this->Add(WarningKind::kServiceRemoved, change.id);
  }
  void operator()(const Changed<common::ServiceId, Service>& change) const {
    const std::vector<Endpoint>& old = change.old_value.endpoints;
    const bool kept = std::all_of(
        old.begin(), old.end(), [&change](const Endpoint& endpoint) {
          return ContainsEndpoint(change.new_value, endpoint);
        });
    if (!kept) this->Add(WarningKind::kEndpointRemoved, change.id);
  }
  void operator()(const Added<common::RouteId, Route>& change) const {
    if (change.value.open) this->Add(WarningKind::kRouteOpened, change.id);
  }
  void operator()(const Removed<common::RouteId, Route>& change) const {
    this->Add(WarningKind::kRouteRemoved, change.id);
  }
  void operator()(const Changed<common::RouteId, Route>& change) const {
    const Route& before = change.old_value;
    const Route& after = change.new_value;
    if (after.service != before.service) {
      this->Add(WarningKind::kRouteMoved, change.id);
    }
    if (after.open && !before.open) {
      this->Add(WarningKind::kRouteOpened, change.id);
    }
    const bool kept =
        std::includes(after.workspaces.begin(), after.workspaces.end(),
                      before.workspaces.begin(), before.workspaces.end());
    const bool closed = before.open && !after.open;
    if (closed || (!kept && !after.open)) {
      this->Add(WarningKind::kRouteNarrowed, change.id);
    }
  }
  void operator()(const Removed<common::KeyId, Key>& change) const {
    this->Add(WarningKind::kKeyWithdrawn, change.id);
  }
  void operator()(const Changed<common::KeyId, Key>& change) const {
    this->Add(WarningKind::kKeyWithdrawn, change.id);
  }
  void operator()(
      const Removed<common::FailureDomainId, FailureDomain>& change) const {
    this->Add(WarningKind::kDomainRemoved, change.id);
  }
  void operator()(
      const Changed<common::FailureDomainId, FailureDomain>& change) const {
    if (change.new_value.rate_slots == change.old_value.rate_slots) return;
    this->Add(WarningKind::kRateSlotsChanged, change.id);
  }
  void operator()(
      const Added<common::FailureDomainId, FailureDomain>& change) const {
    // The first domains take no share of the rates from other domains.
    if (this->current.domains.empty()) return;
    this->Add(WarningKind::kRateSlotsChanged, change.id);
  }
  template <typename Id, typename Value>
  void operator()(const Added<Id, Value>& /*change*/) const {}

 private:
  template <typename Id>
  void Add(WarningKind kind, const Id& id) const {
    this->warnings->push_back(PlanWarning{kind, ObjectName(id)});
  }

  const Configuration& current;
  std::vector<PlanWarning>* warnings;
};

}  // namespace

std::string_view ToString(WarningKind kind) {
  switch (kind) {
    case WarningKind::kWorkspaceRemoved:
      return "workspace_removed";
    case WarningKind::kRateLowered:
      return "rate_lowered";
    case WarningKind::kServiceRemoved:
      return "service_removed";
    case WarningKind::kEndpointRemoved:
      return "endpoint_removed";
    case WarningKind::kRouteRemoved:
      return "route_removed";
    case WarningKind::kRouteMoved:
      return "route_moved";
    case WarningKind::kRouteOpened:
      return "route_opened";
    case WarningKind::kRouteNarrowed:
      return "route_narrowed";
    case WarningKind::kKeyWithdrawn:
      return "key_withdrawn";
    case WarningKind::kDomainRemoved:
      return "domain_removed";
    case WarningKind::kRateSlotsChanged:
      return "rate_slots_changed";
  }
  return "invalid";
}

// JSON objects are serialized in key order, so equal contents have equal
// digests.
PlanDigester::PlanDigester(const Configuration& declared)
    : content_digest(common::Sha256Hex(DeclarationsToJson(declared).dump())) {}

std::string PlanDigester::DigestAgainst(
    ConfigurationVersion base_version) const {
  return common::Sha256Hex("plan " + std::to_string(base_version) + " " +
                           this->content_digest);
}

std::string PlanDigest(ConfigurationVersion base_version,
                       const Configuration& declared) {
  return PlanDigester(declared).DigestAgainst(base_version);
}

Plan MakePlan(const Configuration& current, const Configuration& declared) {
  Plan plan;
  plan.base_version = current.version;
  CompareObjects(current.workspaces, declared.workspaces, &plan.changes);
  CompareObjects(current.services, declared.services, &plan.changes);
  CompareObjects(current.routes, declared.routes, &plan.changes);
  CompareObjects(current.keys, declared.keys, &plan.changes);
  CompareObjects(current.domains, declared.domains, &plan.changes);
  const WarningCollector collector(current, &plan.warnings);
  for (const Change& change : plan.changes) std::visit(collector, change);
  plan.digest = PlanDigest(current.version, declared);
  return plan;
}

std::string PlanToText(const Plan& plan) {
  std::string text = "Plan against version " +
                     std::to_string(plan.base_version) + ", " +
                     std::to_string(plan.changes.size()) + " changes\n";
  for (const Change& change : plan.changes) {
    text += std::visit(ChangeToText(), change);
  }
  for (const PlanWarning& warning : plan.warnings) {
    text += "! " + std::string(ToString(warning.kind)) + ": " + warning.object +
            "\n";
  }
  text += "Digest " + plan.digest + "\n";
  return text;
}

json PlanToJson(const Plan& plan) {
  json changes = json::array();
  for (const Change& change : plan.changes) {
    changes.push_back(std::visit(ChangeToJson(), change));
  }
  json warnings = json::array();
  for (const PlanWarning& warning : plan.warnings) {
    warnings.push_back(
        json{{"kind", ToString(warning.kind)}, {"object", warning.object}});
  }
  return json{{"base_version", plan.base_version},
              {"digest", plan.digest},
              {"changes", std::move(changes)},
              {"warnings", std::move(warnings)},
              {"text", PlanToText(plan)}};
}

}  // namespace camphorferry::version
