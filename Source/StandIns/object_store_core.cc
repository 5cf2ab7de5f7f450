#include "StandIns/object_store_core.h"

#include <utility>

namespace camphorferry::standins {

std::optional<StoredObject> ObjectStoreCore::Get(
    const std::string& path) const {
  return this->GetIfNewer(path, 0);
}

std::optional<StoredObject> ObjectStoreCore::GetIfNewer(
    const std::string& path, ObjectVersion after) const {
  const auto found = this->objects.find(path);
  if (found == this->objects.end()) return std::nullopt;
  if (found->second.version <= after) return std::nullopt;
  return found->second;
}

PutResult ObjectStoreCore::Put(const std::string& path, nlohmann::json value,
                               ObjectVersion if_version) {
  const auto found = this->objects.find(path);
  const ObjectVersion current =
      found == this->objects.end() ? 0 : found->second.version;
  if (current != if_version) return PutConflict{current};
  const ObjectVersion version = current + 1;
  this->objects[path] = StoredObject{version, std::move(value)};
  return PutDone{version};
}

}  // namespace camphorferry::standins
