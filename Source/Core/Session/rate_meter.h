#ifndef CAMPHORFERRY_SESSION_RATE_METER_H_
#define CAMPHORFERRY_SESSION_RATE_METER_H_

#include "Common/common.h"

namespace camphorferry::session {

/// Operations per second, averaged over about two measuring periods of 1 s.
class RateMeter {
 public:
  RateMeter() = default;
  /// Starts with an average that was measured before.
  RateMeter(double average, common::SteadyTime now)
      : average(average), period_start(now) {}

  void Count(common::SteadyTime now, double added = 1);

  /// The average now. It falls while no operations are counted.
  double Average(common::SteadyTime now) const;

  /// The average when the last period ended.
  double LastAverage() const { return this->average; }

 private:
  double count = 0;
  double average = 0;
  common::SteadyTime period_start;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_RATE_METER_H_
