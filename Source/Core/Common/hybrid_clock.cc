#include "Common/hybrid_clock.h"

#include <algorithm>

namespace camphorferry::common {

namespace {

constexpr int kCounterBits = 12;

HybridTime FromWall(WallTime wall) {
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
      wall.time_since_epoch());
  return static_cast<HybridTime>(micros.count()) << kCounterBits;
}

}  // namespace

HybridTime HybridClock::Now(WallTime wall) {
  this->last = std::max(this->last + 1, FromWall(wall));
  return this->last;
}

void HybridClock::Observe(HybridTime received) {
  this->last = std::max(this->last, received);
}

WallTime WallPart(HybridTime timestamp) {
  return WallTime(std::chrono::microseconds(timestamp >> kCounterBits));
}

}  // namespace camphorferry::common
