#ifndef CAMPHORFERRY_COMMON_TIME_H_
#define CAMPHORFERRY_COMMON_TIME_H_

#include <chrono>

namespace camphorferry::common {

/// Monotonic time within one process; never compared between hosts.
using SteadyTime = std::chrono::steady_clock::time_point;

/// Wall clock time, used only for the age of keys and for display.
using WallTime = std::chrono::system_clock::time_point;

/// Length of time; the type of durations in all interfaces.
using Duration = std::chrono::nanoseconds;

/// Whole milliseconds of a duration, rounded down.
constexpr std::chrono::milliseconds ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

/// Seconds of a duration, with their fraction.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// The duration of a number of seconds.
constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_TIME_H_
