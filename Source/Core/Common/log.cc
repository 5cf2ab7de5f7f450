#include "Common/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <sstream>

#include "Common/clock.h"

namespace camphorferry::common {

namespace {

constexpr std::string_view kPattern =
    "time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p subsystem=%c{1} %m%n";

const char* LoggerName(Subsystem subsystem) {
  switch (subsystem) {
    case Subsystem::kCommon:
      return "camphorferry.common";
    case Subsystem::kRequest:
      return "camphorferry.request";
    case Subsystem::kConnection:
      return "camphorferry.connection";
    case Subsystem::kVersion:
      return "camphorferry.version";
    case Subsystem::kProcess:
      return "camphorferry.process";
  }
  return "camphorferry";
}

log4cplus::LogLevel ToLibraryLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) return true;
  for (const char character : value) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte <= ' ' || byte == '"' || byte == '=' || byte == 0x7f) return true;
  }
  return false;
}

void AppendQuoted(std::string_view value, std::string* line) {
  line->push_back('"');
  for (const char character : value) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') line->push_back('\\');
    // Control characters are replaced, since a line break could forge a log
    // line.
    line->push_back(byte < ' ' || byte == 0x7f ? '?' : character);
  }
  line->push_back('"');
}

/// Appender with a rate limit (token bucket). It drops a line rather than block
/// on a full pipe.
class RateLimitedAppender : public log4cplus::Appender {
 public:
  explicit RateLimitedAppender(const LogRateLimit& limit)
      : limit(limit), tokens(limit.burst), refilled(SteadyNow()) {}
  ~RateLimitedAppender() override { this->destructorImpl(); }

  void close() override { this->closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    const SteadyTime now = SteadyNow();
    const std::chrono::duration<double> elapsed = now - this->refilled;
    this->refilled = now;
    this->tokens =
        std::min(this->limit.burst,
                 this->tokens + elapsed.count() * this->limit.lines_per_second);
    if (this->tokens < 1) {
      ++this->dropped;
      return;
    }
    std::ostringstream line;
    this->layout->formatAndAppend(line, event);
    std::string text = line.str();
    if (this->dropped > 0) {
      text += "event=log_lines_dropped count=" + std::to_string(this->dropped) +
              "\n";
    }
    // A pipe that poll reports as writable accepts this many bytes (PIPE_BUF)
    // without blocking.
    constexpr std::size_t kNonBlockingWriteBytes = 4096;
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    const bool writable = text.size() <= kNonBlockingWriteBytes &&
                          poll(&output, 1, 0) == 1 &&
                          (output.revents & POLLOUT) != 0;
    if (!writable || write(STDOUT_FILENO, text.data(), text.size()) < 0) {
      ++this->dropped;
      return;
    }
    this->tokens -= 1;
    this->dropped = 0;
  }

 private:
  LogRateLimit limit;
  double tokens;
  SteadyTime refilled;
  std::uint64_t dropped = 0;
};

void UseAppender(LogLevel level, log4cplus::SharedAppenderPtr appender) {
  static const log4cplus::Initializer kInitializer;
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(log4cplus::tstring(kPattern)));
  root.addAppender(std::move(appender));
  root.setLogLevel(ToLibraryLevel(level));
}

}  // namespace

void InitializeLogging(LogLevel level) {
  UseAppender(level,
              log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(
                  /*logToStdErr=*/true, /*immediateFlush=*/true)));
}

void InitializeRateLimitedLogging(LogLevel level, const LogRateLimit& limit) {
  UseAppender(level,
              log4cplus::SharedAppenderPtr(new RateLimitedAppender(limit)));
}

void SetLogLevel(Subsystem subsystem, LogLevel level) {
  log4cplus::Logger::getInstance(LoggerName(subsystem))
      .setLogLevel(ToLibraryLevel(level));
}

void Log(Subsystem subsystem, LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  log4cplus::Logger logger =
      log4cplus::Logger::getInstance(LoggerName(subsystem));
  const log4cplus::LogLevel library_level = ToLibraryLevel(level);
  if (!logger.isEnabledFor(library_level)) return;
  logger.log(library_level, FormatLogLine(event, fields));
}

std::string FormatLogLine(std::string_view event,
                          std::initializer_list<LogField> fields) {
  std::string line = "event=";
  line.append(event);
  for (const LogField& field : fields) {
    line.push_back(' ');
    line.append(field.key);
    line.push_back('=');
    if (NeedsQuotes(field.value)) {
      AppendQuoted(field.value, &line);
    } else {
      line.append(field.value);
    }
  }
  return line;
}

}  // namespace camphorferry::common
