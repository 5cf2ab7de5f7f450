#ifndef CAMPHORFERRY_COMMON_HYBRID_CLOCK_H_
#define CAMPHORFERRY_COMMON_HYBRID_CLOCK_H_

#include <cstdint>

#include "Common/time.h"

namespace camphorferry::common {

/// Reading of a hybrid logical clock: wall clock microseconds in the upper 52
/// bits, which lasts until the year 2112, and a counter in the lower 12 bits,
/// so that readings sort as integers.
using HybridTime = std::uint64_t;

/// Hybrid logical clock. Every message carries a reading, and the receiver's
/// later readings are greater, so sorting by reading puts causes before
/// effects although the hosts' wall clocks differ.
class HybridClock {
 public:
  /// Reading for a local event or for a message to be sent.
  HybridTime Now(WallTime wall);

  /// Merges a reading that arrived with a message.
  void Observe(HybridTime received);

 private:
  HybridTime last = 0;
};

/// Wall clock part of a reading.
WallTime WallPart(HybridTime reading);

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_HYBRID_CLOCK_H_
