#ifndef CAMPHORFERRY_SESSION_FAILURE_ESTIMATE_H_
#define CAMPHORFERRY_SESSION_FAILURE_ESTIMATE_H_

#include "Common/common.h"

namespace camphorferry::session {

/// How likely the next statement at an endpoint fails, judged by the results
/// of earlier ones. Results lose weight with time, so that an endpoint that
/// nothing is sent to any more is tried again.
class FailureEstimate {
 public:
  /// Takes the result of one statement.
  void Record(bool failed, common::SteadyTime now);

  /// The likelihood at the given time, between 0 and 1.
  double Probability(common::SteadyTime now) const;

 private:
  double probability = 0;
  common::SteadyTime recorded_at;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_FAILURE_ESTIMATE_H_
