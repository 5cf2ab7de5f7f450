#ifndef CAMPHORFERRY_SESSION_FAILURE_ESTIMATE_H_
#define CAMPHORFERRY_SESSION_FAILURE_ESTIMATE_H_

#include "Common/common.h"

namespace camphorferry::session {

/// Estimates the probability that the next statement at an endpoint fails, as
/// an exponentially weighted average of earlier results. The estimate decays
/// with time, so that an endpoint that gets no statements any more is tried
/// again.
class FailureEstimate {
 public:
  /// Records the result of one statement.
  void Record(bool failed, common::SteadyTime now);

  /// The estimated probability at the given time, between 0 and 1.
  double Probability(common::SteadyTime now) const;

 private:
  double probability = 0;
  common::SteadyTime recorded_at;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_FAILURE_ESTIMATE_H_
