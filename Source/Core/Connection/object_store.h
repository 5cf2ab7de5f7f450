#ifndef CAMPHORFERRY_CONNECTION_OBJECT_STORE_H_
#define CAMPHORFERRY_CONNECTION_OBJECT_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "Common/common.h"

namespace camphorferry::connection {

/// Version of an object in the platform's store; 0 if the object is absent.
using ObjectVersion = std::uint64_t;

/// An object as read from the store.
struct StoredObject {
  ObjectVersion version = 0;
  /// JSON text; empty if the version is 0.
  std::string value;
};

/// A conditional write succeeded.
struct ObjectWritten {
  ObjectVersion version = 0;
};

/// A conditional write found another version and changed nothing.
struct ObjectConflict {
  ObjectVersion version = 0;
};

/// A watch timed out without a change.
struct ObjectUnchanged {};

/// The store gave no valid response; a write may or may not have taken effect.
struct StoreNoAnswer {};

using ReadResult = std::variant<StoredObject, ObjectUnchanged, StoreNoAnswer>;
using WriteResult = std::variant<ObjectWritten, ObjectConflict, StoreNoAnswer>;

/// Liveness of a host according to the platform, whose view may be outdated.
enum class HostListState { kLive, kLeaving };

/// One entry of the platform's list of hosts.
struct HostListEntry {
  common::HostId host;
  std::string address;
  common::FailureDomainId domain;
  HostListState state = HostListState::kLive;
};

using HostListResult = std::variant<std::vector<HostListEntry>, StoreNoAnswer>;

/// Interface to the platform's object API and host list.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// Reads an object; one that does not exist has version 0.
  virtual void Read(const std::string& path,
                    std::function<void(ReadResult)> done) = 0;

  /// Waits until the object's version is greater than the given one.
  virtual void Watch(const std::string& path, ObjectVersion after,
                     common::Duration timeout,
                     std::function<void(ReadResult)> done) = 0;

  /// Writes the object if it still has the given version; 0 creates it.
  virtual void Write(const std::string& path, ObjectVersion if_version,
                     const std::string& value,
                     std::function<void(WriteResult)> done) = 0;

  virtual void ReadHosts(std::function<void(HostListResult)> done) = 0;
};

}  // namespace camphorferry::connection

#endif  // CAMPHORFERRY_CONNECTION_OBJECT_STORE_H_
