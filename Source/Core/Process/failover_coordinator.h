#ifndef CAMPHORFERRY_PROCESS_FAILOVER_COORDINATOR_H_
#define CAMPHORFERRY_PROCESS_FAILOVER_COORDINATOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/common.h"
#include "Request/request.h"

namespace camphorferry::process {

/// Identifies one request of a coordinator, so that a response to an earlier
/// request is not taken for the response to the current one.
using FailoverRequestId = std::uint64_t;

/// Replication state that a database reports about itself.
struct EndpointStatus {
  common::Term term = 0;
  common::Term fence = 0;
  request::EndpointRole role = request::EndpointRole::kReplica;
  /// Position of the last log entry.
  common::LogPosition position;
};

/// A database reported its status, either in response to a poll or, if there is
/// no request id, in a statement reply. A statement reply does not contain the
/// fence; its term is used instead, since a value below the known fence is
/// ignored.
struct StatusReceived {
  common::EndpointId endpoint;
  std::optional<FailoverRequestId> request;
  EndpointStatus status;
};

/// Why a request got no response.
enum class FailureKind {
  /// The connection was refused or reset, so the process has probably exited.
  kRefused,
  /// No response arrived before the timeout.
  kTimedOut,
};

/// A poll failed or, if there is no request id, a statement got no reply. The
/// latter only brings the next poll forward.
struct StatusFailed {
  common::EndpointId endpoint;
  std::optional<FailoverRequestId> request;
  FailureKind kind = FailureKind::kTimedOut;
};

/// Response to a fence request.
struct FenceReply {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
  bool granted = false;
  /// The database's fence after the request, and the proposer that set it.
  common::Term fence = 0;
  std::string proposer;
  common::LogPosition position;
};

/// A fence request got no response.
struct FenceFailed {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
};

/// Response to a promote request for a term.
struct PromoteReply {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
  common::Term term = 0;
  bool accepted = false;
};

/// A promote request got no response; it may have taken effect.
struct PromoteFailed {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
};

/// Response to a follow request for a term.
struct FollowReply {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
  common::Term term = 0;
  bool accepted = false;
};

/// A follow request got no response.
struct FollowFailed {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
};

/// Periodic tick.
struct FailoverTick {};

using FailoverEvent = std::variant<StatusReceived, StatusFailed, FenceReply,
                                   FenceFailed, PromoteReply, PromoteFailed,
                                   FollowReply, FollowFailed, FailoverTick>;

/// Poll the status of an endpoint.
struct SendStatusPoll {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
  /// Open a new connection instead of reusing the control connection, which may
  /// be stalled.
  bool new_connection = false;
};

/// Fence an endpoint at the term with the coordinator's proposer id.
struct SendFence {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
  common::Term term = 0;
};

/// Promote an endpoint to primary for the term.
struct SendPromote {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
  common::Term term = 0;
};

/// Make an endpoint a replica of the term's primary.
struct SendFollow {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
  common::Term term = 0;
  common::EndpointId primary;
};

/// The primary has changed: route writes to this endpoint under this term.
struct AnnouncePrimary {
  common::EndpointId endpoint;
  common::Term term = 0;
};

using FailoverAction = std::variant<SendStatusPoll, SendFence, SendPromote,
                                    SendFollow, AnnouncePrimary>;

/// Primary of a database group and its term.
struct KnownPrimary {
  common::EndpointId endpoint;
  common::Term term = 0;

  bool operator==(const KnownPrimary&) const = default;
};

/// Safety rules that only tests disable, to verify that the violations are
/// detected.
struct FailoverPolicy {
  /// If false, the first database that granted the fence is promoted.
  bool promote_most_advanced = true;
};

/// Timeout of a status poll.
inline constexpr common::Duration kStatusTimeout =
    std::chrono::milliseconds(200);
/// An endpoint that was not heard from for this long is polled.
inline constexpr common::Duration kStatusInterval =
    std::chrono::milliseconds(200);
/// A coordinator of rank n delays its actions by n times this duration, so that
/// coordinators seldom compete.
inline constexpr common::Duration kRankDelay = std::chrono::milliseconds(300);

/// Maintains one primary in the database group of one service. It detects a
/// failed primary by polling, fences a majority at a new term, promotes the
/// fenced database with the most advanced log, and attaches the others as
/// replicas.
///
/// Each daemon that owns connections to the group runs one coordinator. Several
/// may act at the same time, since the databases accept at most one promotion
/// per term. The class does no I/O: the caller reports events, including a tick
/// at least every 100 ms, and carries out the returned actions.
class FailoverCoordinator {
 public:
  /// The proposer id must be unique across all processes and all coordinators
  /// of this process, past ones included: the databases tell coordinators apart
  /// by it.
  FailoverCoordinator(std::vector<common::EndpointId> endpoints,
                      std::string proposer, std::size_t rank,
                      FailoverPolicy policy = {});

  /// Handles an event and returns the actions to carry out now.
  std::vector<FailoverAction> Handle(const FailoverEvent& event,
                                     common::SteadyTime now);

  /// Sets the rank of this daemon among the service's coordinators.
  void SetRank(std::size_t new_rank) { this->rank = new_rank; }

  const std::string& Proposer() const { return this->proposer; }

  /// The primary with the highest reported term, unless it is known to be
  /// fenced above that term. It may be suspect.
  std::optional<KnownPrimary> Primary() const;

  /// True if the endpoint missed several polls in a row and has not responded
  /// since.
  bool IsSuspect(const common::EndpointId& endpoint) const;

 private:
  /// Whether an endpoint responds to polls.
  enum class Reachability { kUnknown, kReachable, kSuspect };

  /// Whether a promotion is needed, and why.
  enum class GroupState {
    kHealthy,
    /// Some endpoint has neither responded nor missed enough polls to be
    /// suspect.
    kUndecided,
    /// No primary can get its writes confirmed by a replica.
    kNoPrimary,
    /// Writes succeed, but an abandoned round has fenced a replica above the
    /// primary's term, so that the replica can never follow this primary.
    kReplicaFenced,
  };

  struct PendingRequest {
    FailoverRequestId request = 0;
    common::SteadyTime deadline;
  };

  struct Member {
    common::EndpointId id;
    std::optional<EndpointStatus> status;
    Reachability reachability = Reachability::kUnknown;
    int missed_polls = 0;
    std::optional<PendingRequest> poll;
    common::SteadyTime next_poll;
    std::optional<PendingRequest> follow;
    common::SteadyTime next_follow;
    /// When the member was first observed with a term below the primary's.
    std::optional<common::SteadyTime> outdated_since;
  };

  /// A database that granted the fence of the current round.
  struct Grant {
    common::EndpointId endpoint;
    common::LogPosition position;
  };

  /// One attempt to promote a database at one term.
  struct Round {
    common::Term term = 0;
    common::SteadyTime deadline;
    /// Fence requests that are still unanswered.
    std::map<FailoverRequestId, common::EndpointId> pending;
    std::vector<Grant> grants;
    /// Time of the grant that completed a majority.
    std::optional<common::SteadyTime> majority_at;
    /// Set once the promote request has been sent.
    std::optional<PendingRequest> promote;
    common::EndpointId target;
  };

  void On(const StatusReceived& event, common::SteadyTime now);
  void On(const StatusFailed& event, common::SteadyTime now);
  void On(const FenceReply& event, common::SteadyTime now);
  void On(const FenceFailed& event, common::SteadyTime now);
  void On(const PromoteReply& event, common::SteadyTime now);
  void On(const PromoteFailed& event, common::SteadyTime now);
  void On(const FollowReply& event, common::SteadyTime now);
  void On(const FollowFailed& event, common::SteadyTime now);
  void On(const FailoverTick& event, common::SteadyTime now);

  void DetectPause(common::SteadyTime now);
  void ForgetReachability(Member* member, common::SteadyTime now);
  void MarkReachable(Member* member, common::SteadyTime now);
  void RecordMissedPoll(Member* member, FailureKind kind,
                        common::SteadyTime now);
  void UpdateStatus(Member* member, const EndpointStatus& status);
  void ObserveTerm(common::Term term, common::SteadyTime now);
  void ExpireRequests(common::SteadyTime now);

  void CountFlap(common::SteadyTime now);
  void AdvanceRound(common::SteadyTime now);
  void StartRoundIfDue(common::SteadyTime now);
  void ScheduleFastPolls(common::SteadyTime now);
  void StartRound(common::SteadyTime now);
  bool IsFencingComplete(common::SteadyTime now) const;
  void Promote(common::SteadyTime now);
  const Grant& ChooseCandidate() const;
  void AbandonLostPromote(common::SteadyTime now);
  void AbandonRound(common::SteadyTime now);

  GroupState EvaluateGroup() const;
  bool PrimaryIsReachable() const;
  std::size_t CountResponsive() const;
  bool IsFencedAbove(const Member& member, common::Term term) const;
  common::Duration RankDelay() const;
  common::Duration RoundStartDelay(GroupState state) const;
  void SendFollows(common::SteadyTime now);
  bool NeedsFollow(const Member& member) const;
  void SendPolls(common::SteadyTime now);

  std::size_t Majority() const { return this->members.size() / 2 + 1; }
  Member* Find(const common::EndpointId& endpoint);
  const Member* Find(const common::EndpointId& endpoint) const;

  std::vector<Member> members;
  std::string proposer;
  std::size_t rank;
  FailoverPolicy policy;
  FailoverRequestId next_request = 1;
  std::vector<FailoverAction> actions;

  std::optional<common::SteadyTime> last_event;
  std::optional<KnownPrimary> primary;
  /// Highest term or fence observed in a response or used by a round.
  common::Term highest_term = 0;
  /// Term of the last known primary, when it was first observed, and the number
  /// of consecutive flaps up to it.
  common::Term last_primary_term = 0;
  common::SteadyTime last_primary_seen_at;
  std::uint32_t flaps = 0;
  /// Term of the last promote request that this coordinator sent.
  common::Term last_promote_term = 0;

  std::optional<Round> round;
  common::SteadyTime state_since;
  GroupState group_state = GroupState::kUndecided;
  common::SteadyTime next_round_not_before;
  /// Rounds abandoned since the group was last healthy.
  std::uint32_t abandoned_rounds = 0;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_FAILOVER_COORDINATOR_H_
