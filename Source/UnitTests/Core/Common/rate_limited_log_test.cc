#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>

#include "Common/common.h"

namespace camphorferry::common {
namespace {

/// Replaces standard output by a pipe for the length of a test.
class BoundedLogTest : public testing::Test {
 protected:
  BoundedLogTest() : saved(dup(STDOUT_FILENO)) {
    EXPECT_EQ(pipe(this->ends.data()), 0);
    fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    dup2(this->ends[1], STDOUT_FILENO);
  }
  ~BoundedLogTest() override {
    dup2(this->saved, STDOUT_FILENO);
    close(this->saved);
    close(this->ends[0]);
    close(this->ends[1]);
  }

  std::string Drain() {
    std::string text;
    std::array<char, 65536> bytes{};
    ssize_t count = 0;
    while ((count = read(this->ends[0], bytes.data(), bytes.size())) > 0) {
      text.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  int saved;
  std::array<int, 2> ends{};
};

// Guards against a flood of lines that takes the processor from requests.
TEST_F(BoundedLogTest, ManyLines_Log_KeepsTheBudget) {
  InitializeBoundedLogging(LogLevel::kInfo, {0.001, 10});
  for (int count = 0; count < 100; ++count) {
    Log(Subsystem::kCommon, LogLevel::kInfo, "flood", {{"n", count}});
  }
  const std::string text = this->Drain();
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 10);
}

// Guards against a process that stops because nobody reads its output.
TEST_F(BoundedLogTest, NobodyReads_Log_DropsAndCounts) {
  InitializeBoundedLogging(LogLevel::kInfo, {1e6, 1e6});
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
