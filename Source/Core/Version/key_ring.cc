#include "Version/key_ring.h"

namespace camphorferry::version {

namespace {

// Fixed prefix by which secret scanners can find keys in files and logs.
constexpr std::string_view kKeyPrefix = "cfk_";

}  // namespace

std::string GenerateKey(const std::array<unsigned char, kKeyBytes>& random) {
  const std::string bytes(random.begin(), random.end());
  return std::string(kKeyPrefix) + common::Base64UrlEncode(bytes);
}

KeyRing::KeyRing(const Configuration& configuration) {
  for (const auto& [id, key] : configuration.keys) {
    if (!configuration.workspaces.contains(key.workspace)) continue;
    this->by_digest.emplace(key.digest, key.workspace);
  }
}

std::optional<common::WorkspaceId> KeyRing::WorkspaceOf(
    std::string_view key_text) const {
  const auto found = this->by_digest.find(common::Sha256Hex(key_text));
  if (found == this->by_digest.end()) return std::nullopt;
  return found->second;
}

}  // namespace camphorferry::version
