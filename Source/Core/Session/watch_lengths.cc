#include "Session/watch_lengths.h"

#include <algorithm>

#include "Session/directory.h"

namespace camphorferry::session {

namespace {

/// Time for the calls that follow a lost watch, and for slow hosts.
constexpr std::chrono::milliseconds kCatchUpTime(750);
constexpr std::chrono::milliseconds kMinLength(500);
/// Time between the ends of two close watchers' watches in a fleet in which
/// most daemons hear of changes from others. That takes them 2,500 ms: a report
/// (1 s), the wait for the own watch (1 s) and the query (0.5 s).
constexpr std::chrono::milliseconds kWatchSpacing(600);
/// Length for a daemon that hears of changes from others; below the longest
/// watch that the platform accepts (30 s).
constexpr std::chrono::milliseconds kRelayedLength(25000);

}  // namespace

WatchLengths ChooseWatchLengths(common::Duration settling_time,
                                const WatchRole& role) {
  if (role.position >= role.close_watchers) {
    return {kRelayedLength};
  }
  const common::Duration regular = std::max<common::Duration>(
      settling_time - kStoreCallTimeout - kCatchUpTime, kMinLength);
  if (role.all_watch_closely) return {regular};
  // The watches of the close watchers end one after the other. The first that
  // notices a loss tells all daemons, also the other close watchers.
  const auto turn = static_cast<std::int64_t>(role.position) + 1;
  const auto turns = static_cast<std::int64_t>(role.close_watchers);
  return {kWatchSpacing * turns, kWatchSpacing * turn};
}

}  // namespace camphorferry::session
