#ifndef CAMPHORFERRY_COMMON_CLOCK_H_
#define CAMPHORFERRY_COMMON_CLOCK_H_

#include "Common/time.h"

namespace camphorferry::common {

/// Present monotonic time. For tasks only: decision classes get the time as an
/// argument.
inline SteadyTime SteadyNow() { return std::chrono::steady_clock::now(); }

/// Present wall clock time, for tasks only.
inline WallTime WallNow() { return std::chrono::system_clock::now(); }

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_CLOCK_H_
