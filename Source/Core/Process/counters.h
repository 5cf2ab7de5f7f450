#ifndef CAMPHORFERRY_PROCESS_COUNTERS_H_
#define CAMPHORFERRY_PROCESS_COUNTERS_H_

#include <cstdint>
#include <map>
#include <string>

namespace camphorferry::process {

/// Named counters and gauges of one process. Not thread-safe: only the event
/// loop's thread uses them.
class Counters {
 public:
  /// Adds to a counter. Counters start at zero.
  void Add(const std::string& name, std::int64_t amount = 1);

  /// Sets the value of a gauge.
  void Set(const std::string& name, std::int64_t value);

  /// Value of a counter; zero if it was never set.
  std::int64_t Value(const std::string& name) const;

  /// One line "name value" for each counter, sorted by name.
  std::string ToText() const;

  /// All counters as a JSON object.
  std::string ToJson() const;

 private:
  std::map<std::string, std::int64_t> values;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_COUNTERS_H_
