#ifndef CAMPHORFERRY_COMMON_LOG_H_
#define CAMPHORFERRY_COMMON_LOG_H_

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

#include "Common/ids.h"

namespace camphorferry::common {

/// Part of the program that a log line comes from; each has its own log level.
enum class Subsystem { kCommon, kRequest, kConnection, kVersion, kProcess };

/// Severity of a log line.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// One key=value pair of a log line or of a recorded event.
struct LogField {
  LogField(std::string_view key, std::string_view value)
      : key(key), value(value) {}
  LogField(std::string_view key, const char* value) : key(key), value(value) {}
  template <std::integral Number>
  LogField(std::string_view key, Number value)
      : key(key), value(std::to_string(value)) {}
  template <typename Tag>
  LogField(std::string_view key, const Id<Tag>& id)
      : key(key), value(id.Value()) {}

  std::string key;
  std::string value;
};

/// Starts logging to standard error, with the same level for all subsystems.
void InitializeLogging(LogLevel level);

/// Rate limit of the log lines of a process.
struct LogRateLimit {
  /// Sustained rate in lines per second.
  double lines_per_second = 0;
  /// Number of lines that may be logged at once.
  double burst = 0;
};

/// Starts logging to standard output without ever blocking on its reader. Lines
/// above the rate limit, or for which the pipe has no room, are dropped, and a
/// later line reports their number.
void InitializeRateLimitedLogging(LogLevel level, const LogRateLimit& limit);

/// Sets the level of one subsystem.
void SetLogLevel(Subsystem subsystem, LogLevel level);

/// Writes one line: event=NAME followed by the fields. Values with spaces,
/// quotes or control characters are quoted and escaped.
void Log(Subsystem subsystem, LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields);

/// Formats the line that Log writes, without timestamp, level and subsystem.
std::string FormatLogLine(std::string_view event,
                          std::initializer_list<LogField> fields);

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_LOG_H_
