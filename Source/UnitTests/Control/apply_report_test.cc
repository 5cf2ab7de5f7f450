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
  /// Sends one confirmation to as many daemons as there are results, each of
  /// which answers with its own, and names what that means.
  static std::string Report(const std::vector<HttpResult>& results) {
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
              return (report.already ? "already " : "applied ") +
                     std::to_string(report.version);
            },
            [](const PlanMoved& report) {
              return "moved " + std::to_string(report.base_version.value_or(0));
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
  const HttpResult already =
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

// Guards against an answer that is reported as something else.
TEST_F(ApplyReportTest, OneDaemon_Interpret_SaysWhatItAnswered) {
  EXPECT_EQ(Report({this->applied}), "applied 7");
  EXPECT_EQ(Report({this->already}), "already 7");
  EXPECT_EQ(Report({this->stale}), "moved 6");
  EXPECT_EQ(Report({this->invalid}), "invalid bad_request (rate: found 0)");
  EXPECT_EQ(Report({Answer(404, "")}), "refused HTTP status 404");
  EXPECT_EQ(Report({this->store_not_run}), "refused store_unavailable");
  EXPECT_EQ(Report({this->store_unknown}), "unknown store_unavailable");
  EXPECT_EQ(Report({this->not_sent}), "not sent");
}

// Guards against a lost or garbled answer that is reported as success or as a
// refusal, although the plan may be in force.
TEST_F(ApplyReportTest, NoUsableAnswer_Interpret_IsUnknown) {
  EXPECT_EQ(Report({this->no_answer}), "unknown no answer");
  EXPECT_EQ(Report({this->no_answer, this->not_sent}), "unknown no answer");
  EXPECT_EQ(Report({Answer(200, "{\"version\":")}),
            "unknown unreadable answer");
  EXPECT_EQ(Report({Answer(200, R"({"version":7})")}),
            "unknown unreadable answer");
  EXPECT_EQ(Report({Answer(500, "")}), "unknown HTTP status 500");
}

// Guards against a refusal by the second daemon that hides that the first one
// may have put the plan in force.
TEST_F(ApplyReportTest, FirstDaemonSilent_Interpret_RefusalIsUnknown) {
  EXPECT_EQ(Report({this->no_answer, this->store_not_run}),
            "unknown store_unavailable");
  EXPECT_EQ(Report({this->no_answer, this->invalid}),
            "unknown bad_request (rate: found 0)");
  EXPECT_EQ(Report({this->not_sent, this->store_not_run}),
            "refused store_unavailable");
}

// Guards against a failover that loses a clear answer.
TEST_F(ApplyReportTest, FirstDaemonSilent_Interpret_TakesClearAnswer) {
  EXPECT_EQ(Report({this->no_answer, this->already}), "already 7");
  EXPECT_EQ(Report({this->no_answer, this->stale}), "moved 6");
  EXPECT_EQ(Report({this->stale, this->applied}), "moved 6");
}

}  // namespace
}  // namespace camphorferry::control
