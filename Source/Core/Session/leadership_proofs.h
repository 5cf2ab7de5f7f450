#ifndef CAMPHORFERRY_SESSION_LEADERSHIP_PROOFS_H_
#define CAMPHORFERRY_SESSION_LEADERSHIP_PROOFS_H_

#include <deque>
#include <optional>

#include "Session/statement.h"

namespace camphorferry::session {

/// Status answers of a primary and of one of its replicas, requested in one
/// round. The replica's answer is absent only if the group has no replica.
struct LeadershipRound {
  /// When the round began. Both answers were given after this time.
  common::SteadyTime started;
  EndpointStatus primary;
  std::optional<EndpointStatus> replica;
};

/// The position up to which a replica follows the primary's log, by a round
/// that proves leadership: a commit of the primary's term up to there is on a
/// member besides the primary. None if the round proves nothing, has no
/// replica, or if the replica has no entry of the primary's term yet; its
/// earlier entries may be missing at the primary.
std::optional<common::LogPosition> ConfirmedPosition(
    const LeadershipRound& round);

/// Proofs that a primary led at some moment, each with its log position at that
/// moment. The position is an upper bound for everything that was acknowledged
/// before then, so a replica that has reached it can serve reads of that
/// freshness.
///
/// A promotion either makes the old primary step down or holds every replica
/// first. A primary that answers as primary, together with a replica of the
/// same term that is not held, had therefore not been replaced when the round
/// began.
class LeadershipProofs {
 public:
  /// Records a round. Returns false if the round proves nothing.
  bool Record(const LeadershipRound& round);

  /// The lowest log position that a read has to see in order to include
  /// everything that was acknowledged before the given time; none if no proof
  /// is that recent.
  std::optional<common::LogPosition> RequiredPosition(
      common::SteadyTime time) const;

  /// Time of the latest proof; none if there is no proof.
  std::optional<common::SteadyTime> LatestTime() const;

  /// Adds a proof, made here or by another daemon, that holds as of the given
  /// time.
  void Add(common::SteadyTime as_of, common::LogPosition position);

  /// Log position of the latest proof; none if there is no proof.
  std::optional<common::LogPosition> LatestPosition() const;

  /// Removes proofs from before the cutoff, which no route can use any more.
  void DropOlderThan(common::SteadyTime cutoff);

 private:
  struct Proof {
    common::SteadyTime as_of;
    common::LogPosition position;
  };

  /// Ordered by time.
  std::deque<Proof> proofs;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_LEADERSHIP_PROOFS_H_
