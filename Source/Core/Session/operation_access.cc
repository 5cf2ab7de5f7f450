#include "Session/operation_access.h"

namespace camphorferry::session {

namespace {

/// The workspace that has a key; none if the key is unknown.
std::optional<common::WorkspaceId> WorkspaceOf(
    const std::string& key, const DirectoryConfiguration& configuration) {
  const auto found = configuration.workspace_of_key.find(key);
  if (found == configuration.workspace_of_key.end()) return std::nullopt;
  return found->second;
}

AccessRefusal UnknownKey() {
  return {StatementError::kUnauthorized, "unknown key"};
}

}  // namespace

const DatabaseRoute* SessionAccess::Route(
    const DirectoryConfiguration* configuration) const {
  if (configuration == nullptr) return nullptr;
  const auto found = configuration->routes.find(this->opening.database);
  return found == configuration->routes.end() ? nullptr : &found->second;
}

std::variant<OperationAccess, AccessRefusal> SessionAccess::Start(
    const DirectoryConfiguration* configuration) const {
  const DatabaseRoute* route = this->Route(configuration);
  if (route == nullptr) {
    return AccessRefusal{StatementError::kNoSuchDatabase,
                         this->opening.database};
  }
  const auto workspace = WorkspaceOf(this->opening.key, *configuration);
  if (!workspace.has_value() && !route->open) return UnknownKey();
  return OperationAccess{*route, workspace.value_or(common::WorkspaceId())};
}

std::optional<AccessRefusal> SessionAccess::Check(
    const OperationAccess& given,
    const DirectoryConfiguration* configuration) const {
  if (configuration == nullptr) return UnknownKey();
  const auto workspace = WorkspaceOf(this->opening.key, *configuration);
  if (!workspace.has_value() && !given.route.open) return UnknownKey();
  if (workspace.value_or(common::WorkspaceId()) == given.workspace) {
    return std::nullopt;
  }
  return AccessRefusal{StatementError::kAborted,
                       "the key belongs to another caller"};
common::WorkspaceId SessionAccess::Caller(
    const DirectoryConfiguration* configuration) const {
  if (configuration == nullptr) return {};
  return WorkspaceOf(this->opening.key, *configuration)
      .value_or(common::WorkspaceId());
}

}

}  // namespace camphorferry::session
