#ifndef CAMPHORFERRY_COMMON_CLOCK_H_
#define CAMPHORFERRY_COMMON_CLOCK_H_

#include <time.h>

#include "Common/time.h"

namespace camphorferry::common {

/// Current monotonic time. Unlike std::chrono::steady_clock, it includes the
/// time during which the host is suspended, so that a lease or proof that has
/// expired meanwhile is detected. Only for tasks, which run on the event loop;
/// classes that make decisions without I/O take the time as a parameter.
inline SteadyTime SteadyNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return SteadyTime(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

/// Current wall clock time; only for tasks, like SteadyNow.
inline WallTime WallNow() { return std::chrono::system_clock::now(); }

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_CLOCK_H_
