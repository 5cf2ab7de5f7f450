#include "Process/timeline.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <set>
#include <tuple>

namespace camphorferry::process {

namespace {

constexpr char kPageStart[] =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>camphorferry time line</title><style>"
    "body{font:13px/1.5 sans-serif;margin:1.5em;color:#222}"
    "table{border-collapse:collapse}"
    "th{position:sticky;top:0;background:#eef2f5;text-align:left}"
    "th,td{border:1px solid #d5dde3;padding:2px 8px;vertical-align:top}"
    "td.t{white-space:nowrap;font-family:monospace}"
    "td.e{background:#f4f9ff}"
    "small{color:#667;display:block}"
    "</style></head><body><h1>Time line</h1>\n";

std::string FormatTime(common::HybridTime time) {
  const common::WallTime wall = common::WallPart(time);
  const std::time_t seconds = std::chrono::system_clock::to_time_t(wall);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
                          wall.time_since_epoch())
                          .count() %
                      1'000'000;
  std::string fraction = std::to_string(micros);
  fraction.insert(0, 6 - fraction.size(), '0');
  return std::string(text.data()) + "." + fraction + "Z";
}

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char letter : text) {
    switch (letter) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      default:
        escaped.push_back(letter);
    }
  }
  return escaped;
}

std::string FormatFields(const nlohmann::json& fields) {
  std::string text;
  for (const auto& [key, value] : fields.items()) {
    if (!text.empty()) text.push_back(' ');
    text += key + "=" + value.get<std::string>();
  }
  return text;
}

}  // namespace

BadTimelineError::BadTimelineError()
    : Error("the events are not in the expected form") {}

std::vector<TimelineEntry> ParseTimeline(const nlohmann::json& document) {
  std::vector<TimelineEntry> entries;
  try {
    const common::HostId host(document.at("host").get<std::string>());
    for (const nlohmann::json& event : document.at("events")) {
      TimelineEntry entry;
      entry.host = host;
      entry.time = event.at("time").get<common::HybridTime>();
      entry.sequence = event.at("sequence").get<std::uint64_t>();
      entry.event = event.at("event").get<std::string>();
      entry.fields = FormatFields(event.at("fields"));
      entries.push_back(std::move(entry));
    }
  } catch (const nlohmann::json::exception&) {
    throw BadTimelineError();
  }
  return entries;
}

void SortTimeline(std::vector<TimelineEntry>* entries) {
  std::sort(entries->begin(), entries->end(),
            [](const TimelineEntry& left, const TimelineEntry& right) {
              return std::tie(left.time, left.host, left.sequence) <
                     std::tie(right.time, right.host, right.sequence);
            });
}

std::string TimelineToText(const std::vector<TimelineEntry>& entries) {
  std::string text;
  for (const TimelineEntry& entry : entries) {
    text += FormatTime(entry.time) + " host=" + entry.host.Value() +
            " event=" + entry.event;
    if (!entry.fields.empty()) text += " " + entry.fields;
    text.push_back('\n');
  }
  return text;
}

std::string TimelineToHtml(const std::vector<TimelineEntry>& entries) {
  std::set<common::HostId> hosts;
  for (const TimelineEntry& entry : entries) hosts.insert(entry.host);
  std::string page = kPageStart;
  page += "<table><thead><tr><th>Time (UTC)</th>";
  for (const common::HostId& host : hosts) {
    page += "<th>" + EscapeHtml(host.Value()) + "</th>";
  }
  page += "</tr></thead><tbody>\n";
  for (const TimelineEntry& entry : entries) {
    page += "<tr><td class=\"t\">" + FormatTime(entry.time) + "</td>";
    for (const common::HostId& host : hosts) {
      if (host != entry.host) {
        page += "<td></td>";
        continue;
      }
      page += "<td class=\"e\">" + EscapeHtml(entry.event) + "<small>" +
              EscapeHtml(entry.fields) + "</small></td>";
    }
    page += "</tr>\n";
  }
  page += "</tbody></table></body></html>\n";
  return page;
}

}  // namespace camphorferry::process
