#include "Load/histogram.h"

#include <algorithm>
#include <cmath>

namespace camphorferry::load {

namespace {

/// Latencies up to this value are counted in the first bucket.
constexpr double kMinNanoseconds = 1000;

}  // namespace

void Histogram::Record(common::Duration latency) {
  ++this->buckets[BucketOf(latency)];
  ++this->count;
}

void Histogram::Merge(const Histogram& other) {
  for (std::size_t i = 0; i < this->buckets.size(); ++i) {
    this->buckets[i] += other.buckets[i];
  }
  this->count += other.count;
}

common::Duration Histogram::Quantile(double quantile) const {
  if (this->count == 0) return common::Duration::zero();
  const auto rank = static_cast<std::uint64_t>(
      std::ceil(quantile * static_cast<double>(this->count)));
  std::uint64_t cumulative_count = 0;
  std::size_t bucket = 0;
  while (bucket + 1 < this->buckets.size()) {
    cumulative_count += this->buckets[bucket];
    if (cumulative_count >= std::max<std::uint64_t>(rank, 1)) break;
    ++bucket;
  }
  const double octaves =
      static_cast<double>(bucket + 1) / static_cast<double>(kBucketsPerOctave);
  return common::Duration(
      static_cast<std::int64_t>(kMinNanoseconds * std::exp2(octaves)));
}

std::size_t Histogram::BucketOf(common::Duration latency) {
  const auto nanoseconds = static_cast<double>(latency.count());
  if (nanoseconds <= kMinNanoseconds) return 0;
  const double octaves = std::log2(nanoseconds / kMinNanoseconds);
  const auto bucket = static_cast<std::size_t>(octaves * kBucketsPerOctave);
  return std::min(bucket, std::size_t{kBucketsPerOctave} * kOctaves - 1);
}

}  // namespace camphorferry::load
