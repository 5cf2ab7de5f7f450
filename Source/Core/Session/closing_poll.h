#ifndef CAMPHORFERRY_SESSION_CLOSING_POLL_H_
#define CAMPHORFERRY_SESSION_CLOSING_POLL_H_

#include <map>
#include <optional>
#include <set>

#include "Session/acknowledgement_gate.h"
#include "Session/terms_closed.h"

namespace camphorferry::session {

/// Decides when the terms of a service are closed at all daemons: each of them
/// has answered, or does not run any more, or can act on an older state of the
/// lease record no longer.
class ClosingPoll {
 public:
  /// The entry was written at the given time at the latest. The hosts are those
  /// that were listed after that, and those that are known otherwise.
  ClosingPoll(const ClosedTerm& entry, std::set<common::HostId> hosts,
              common::SteadyTime written);

  /// A daemon has closed the term. The reply is as old as its request.
  void OnReply(const common::HostId& host, const CloseTermReply& reply,
               common::SteadyTime requested);

  /// The process at a host has ended.
  void OnEnded(const common::HostId& host);

  /// The daemons that have neither answered nor ended.
  const std::set<common::HostId>& Unanswered() const { return this->hosts; }

  /// Whether the terms are closed everywhere.
  bool IsDone(common::SteadyTime now) const;

  /// What the daemons have answered so far.
  TermsClosed Result(common::SteadyTime now) const;

 private:
  struct Reply {
    CloseTermReply content;
    common::SteadyTime requested;
  };

  ClosedTerm entry;
  std::set<common::HostId> hosts;
  /// A process has ended without an answer.
  bool any_ended = false;
  common::SteadyTime written;
  std::map<common::HostId, Reply> replies;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_CLOSING_POLL_H_
