#ifndef CAMPHORFERRY_SESSION_STORE_REVISION_H_
#define CAMPHORFERRY_SESSION_STORE_REVISION_H_

#include <compare>
#include <cstdint>

namespace camphorferry::session {

/// Position in the history of the platform's store. A store that was restored
/// from a backup has lost its last changes and gives out their numbers again,
/// so that numbers can be compared only within an era.
struct StoreRevision {
  /// Rises each time the store was restored from a backup and so lost
  /// acknowledged writes; 0 if the store doesn't tell.
  std::uint64_t era = 0;
  /// Number of the last change; 0 before the first.
  std::uint64_t number = 0;

  auto operator<=>(const StoreRevision&) const = default;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_STORE_REVISION_H_
