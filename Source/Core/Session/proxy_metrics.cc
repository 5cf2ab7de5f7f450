#include "Session/proxy_metrics.h"

#include <sstream>

namespace camphorferry::session {

namespace {

const char* ToString(ReadGuarantee guarantee) {
  switch (guarantee) {
    case ReadGuarantee::kLatest:
      return "latest";
    case ReadGuarantee::kBoundedStaleness:
      return "bounded_staleness";
    case ReadGuarantee::kReadYourWrites:
      return "read_your_writes";
  }
  return "unknown";
}

}  // namespace

void ProxyMetrics::CountAnswer(ReadGuarantee guarantee,
                               std::optional<StatementError> code,
                               common::Duration age) {
  const std::string route = ToString(guarantee);
  const std::string outcome =
      code.has_value() ? session::ToString(*code) : "done";
  ++this->answers[{route, outcome}];
  this->Observe("answer_seconds", "Time from a statement to its answer.",
                "route", route, age);
}

void ProxyMetrics::Observe(const std::string& name, const std::string& help,
                           const std::string& label, const std::string& value,
                           common::Duration duration) {
  Histogram& histogram = this->histograms[name];
  histogram.help = help;
  histogram.label = label;
  Distribution& distribution = histogram.distributions[value];
  const std::int64_t milliseconds = common::ToMilliseconds(duration).count();
  std::size_t bucket = 0;
  while (bucket < kBucketBounds.size() &&
         milliseconds > kBucketBounds[bucket]) {
    ++bucket;
  }
  ++distribution.buckets[bucket];
  ++distribution.count;
  distribution.sum_seconds += std::chrono::duration<double>(duration).count();
}

void ProxyMetrics::Count(const std::string& name, const std::string& help,
                         const std::string& label, const std::string& value) {
  Counter& counter = this->counters[name];
  counter.help = help;
  counter.label = label;
  ++counter.counts[value];
}

void ProxyMetrics::SetGauge(const std::string& name, const std::string& help,
                            std::int64_t value) {
  this->gauges[name] = Gauge{help, value};
}

void ProxyMetrics::Write(std::ostream& text, const std::string& name,
                         const Histogram& histogram) {
  constexpr double kMillisecondsPerSecond = 1000.0;
  const std::string series = "camphorferry_" + name;
  text << "# HELP " << series << " " << histogram.help << "\n"
       << "# TYPE " << series << " histogram\n";
  for (const auto& [value, distribution] : histogram.distributions) {
    const std::string labels = histogram.label + "=\"" + value + "\"";
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < kBucketBounds.size(); ++i) {
      below += distribution.buckets[i];
      text << series << "_bucket{" << labels << ",le=\""
           << static_cast<double>(kBucketBounds[i]) / kMillisecondsPerSecond
           << "\"} " << below << "\n";
    }
    text << series << "_bucket{" << labels << ",le=\"+Inf\"} "
         << distribution.count << "\n"
         << series << "_sum{" << labels << "} " << distribution.sum_seconds
         << "\n"
         << series << "_count{" << labels << "} " << distribution.count << "\n";
  }
}

std::string ProxyMetrics::ToText() const {
  std::ostringstream text;
  text << "# HELP camphorferry_answers_total Answers to clients.\n"
       << "# TYPE camphorferry_answers_total counter\n";
  for (const auto& [labels, count] : this->answers) {
    text << "camphorferry_answers_total{route=\"" << labels.first
         << "\",outcome=\"" << labels.second << "\"} " << count << "\n";
  }
  for (const auto& [name, histogram] : this->histograms) {
    Write(text, name, histogram);
  }
  for (const auto& [name, counter] : this->counters) {
    text << "# HELP camphorferry_" << name << "_total " << counter.help << "\n"
         << "# TYPE camphorferry_" << name << "_total counter\n";
    for (const auto& [value, count] : counter.counts) {
      text << "camphorferry_" << name << "_total{" << counter.label << "=\""
           << value << "\"} " << count << "\n";
    }
  }
  for (const auto& [name, gauge] : this->gauges) {
    text << "# HELP camphorferry_" << name << " " << gauge.help << "\n"
         << "# TYPE camphorferry_" << name << " gauge\n"
         << "camphorferry_" << name << " " << gauge.value << "\n";
  }
  return text.str();
}

}  // namespace camphorferry::session
