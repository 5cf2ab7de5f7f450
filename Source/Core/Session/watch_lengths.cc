#include "Session/watch_lengths.h"

#include <algorithm>

#include "Session/directory.h"

namespace camphorferry::session {

namespace {

/// Time for the calls that follow a lost watch, and for slow hosts.
constexpr std::chrono::milliseconds kCatchUpTime(750);
constexpr std::chrono::milliseconds kMinLength(500);
/// Length for a daemon that hears of changes from others; below the longest
/// watch that the platform accepts (30 s).
constexpr std::chrono::milliseconds kRelayedLength(25000);

}  // namespace

WatchLengths ChooseWatchLengths(common::Duration settling_time,
                                const WatchRole& role) {
  if (role.position >= role.close_watchers) {
    return {kRelayedLength, kRelayedLength};
  }
  const common::Duration regular = std::max<common::Duration>(
      settling_time - kStoreCallTimeout - kCatchUpTime, kMinLength);
  if (role.all_watch_closely) return {regular, regular};
  // The watches of the close watchers end one after the other, so that the
  // first to notice a loss still has the time to tell the other daemons.
  const auto turn = static_cast<std::int64_t>(role.position) + 1;
  const auto turns = static_cast<std::int64_t>(role.close_watchers);
  return {regular,
          std::max<common::Duration>(regular * turn / turns, kMinLength)};
}

}  // namespace camphorferry::session
