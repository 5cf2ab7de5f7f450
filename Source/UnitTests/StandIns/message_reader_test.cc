#include "StandIns/message_reader.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>

namespace camphorferry::standins {
namespace {

class MessageReaderTest : public testing::Test {
 protected:
  static std::optional<MessageFault> FaultOf(
      const std::string& body,
      const std::function<void(MessageReader*)>& read) {
    try {
      MessageReader message(body);
      read(&message);
      message.RejectUnknown();
    } catch (const BadMessageError& error) {
      return error.Fault();
    }
    return std::nullopt;
  }
};

// Guards against malformed messages that have an effect.
TEST_F(MessageReaderTest, MalformedMessage_Read_NamesTheFault) {
  const auto term = [](MessageReader* message) { message->Unsigned("term"); };
  EXPECT_EQ(FaultOf(R"({"term":1})", term), std::nullopt);
  EXPECT_EQ(FaultOf("{term", term), MessageFault::kNotJson);
  EXPECT_EQ(FaultOf("", term), MessageFault::kNotJson);
  EXPECT_EQ(FaultOf("[1]", term), MessageFault::kNotAnObject);
  EXPECT_EQ(FaultOf("{}", term), MessageFault::kMissingField);
  EXPECT_EQ(FaultOf(R"({"term":null})", term), MessageFault::kMissingField);
  EXPECT_EQ(FaultOf(R"({"term":-1})", term), MessageFault::kWrongType);
  EXPECT_EQ(FaultOf(R"({"term":"1"})", term), MessageFault::kWrongType);
  EXPECT_EQ(FaultOf(R"({"term":1,"x":2})", term), MessageFault::kUnknownField);
}

// Guards against positions that are read from a part of a message.
TEST_F(MessageReaderTest, Position_Read_NeedsTwoNumbers) {
  const auto read = [](MessageReader* message) { message->Position("p"); };
  EXPECT_EQ(FaultOf(R"({"p":[1,2]})", read), std::nullopt);
  for (const char* body : {R"({"p":[1]})", R"({"p":[1,2,3]})",
                           R"({"p":[1,"2"]})", R"({"p":12})"}) {
    EXPECT_EQ(FaultOf(body, read), MessageFault::kWrongType) << body;
  }
}

// Guards against times that overflow a timer.
TEST_F(MessageReaderTest, Milliseconds_Read_AreBounded) {
  const auto read = [](MessageReader* message) {
    message->Milliseconds("wait_ms");
  };
  EXPECT_EQ(FaultOf(R"({"wait_ms":3600000})", read), std::nullopt);
  EXPECT_EQ(FaultOf(R"({"wait_ms":3600001})", read), MessageFault::kOutOfRange);
  MessageReader absent(std::string("{}"));
  EXPECT_EQ(absent.Milliseconds("wait_ms"), std::nullopt);
}

}  // namespace
}  // namespace camphorferry::standins
