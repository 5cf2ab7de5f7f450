#ifndef CAMPHORFERRY_SESSION_READER_CHOICE_H_
#define CAMPHORFERRY_SESSION_READER_CHOICE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "Common/common.h"

namespace camphorferry::session {

/// What a daemon knows of the load of one endpoint: the response times of its
/// own statements there, as an exponentially weighted average, and when it had
/// the last one.
class ResponseTimes {
 public:
  /// Records the time that the endpoint and the connection owner have taken for
  /// one read, without the round trip.
  void Record(common::Duration time, common::SteadyTime now);

  /// Records a read that the endpoint has refused or failed after this time. It
  /// counts as a slow one, so that an endpoint that refuses at once does not
  /// attract reads.
  void RecordFailure(common::Duration time, common::SteadyTime now);

  /// The average; none before the first record.
  const std::optional<common::Duration>& Average() const {
    return this->average;
  }

  /// Weight of the average against what other endpoints show, between 0 and 1.
  /// Falls with the age of the last record.
  double Weight(common::SteadyTime now) const;

 private:
  std::optional<common::Duration> average;
  common::SteadyTime recorded_at;
};

/// An endpoint that may serve a read.
struct ReaderCandidate {
  /// Round trip to the endpoint.
  common::Duration distance = common::Duration::zero();
  /// Average response time; none if it is unknown.
  std::optional<common::Duration> response_time;
  /// Weight of the response time, which falls with its age.
  double weight = 0;
  /// Added to the expected time: for recent failures, or for a primary, which
  /// is spared.
  common::Duration penalty = common::Duration::zero();
};

/// Expected time of a read at each candidate. Where the response time is old or
/// unknown, the average of the others takes its place, so that an endpoint is
/// neither avoided nor preferred for what it was long ago.
std::vector<common::Duration> ExpectedTimes(
    const std::vector<ReaderCandidate>& candidates);

/// Chooses an endpoint for a read, as an index; the random number is in [0, 1).
/// Answers many daemons that choose at the same moment with knowledge that is
/// up to seconds old: if each took the endpoint that looks best, all would take
/// the same one until they hear of its queue. An endpoint is chosen the less
/// often the longer a read is expected to take there. There must be a
/// candidate.
std::size_t ChooseReaderByLoad(const std::vector<ReaderCandidate>& candidates,
                               double random);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_READER_CHOICE_H_
