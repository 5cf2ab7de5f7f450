#include "StandIns/database_messages.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace camphorferry::standins {
namespace {

using nlohmann::json;

class DatabaseMessagesTest : public testing::Test {
 protected:
  DatabaseMessagesTest() {
    this->primary.InitializeAsPrimary();
    this->replica.Follow(1, "primary");
  }

  DatabaseCore primary{"a"};
  DatabaseCore replica{"b"};
};

// Guards against entries whose idempotency key or results are lost in
// replication, so that a promoted replica would execute the statement again.
TEST_F(DatabaseMessagesTest,
       Execute_RepeatedKeyAfterReplicationAsJson_IsReplayed) {
  const ExecuteMessage message = ParseExecute(R"({
      "term":1,"operations":[{"op":"add","table":"t","key":"k","amount":2}],
      "idempotency":{"workspace":"w","key":"i","digest":"d"},
      "request_id":"r"})");
  this->primary.Execute(message.request, common::SteadyTime());
  const ReplicateRequest pull =
      ParseReplicateRequest(ToJson(this->replica.NextPull()).dump());
  this->replica.ApplyPull(
      pull, ParseReplicateResult(ToJson(this->primary.Replicate(pull)).dump()),
      common::SteadyTime());
  EXPECT_EQ(this->replica.DumpTables(), this->primary.DumpTables());
  this->replica.Fence(2, "x");
  ASSERT_TRUE(this->replica.Promote(2, "x"));
  ExecuteRequest repeat = message.request;
  repeat.term = 2;
  const json response =
      ToJson(this->replica.Execute(repeat, common::SteadyTime()));
  EXPECT_EQ(response, json::parse(R"({"outcome":"done","results":[2],
      "position":[2,3],"term":2,"role":"primary","age_ms":0,
      "replayed":true})"));
}

// Guards against unknown fields of statements that are silently ignored.
TEST_F(DatabaseMessagesTest, ParseExecute_UnknownField_Throws) {
  constexpr const char* kOperations =
      R"("operations":[{"op":"get","table":"t","key":"k"}])";
  const std::string good = std::string("{") + kOperations + "}";
  EXPECT_NO_THROW(ParseExecute(good));
  EXPECT_THROW(ParseExecute(std::string("{") + kOperations + R"(,"x":1})"),
               BadMessageError);
  EXPECT_THROW(ParseExecute(std::string("{") + kOperations +
                            R"(,"idempotency":{"workspace":"w","key":"k"}})"),
               BadMessageError);
  EXPECT_THROW(ParseExecute(R"({"operations":[]})"),
               request::BadOperationError);
}

// Guards against data that is reported as more recent than it is, and against
// an unknown age that overflows when it is converted back.
TEST_F(DatabaseMessagesTest,
       AgeToMilliseconds_FractionOrUnknown_IsNeverTooLow) {
  EXPECT_EQ(AgeToMilliseconds(common::Duration::zero()), 0);
  EXPECT_EQ(AgeToMilliseconds(std::chrono::nanoseconds(1)), 1);
  EXPECT_EQ(AgeToMilliseconds(std::chrono::milliseconds(5)), 5);
  const common::Duration unknown =
      std::chrono::milliseconds(AgeToMilliseconds(kUnknownAge));
  EXPECT_GT(unknown, std::chrono::hours(24 * 365 * 100));
}

}  // namespace
}  // namespace camphorferry::standins
