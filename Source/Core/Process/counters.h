#ifndef CAMPHORFERRY_PROCESS_COUNTERS_H_
#define CAMPHORFERRY_PROCESS_COUNTERS_H_

#include <cstdint>
#include <map>
#include <string>

namespace camphorferry::process {

/// Named counters of one process. Only its event loop's thread uses them.
class Counters {
 public:
  /// Adds to a counter, which starts at zero.
  void Add(const std::string& name, std::int64_t amount = 1);

  /// Sets a counter that reports a present state.
  void Set(const std::string& name, std::int64_t value);

  /// Value of a counter; zero if it was never used.
  std::int64_t Value(const std::string& name) const;

  /// One line "name value" for each counter, sorted by name.
  std::string ToText() const;

  /// A JSON object of all counters.
  std::string ToJson() const;

 private:
  std::map<std::string, std::int64_t> values;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_COUNTERS_H_
