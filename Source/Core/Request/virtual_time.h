#ifndef CAMPHORFERRY_REQUEST_VIRTUAL_TIME_H_
#define CAMPHORFERRY_REQUEST_VIRTUAL_TIME_H_

#include <algorithm>
#include <cstdint>

namespace camphorferry::request {

/// Service that a workspace of weight 1 has received, in fixed point. Integers
/// keep their precision however long the queue is busy, unlike floating point.
using VirtualTime = std::uint64_t;

/// Virtual time of one unit of cost at weight 1. With the bounds below, a cost
/// divided by a weight loses at most 0.1%, and 2^34 requests of the greatest
/// cost at weight 1 fit before the queue must once be empty.
inline constexpr VirtualTime kVirtualUnit = VirtualTime{1} << 20;
inline constexpr std::uint32_t kMaxQueueWeight = 1024;
inline constexpr std::uint32_t kMaxQueueCost = 1024;

/// Weight within its bounds.
constexpr std::uint32_t ClampWeight(std::uint32_t weight) {
  return std::clamp<std::uint32_t>(weight, 1, kMaxQueueWeight);
}

/// Virtual time that a request takes; cost and weight are held within bounds.
constexpr VirtualTime VirtualCost(std::uint32_t cost, std::uint32_t weight) {
  const VirtualTime units = std::clamp<std::uint32_t>(cost, 1, kMaxQueueCost);
  return units * kVirtualUnit / ClampWeight(weight);
}

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_VIRTUAL_TIME_H_
