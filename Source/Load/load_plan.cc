#include "Load/load_plan.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace camphorferry::load {

namespace {

using nlohmann::json;

WorkspaceLoad ReadWorkspace(const json& object) {
  WorkspaceLoad workspace;
  workspace.name = object.at("name").get<std::string>();
  workspace.key = object.at("key").get<std::string>();
  workspace.routes = object.at("routes").get<std::vector<std::string>>();
  workspace.rate = object.at("rate").get<double>();
  workspace.sessions = object.at("sessions").get<std::uint32_t>();
  workspace.limit_rate = object.at("limit_rate").get<double>();
  workspace.limit_burst = object.at("limit_burst").get<double>();
  return workspace;
}

}  // namespace

BadLoadFileError::BadLoadFileError(const std::string& detail)
    : Error("invalid load file: " + detail) {}

LoadPlan ReadLoadPlan(const std::string& file) {
  std::ifstream input(file);
  const json document = json::parse(input, nullptr, false);
  if (!document.is_object()) throw BadLoadFileError("not a JSON object");
  LoadPlan plan;
  try {
    for (const json& address : document.at("clients")) {
      plan.clients.push_back(
          connection::ParseSocketAddress(address.get<std::string>()));
    }
    for (const json& workspace : document.at("workspaces")) {
      plan.workspaces.push_back(ReadWorkspace(workspace));
    }
    plan.write_share = document.value("write_share", plan.write_share);
    plan.unkeyed_share = document.value("unkeyed_share", plan.unkeyed_share);
    plan.aged_share = document.value("aged_share", plan.aged_share);
    plan.max_age = std::chrono::milliseconds(document.value(
        "max_age_ms", common::ToMilliseconds(plan.max_age).count()));
  } catch (const json::exception& error) {
    throw BadLoadFileError(error.what());
  }
  if (plan.clients.empty()) throw BadLoadFileError("no clients");
  if (plan.workspaces.empty()) throw BadLoadFileError("no workspaces");
  return plan;
}

}  // namespace camphorferry::load
