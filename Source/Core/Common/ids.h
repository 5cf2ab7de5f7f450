#ifndef CAMPHORFERRY_COMMON_IDS_H_
#define CAMPHORFERRY_COMMON_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace camphorferry::common {

/// Strongly typed identifier. Identifiers of different kinds of objects do not
/// convert into each other.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value(std::move(value)) {}

  /// The identifier as text.
  const std::string& Value() const { return this->value; }

  /// True if no identifier is set.
  bool Empty() const { return this->value.empty(); }

  auto operator<=>(const Id&) const = default;
  bool operator==(const Id&) const = default;

 private:
  std::string value;
};

using WorkspaceId = Id<struct WorkspaceTag>;
using ServiceId = Id<struct ServiceTag>;
using EndpointId = Id<struct EndpointTag>;
using HostId = Id<struct HostTag>;
using FailureDomainId = Id<struct FailureDomainTag>;
using RegionId = Id<struct RegionTag>;
using RouteId = Id<struct RouteTag>;
using KeyId = Id<struct KeyTag>;

/// Replication term of a database group.
using Term = std::uint64_t;

/// Index of an entry in a database's replication log; the first entry has
/// index 1.
using LogIndex = std::uint64_t;

/// Position in the replication log of a database group. Positions compare by
/// term first, since an entry of a later term follows every acknowledged entry
/// of earlier terms.
struct LogPosition {
  Term term = 0;
  LogIndex index = 0;

  auto operator<=>(const LogPosition&) const = default;
  bool operator==(const LogPosition&) const = default;
};

}  // namespace camphorferry::common

/// Hash of an identifier's text.
template <typename Tag>
struct std::hash<camphorferry::common::Id<Tag>> {
  std::size_t operator()(const camphorferry::common::Id<Tag>& id) const {
    return std::hash<std::string>()(id.Value());
  }
};

#endif  // CAMPHORFERRY_COMMON_IDS_H_
