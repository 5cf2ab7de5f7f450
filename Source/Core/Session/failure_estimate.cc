#include "Session/failure_estimate.h"

#include <cmath>

namespace camphorferry::session {

namespace {

/// Weight of one result. After a single lost answer an endpoint is almost as
/// likely to be chosen as before; after three in a row it is not.
constexpr double kResultWeight = 0.2;
/// Half-life of the estimate while no statements are sent. A daemon of a large
/// fleet sends about two statements a second to one group.
constexpr std::chrono::seconds kHalfLife(2);

}  // namespace

void FailureEstimate::Record(bool failed, common::SteadyTime now) {
  this->probability = this->Probability(now) * (1 - kResultWeight) +
                      (failed ? kResultWeight : 0);
  this->recorded_at = now;
}

double FailureEstimate::Probability(common::SteadyTime now) const {
  if (this->probability == 0) return 0;
  const std::chrono::duration<double> age = now - this->recorded_at;
  const std::chrono::duration<double> half_life = kHalfLife;
  return this->probability * std::exp2(-(age / half_life));
}

}  // namespace camphorferry::session
