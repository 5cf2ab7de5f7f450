#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

using testing::HasSubstr;
using testing::Not;

class ProxyMetricsTest : public testing::Test {
 protected:
  ProxyMetrics metrics;
};

// Guards against buckets that are not cumulative, which scrapers misread.
TEST_F(ProxyMetricsTest, TimesObserved_ToText_BucketsAreCumulative) {
  this->metrics.Observe("wait_seconds", "Time waited.", "service", "orders",
                        std::chrono::milliseconds(7));
  this->metrics.Observe("wait_seconds", "Time waited.", "service", "orders",
                        std::chrono::milliseconds(20));
  this->metrics.Observe("wait_seconds", "Time waited.", "service", "orders",
                        std::chrono::seconds(9));
  const std::string text = this->metrics.ToText();
  EXPECT_THAT(text, HasSubstr("# HELP camphorferry_wait_seconds Time waited.\n"
                              "# TYPE camphorferry_wait_seconds histogram\n"));
  const std::string series = "camphorferry_wait_seconds_bucket";
  EXPECT_THAT(text,
              HasSubstr(series + "{service=\"orders\",le=\"0.005\"} 0\n"));
  EXPECT_THAT(text, HasSubstr(series + "{service=\"orders\",le=\"0.01\"} 1\n"));
  EXPECT_THAT(text,
              HasSubstr(series + "{service=\"orders\",le=\"0.025\"} 2\n"));
  EXPECT_THAT(text, HasSubstr(series + "{service=\"orders\",le=\"5\"} 2\n"));
  EXPECT_THAT(text, HasSubstr(series + "{service=\"orders\",le=\"+Inf\"} 3\n"));
  EXPECT_THAT(
      text, HasSubstr("camphorferry_wait_seconds_sum{service=\"orders\"} 9.0"));
  EXPECT_THAT(
      text,
      HasSubstr("camphorferry_wait_seconds_count{service=\"orders\"} 3\n"));
}

// Guards against answers that are counted but not timed.
TEST_F(ProxyMetricsTest, AnswerCounted_ToText_IsTimedByRoute) {
  this->metrics.CountAnswer(ReadGuarantee::kLatest, std::nullopt,
                            std::chrono::milliseconds(30));
  const std::string text = this->metrics.ToText();
  EXPECT_THAT(text, HasSubstr("camphorferry_answers_total{route=\"latest\","
                              "outcome=\"done\"} 1\n"));
  EXPECT_THAT(text, HasSubstr("camphorferry_answer_seconds_bucket{"
                              "route=\"latest\",le=\"0.05\"} 1\n"));
  EXPECT_THAT(text, Not(HasSubstr("route=\"read_your_writes\"")));
}

}  // namespace
}  // namespace camphorferry::session
