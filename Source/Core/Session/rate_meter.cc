#include "Session/rate_meter.h"

#include <chrono>
#include <cmath>

namespace camphorferry::session {

namespace {

constexpr std::chrono::milliseconds kPeriod(1000);
/// Weight of the newest period in the average.
constexpr double kWeight = 0.5;

}  // namespace

void RateMeter::Count(common::SteadyTime now, double added) {
  if (now - this->period_start >= kPeriod) {
    this->average = this->Average(now);
    this->count = 0;
    this->period_start = now;
  }
  this->count += added;
}

double RateMeter::Average(common::SteadyTime now) const {
  const common::Duration length = now - this->period_start;
  if (length < kPeriod) return this->average;
  const double newest = this->count / common::ToSeconds(length);
  const double periods = common::ToSeconds(length) / common::ToSeconds(kPeriod);
  const double former_weight = std::pow(1 - kWeight, periods);
  return this->average * former_weight + newest * (1 - former_weight);
}

}  // namespace camphorferry::session
