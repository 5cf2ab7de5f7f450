#ifndef CAMPHORFERRY_SESSION_WATCH_LENGTHS_H_
#define CAMPHORFERRY_SESSION_WATCH_LENGTHS_H_

#include <cstddef>

#include "Common/common.h"

namespace camphorferry::session {

/// How long watches of the store wait for a change.
struct WatchLengths {
  common::Duration regular = std::chrono::seconds(6);
  /// Length of the first watch after a change, a listing or a failure. All
  /// daemons start that one at the same moment, so a store that goes silent can
  /// lose it at all of them.
  common::Duration first = regular;
};

/// The part that a daemon has in watching the configuration.
struct WatchRole {
  /// Daemons that watch the store closely, and tell the others of changes.
  std::size_t close_watchers = 1;
  /// Position of this daemon among them, from 0; close_watchers or more if it
  /// hears of changes from them.
  std::size_t position = 0;
  /// Whether all daemons of the fleet that are not silent watch closely.
  bool all_watch_closely = true;
};

/// Chooses the lengths of the watches of the configuration. A store that is
/// down or cut off may lose a watch without a trace, which is noticed only at
/// its end; the changes since the store's return must be known within the
/// settling time all the same.
WatchLengths ChooseWatchLengths(common::Duration settling_time,
                                const WatchRole& role);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_WATCH_LENGTHS_H_
