#ifndef CAMPHORFERRY_PROCESS_TIMELINE_H_
#define CAMPHORFERRY_PROCESS_TIMELINE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Common/common.h"

namespace camphorferry::process {

/// One event of any process in the merged time line.
struct TimelineEntry {
  common::HybridTime time = 0;
  common::HostId host;
  std::uint64_t sequence = 0;
  std::string event;
  /// Fields as key=value text.
  std::string fields;
};

/// The events of one process are not in the form that EventLog writes.
class BadTimelineError : public common::Error {
 public:
  BadTimelineError();
};

/// Reads the events of one process; throws BadTimelineError.
std::vector<TimelineEntry> ParseTimeline(const nlohmann::json& document);

/// Sorts events of several processes so that no effect stands before its cause.
void SortTimeline(std::vector<TimelineEntry>* entries);

/// One line for each event.
std::string TimelineToText(const std::vector<TimelineEntry>& entries);

/// A self-contained HTML page with one column for each host.
std::string TimelineToHtml(const std::vector<TimelineEntry>& entries);

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_TIMELINE_H_
