#ifndef CAMPHORFERRY_SESSION_WORKSPACE_LIMITER_H_
#define CAMPHORFERRY_SESSION_WORKSPACE_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>

#include "Session/admission.h"
#include "Session/directory.h"
#include "Session/rate_meter.h"

namespace camphorferry::session {

/// By how much the whole fleet may exceed a rate within one window, which
/// allows for the time that daemons need to learn of each other.
struct RateTolerance {
  /// Fraction of the rate.
  double share = 0;
  /// Number of operations, independent of the rate.
  double operations = 0;
};

/// The fleet as a daemon sees it. Numbers include the daemon itself.
struct FleetView {
  /// Daemons that there may be.
  std::size_t size = 1;
  /// Those that respond.
  std::size_t responsive = 1;
  /// Those that respond are most of a failure domain.
  bool hears_domain = true;
  /// Those that don't respond may be most of a failure domain.
  bool misses_domain = true;

  bool operator==(const FleetView&) const = default;
};

/// Enforces each workspace's rate over the whole fleet. One daemon, the rate
/// owner ("keeper" in logs and metrics), has the workspace's token bucket and
/// admits operations for all daemons. With each reply it leaves the daemon a
/// part of the rate, the sum of which is at most the rate. A daemon that cannot
/// reach the owner admits this part by a local bucket, for one rate window, and
/// after that a small fraction of the rate. The owner takes as much off what it
/// admits itself, from the daemon's last request on, and after that window the
/// daemon's even share. A daemon brings its part along to another owner, which
/// for one rate window admits no more than its requesters have brought: the
/// former owner may still admit the rest. The same holds for an owner that was
/// cut off, and for one that others take for the owner and which is not as it
/// sees the fleet. An owner that hears less than half of the fleet admits only
/// the part of the rate that it hears, since the other part of the fleet may
/// have another owner. Daemons that are refused are told to return one after
/// the other, as tokens become available.
class WorkspaceLimiter {
 public:
  /// Sets the declared rates.
  void SetRates(const std::map<common::WorkspaceId, WorkspaceRate>& rates,
                common::SteadyTime now);

  /// Sets by how much the rates may be exceeded.
  void SetTolerance(const RateTolerance& allowed);

  /// Sets how this daemon sees the fleet. Daemons that were started together
  /// may each become the owner of one workspace before they know of each other,
  /// so a new owner starts with a fraction of the rate. So does one that has
  /// not heard enough of the fleet until now.
  void SetFleet(const FleetView& view, common::SteadyTime now);

  /// Sets whether this daemon owns a workspace's bucket. A new owner does not
  /// know how many operations the former one has admitted, so it starts with
  /// few tokens.
  void SetOwned(const common::WorkspaceId& workspace, bool owned,
                common::SteadyTime now);

  /// Whether this daemon hears enough of the fleet to admit operations for it:
  /// more than half, or a quarter with most of a failure domain. Single daemons
  /// that are cut off do not, even if they hear each other.
  bool MayAdmit() const;

  /// Whether a workspace has a rate limit.
  bool HasLimit(const common::WorkspaceId& workspace) const;

  /// As rate owner, admits as many of a daemon's operations as there are
  /// tokens.
  AdmissionReply Admit(const AdmissionRequest& request, common::SteadyTime now);

  /// Without an answer of the rate owner, admits one operation of this daemon's
  /// own clients, or returns the time until the next one would be admitted.
  std::optional<common::Duration> AdmitLocally(
      const common::WorkspaceId& workspace, common::SteadyTime now);

  /// Makes a request to the rate owner. It reports the operations that this
  /// daemon has admitted alone, which are counted anew from then on.
  AdmissionRequest MakeRequest(const common::WorkspaceId& workspace,
                               std::uint32_t operations,
                               common::SteadyTime now);

  /// The rate owner has not taken the reported number.
  void ReturnAdmittedAlone(const common::WorkspaceId& workspace,
                           std::uint32_t count);

  /// The rate owner has answered this daemon.
  void OnOwnerReplied(const common::WorkspaceId& workspace,
                      const AdmissionReply& reply, common::SteadyTime now);

 private:
  /// What the rate owner records about one requesting daemon.
  struct Requester {
    RateMeter granted;
    /// Operations per second that the daemon could admit alone when it turned
    /// to this owner.
    double brought_rate = 0;
    /// The same as this owner has told it last.
    double alone_rate = 0;
    common::SteadyTime last_request;
    /// Tokens taken off for operations that the daemon may have admitted alone
    /// since its last request, and until when.
    double reserved = 0;
    common::SteadyTime reserved_until;
    /// When the daemon should return after a refusal.
    std::optional<common::SteadyTime> turn;
  };

  /// Requests of one daemon for all workspaces that this daemon owns.
  struct HostActivity {
    RateMeter asked;
    common::SteadyTime last_request;
  };

  struct TokenBucket {
    double level = 0;
    common::SteadyTime filled;

    void Fill(double rate, double capacity, common::SteadyTime now);

    /// Takes a token if there is one; otherwise returns the time until there
    /// will be one.
    std::optional<common::Duration> TryTake(double rate, double capacity,
                                            common::SteadyTime now);
  };

  struct WorkspaceEntry {
    WorkspaceRate limit;
    bool owned = false;
    /// Another daemon takes this one for the owner, which it is not as it sees
    /// the fleet.
    bool owned_by_request = false;
    common::SteadyTime owned_since;
    /// A requester has had a part of the rate from a former owner.
    bool succeeds_owner = false;
    TokenBucket bucket;
    /// When the next daemon that is refused should return.
    common::SteadyTime next_turn;
    std::map<common::HostId, Requester> requesters;
    TokenBucket local_bucket;
    /// Operations per second that the rate owner has left to this daemon.
    double alone_rate = 0;
    std::uint32_t admitted_alone = 0;
    std::optional<common::SteadyTime> owner_replied_at;
  };

  WorkspaceEntry* FindLimited(const common::WorkspaceId& workspace);
  /// Whether a daemon may be cut off, as it has sent no request for unusually
  /// long.
  bool IsOverdue(const common::HostId& host, common::SteadyTime now) const;
  /// Takes tokens off for the requesters that may be cut off.
  void ReserveForSilentRequesters(WorkspaceEntry* entry,
                                  common::SteadyTime now) const;
  /// Time since a rate owner has answered this daemon last, at most a rate
  /// window.
  static common::Duration UnansweredTime(const WorkspaceEntry& entry,
                                         common::SteadyTime now);
  /// Operations per second that this daemon may admit alone, as the rate owner
  /// has left it; 0 if none has replied within the last rate window.
  static double AloneRate(const WorkspaceEntry& entry, common::SteadyTime now);
  /// Each daemon's part of the rate if it is divided evenly.
  double EvenShare(const WorkspaceEntry& entry) const;
  /// Rate at which a daemon admits alone that has not reached the owner for
  /// longer than a rate window.
  double LocalRate(const WorkspaceEntry& entry) const;
  /// Rate at which a silent daemon may admit, alone or with an owner that
  /// others hear.
  double SilentRate(const WorkspaceEntry& entry) const;
  bool HearsMajority() const;
  double ResponsiveShare() const;
  /// Whether another owner may admit operations too, so that this one admits
  /// only what its requesters have brought.
  static bool SharesRate(const WorkspaceEntry& entry, common::SteadyTime now);
  /// What a requester has brought, at least its even share, in operations per
  /// second.
  double RateOf(const Requester& requester, const WorkspaceEntry& entry) const;
  /// Fraction of the rate that the requesters have brought.
  double BroughtShare(const WorkspaceEntry& entry,
                      common::SteadyTime now) const;
  double InitialTokens(const WorkspaceEntry& entry) const;
  /// Fraction of the rate that this daemon may admit as owner.
  double OwnedShare(const WorkspaceEntry& entry, common::SteadyTime now) const;
  /// Tokens that a daemon may take: those of others whose turn has come are
  /// kept for them for a short time.
  static double TokensFor(const common::HostId& host,
                          const WorkspaceEntry& entry, common::SteadyTime now);
  /// The next time at which a daemon that is refused should return.
  static common::SteadyTime TakeTurn(WorkspaceEntry* entry, double rate,
                                     common::SteadyTime now);
  /// Makes this daemon a new owner from a time on, which knows none of the
  /// requesters and has no more tokens than a new owner has.
  void StartAnew(WorkspaceEntry* entry, common::SteadyTime since) const;
  /// Records a request of a daemon. Returns what is known of it.
  Requester* NoteRequest(const AdmissionRequest& request, WorkspaceEntry* entry,
                         common::SteadyTime now);
  /// Operations per second that a requester may admit alone.
  double AloneRateFor(const Requester& requester, const WorkspaceEntry& entry,
                      double rate, common::SteadyTime now) const;
  /// Largest number of tokens that the owner's bucket may hold.
  double Capacity(const WorkspaceEntry& entry, common::SteadyTime now) const;

  std::map<common::WorkspaceId, WorkspaceEntry> entries;
  std::map<common::HostId, HostActivity> hosts;
  RateTolerance tolerance;
  FleetView fleet;
  /// Since when this daemon hears enough of the fleet.
  common::SteadyTime authority_since;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_WORKSPACE_LIMITER_H_
