#ifndef CAMPHORFERRY_SESSION_TERM_CLOSING_H_
#define CAMPHORFERRY_SESSION_TERM_CLOSING_H_

#include <functional>
#include <optional>
#include <vector>

#include "Session/closing_messages.h"
#include "Session/directory.h"
#include "Session/fleet_transport.h"

namespace camphorferry::session {

/// Functions through which a promotion reaches the daemons whose
/// acknowledgements end.
struct TermClosing {
  /// Lists the other daemons without lag, together with those that are known
  /// otherwise. Calls back once, with none if the store did not answer.
  std::function<void(
      std::function<void(std::optional<std::vector<FleetHost>>)>)>
      list_hosts;
  /// Sends an entry to a daemon. Calls back once.
  std::function<void(const FleetHost& host, const CloseTermRequest& request,
                     std::function<void(const ClosingAnswer&)> done)>
      close_at;
  /// Has this daemon keep to an entry.
  std::function<CloseTermReply(const CloseTermRequest& request)> close_here;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_TERM_CLOSING_H_
