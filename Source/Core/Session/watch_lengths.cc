#include "Session/watch_lengths.h"

#include <algorithm>

#include "Session/directory.h"

namespace camphorferry::session {

namespace {

/// Time for the calls that follow a lost watch, and for slow hosts.
constexpr std::chrono::milliseconds kCatchUpTime(750);
constexpr std::chrono::milliseconds kMinLength(500);

}  // namespace

WatchLengths ChooseWatchLengths(common::Duration settling_time,
                                const WatchRole& role) {
  // A daemon that hears of changes from others can't rely on them: in a large
  // fleet, reports take longer than the settling time to reach all.
  const common::Duration regular = std::max<common::Duration>(
      settling_time - kStoreCallTimeout - kCatchUpTime, kMinLength);
  if (role.all_watch_closely || role.position >= role.close_watchers) {
    return {regular};
  }
  // The first watches of the close watchers end one after the other, so that a
  // daemon notices early that the store has lost them.
  const auto turn = static_cast<std::int64_t>(role.position) + 1;
  const auto turns = static_cast<std::int64_t>(role.close_watchers);
  return {regular, regular * turn / turns};
}

}  // namespace camphorferry::session
