#include "Process/event_log.h"

#include <utility>

namespace camphorferry::process {

EventLog::EventLog(common::HostId host, std::size_t capacity)
    : host(std::move(host)), capacity(capacity) {}

void EventLog::Record(common::WallTime now, common::Subsystem subsystem,
                      std::string_view name,
                      std::initializer_list<common::LogField> fields) {
  common::Log(subsystem, common::LogLevel::kInfo, name, fields);
  TimelineEvent event;
  event.sequence = ++this->last_sequence;
  event.time = this->clock.Now(now);
  event.name = name;
  event.fields = fields;
  this->events.push_back(std::move(event));
  if (this->events.size() > this->capacity) this->events.pop_front();
}

void EventLog::MergeRemoteTime(common::HybridTime received) {
  this->clock.Observe(received);
}

common::HybridTime EventLog::Timestamp(common::WallTime now) {
  return this->clock.Now(now);
}

nlohmann::json EventLog::EventsAfter(std::uint64_t sequence) const {
  nlohmann::json list = nlohmann::json::array();
  for (const TimelineEvent& event : this->events) {
    if (event.sequence <= sequence) continue;
    nlohmann::json fields = nlohmann::json::object();
    for (const common::LogField& field : event.fields) {
      fields[field.key] = field.value;
    }
    list.push_back({{"sequence", event.sequence},
                    {"time", event.time},
                    {"event", event.name},
                    {"fields", std::move(fields)}});
  }
  return {{"host", this->host.Value()}, {"events", std::move(list)}};
}

}  // namespace camphorferry::process
