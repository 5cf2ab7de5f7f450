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

/// One recorded event of this process.
struct TimelineEvent {
  /// Sequence number of the event in its process, starting at 1.
  std::uint64_t sequence = 0;
  common::HybridTime time = 0;
  std::string name;
  std::vector<common::LogField> fields;
};

/// In-memory log of the latest events of one process. Hosts have no disks, so
/// the time line tool fetches the events from here. Each event is also written
/// to the process log.
class EventLog {
 public:
  EventLog(common::HostId host, std::size_t capacity);

  /// Records an event at the given wall clock time.
  void Record(common::WallTime now, common::Subsystem subsystem,
              std::string_view name,
              std::initializer_list<common::LogField> fields);

  /// Advances the hybrid clock to the timestamp of a received message.
  void MergeRemoteTime(common::HybridTime received);

  /// Returns the hybrid timestamp for a message that is sent now.
  common::HybridTime Timestamp(common::WallTime now);

  /// Returns a JSON object with the host and the events after a sequence
  /// number.
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
