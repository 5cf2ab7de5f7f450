#include "Session/failure_estimate.h"

#include <cmath>

namespace camphorferry::session {

namespace {

/// Weight of one result. A single lost answer leaves an endpoint almost as
/// likely to be chosen as before, three in a row do not.
constexpr double kResultWeight = 0.2;
/// Time after which a likelihood has halved if nothing is sent. A daemon of a
/// large fleet sends about two statements a second to one group.
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
