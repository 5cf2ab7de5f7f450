#include "Common/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorferry::common {

std::uint64_t RendezvousScore(std::string_view key, const HostId& host) {
  const std::uint64_t key_hash = XXH64(key.data(), key.size(), 0);
  return XXH64(host.Value().data(), host.Value().size(), key_hash);
}

std::vector<HostId> RendezvousOrder(std::string_view key,
                                    std::vector<HostId> hosts) {
  std::vector<std::pair<std::uint64_t, HostId>> scored;
  scored.reserve(hosts.size());
  for (HostId& host : hosts) {
    const std::uint64_t score = RendezvousScore(key, host);
    scored.emplace_back(score, std::move(host));
  }
  std::sort(scored.begin(), scored.end(), std::greater<>());
  std::vector<HostId> ordered;
  ordered.reserve(scored.size());
  for (auto& [score, host] : scored) {
    ordered.push_back(std::move(host));
  }
  return ordered;
}

std::optional<HostId> RendezvousFirst(std::string_view key,
                                      const std::vector<HostId>& hosts) {
  const HostId* first = nullptr;
  std::uint64_t highest = 0;
  for (const HostId& host : hosts) {
    const std::uint64_t score = RendezvousScore(key, host);
    if (first == nullptr || std::tie(score, host) > std::tie(highest, *first)) {
      first = &host;
      highest = score;
    }
  }
  return first == nullptr ? std::nullopt : std::optional<HostId>(*first);
}

}  // namespace camphorferry::common
