#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>

#include "Common/common.h"

namespace camphorferry::common {
namespace {

/// Redirects standard output to a pipe for the duration of a test.
class RateLimitedLogTest : public testing::Test {
 protected:
  RateLimitedLogTest() : saved_stdout(dup(STDOUT_FILENO)) {
    EXPECT_EQ(pipe(this->pipe_ends.data()), 0);
    fcntl(this->pipe_ends[0], F_SETFL, O_NONBLOCK);
    dup2(this->pipe_ends[1], STDOUT_FILENO);
  }
  ~RateLimitedLogTest() override {
    dup2(this->saved_stdout, STDOUT_FILENO);
    close(this->saved_stdout);
    close(this->pipe_ends[0]);
    close(this->pipe_ends[1]);
  }

  std::string Drain() {
    std::string text;
    std::array<char, 65536> bytes{};
    ssize_t count = 0;
    while ((count = read(this->pipe_ends[0], bytes.data(), bytes.size())) > 0) {
      text.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  int saved_stdout;
  std::array<int, 2> pipe_ends{};
};

// Guards against log lines that take CPU time away from requests.
TEST_F(RateLimitedLogTest, Log_ManyLines_StaysWithinRateLimit) {
  InitializeRateLimitedLogging(LogLevel::kInfo, {0.001, 10});
  for (int count = 0; count < 100; ++count) {
    Log(Subsystem::kCommon, LogLevel::kInfo, "flood", {{"n", count}});
  }
  const std::string text = this->Drain();
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 10);
}

// Guards against a process that blocks because nobody reads its output.
TEST_F(RateLimitedLogTest, Log_OutputNotRead_DropsAndCountsLines) {
  InitializeRateLimitedLogging(LogLevel::kInfo, {1e6, 1e6});
  const std::string filler(500, 'x');
  for (int count = 0; count < 1000; ++count) {
    Log(Subsystem::kCommon, LogLevel::kInfo, "flood", {{"filler", filler}});
  }
  this->Drain();
  Log(Subsystem::kCommon, LogLevel::kInfo, "after", {{"n", 1}});
  EXPECT_NE(this->Drain().find("event=log_lines_dropped count="),
            std::string::npos);
}

}  // namespace
}  // namespace camphorferry::common
