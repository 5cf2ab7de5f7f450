#ifndef CAMPHORFERRY_COMMON_HYBRID_CLOCK_H_
#define CAMPHORFERRY_COMMON_HYBRID_CLOCK_H_

#include <cstdint>

#include "Common/time.h"

namespace camphorferry::common {

/// Timestamp of a hybrid logical clock: microseconds since the Unix epoch in
/// the upper 52 bits, which suffices until the year 2112, and a logical counter
/// in the lower 12 bits. Timestamps compare as integers.
using HybridTime = std::uint64_t;

/// Hybrid logical clock. Every message carries a timestamp, and later
/// timestamps of the receiver are greater. Sorting by timestamp therefore puts
/// causes before effects, even if the wall clocks of the hosts differ.
class HybridClock {
 public:
  /// Returns the timestamp for a local event or an outgoing message.
  HybridTime Now(WallTime wall);

  /// Merges the timestamp of a received message.
  void Observe(HybridTime received);

 private:
  HybridTime last = 0;
};

/// Wall clock part of a timestamp.
WallTime WallPart(HybridTime timestamp);

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_HYBRID_CLOCK_H_
