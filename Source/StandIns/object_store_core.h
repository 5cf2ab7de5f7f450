#ifndef CAMPHORFERRY_STANDINS_OBJECT_STORE_CORE_H_
#define CAMPHORFERRY_STANDINS_OBJECT_STORE_CORE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

namespace camphorferry::standins {

/// Version of one object; the first is 1, and 0 means that there is no object.
using ObjectVersion = std::uint64_t;

/// An object as it is stored.
struct StoredObject {
  ObjectVersion version = 0;
  nlohmann::json value;
};

/// The update took effect.
struct PutDone {
  ObjectVersion version = 0;
};

/// The update had no effect because the object has another version.
struct PutConflict {
  ObjectVersion current = 0;
};

using PutResult = std::variant<PutDone, PutConflict>;

/// The platform's object API without sockets, clock or threads.
class ObjectStoreCore {
 public:
  std::optional<StoredObject> Get(const std::string& path) const;

  /// The object if its version is greater; a watch is this check, repeated
  /// after each change until it yields an object.
  std::optional<StoredObject> GetNewer(const std::string& path,
                                       ObjectVersion after) const;

  /// Replaces the object if it has exactly this version.
  PutResult Put(const std::string& path, nlohmann::json value,
                ObjectVersion if_version);

 private:
  std::map<std::string, StoredObject> objects;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_OBJECT_STORE_CORE_H_
