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

/// Digest of a key, long enough to tell the keys of a configuration apart.
std::string DigestOf(const std::string& key) {
  constexpr std::size_t kDigits = 16;
  return common::Sha256Hex(key).substr(0, kDigits);
}

AccessRefusal UnknownKey() {
  return {StatementError::kUnauthorized, "unknown key"};
}

/// Decides about a further statement of an operation that was given to a caller
/// before, from the workspace that has the client's key now.
std::optional<AccessRefusal> CheckCaller(
    const std::optional<common::WorkspaceId>& holder, bool open,
    const std::string& caller) {
  if (!holder.has_value() && !open) return UnknownKey();
  if (CallerName(holder.value_or(common::WorkspaceId())) == caller) {
    return std::nullopt;
  }
  return AccessRefusal{StatementError::kAborted,
                       "the key belongs to another caller"};
}

}  // namespace

std::string CallerName(const common::WorkspaceId& workspace) {
  return workspace.Empty() ? "-" : workspace.Value();
}

const DatabaseRoute* SessionAccess::Route(
    const DirectoryConfiguration* configuration) const {
  if (configuration == nullptr) return nullptr;
  const auto found = configuration->routes.find(this->opening.database);
  return found == configuration->routes.end() ? nullptr : &found->second;
}

common::WorkspaceId SessionAccess::Caller(
    const DirectoryConfiguration* configuration) const {
  if (configuration == nullptr) return {};
  return WorkspaceOf(this->opening.key, *configuration)
      .value_or(common::WorkspaceId());
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
  return CheckCaller(WorkspaceOf(this->opening.key, *configuration),
                     given.route.open, CallerName(given.workspace));
}

AccessClaim SessionAccess::Claim(
    const OperationAccess& given,
    const DirectoryConfiguration& configuration) const {
  return {DigestOf(this->opening.key), given.route.open, configuration.version};
}

std::optional<AccessRefusal> ClaimJudge::Check(
    const AccessClaim& claim, const std::string& caller,
    const std::shared_ptr<const DirectoryConfiguration>& configuration) {
  if (configuration == nullptr || configuration->version <= claim.version) {
    return std::nullopt;
  }
  if (configuration->version != this->learned_version) {
    this->Learn(*configuration);
  }
  std::optional<common::WorkspaceId> holder;
  const auto found = this->workspace_of_digest.find(claim.key_digest);
  if (found != this->workspace_of_digest.end()) holder = found->second;
  return CheckCaller(holder, claim.open, caller);
}

void ClaimJudge::Learn(const DirectoryConfiguration& configuration) {
  this->workspace_of_digest.clear();
  for (const auto& [key, workspace] : configuration.workspace_of_key) {
    this->workspace_of_digest[DigestOf(key)] = workspace;
  }
  this->learned_version = configuration.version;
}

}  // namespace camphorferry::session
