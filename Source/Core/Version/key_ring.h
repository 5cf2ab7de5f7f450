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

/// Number of random bytes in a key; 256 bits cannot be guessed by brute force.
inline constexpr std::size_t kKeyBytes = 32;

/// Creates the printable text of a new key from random bytes. The text is shown
/// to the operator once; only its SHA-256 digest is stored.
std::string GenerateKey(const std::array<unsigned char, kKeyBytes>& random);

/// Index of the keys of one configuration by digest. A lookup by digest is safe
/// against timing attacks, because an attacker cannot choose the digest of a
/// guessed key.
class KeyRing {
 public:
  explicit KeyRing(const Configuration& configuration);

  /// Workspace of the key that a client presented; none if the key is unknown
  /// or revoked, or if its workspace does not exist.
  std::optional<common::WorkspaceId> WorkspaceOf(
      std::string_view key_text) const;

 private:
  std::unordered_map<std::string, common::WorkspaceId> by_digest;
};

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_KEY_RING_H_
