#ifndef CAMPHORFERRY_REQUEST_VIRTUAL_TIME_H_
#define CAMPHORFERRY_REQUEST_VIRTUAL_TIME_H_

#include <algorithm>
#include <cstdint>

namespace camphorferry::request {

/// Virtual time of start-time fair queueing: the service that a workspace of
/// weight 1 has received, in fixed point. Unlike floating-point numbers,
/// integers keep their precision however long the queue stays busy.
using VirtualTime = std::uint64_t;

/// Virtual time of one unit of cost at weight 1. With the bounds below,
/// dividing a cost by a weight loses at most 0.1%. Virtual time, which is reset
/// when the queue is empty, holds 2^34 requests of the largest cost at
/// weight 1.
inline constexpr VirtualTime kVirtualTimePerCost = VirtualTime{1} << 20;
inline constexpr std::uint32_t kMaxQueueWeight = 1024;
inline constexpr std::uint32_t kMaxQueueCost = 1024;

/// Limits a weight to 1 to kMaxQueueWeight.
constexpr std::uint32_t ClampWeight(std::uint32_t weight) {
  return std::clamp<std::uint32_t>(weight, 1, kMaxQueueWeight);
}

/// Virtual time that a request takes. Cost and weight are limited to their
/// bounds.
constexpr VirtualTime VirtualCost(std::uint32_t cost, std::uint32_t weight) {
  const VirtualTime units = std::clamp<std::uint32_t>(cost, 1, kMaxQueueCost);
  return units * kVirtualTimePerCost / ClampWeight(weight);
}

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_VIRTUAL_TIME_H_
