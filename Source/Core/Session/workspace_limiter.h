#ifndef CAMPHORFERRY_SESSION_WORKSPACE_LIMITER_H_
#define CAMPHORFERRY_SESSION_WORKSPACE_LIMITER_H_

#include <map>
#include <optional>

#include "Session/directory.h"

namespace camphorferry::session {

/// By how much the fleet together may exceed a rate within one window, for the
/// time that daemons need to hear of each other.
struct RateTolerance {
  /// Part of the rate.
  double share = 0;
  /// Operations, whatever the rate.
  double operations = 0;
};

/// Whether an operation is inside the rate of its workspace.
struct AdmissionDecision {
  /// Time after which it may come again; none if it is admitted.
  std::optional<common::Duration> retry_after;
  /// The daemon that has decided; empty if this one did without the keeper.
  common::HostId rate_owner;
};

/// Holds each workspace to its rate over the whole fleet. One daemon, the
/// keeper, has the workspace's token bucket and admits for all. A daemon that
/// can't reach the keeper admits a little alone: what it used before for one
/// window, which the keeper leaves to it meanwhile, and a small part after
/// that, which lies inside the tolerance.
class WorkspaceLimiter {
 public:
  /// Takes the rates in force.
  void SetRates(const std::map<common::WorkspaceId, WorkspaceRate>& rates,
                common::SteadyTime now);

  /// Sets how exact the limits are to be kept.
  void SetTolerance(const RateTolerance& allowed);

  /// Sets how many daemons there may be and how many of them are heard, this
  /// one included. A new keeper may be one of several while daemons that have
  /// been started together don't hear each other yet.
  void SetFleet(std::size_t size, std::size_t responsive);

  /// Sets whether this daemon keeps a workspace's bucket. A new keeper does not
  /// know what the former one has given out, so it starts with few tokens.
  void SetOwned(const common::WorkspaceId& workspace, bool owned,
                common::SteadyTime now);

  /// Whether a rate is declared for a workspace.
  bool HasLimit(const common::WorkspaceId& workspace) const;

  /// As keeper, admits one operation that a daemon asks for; otherwise returns
  /// the time until the next one.
  std::optional<common::Duration> Admit(const common::WorkspaceId& workspace,
                                        const common::HostId& requester,
                                        common::SteadyTime now);

  /// Without an answer of the keeper, admits one operation of this daemon's own
  /// clients; otherwise returns the time until the next one.
  std::optional<common::Duration> AdmitLocally(
      const common::WorkspaceId& workspace, common::SteadyTime now);

  /// The keeper has answered this daemon.
  void OnOwnerReplied(const common::WorkspaceId& workspace, bool admitted,
                      common::SteadyTime now);

 private:
  /// Operations a second, averaged over about two periods.
  struct RateMeter {
    double count = 0;
    /// The mean as of the last count.
    double rate = 0;
    common::SteadyTime period_start;

    void Count(common::SteadyTime now);
  };

  /// What the keeper knows of one daemon.
  struct Requester {
    RateMeter granted;
    common::SteadyTime last_request;
  };

  struct TokenBucket {
    double level = 0;
    common::SteadyTime filled;

    /// Takes a token if there is one; otherwise returns the time until then.
    std::optional<common::Duration> TryTake(double rate, double capacity,
                                            common::SteadyTime now);
  };

  struct WorkspaceEntry {
    WorkspaceRate limit;
    bool owned = false;
    common::SteadyTime owned_since;
    TokenBucket bucket;
    std::map<common::HostId, Requester> requesters;
    TokenBucket local_bucket;
    /// What this daemon's clients were admitted by the keeper.
    RateMeter usage;
    std::optional<common::SteadyTime> owner_replied_at;
  };

  WorkspaceEntry* FindLimited(const common::WorkspaceId& workspace);
  static double ReservedForSilentRequesters(const WorkspaceEntry& entry,
                                            common::SteadyTime now);
  double ResponsiveShare() const;
  double InitialTokens(const WorkspaceEntry& entry) const;

  std::map<common::WorkspaceId, WorkspaceEntry> entries;
  RateTolerance tolerance;
  std::size_t fleet_size = 1;
  std::size_t responsive = 1;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_WORKSPACE_LIMITER_H_
