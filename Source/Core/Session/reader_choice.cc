#include "Session/reader_choice.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace camphorferry::session {

namespace {

/// Weight of one response time in the average.
constexpr double kRecordWeight = 0.3;
/// Half-life of the knowledge of an endpoint. A daemon of a large fleet sends
/// about two statements a second to one group.
constexpr std::chrono::milliseconds kHalfLife(1000);
/// What a refused read costs beside its time: an attempt at another endpoint,
/// which may be in another region and loaded.
constexpr std::chrono::milliseconds kFailureCost(100);
/// Added to each expected time, so that differences far below the time of a
/// usual read don't matter.
constexpr std::chrono::milliseconds kTypicalRead(10);
/// Exponent by which the share of an endpoint falls with the expected time. The
/// squares of the squares keep nearly all reads near while the load is low: a
/// round trip between regions (40 ms) leaves an endpoint about 1 in 200.
constexpr double kExponent = 4;

}  // namespace

void ResponseTimes::Record(common::Duration time, common::SteadyTime now) {
  const double former =
      common::ToSeconds(this->average.value_or(time)) * (1 - kRecordWeight);
  this->average =
      common::FromSeconds(former + common::ToSeconds(time) * kRecordWeight);
  this->recorded_at = now;
}

void ResponseTimes::RecordFailure(common::Duration time,
                                  common::SteadyTime now) {
  this->Record(time + kFailureCost, now);
}

double ResponseTimes::Weight(common::SteadyTime now) const {
  if (!this->average.has_value()) return 0;
  const std::chrono::duration<double> half_life = kHalfLife;
  return std::exp2(-common::ToSeconds(now - this->recorded_at) /
                   half_life.count());
}

std::vector<common::Duration> ExpectedTimes(
    const std::vector<ReaderCandidate>& candidates) {
  double total = 0;
  double weights = 0;
  for (const ReaderCandidate& candidate : candidates) {
    if (!candidate.response_time.has_value()) continue;
    total += common::ToSeconds(*candidate.response_time) * candidate.weight;
    weights += candidate.weight;
  }
  const double common_time = weights > 0 ? total / weights : 0;
  std::vector<common::Duration> expected;
  expected.reserve(candidates.size());
  for (const ReaderCandidate& candidate : candidates) {
    const double own =
        candidate.response_time.has_value()
            ? common::ToSeconds(*candidate.response_time) * candidate.weight +
                  common_time * (1 - candidate.weight)
            : common_time;
    expected.push_back(candidate.distance + candidate.penalty +
                       common::FromSeconds(own));
  }
  return expected;
}

std::size_t ChooseReaderByLoad(const std::vector<ReaderCandidate>& candidates,
                               double random) {
  const std::vector<common::Duration> expected = ExpectedTimes(candidates);
  std::vector<double> shares;
  shares.reserve(expected.size());
  for (const common::Duration& time : expected) {
    shares.push_back(
        std::pow(common::ToSeconds(time + kTypicalRead), -kExponent));
  }
  double rest = random * std::accumulate(shares.begin(), shares.end(), 0.0);
  for (std::size_t index = 0; index + 1 < shares.size(); ++index) {
    rest -= shares[index];
    if (rest < 0) return index;
  }
  return shares.size() - 1;
}

}  // namespace camphorferry::session
