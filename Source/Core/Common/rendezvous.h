#ifndef CAMPHORFERRY_COMMON_RENDEZVOUS_H_
#define CAMPHORFERRY_COMMON_RENDEZVOUS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/ids.h"

namespace camphorferry::common {

/// Score of a host for a key in rendezvous hashing (highest random weight). The
/// score is the same in all processes and builds.
std::uint64_t RendezvousScore(std::string_view key, const HostId& host);

/// Hosts in descending order of their score for the key. Removing a host moves
/// only the keys for which it was first.
std::vector<HostId> RendezvousOrder(std::string_view key,
                                    std::vector<HostId> hosts);

/// The first host in the order of RendezvousOrder, found without sorting; none
/// if there are no hosts.
std::optional<HostId> RendezvousFirst(std::string_view key,
                                      const std::vector<HostId>& hosts);

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_RENDEZVOUS_H_
