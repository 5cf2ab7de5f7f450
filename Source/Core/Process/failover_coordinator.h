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

/// Identifies one message of a coordinator, so that an answer to an older
/// message is not taken for the answer to the current one.
using FailoverRequestId = std::uint64_t;

/// State that a database reports about itself.
struct EndpointStatus {
  common::Term term = 0;
  common::Term fence = 0;
  request::EndpointRole role = request::EndpointRole::kReplica;
  /// Position of the last log entry.
  common::LogPosition position;
};

/// A database reported its state, in answer to a poll or, without a request
/// id, in an ordinary answer. An ordinary answer doesn't contain the fence; its
/// term takes the fence's place, since a lower value than the known one is
/// ignored.
struct StatusReceived {
  common::EndpointId endpoint;
  std::optional<FailoverRequestId> request;
  EndpointStatus status;
};

/// How a poll ended without an answer.
enum class FailureKind {
  /// The connection was refused or reset, so the process is probably gone.
  kRefused,
  /// No answer came in time.
  kTimedOut,
};

/// A poll got no answer or, without a request id, an ordinary request got
/// none; the latter only brings the next poll forward.
struct StatusFailed {
  common::EndpointId endpoint;
  std::optional<FailoverRequestId> request;
  FailureKind kind = FailureKind::kTimedOut;
};

/// Answer to a fence request.
struct FenceReply {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
  bool granted = false;
  /// The database's fence after the request, and who set it.
  common::Term fence = 0;
  std::string proposer;
  common::LogPosition position;
};

/// A fence request got no answer.
struct FenceFailed {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
};

/// Answer to a promote request for a term.
struct PromoteReply {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
  common::Term term = 0;
  bool accepted = false;
};

/// A promote request got no answer; it may have taken effect.
struct PromoteFailed {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
};

/// Answer to a follow request for a term.
struct FollowReply {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
  common::Term term = 0;
  bool accepted = false;
};

/// A follow request got no answer.
struct FollowFailed {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
};

/// Time has passed.
struct FailoverTick {};

using FailoverEvent = std::variant<StatusReceived, StatusFailed, FenceReply,
                                   FenceFailed, PromoteReply, PromoteFailed,
                                   FollowReply, FollowFailed, FailoverTick>;

/// Poll the status of an endpoint.
struct SendStatusPoll {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
  /// Open a new connection instead of using the control connection, which may
  /// have gone silent.
  bool new_connection = false;
};

/// Fence an endpoint at the term under the coordinator's proposer id.
struct SendFence {
  common::EndpointId endpoint;
  FailoverRequestId request = 0;
  common::Term term = 0;
};

/// Promote an endpoint to primary of the term.
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

/// Route writes to this endpoint under this term from now on.
struct AnnouncePrimary {
  common::EndpointId endpoint;
  common::Term term = 0;
};

using FailoverAction = std::variant<SendStatusPoll, SendFence, SendPromote,
                                    SendFollow, AnnouncePrimary>;

/// Primary of a group and its term.
struct KnownPrimary {
  common::EndpointId endpoint;
  common::Term term = 0;

  bool operator==(const KnownPrimary&) const = default;
};

/// Rules that only tests change, to show that they notice the consequences.
struct FailoverPolicy {
  /// If false, the first database that granted the fence is promoted.
  bool promote_most_advanced = true;
};

/// A status poll without an answer for this long counts as missed.
inline constexpr common::Duration kStatusTimeout =
    std::chrono::milliseconds(200);
/// An endpoint that was silent for this long is polled.
inline constexpr common::Duration kStatusInterval =
    std::chrono::milliseconds(200);
/// A coordinator of rank n acts this many times n later than that of rank 0.
inline constexpr common::Duration kRankDelay = std::chrono::milliseconds(300);

/// Keeps one primary in one service's database group. Each daemon that owns
/// connections to the group runs one; several may act at the same time, since
/// the databases accept at most one promotion for a term. The caller reports
/// events, at least a tick every 100 ms, and carries out the actions.
class FailoverCoordinator {
 public:
  /// The proposer id must never have been used before, by any process or by an
  /// earlier coordinator of this one: the databases distinguish coordinators
  /// by it.
  FailoverCoordinator(std::vector<common::EndpointId> endpoints,
                      std::string proposer, std::size_t rank,
                      FailoverPolicy policy = {});

  /// Takes an event and returns what has to be done now.
  std::vector<FailoverAction> Handle(const FailoverEvent& event,
                                     common::SteadyTime now);

  /// Sets the place of this daemon among the service's coordinators.
  void SetRank(std::size_t new_rank) { this->rank = new_rank; }

  const std::string& Proposer() const { return this->proposer; }

  /// The primary of the highest term reported, unless it is known to be fenced
  /// above that term. It may be suspect.
  std::optional<KnownPrimary> Primary() const;

  /// True if the endpoint missed several polls in a row and none since.
  bool IsSuspect(const common::EndpointId& endpoint) const;

 private:
  /// What is known about whether an endpoint answers.
  enum class Reachability { kUnknown, kReachable, kSuspect };

  /// Whether a promotion is needed, and why.
  enum class GroupState {
    kHealthy,
    /// Some endpoint has neither answered nor missed enough polls.
    kUndecided,
    /// No primary can get writes confirmed.
    kNoPrimary,
    /// Writes go on, but a replica is fenced above the primary's term by a
    /// round that was given up, and can never follow it.
    kReplicaFenced,
  };

  struct Outstanding {
    FailoverRequestId request = 0;
    common::SteadyTime deadline;
  };

  struct Member {
    common::EndpointId id;
    std::optional<EndpointStatus> status;
    Reachability reachability = Reachability::kUnknown;
    int misses = 0;
    std::optional<Outstanding> poll;
    common::SteadyTime next_poll;
    std::optional<Outstanding> follow;
    common::SteadyTime next_follow;
    /// When the member was first seen to have an older term.
    std::optional<common::SteadyTime> behind_since;
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
    /// Fence requests without an answer.
    std::map<FailoverRequestId, common::EndpointId> pending;
    std::vector<Grant> grants;
    /// Time of the grant that completed a majority.
    std::optional<common::SteadyTime> majority_at;
    /// Set once the promote request was sent.
    std::optional<Outstanding> promote;
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
  void Heard(Member* member, common::SteadyTime now);
  void CountMiss(Member* member, FailureKind kind, common::SteadyTime now);
  void Learn(Member* member, const EndpointStatus& status);
  void ObserveTerm(common::Term term, common::SteadyTime now);
  void ExpireRequests(common::SteadyTime now);

  void CountQuickChange(common::SteadyTime now);
  void AdvanceRound(common::SteadyTime now);
  void StartRoundIfDue(common::SteadyTime now);
  void ScheduleUrgentPolls(common::SteadyTime now);
  void StartRound(common::SteadyTime now);
  bool FencingComplete(common::SteadyTime now) const;
  void Promote(common::SteadyTime now);
  const Grant& ChooseGrant() const;
  void LosePromote(common::SteadyTime now);
  void AbandonRound(common::SteadyTime now);

  GroupState EvaluateGroup() const;
  bool PrimaryIsReachable() const;
  std::size_t CountAnswering() const;
  bool IsFencedAbove(const Member& member, common::Term term) const;
  common::Duration RankDelay() const;
  common::Duration StartDelay(GroupState found) const;
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
  /// Highest term or fence that any answer contained or a round used.
  common::Term highest_term = 0;
  /// Term of the last known primary, when it was first seen, and how many
  /// primaries in a row came shortly after the one before.
  common::Term counted_term = 0;
  common::SteadyTime counted_at;
  std::uint32_t quick_changes = 0;
  /// Term of the last promote request that this coordinator sent.
  common::Term promoted_term = 0;

  std::optional<Round> round;
  common::SteadyTime state_since;
  GroupState group_state = GroupState::kUndecided;
  /// No round starts before this time.
  common::SteadyTime not_before;
  /// Rounds given up since the last time that a primary was in place.
  std::uint32_t attempts = 0;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_FAILOVER_COORDINATOR_H_
