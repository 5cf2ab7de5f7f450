#ifndef CAMPHORFERRY_LOAD_HISTOGRAM_H_
#define CAMPHORFERRY_LOAD_HISTOGRAM_H_

#include <array>
#include <cstdint>

#include "Common/common.h"

namespace camphorferry::load {

/// Histogram of latencies with exponential buckets that grow by a factor of
/// 2^(1/16), so that the relative error of a quantile is at most 4.5%. Debian
/// has no package of a C++ HDR histogram that could be used instead.
class Histogram {
 public:
  /// Adds one latency.
  void Record(common::Duration latency);

  /// Adds the counts of another histogram.
  void Merge(const Histogram& other);

  /// Upper bound of the bucket that contains the quantile, given as a number
  /// from 0 to 1. Returns zero if nothing was recorded.
  common::Duration Quantile(double quantile) const;

  std::uint64_t Count() const { return this->count; }

 private:
  static constexpr int kBucketsPerOctave = 16;
  static constexpr int kOctaves = 36;

  static std::size_t BucketOf(common::Duration latency);

  std::array<std::uint64_t, std::size_t{kBucketsPerOctave} * kOctaves>
      buckets{};
  std::uint64_t count = 0;
};

}  // namespace camphorferry::load

#endif  // CAMPHORFERRY_LOAD_HISTOGRAM_H_
