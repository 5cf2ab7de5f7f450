#ifndef CAMPHORFERRY_SESSION_PROXY_METRICS_H_
#define CAMPHORFERRY_SESSION_PROXY_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <string>

#include "Session/directory.h"
#include "Session/statement.h"

namespace camphorferry::session {

/// Counters, gauges and latency histograms of a proxy process, in the
/// Prometheus text format. Used only by the event loop's thread.
class ProxyMetrics {
 public:
  /// Counts one answer to a client.
  void CountAnswer(ReadGuarantee guarantee, std::optional<StatementError> code,
                   common::Duration age);

  /// Adds one to the counter NAME_total with one label.
  void Count(const std::string& name, const std::string& help,
             const std::string& label, const std::string& value);

  /// Records a duration in the histogram NAME with one label.
  void Observe(const std::string& name, const std::string& help,
               const std::string& label, const std::string& value,
               common::Duration duration);

  /// Sets the current value of a gauge.
  void SetGauge(const std::string& name, const std::string& help,
                std::int64_t value);

  /// All metrics as text.
  std::string ToText() const;

 private:
  /// Upper bounds of the latency buckets in milliseconds. The latency
  /// objectives of the known routes (600 to 1,500 ms) are among them or between
  /// them.
  static constexpr std::array<std::int64_t, 10> kBucketBounds = {
      5, 10, 25, 50, 100, 250, 600, 1000, 1500, 5000};

  struct Distribution {
    std::array<std::uint64_t, kBucketBounds.size() + 1> buckets{};
    std::uint64_t count = 0;
    double sum_seconds = 0;
  };

  struct Histogram {
    std::string help;
    std::string label;
    std::map<std::string, Distribution> distributions;
  };

  struct Counter {
    std::string help;
    std::string label;
    std::map<std::string, std::uint64_t> counts;
  };

  struct Gauge {
    std::string help;
    std::int64_t value = 0;
  };

  static void Write(std::ostream& text, const std::string& name,
                    const Histogram& histogram);

  std::map<std::pair<std::string, std::string>, std::uint64_t> answers;
  std::map<std::string, Histogram> histograms;
  std::map<std::string, Counter> counters;
  std::map<std::string, Gauge> gauges;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PROXY_METRICS_H_
