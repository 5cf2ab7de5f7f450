#ifndef CAMPHORFERRY_PROCESS_TIMELINE_H_
#define CAMPHORFERRY_PROCESS_TIMELINE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Common/common.h"

namespace camphorferry::process {

/// One event in the merged time line of several processes.
struct TimelineEntry {
  common::HybridTime time = 0;
  common::HostId host;
  std::uint64_t sequence = 0;
  std::string event;
  /// Fields as "key=value" text, separated by spaces.
  std::string fields;
};

/// The document does not have the form that EventLog writes.
class BadTimelineError : public common::Error {
 public:
  BadTimelineError();
};

/// Parses the events of one process; throws BadTimelineError.
std::vector<TimelineEntry> ParseTimeline(const nlohmann::json& document);

/// Sorts the events of several processes by hybrid time, so that no effect
/// precedes its cause.
void SortTimeline(std::vector<TimelineEntry>* entries);

/// Formats the time line as text, one line per event.
std::string TimelineToText(const std::vector<TimelineEntry>& entries);

/// Formats the time line as a self-contained HTML page with one column per
/// host.
std::string TimelineToHtml(const std::vector<TimelineEntry>& entries);

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_TIMELINE_H_
