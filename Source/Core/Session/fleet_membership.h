#ifndef CAMPHORFERRY_SESSION_FLEET_MEMBERSHIP_H_
#define CAMPHORFERRY_SESSION_FLEET_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Session/group_context.h"
#include "Session/watch_lengths.h"

namespace camphorferry::session {

/// Maximum number of rate owners. Each serves the other daemons' calls at a
/// cost that grows with the fleet's operations, and the loss of one affects
/// only the workspaces that it owns.
inline constexpr std::size_t kMaxRateOwners = 12;

/// Membership list of the fleet: the daemons that this one knows, from the
/// directory and from their own reports, whether they respond, and when each is
/// due for the next exchange of reports.
class FleetMembership {
 public:
  explicit FleetMembership(HostLocation own);

  /// Adds a daemon that was named by the directory or by its own report.
  void Add(const FleetHost& host, common::SteadyTime now);

  /// A daemon has answered or has sent a report.
  void OnReply(const common::HostId& host, common::SteadyTime now);

  /// A daemon gave no answer. Returns true if it counts as silent from now on.
  bool OnNoReply(const common::HostId& host, common::SteadyTime now);

  /// The daemons that own the rates of workspaces ("keepers"): a limited number
  /// of those that are not silent, on the hosts with most processor time. All
  /// daemons that know the same fleet choose the same ones.
  const std::vector<common::HostId>& RateOwners();

  /// The daemon that owns a workspace's rate; none if it is this one.
  std::optional<FleetHost> RateOwnerOf(const common::WorkspaceId& workspace);

  /// The part that this daemon has in watching the configuration: rate owners
  /// watch closely.
  WatchRole ConfigurationWatchRole();

  /// A daemon has said whether it is shutting down, in answer to a call of the
  /// given time. An answer to an earlier call doesn't take back that it is.
  void SetStopping(const common::HostId& host, bool stopping,
                   common::SteadyTime called_at);

  /// The daemon in the failure domain that owns the connections with this key;
  /// none if it is this one, or if no daemon there takes statements. All
  /// daemons that know the same fleet choose the same one.
  std::optional<FleetHost> ConnectionOwnerOf(
      const std::string& key, const common::FailureDomainId& domain);

  /// Number of daemons in a failure domain that may be alive, including this
  /// one.
  std::size_t SizeOf(const common::FailureDomainId& domain) const;

  /// The daemons to exchange reports with now, those that are due for longest
  /// first. Each is due again after its interval. In a fleet that is not small
  /// their number is bounded over time, however many become known, or fall
  /// silent, at once. Daemons that start together contact different peers.
  std::vector<FleetHost> TakeDuePeers(common::SteadyTime now);

  /// The next responsive daemon in round-robin order; none if there is no
  /// other.
  std::optional<FleetHost> NextResponsive();

  /// Responsive daemons in round-robin order, at most the given number.
  std::vector<FleetHost> NextResponsive(std::size_t limit);

  /// Number of other daemons that have neither answered nor failed to since
  /// they became known.
  std::size_t PendingCount() const;

  /// Removes daemons that have been silent for long and returns them.
  std::vector<FleetHost> RemoveLost(common::SteadyTime now);

  /// All other daemons that may be alive.
  std::vector<FleetHost> Peers() const;

  /// Number of daemons that may be alive, including this one.
  std::size_t Size() const { return this->peers.size() + 1; }

  /// Number of daemons that may be alive or were lost lately, including this
  /// one. A daemon that is cut off from the others soon knows none of them, and
  /// must not take itself for the whole fleet. One that has started during a
  /// cut learns from its peers how many there are.
  std::size_t RecentSize(common::SteadyTime now) const;

  /// The same as far as this daemon has seen itself, which is what it reports.
  std::size_t SeenSize(common::SteadyTime now) const;

  /// A daemon has reported what it has seen of the fleet.
  void SetSeen(const common::HostId& host, std::size_t fleet_size,
               bool misses_domain);

  /// Number of daemons that have been heard lately, including this one. At most
  /// half as many again as have been heard since a rate owner fell silent last:
  /// this daemon may be the one that is cut off.
  std::size_t HeardCount(common::SteadyTime now) const;

  /// Whether the daemons that have been heard lately are most of those of some
  /// failure domain, as in a part of the fleet that a partition between failure
  /// domains has cut off. Single hosts that are cut off together are not.
  bool HearsFailureDomain(common::SteadyTime now) const;

  /// Whether the daemons that have not been heard lately may be most of those
  /// of some failure domain.
  bool MissesFailureDomain(common::SteadyTime now) const;

  /// The same as far as this daemon has seen itself.
  bool SeesDomainMissing(common::SteadyTime now) const;

 private:
  struct Peer {
    FleetHost host;
    common::SteadyTime last_reply;
    common::SteadyTime due;
    /// Order among peers that are due at the same time.
    std::uint64_t rank = 0;
    int misses = 0;
    /// Has said that it shuts down, and in answer to a call of which time.
    bool stopping = false;
    common::SteadyTime stopping_at;
    /// Has answered or reported itself; false if it is only named by the
    /// directory.
    bool has_replied = false;
    /// What it has seen of the fleet.
    std::size_t seen_size = 0;
    bool sees_domain_missing = false;
  };

  /// Number of exchange intervals until each peer has had its turn.
  std::size_t ExchangeRounds() const;
  common::Duration IntervalOf(const Peer& peer) const;
  /// Number of exchanges that may be started now.
  std::size_t TakeAllowance(common::SteadyTime now, std::size_t wanted);
  static bool IsSilent(const Peer& peer);
  bool IsHeard(const Peer& peer, common::SteadyTime now) const;
  /// Daemons of one failure domain.
  struct DomainCount {
    std::size_t recent = 0;
    std::size_t heard = 0;
  };
  using DomainCounts = std::map<common::FailureDomainId, DomainCount>;
  /// Whether the daemons that are not heard may be alive, and have an owner of
  /// their own.
  static bool MayBeParted(const DomainCounts& counts);
  /// Counts those that were removed within the given time.
  DomainCounts CountByDomain(common::SteadyTime now,
                             common::Duration removed_within) const;
  DomainCounts CountByDomain(common::SteadyTime now) const;
  /// Makes the choices that depend on who is silent or stopping be made again.
  void ForgetChoices();

  HostLocation own;
  std::map<common::HostId, Peer> peers;
  struct RemovedPeer {
    /// When it was removed; the clock's start if it had announced its end.
    common::SteadyTime at;
    common::FailureDomainId domain;
    /// Has answered or reported itself.
    bool has_replied = false;
  };
  /// Daemons that were removed and have not replied since. Their entries stay
  /// in the directory, which names them again and again.
  std::map<common::HostId, RemovedPeer> removed;
  /// Some daemon has answered or reported itself.
  bool has_heard = false;
  /// When a rate owner fell silent last.
  common::SteadyTime rate_owner_lost_at;
  /// Empty when the owners have to be chosen again.
  std::vector<common::HostId> owners;
  /// Daemons that take statements, by failure domain; empty when they have to
  /// be chosen again.
  std::map<common::FailureDomainId, std::vector<common::HostId>>
      connection_owners;
  /// Exchanges that may be started at once, and since when it has been counted.
  std::size_t allowance;
  std::optional<common::SteadyTime> allowance_counted_at;
  /// The daemon that NextResponsive returned last.
  common::HostId last_returned;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_FLEET_MEMBERSHIP_H_
