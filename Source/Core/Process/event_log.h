#ifndef CAMPHORFERRY_PROCESS_EVENT_LOG_H_
#define CAMPHORFERRY_PROCESS_EVENT_LOG_H_

#include <cstdint>
#include <deque>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "Common/common.h"

namespace camphorferry::process {

/// One event of the time line.
struct TimelineEvent {
  /// Number of the event in its process, starting at 1.
  std::uint64_t sequence = 0;
  common::HybridTime time = 0;
  std::string name;
  std::vector<common::LogField> fields;
};

/// Keeps the latest events of one process for the time line tool, since hosts
/// have no disks, and writes each to the log.
class EventLog {
 public:
  EventLog(common::HostId host, std::size_t capacity);

  /// Records an event at the given wall clock time.
  void Record(common::WallTime now, common::Subsystem subsystem,
              std::string_view name,
              std::initializer_list<common::LogField> fields);

  /// Merges the clock reading of a message that arrived.
  void Observe(common::HybridTime received);

  /// Clock reading for a message that is sent now.
  common::HybridTime Stamp(common::WallTime now);

  /// JSON object with the host and the events after a sequence number.
  nlohmann::json EventsAfter(std::uint64_t sequence) const;

 private:
  common::HostId host;
  std::size_t capacity;
  common::HybridClock clock;
  std::uint64_t last_sequence = 0;
  std::deque<TimelineEvent> events;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_EVENT_LOG_H_
