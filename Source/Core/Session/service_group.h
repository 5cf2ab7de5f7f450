#ifndef CAMPHORFERRY_SESSION_SERVICE_GROUP_H_
#define CAMPHORFERRY_SESSION_SERVICE_GROUP_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Session/connection_plan.h"
#include "Session/departures.h"
#include "Session/directory.h"
#include "Session/endpoint_pool.h"
#include "Session/failure_estimate.h"
#include "Session/group_context.h"
#include "Session/group_stability.h"
#include "Session/hedge_budget.h"
#include "Session/leadership_proofs.h"
#include "Session/pending_acknowledgements.h"
#include "Session/primary_monitor.h"
#include "Session/primary_view.h"
#include "Session/promotion_task.h"
#include "Session/reader_choice.h"

namespace camphorferry::session {

/// One replicated database group as this daemon sees it: its members and the
/// channels to them, the current primary, proofs of leadership, and the
/// replacement of a failed primary.
class ServiceGroup {
 public:
  ServiceGroup(GroupContext context, common::ServiceId service);
  ~ServiceGroup();
  ServiceGroup(const ServiceGroup&) = delete;
  ServiceGroup& operator=(const ServiceGroup&) = delete;

  /// Sets the current members of the group.
  void SetMembers(const std::vector<GroupMember>& present);

  /// Sets the failure domains to whose members no statements may be sent,
  /// and since when each is known.
  void SetEvacuated(
      const std::map<common::FailureDomainId, common::SteadyTime>& since);

  /// Whether a statement may be sent to a member; not for long after its
  /// failure domain is to be evacuated.
  bool MayUse(const common::EndpointId& id) const;

  /// Sets who may open connections to the members, and the number of daemons in
  /// this daemon's failure domain.
  void SetConnectionUsers(const ConnectionUsers& users,
                          std::size_t hosts_in_domain);

  /// Must be called every kGroupTickInterval.
  void Tick(common::SteadyTime now);

  /// The member that is assumed to be the primary; none if none is known.
  std::optional<common::EndpointId> Primary() const;

  /// The primary, as long as statements may be sent to it: one that has
  /// announced its shutdown is used for a limited time only.
  std::optional<common::EndpointId> UsablePrimary() const;

  /// The member for a read, apart from those named: the one that is expected to
  /// answer soonest or, where daemons that own the connections run the reads,
  /// one chosen at random by the load. None if no other member takes work.
  std::optional<common::EndpointId> ChooseReader(
      const std::string& caller, const std::set<common::EndpointId>& without);

  /// Whether a member takes reads, apart from those named.
  bool HasReader(const std::set<common::EndpointId>& without) const;

  /// Whether statements run at the daemons that own the connections.
  bool UsesConnectionOwners() const {
    return NeedsConnectionOwners(this->connection_users);
  }

  /// A read has taken this long at a member, with the round trip and the wait
  /// for a channel, and was served or not.
  void OnReadTime(const common::EndpointId& id, common::Duration time,
                  bool served);

  /// Connection pool of a member; null if the member is gone.
  EndpointPool* PoolOf(const common::EndpointId& id);
  std::shared_ptr<EndpointPool> SharedPoolOf(const common::EndpointId& id);

  /// The peer that owns a caller's connections to a member; none if this daemon
  /// opens them itself.
  std::optional<FleetHost> ConnectionOwner(const common::EndpointId& id,
                                           const std::string& caller) const;

  /// Has a connection owner run a statement. Calls back once.
  void ForwardStatement(const FleetHost& owner, ForwardedStatement request,
                        common::Duration timeout,
                        std::function<void(const ForwardingResult&)> done);

  /// Asks a connection owner to roll back a transaction.
  void EndForwardedTransaction(const FleetHost& owner, std::uint64_t number);

  /// The lowest log position that a read has to see in order to include
  /// everything that was acknowledged before the given time; none if no proof
  /// is that recent.
  std::optional<common::LogPosition> RequiredPosition(
      common::SteadyTime time) const;

  /// Calls back with true as soon as there is a proof of leadership at or after
  /// the given time, or with false after the wait.
  void AwaitProof(common::SteadyTime not_before, common::Duration wait,
                  std::function<void(bool proved)> done);

  /// Makes this daemon ask the members itself for some time, because a peer
  /// takes it for the one that does. Without this, two daemons that disagree
  /// would ask each other.
  void ProveByItself(common::SteadyTime now);

  /// Starts a proof round unless there is a proof at or after the given time.
  void RefreshProof(common::SteadyTime not_before);

  /// A proof of leadership and its age.
  struct AgedProof {
    common::LogPosition position;
    common::Duration age;
  };
  /// The latest proof, to be sent to other daemons; none if there is no proof
  /// younger than 2 s.
  std::optional<AgedProof> LatestProof(common::SteadyTime now) const;

  /// Adds a proof that another daemon has made.
  void AddProof(common::SteadyTime as_of, common::LogPosition position);

  /// The member has answered a connection or a command.
  void OnResponsive(const common::EndpointId& id);
  /// The member could not be reached, or a connection or a command had no
  /// answer.
  void OnUnresponsive(const common::EndpointId& id);
  /// A statement was answered with success.
  void OnStatementSucceeded(const common::EndpointId& id);
  /// A statement failed or was not answered in time.
  void OnStatementFailed(const common::EndpointId& id);
  /// The member has refused a statement because it is not the primary.
  void OnNotPrimary(const common::EndpointId& id);
  /// The member has acknowledged a commit or a single write.
  void OnCommitSuccess(const common::EndpointId& id);
  /// A commit or a single write at the member ended without an answer.
  void OnCommitUnanswered(const common::EndpointId& id);

  /// End of the primary's log as far as this daemon has heard. A commit that is
  /// sent from now on lies behind it.
  common::LogPosition LogEnd() const { return this->log_end; }

  /// Calls back, possibly before this returns, with whether a client may be
  /// told of a commit that the primary has acknowledged, at the latest at the
  /// given time. The commit lies behind the first position, and not behind the
  /// second one, which the primary has reported as the end of its log.
  void AcknowledgeCommit(common::LogPosition after, common::LogPosition end,
                         common::SteadyTime until,
                         std::function<void(bool told)> done);

  /// Closes terms for a promotion by any daemon, and tells what is known.
  CloseTermReply CloseTerm(const CloseTermRequest& request);

  /// Counts a read that was sent to its first member.
  void OnReadSent() { this->hedge_budget.OnRead(); }

  /// Whether a read that waits for one member's answer may also be sent to
  /// another member. If so, it is counted against the hedge budget.
  bool TryHedge(const common::EndpointId& waits_for);

  /// Sends a command to a member, for this daemon or for another one that does
  /// not reach the member.
  void SendCommand(const common::EndpointId& id, const MemberCommand& command,
                   CommandCallback done);

  const common::ServiceId& Service() const { return this->service; }

  /// Since when members are known to leave, for peers that don't know.
  const Departures& KnownDepartures() const { return this->departures; }
  /// A peer had learned by the given time that a member leaves.
  void OnPeerDeparture(const DepartureNotice& notice,
                       common::SteadyTime learned) {
    this->departures.OnPeerNotice(notice.endpoint, notice.incarnation, learned);
  }

 private:
  struct Member {
    GroupMember entry;
    std::shared_ptr<EndpointPool> pool;
    /// Until then, reads prefer other members.
    common::SteadyTime avoid_until;
    FailureEstimate failures;
    ResponseTimes response_times;
    /// The member gave no answer when it was last contacted.
    bool unresponsive = false;
    /// Peers are not asked before to send a command of the kind to the member.
    std::map<MemberCommandKind, common::SteadyTime> next_relay;
    /// Until when peers send commands to the member, since they have had an
    /// answer of it.
    common::SteadyTime relayed_until;
  };

  struct ProofWaiter {
    common::SteadyTime not_before;
    common::SteadyTime until;
    std::function<void(bool)> done;
  };

  struct Round {
    std::uint64_t number = 0;
    common::SteadyTime started;
    bool needs_replica = false;
    std::optional<EndpointStatus> primary;
    std::optional<EndpointStatus> replica;
    common::EndpointId replica_id;
    /// A peer asks the members.
    bool by_peer = false;
  };

  /// A command to a member that waits for a channel or for its answer.
  struct PendingCommand {
    common::EndpointId endpoint;
    MemberCommand command;
    CommandCallback done;
    ChannelRequestId request_id = 0;
    std::shared_ptr<EndpointChannel> channel;
    /// Limits the wait for a channel.
    std::unique_ptr<connection::Timer> timer;
  };

  /// Sends a command, also through peers if the member does not answer this
  /// daemon.
  void SendCommandByAny(const common::EndpointId& id,
                        const MemberCommand& command, CommandCallback done);
  void OnChannelTimeout(std::uint64_t number);
  void OnCommandChannel(std::uint64_t number, const ChannelGrant& grant);
  void OnCommandResult(std::uint64_t number, const ChannelResult& result);
  void EndCommand(std::uint64_t number, const CommandResult& result);
  std::vector<GroupMember> Entries() const;
  /// The members as a promotion sees them, with those that are to be evacuated
  /// marked.
  std::vector<GroupMember> PromotionEntries() const;
  bool IsEvacuated(const GroupMember& member) const;
  FormerMembers RecentFormerMembers() const;
  /// Updates the former members for a new set of members.
  void UpdateFormer(const std::vector<GroupMember>& present,
                    common::SteadyTime now);
  void UpdatePrimary();
  /// Tells the monitor whether the primary is about to shut down.
  void UpdateLeaving();
  void OnStatus(const common::EndpointId& id, const EndpointStatus& status);
  void StartRound();
  /// Has a peer prove who leads. Returns false if this daemon has to do so
  /// itself.
  bool StartRoundAtPeer();
  /// The limits of this daemon's channels to a member.
  ChannelLimits LimitsFor(const GroupMember& member) const;
  void OnRoundAnswer(std::uint64_t number, bool from_primary,
                     const std::optional<EndpointStatus>& status);
  void EndRound(bool proved);
  /// Starts the next round after a pause, if one is waited for.
  void ScheduleRound(common::Duration pause);
  bool AwaitsRound() const {
    return !this->waiters.empty() || !this->pending_acknowledgements.Empty();
  }
  /// Takes a report of a primary about itself.
  void OnPrimaryReport(const common::EndpointId& id, common::Term term,
                       common::LogPosition end);
  std::optional<common::EndpointId> ChooseProofReplica() const;
  common::Duration RoundTripTo(const GroupMember& member) const;

  /// Whether a member takes reads.
  bool MayRead(const common::EndpointId& id, const Member& member,
               const std::set<common::EndpointId>& without) const;
  /// Expected delay for recent failures of a member.
  common::Duration FailurePenalty(const Member& member,
                                  common::SteadyTime now) const;
  std::optional<common::EndpointId> ChooseReaderByLoad(
      common::SteadyTime now, const std::set<common::EndpointId>& without);
  /// Asks a member for its status. The answer is only used by OnStatus.
  void Probe(const common::EndpointId& id);
  /// Asks the primary and one replica for their status.
  void ProbePrimary(bool must_replace);
  void RunMonitor(common::SteadyTime now);
  bool MustReplace(common::SteadyTime now) const;

  GroupContext context;
  common::ServiceId service;
  std::map<common::EndpointId, Member> members;
  Departures departures;
  /// Processes of members that have disappeared, and until when a promotion
  /// takes them into account.
  std::map<FormerMembers::value_type, common::SteadyTime> former_members;
  /// Members that had announced their shutdown and are gone, and since when. A
  /// commit that was acknowledged later clears them.
  std::map<common::EndpointId, common::SteadyTime> ended_members;
  std::map<common::FailureDomainId, common::SteadyTime> evacuated;
  ConnectionUsers connection_users;
  std::size_t hosts_in_domain = 1;
  HedgeBudget hedge_budget;
  std::mt19937 random;

  PrimaryView view;
  std::optional<common::EndpointId> primary;
  LeadershipProofs leadership_proofs;
  PrimaryMonitor monitor;

  std::optional<Round> round;
  /// Until then, this daemon asks the members itself: a peer relies on it, or
  /// the peer that it relies on has failed.
  common::SteadyTime own_rounds_until;
  std::uint64_t next_round = 1;
  /// Pause after the next round without a proof, and earliest start of the next
  /// round.
  common::Duration round_backoff;
  common::SteadyTime round_not_before;
  /// Replica that did not answer, or could not confirm the primary, in the
  /// latest round.
  std::optional<common::EndpointId> unfit_replica;
  std::list<ProofWaiter> waiters;
  /// Commits of which clients are told once a listed replica has them.
  PendingAcknowledgements pending_acknowledgements;
  GroupStability stability;
  common::LogPosition log_end;
  /// Highest position that a replica has reported. What a replica has is
  /// confirmed.
  common::LogPosition replica_end;
  /// The last report of a primary of the newest term, and when it was taken.
  std::optional<PrimaryLogEnd> heard_primary;
  common::SteadyTime heard_primary_at;
  common::SteadyTime followed_since = common::SteadyNow();
  std::map<std::uint64_t, PendingCommand> commands;
  std::uint64_t next_command = 1;

  std::unique_ptr<PromotionTask> promotion;
  common::SteadyTime next_probe;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Interval between two calls of ServiceGroup::Tick: a fifth of the shortest
/// time that a decision of the group waits for.
inline constexpr std::chrono::milliseconds kGroupTickInterval(100);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_SERVICE_GROUP_H_
