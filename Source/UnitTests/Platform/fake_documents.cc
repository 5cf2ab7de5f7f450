#include "fake_documents.h"

#include <map>
#include <set>
#include <string>

namespace camphorferry::platform {

namespace {

using nlohmann::json;

const char* GuaranteeName(session::ReadGuarantee guarantee) {
  switch (guarantee) {
    case session::ReadGuarantee::kLatest:
      return "primary";
    case session::ReadGuarantee::kBoundedStaleness:
      return "bounded_staleness";
    case session::ReadGuarantee::kReadYourWrites:
      return "read_your_writes";
  }
  return "";
}

std::int64_t Milliseconds(common::Duration duration) {
  return common::ToMilliseconds(duration).count();
}

}  // namespace

json EncodeConfiguration(const session::DirectoryConfiguration& configuration) {
  json routes = json::array();
  for (const auto& [name, route] : configuration.routes) {
    routes.push_back({{"host", name},
                      {"service", route.service.Value()},
                      {"kind", GuaranteeName(route.guarantee)},
                      {"maxStalenessMs", Milliseconds(route.max_staleness)},
                      {"timeoutMs", Milliseconds(route.statement_timeout)},
                      {"sloMs", Milliseconds(route.latency_objective)},
                      {"priority", route.priority},
                      {"anonymous", route.open}});
  }
  json services = json::array();
  for (const auto& [name, service] : configuration.services) {
    services.push_back(
        {{"name", name.Value()}, {"maxConns", service.max_connections}});
  }
  std::map<common::WorkspaceId, std::set<std::string>> keys;
  for (const auto& [key, workspace] : configuration.workspace_of_key) {
    keys[workspace].insert(key);
  }
  json tenants = json::array();
  for (const auto& [workspace, rate] : configuration.workspaces) {
    tenants.push_back({{"name", workspace.Value()},
                       {"apiKeys", keys[workspace]},
                       {"ratePerS", rate.rate},
                       {"burst", rate.burst}});
  }
  return {{"version", configuration.version},
          {"routes", routes},
          {"services", services},
          {"tenants", tenants},
          {"limits",
           {{"txIdleMs", Milliseconds(configuration.transaction_idle_limit)}}}};
}

json EncodeMember(const session::GroupMember& member) {
  const bool ready = member.state == session::MemberState::kReady;
  return {{"service", member.service.Value()},
          {"addr", connection::ToString(member.address)},
          {"zone", member.domain.Value()},
          {"state", ready ? "ready" : "draining"},
          {"dbRole", member.reports_primary ? "primary" : "replica"},
          {"born", member.incarnation}};
}

json EncodeSettings(const session::ProxySettings& settings,
                    const connection::SocketAddress& store,
                    const connection::SocketAddress& promotion) {
  json zones = json::object();
  for (const auto& [domain, region] : settings.location.region_of) {
    zones[domain.Value()] = region.Value();
  }
  const std::chrono::duration<double> grace = settings.stop_grace;
  const std::uint16_t first_port = settings.peers.port;
  return {{"node", settings.location.host.Value()},
          {"ip", settings.peers.ip},
          {"zone", settings.location.domain.Value()},
          {"zones", zones},
          {"listen",
           {{"frontend", connection::ToString(settings.clients)},
            {"ready", connection::ToString(settings.readiness)}}},
          {"portRange", {first_port, first_port + 1}},
          {"contractParams",
           {{"graceS", grace.count()},
            {"quotaOver", settings.rate_tolerance.share},
            {"quotaSlack", settings.rate_tolerance.operations},
            {"contactMs", Milliseconds(settings.settling_time)},
            {"configApplyMs", Milliseconds(settings.change_bound)}}},
          {"platform", {{"addr", connection::ToString(store)}}},
          {"cloudApi", {{"addr", connection::ToString(promotion)}}}};
}

json EncodeSettings(const session::ProxySettings& settings,
                    const connection::SocketAddress& store) {
  return EncodeSettings(settings, store, store);
}

}  // namespace camphorferry::platform
