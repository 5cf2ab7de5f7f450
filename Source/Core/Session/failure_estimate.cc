#include "Session/failure_estimate.h"

#include <cmath>

namespace camphorferry::session {

namespace {

/// Weight of one result. A single lost answer leaves an endpoint almost as
/// likely to be chosen as before, three in a row do not.
constexpr double kWeight = 0.2;
/// Time after which a likelihood has halved if nothing is sent. A daemon of a
/// large fleet sends about two statements a second to one group.
constexpr std::chrono::seconds kHalfLife(2);

}  // namespace

void FailureEstimate::Record(bool failed, common::SteadyTime now) {
  this->likelihood = this->At(now) * (1 - kWeight) + (failed ? kWeight : 0);
  this->recorded = now;
}

double FailureEstimate::At(common::SteadyTime now) const {
  if (this->likelihood == 0) return 0;
  const std::chrono::duration<double> age = now - this->recorded;
  const std::chrono::duration<double> half_life = kHalfLife;
  return this->likelihood * std::exp2(-(age / half_life));
}

}  // namespace camphorferry::session
