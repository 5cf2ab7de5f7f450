#ifndef CAMPHORFERRY_SESSION_SERVICE_GROUP_H_
#define CAMPHORFERRY_SESSION_SERVICE_GROUP_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Session/directory.h"
#include "Session/endpoint_pool.h"
#include "Session/failure_estimate.h"
#include "Session/group_context.h"
#include "Session/hedge_budget.h"
#include "Session/leadership_proofs.h"
#include "Session/primary_monitor.h"
#include "Session/primary_view.h"
#include "Session/promotion_task.h"

namespace camphorferry::session {

/// One database group as this daemon sees it: its members with their channels,
/// who leads, proofs of leadership, and the replacement of its primary.
class ServiceGroup {
 public:
  ServiceGroup(GroupContext context, common::ServiceId service);
  ~ServiceGroup();
  ServiceGroup(const ServiceGroup&) = delete;
  ServiceGroup& operator=(const ServiceGroup&) = delete;

  /// Takes the present members of the group.
  void SetMembers(const std::vector<GroupMember>& present);

  /// Sets how many channels to each member this daemon may have.
  void SetChannelLimits(const ChannelLimits& limits);

  /// To be called every kGroupTickInterval.
  void Tick(common::SteadyTime now);

  /// The member that is believed to lead and takes statements.
  std::optional<common::EndpointId> Primary() const;

  /// The member that probably serves a read soonest, without those named; none
  /// if no other member takes work.
  std::optional<common::EndpointId> ChooseReader(
      const std::string& caller,
      const std::set<common::EndpointId>& without) const;

  /// Channels to a member; null if it is gone.
  EndpointPool* PoolOf(const common::EndpointId& id);

  /// The lowest position that a read must see to miss nothing that was
  /// acknowledged before the given time.
  std::optional<common::LogPosition> RequiredPosition(
      common::SteadyTime time) const;

  /// Calls back with true once a proof of leadership at or after the given
  /// time is there, or with false when the wait is over.
  void AwaitProof(common::SteadyTime not_before, common::Duration wait,
                  std::function<void(bool proved)> done);

  /// Starts a round of proof unless the latest proof is younger than the given
  /// time.
  void RefreshProof(common::SteadyTime not_before);

  /// The latest proof, for other daemons; none if there is no young one.
  struct AgedProof {
    common::LogPosition position;
    common::Duration age;
  };
  std::optional<AgedProof> LatestProof(common::SteadyTime now) const;

  /// Takes a proof that another daemon has made.
  void AddProof(common::SteadyTime as_of, common::LogPosition position);

  /// What statements have met.
  void OnResponsive(const common::EndpointId& id);
  void OnUnresponsive(const common::EndpointId& id);
  /// A statement was answered as asked, or had no such answer in its time.
  void OnStatementSucceeded(const common::EndpointId& id);
  void OnStatementFailed(const common::EndpointId& id);
  void OnNotPrimary(const common::EndpointId& id);
  void OnCommitSuccess(const common::EndpointId& id);
  void OnCommitUnanswered(const common::EndpointId& id);

  /// Counts a read that was sent to a first member.
  void OnReadSent() { this->hedge_budget.OnRead(); }

  /// Whether a read that waits for an answer of one member may be sent to
  /// another one too; it is counted.
  bool TryHedge(const std::string& caller, const common::EndpointId& waits_for);

  const common::ServiceId& Service() const { return this->service; }

 private:
  struct Member {
    GroupMember entry;
    std::shared_ptr<EndpointPool> pool;
    /// Reads avoid the member until then.
    common::SteadyTime avoid_until;
    FailureEstimate failures;
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
  };

  using StatusCallback = std::function<void(std::optional<EndpointStatus>)>;

  /// A command to a member that waits for a channel or for its answer.
  struct PendingCommand {
    common::EndpointId endpoint;
    std::string command;
    common::Duration timeout;
    StatusCallback done;
    ChannelRequestId request_id = 0;
    std::shared_ptr<EndpointChannel> channel;
    /// Ends the wait for a channel.
    std::unique_ptr<connection::Timer> timer;
  };

  void SendCommand(const common::EndpointId& id, const std::string& command,
                   common::Duration timeout, StatusCallback done);
  void OnChannelTimeout(std::uint64_t number);
  void OnCommandChannel(std::uint64_t number, const ChannelGrant& grant);
  void OnCommandResult(std::uint64_t number, const ChannelResult& result);
  void EndCommand(std::uint64_t number,
                  const std::optional<EndpointStatus>& status);
  std::vector<GroupMember> Entries() const;
  void UpdatePrimary();
  /// Tells the monitor whether the primary is about to shut down.
  void UpdateLeaving();
  void OnStatus(const common::EndpointId& id, const EndpointStatus& status);
  void StartRound();
  void OnRoundAnswer(std::uint64_t number, bool from_primary,
                     const std::optional<EndpointStatus>& status);
  void EndRound(bool proved);
  std::optional<common::EndpointId> ChooseProofReplica() const;
  common::Duration RoundTripTo(const GroupMember& member) const;

  /// Asks a member for its status, for what Ask itself records of the answer.
  void Probe(const common::EndpointId& id);
  void RunMonitor(common::SteadyTime now);
  bool MustReplace(common::SteadyTime now) const;

  GroupContext context;
  common::ServiceId service;
  std::map<common::EndpointId, Member> members;
  ChannelLimits channel_limits;
  HedgeBudget hedge_budget;

  PrimaryView view;
  std::optional<common::EndpointId> primary;
  LeadershipProofs leadership_proofs;
  PrimaryMonitor monitor;

  std::optional<Round> round;
  std::uint64_t next_round = 1;
  /// Pause after the next round without a proof, and end of the present one.
  common::Duration round_backoff;
  common::SteadyTime round_not_before;
  /// Replica that gave no answer, or could not confirm, in the latest round.
  std::optional<common::EndpointId> unfit_replica;
  std::list<ProofWaiter> waiters;
  std::map<std::uint64_t, PendingCommand> commands;
  std::uint64_t next_command = 1;

  std::unique_ptr<PromotionTask> promotion;
  common::SteadyTime next_probe;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Interval between two calls of ServiceGroup::Tick; a fifth of the shortest
/// time that a decision of the group waits for.
inline constexpr std::chrono::milliseconds kGroupTickInterval(100);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_SERVICE_GROUP_H_
