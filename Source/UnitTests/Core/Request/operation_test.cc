#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <string>

#include "Request/request.h"

namespace camphorferry::request {
namespace {

class OperationTest : public testing::Test {
 protected:
  static OperationFault FaultOf(const std::string& text) {
    try {
      ParseOperations(nlohmann::json::parse(text));
    } catch (const BadOperationError& error) {
      return error.Fault();
    }
    ADD_FAILURE() << "accepted: " << text;
    return OperationFault::kNotAList;
  }
};

// Guards against operations that change when they are parsed and serialized.
TEST_F(OperationTest, EveryKind_RoundTrip_IsUnchanged) {
  const nlohmann::json list = nlohmann::json::parse(R"([
      {"op":"get","table":"t","key":"k"},
      {"op":"put","table":"t","key":"k","value":{"a":[1,null]}},
      {"op":"add","table":"t","key":"k","amount":-3},
      {"op":"insert","table":"t","key":"k","value":"v"},
      {"op":"delete","table":"t","key":"k"},
      {"op":"scan","table":"t","prefix":"","limit":10}])");
  EXPECT_EQ(OperationsToJson(ParseOperations(list)), list);
}

// Guards against a write that is classified as a read and sent to a replica.
TEST_F(OperationTest, AnyWrite_IsReadOnly_IsFalse) {
  const auto read = ParseOperations(
      nlohmann::json::parse(R"([{"op":"get","table":"t","key":"k"}])"));
  const auto mixed = ParseOperations(nlohmann::json::parse(
      R"([{"op":"get","table":"t","key":"k"},
          {"op":"delete","table":"t","key":"k"}])"));
  EXPECT_TRUE(IsReadOnly(read));
  EXPECT_FALSE(IsReadOnly(mixed));
}

// Guards against malformed statements that are sent to an endpoint.
TEST_F(OperationTest, MalformedList_Parse_ReportsTheFault) {
  EXPECT_EQ(FaultOf("{}"), OperationFault::kNotAList);
  EXPECT_EQ(FaultOf("[]"), OperationFault::kEmptyList);
  EXPECT_EQ(FaultOf("[1]"), OperationFault::kNotAnObject);
  EXPECT_EQ(FaultOf(R"([{"op":"drop"}])"), OperationFault::kUnknownName);
  EXPECT_EQ(FaultOf(R"([{"op":"get","table":"t"}])"),
            OperationFault::kMissingField);
  EXPECT_EQ(FaultOf(R"([{"op":"get","table":1,"key":"k"}])"),
            OperationFault::kWrongType);
  EXPECT_EQ(FaultOf(R"([{"op":"get","table":"t","key":"k","x":1}])"),
            OperationFault::kUnknownField);
  EXPECT_EQ(FaultOf(R"([{"op":"scan","table":"t","prefix":"","limit":0}])"),
            OperationFault::kOutOfRange);
}

// Guards against an amount that wraps around and changes its sign.
TEST_F(OperationTest, AmountBeyond64BitsSigned_Parse_IsOutOfRange) {
  const auto add = [](const std::string& amount) {
    return R"([{"op":"add","table":"t","key":"k","amount":)" + amount + "}]";
  };
  const auto largest =
      ParseOperations(nlohmann::json::parse(add("9223372036854775807")));
  EXPECT_EQ(std::get<AddOperation>(largest[0]).amount,
            std::numeric_limits<std::int64_t>::max());
  EXPECT_EQ(FaultOf(add("9223372036854775808")), OperationFault::kOutOfRange);
  EXPECT_EQ(FaultOf(add("18446744073709551615")), OperationFault::kOutOfRange);
}

}  // namespace
}  // namespace camphorferry::request
