#ifndef CAMPHORFERRY_LOAD_HISTOGRAM_H_
#define CAMPHORFERRY_LOAD_HISTOGRAM_H_

#include <array>
#include <cstdint>

#include "Common/common.h"

namespace camphorferry::load {

/// Histogram of latencies with buckets that grow by 2^(1/16), so that a
/// quantile is off by at most 4.5%. Debian has no C++ package of an HDR
/// histogram.
class Histogram {
 public:
  /// Counts one latency.
  void Record(common::Duration latency);

  /// Adds the counts of another histogram.
  void Merge(const Histogram& other);

  /// Upper end of the bucket that holds the quantile, from 0 to 1; zero if
  /// nothing was counted.
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
