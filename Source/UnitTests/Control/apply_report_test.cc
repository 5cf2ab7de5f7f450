#include "Control/apply_report.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "Control/operator_client.h"

namespace camphorferry::control {
namespace {

using connection::HttpFailure;
using connection::HttpResponse;
using connection::HttpResult;

class ApplyReportTest : public testing::Test {
 protected:
  /// Sends one confirmation with failover between daemons, of which each
  /// answers with one of the results. Returns the outcome as text.
  static std::string InterpretResults(const std::vector<HttpResult>& results) {
    std::vector<connection::SocketAddress> operators;
    for (std::size_t i = 0; i < results.size(); ++i) {
      operators.push_back({"127.0.0.1", static_cast<std::uint16_t>(i)});
    }
    const OperatorClient client(
        operators, std::chrono::seconds(1),
        [&results](const connection::SocketAddress& address,
                   const connection::HttpRequest& /*request*/,
                   common::Duration /*timeout*/) {
          return results.at(address.port);
        });
    return std::visit(
        common::Overloaded{
            [](const PlanAccepted& report) {
              return (report.already_applied ? "already " : "applied ") +
                     std::to_string(report.version);
            },
            [](const PlanStale& report) {
              return "outdated " +
                     std::to_string(report.base_version.value_or(0));
            },
            [](const PlanInvalid& report) {
              return "invalid " + report.reason;
            },
            [](const PlanRefused& report) {
              return "refused " + report.reason;
            },
            [](const PlanOutcomeUnknown& report) {
              return "unknown " + report.reason;
            },
            [](const PlanNotSent&) { return std::string("not sent"); }},
        InterpretApply(client.Send({})));
  }

  static HttpResponse Answer(int status, const std::string& body) {
    HttpResponse response;
    response.status = status;
    response.body = body;
    return response;
  }

  const HttpResult applied = Answer(200, R"({"version":7,"result":"applied"})");
  const HttpResult already_applied =
      Answer(200, R"({"version":7,"result":"already_applied"})");
  const HttpResult stale =
      Answer(409, R"({"reason":"stale","base_version":6})");
  const HttpResult store_not_run =
      Answer(503, R"({"reason":"store_unavailable","outcome":"not_run"})");
  const HttpResult store_unknown =
      Answer(503, R"({"reason":"store_unavailable","outcome":"unknown"})");
  const HttpResult invalid =
      Answer(400, R"({"reason":"bad_request","detail":"rate: found 0"})");
  const HttpResult not_sent = HttpFailure::kNotSent;
  const HttpResult no_answer = HttpFailure::kNoAnswer;
};

// Guards against answers that are reported with a wrong outcome.
TEST_F(ApplyReportTest, OneDaemon_Interpret_ReportsItsAnswer) {
  EXPECT_EQ(InterpretResults({this->applied}), "applied 7");
  EXPECT_EQ(InterpretResults({this->already_applied}), "already 7");
  EXPECT_EQ(InterpretResults({this->stale}), "outdated 6");
  EXPECT_EQ(InterpretResults({this->invalid}),
            "invalid bad_request (rate: found 0)");
  EXPECT_EQ(InterpretResults({Answer(404, "")}), "refused HTTP status 404");
  EXPECT_EQ(InterpretResults({this->store_not_run}),
            "refused store_unavailable");
  EXPECT_EQ(InterpretResults({this->store_unknown}),
            "unknown store_unavailable");
  EXPECT_EQ(InterpretResults({this->not_sent}), "not sent");
}

// Guards against a lost or malformed answer that is reported as success or as a
// refusal, although the plan may have been applied.
TEST_F(ApplyReportTest, NoUsableAnswer_Interpret_IsUnknown) {
  EXPECT_EQ(InterpretResults({this->no_answer}), "unknown no answer");
  EXPECT_EQ(InterpretResults({this->no_answer, this->not_sent}),
            "unknown no answer");
  EXPECT_EQ(InterpretResults({Answer(200, "{\"version\":")}),
            "unknown unreadable answer");
  EXPECT_EQ(InterpretResults({Answer(200, R"({"version":7})")}),
            "unknown unreadable answer");
  EXPECT_EQ(InterpretResults({Answer(500, "")}), "unknown HTTP status 500");
}

// Guards against reporting the refusal of the second daemon although the first
// one may have applied the plan.
TEST_F(ApplyReportTest, FirstDaemonDoesNotAnswer_Interpret_RefusalIsUnknown) {
  EXPECT_EQ(InterpretResults({this->no_answer, this->store_not_run}),
            "unknown store_unavailable");
  EXPECT_EQ(InterpretResults({this->no_answer, this->invalid}),
            "unknown bad_request (rate: found 0)");
  EXPECT_EQ(InterpretResults({this->not_sent, this->store_not_run}),
            "refused store_unavailable");
}

// Guards against reporting a definite answer after a failover as unknown.
TEST_F(ApplyReportTest,
       FirstDaemonDoesNotAnswer_Interpret_ReportsDefiniteAnswer) {
  EXPECT_EQ(InterpretResults({this->no_answer, this->already_applied}),
            "already 7");
  EXPECT_EQ(InterpretResults({this->no_answer, this->stale}), "outdated 6");
  EXPECT_EQ(InterpretResults({this->stale, this->applied}), "outdated 6");
}

}  // namespace
}  // namespace camphorferry::control
