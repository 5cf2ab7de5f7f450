#ifndef CAMPHORFERRY_STANDINS_OBJECT_STORE_CORE_H_
#define CAMPHORFERRY_STANDINS_OBJECT_STORE_CORE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

namespace camphorferry::standins {

/// Version of an object. The first version is 1; 0 means that the object
/// doesn't exist.
using ObjectVersion = std::uint64_t;

/// A stored object with its version.
struct StoredObject {
  ObjectVersion version = 0;
  nlohmann::json value;
};

/// Result of an update that was stored.
struct PutDone {
  ObjectVersion version = 0;
};

/// Result of an update that was rejected because the object has another
/// version.
struct PutConflict {
  ObjectVersion current = 0;
};

using PutResult = std::variant<PutDone, PutConflict>;

/// Versioned object store of the platform, without sockets, clock or threads.
class ObjectStoreCore {
 public:
  std::optional<StoredObject> Get(const std::string& path) const;

  /// Returns the object if its version is greater than the given one. A watch
  /// repeats this call after each change until it returns an object.
  std::optional<StoredObject> GetIfNewer(const std::string& path,
                                         ObjectVersion after) const;

  /// Replaces the object if its current version equals if_version.
  PutResult Put(const std::string& path, nlohmann::json value,
                ObjectVersion if_version);

 private:
  std::map<std::string, StoredObject> objects;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_OBJECT_STORE_CORE_H_
