#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <optional>
#include <string>

#include "Request/request.h"

namespace camphorferry::request {
namespace {

using common::SteadyTime;
using common::WallTime;
using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const SteadyTime kNow{seconds(1000)};
const WallTime kWallNow{seconds(1'764'830'000)};
const std::string kKey = "1764830000-12345678";
const std::string kGet = R"([{"op":"get","table":"t","key":"k"}])";
const std::string kAdd = R"([{"op":"add","table":"t","key":"k","amount":1}])";

RequestRecord Parse(const HeaderFields& headers, const std::string& body) {
  return RequestRecord::Parse(headers, body, "generated", kNow, kWallNow);
}

class RequestRecordTest : public testing::Test {
 protected:
  static std::string Body(const std::string& operations,
                          const std::string& more_fields = "") {
    return R"({"route":"ledger-1","operations":)" + operations + more_fields +
           "}";
  }

  static RequestClass ClassOf(const HeaderFields& headers,
                              const std::string& body) {
    return Parse(headers, body).request_class;
  }

  static std::optional<RequestFault> FaultOf(const HeaderFields& headers,
                                             const std::string& body) {
    try {
      Parse(headers, body);
    } catch (const BadRequestError& error) {
      return error.Fault();
    }
    return std::nullopt;
  }

  /// Reason for which the request is refused; none if it is accepted.
  static std::optional<NotRunReason> RefusalReasonOf(
      const HeaderFields& headers, const std::string& body) {
    try {
      Parse(headers, body);
    } catch (const common::Error& error) {
      return RefusalReason(error);
    }
    return std::nullopt;
  }
};

// Guards against fields that are lost between the client and the endpoint.
TEST_F(RequestRecordTest, FullRequest_Parse_KeepsEveryField) {
  const RequestRecord record = Parse({{"camphorferry-session", "token"},
                                      {"camphorferry-deadline-ms", "1200"},
                                      {"idempotency-key", kKey},
                                      {"request-id", "a-Z_0.1:2"}},
                                     Body(kAdd));
  EXPECT_EQ(record.route.Value(), "ledger-1");
  EXPECT_EQ(OperationsToJson(record.operations), json::parse(kAdd));
  EXPECT_EQ(record.deadline, kNow + milliseconds(1200));
  EXPECT_EQ(record.session, "token");
  ASSERT_TRUE(record.idempotency_key.has_value());
  EXPECT_EQ(record.idempotency_key->Text(), kKey);
  EXPECT_EQ(record.operations_digest,
            OperationsDigest(record.route, record.operations));
  EXPECT_EQ(record.max_age, std::nullopt);
  EXPECT_EQ(record.request_id, "a-Z_0.1:2");
}

// Guards against defaults that differ from the documented interface.
TEST_F(RequestRecordTest, MinimalRequest_Parse_HasDefaults) {
  const RequestRecord record = Parse({}, Body(kGet));
  EXPECT_EQ(record.deadline, kNow + milliseconds(5000));
  EXPECT_EQ(record.session, "");
  EXPECT_EQ(record.idempotency_key, std::nullopt);
  EXPECT_EQ(record.operations_digest, "");
  EXPECT_EQ(record.request_id, "generated");
  const RequestRecord aged =
      Parse({{"camphorferry-max-age-ms", "0"}}, Body(kGet));
  EXPECT_EQ(aged.max_age, common::Duration::zero());
}

// Guards against a write that runs twice because the request was put into the
// wrong class.
TEST_F(RequestRecordTest, EveryClass_Parse_IsRecognized) {
  const HeaderFields keyed = {{"idempotency-key", kKey}};
  const std::string repeatable = R"(,"repeatable":true)";
  EXPECT_EQ(ClassOf({}, Body(kGet)), RequestClass::kRead);
  EXPECT_EQ(ClassOf(keyed, Body(kGet, repeatable)), RequestClass::kRead);
  EXPECT_EQ(ClassOf({}, Body(kAdd)), RequestClass::kUnrepeatableWrite);
  EXPECT_EQ(ClassOf({}, Body(kAdd, R"(,"repeatable":false)")),
            RequestClass::kUnrepeatableWrite);
  EXPECT_EQ(ClassOf({}, Body(kAdd, repeatable)),
            RequestClass::kRepeatableWrite);
  EXPECT_EQ(ClassOf(keyed, Body(kAdd, repeatable)), RequestClass::kKeyedWrite);
}

// Guards against requests that run longer than a graceful shutdown waits.
TEST_F(RequestRecordTest, LongDeadline_Parse_IsLimited) {
  const auto deadline = [](const std::string& text) {
    return Parse({{"camphorferry-deadline-ms", text}}, Body(kGet)).deadline;
  };
  EXPECT_EQ(deadline("24999"), kNow + milliseconds(24999));
  EXPECT_EQ(deadline("25001"), kNow + seconds(25));
  EXPECT_EQ(deadline("999999999"), kNow + seconds(25));
}

// Guards against invalid header values that are partly parsed or ignored.
TEST_F(RequestRecordTest, BadHeader_Parse_ReportsTheFault) {
  const char* deadline = "camphorferry-deadline-ms";
  for (const char* text : {"", "-1", "+1", "1.5", " 1", "1s", "9999999999"}) {
    EXPECT_EQ(FaultOf({{deadline, text}}, Body(kGet)),
              RequestFault::kNotANumber)
        << text;
  }
  EXPECT_EQ(FaultOf({{deadline, "0"}}, Body(kGet)), RequestFault::kOutOfRange);
  EXPECT_EQ(FaultOf({{"camphorferry-max-age-ms", "1"}}, Body(kAdd)),
            RequestFault::kMaxAgeOnWrite);
  for (const std::string& id :
       {std::string(), std::string("a b"), std::string("a\n"),
        std::string("a\"b"), std::string(129, 'a')}) {
    EXPECT_EQ(FaultOf({{"request-id", id}}, Body(kGet)),
              RequestFault::kBadRequestId);
    EXPECT_EQ(RequestIdOrGenerated({{"request-id", id}}, "g"), "g");
  }
}

// Guards against invalid bodies that are accepted with a guessed meaning.
TEST_F(RequestRecordTest, BadBody_Parse_ReportsTheFault) {
  EXPECT_EQ(FaultOf({}, ""), RequestFault::kNotJson);
  EXPECT_EQ(FaultOf({}, "{"), RequestFault::kNotJson);
  EXPECT_EQ(FaultOf({}, Body(kGet) + "x"), RequestFault::kNotJson);
  EXPECT_EQ(FaultOf({}, "{\"route\":\"\xff\"}"), RequestFault::kNotJson);
  EXPECT_EQ(FaultOf({}, R"({"route":1e999})"), RequestFault::kNotJson);
  EXPECT_EQ(FaultOf({}, "[]"), RequestFault::kNotAnObject);
  EXPECT_EQ(FaultOf({}, R"({"routes":"r"})"), RequestFault::kUnknownField);
  EXPECT_EQ(FaultOf({}, R"({"operations":[]})"), RequestFault::kMissingField);
  EXPECT_EQ(FaultOf({}, R"({"route":"r"})"), RequestFault::kMissingField);
  EXPECT_EQ(FaultOf({}, R"({"route":1})"), RequestFault::kWrongType);
  EXPECT_EQ(FaultOf({}, R"({"route":""})"), RequestFault::kOutOfRange);
  EXPECT_EQ(FaultOf({}, Body(kAdd, R"(,"repeatable":1)")),
            RequestFault::kWrongType);
}

// Guards against bodies that exhaust memory or the stack.
TEST_F(RequestRecordTest, LargeOrDeepBody_Parse_IsRefused) {
  const auto put = [](const std::string& value) {
    return Body(R"([{"op":"put","table":"t","key":"k","value":)" + value +
                "}]");
  };
  const auto nested = [](int levels) {
    return std::string(levels, '[') + std::string(levels, ']');
  };
  EXPECT_EQ(FaultOf({}, put(nested(20))), std::nullopt);
  EXPECT_EQ(FaultOf({}, put(nested(40))), RequestFault::kTooDeep);
  EXPECT_EQ(FaultOf({}, put(nested(100'000))), RequestFault::kTooDeep);
  const std::string large(kMaxStatementBytes, 'v');
  EXPECT_EQ(FaultOf({}, put('"' + large + '"')), RequestFault::kBodyTooLarge);
}

// Guards against errors that are reported to the client with a wrong reason.
TEST_F(RequestRecordTest, EveryError_RefusalReason_IsReported) {
  const auto keyed = [](const std::string& key) {
    return RefusalReasonOf({{"idempotency-key", key}}, Body(kAdd));
  };
  EXPECT_EQ(RefusalReasonOf({}, std::string(kMaxStatementBytes + 1, ' ')),
            NotRunReason::kTooLarge);
  EXPECT_EQ(RefusalReasonOf({}, "{"), NotRunReason::kBadRequest);
  EXPECT_EQ(RefusalReasonOf({}, Body("[]")), NotRunReason::kBadRequest);
  EXPECT_EQ(keyed("x"), NotRunReason::kBadRequest);
  EXPECT_EQ(keyed("1-12345678"), NotRunReason::kIdempotencyKeyExpired);
  EXPECT_EQ(keyed("1764839999-12345678"), NotRunReason::kBadRequest);
  EXPECT_EQ(RefusalReason(BadSessionTokenError(SessionTokenFault::kTooLong)),
            NotRunReason::kBadSessionToken);
  EXPECT_EQ(RefusalReason(SessionTooWideError(32)),
            NotRunReason::kSessionTooWide);
  EXPECT_EQ(RefusalReason(MissingSessionSecretError()), std::nullopt);
}

// Guards against a malformed body that terminates the daemon with an exception
// of another type.
RC_GTEST_PROP(RequestRecordProperty, AnyChangedBody_Parse_ThrowsTypedErrors,
              (const std::string& patch, const std::string& id)) {
  std::string body = R"({"route":"r","operations":)" + kAdd + "}";
  const auto offset = *rc::gen::inRange<std::size_t>(0, body.size());
  body.replace(offset, patch.size(), patch);
  try {
    const RequestRecord record = Parse({{"request-id", id}}, body);
    RC_ASSERT(record.request_id.size() <= kMaxRequestIdLength);
  } catch (const common::Error& error) {
    RC_ASSERT(RefusalReason(error).has_value());
  }
}

// Guards against response bodies that differ from the documented interface.
TEST(OutcomeToJsonTest, EveryOutcome_OutcomeToJson_HasItsFields) {
  const Done done{json::array({1}), {1, 2}, false, microseconds(1500)};
  EXPECT_EQ(OutcomeToJson(done, "r"),
            json::parse(R"({"outcome":"done","request_id":"r","results":[1],
                            "served_by":"replica","age_ms":2})"));
  const NotRun refused{NotRunReason::kRateExceeded, milliseconds(120)};
  EXPECT_EQ(OutcomeToJson(refused, "r"),
            json::parse(R"({"outcome":"not_run","request_id":"r",
                            "reason":"rate_exceeded","retry_after_ms":120})"));
  const NotRun plain{NotRunReason::kNoPrimary, std::nullopt};
  EXPECT_EQ(OutcomeToJson(plain, "r"),
            json::parse(R"({"outcome":"not_run","request_id":"r",
                            "reason":"no_primary"})"));
  EXPECT_EQ(OutcomeToJson(Unknown{UnknownReason::kNotConfirmed}, "r"),
            json::parse(R"({"outcome":"unknown","request_id":"r",
                            "reason":"not_confirmed"})"));
}

}  // namespace
}  // namespace camphorferry::request
