#ifndef CAMPHORFERRY_SESSION_LEADERSHIP_PROOFS_H_
#define CAMPHORFERRY_SESSION_LEADERSHIP_PROOFS_H_

#include <deque>
#include <optional>

#include "Session/statement.h"

namespace camphorferry::session {

/// Answers of one round of questions to a primary and to one of its replicas.
/// The replica's answer is absent only where the group has no replica.
struct LeadershipRound {
  /// When the round began; both answers are younger.
  common::SteadyTime started;
  EndpointStatus primary;
  std::optional<EndpointStatus> replica;
};

/// Proofs that a primary led at some moment, and its log position then. Such a
/// position bounds everything that was acknowledged before that moment.
///
/// A promotion either makes the old primary step down or holds every replica
/// first. A primary that answers as one, together with a replica of the same
/// term that is not held, was therefore not replaced when the round began.
class LeadershipProofs {
 public:
  /// Records a round; false if it proves nothing.
  bool Record(const LeadershipRound& round);

  /// The lowest position that a read must see to miss nothing that was
  /// acknowledged before the given time; none if no round proves one.
  std::optional<common::LogPosition> RequiredPosition(
      common::SteadyTime time) const;

  /// Start of the latest round that proved something.
  std::optional<common::SteadyTime> LatestTime() const;

  /// Takes a proof of another daemon, which is as old as stated there.
  void Add(common::SteadyTime as_of, common::LogPosition position);

  /// The latest proof.
  std::optional<common::LogPosition> LatestPosition() const;

  /// Forgets proofs that no route can use any more.
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
