#ifndef CAMPHORFERRY_VERSION_KEY_RING_H_
#define CAMPHORFERRY_VERSION_KEY_RING_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Version/configuration.h"

namespace camphorferry::version {

/// Random bytes of one key; 256 bits cannot be guessed or tried in turn.
inline constexpr std::size_t kKeyBytes = 32;

/// Printable text of a new key from random bytes. The text is shown to the
/// operator once; only its SHA-256 digest is ever stored.
std::string GenerateKey(const std::array<unsigned char, kKeyBytes>& random);

/// The keys of one configuration, looked up by a presented key's digest.
/// Lookup by digest reveals nothing useful through timing, since a caller
/// cannot choose the digest of a guess.
class KeyRing {
 public:
  explicit KeyRing(const Configuration& configuration);

  /// Workspace that a presented key belongs to; none if the key is unknown or
  /// revoked, or its workspace does not exist.
  std::optional<common::WorkspaceId> WorkspaceOf(
      std::string_view key_text) const;

 private:
  std::unordered_map<std::string, common::WorkspaceId> by_digest;
};

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_KEY_RING_H_
