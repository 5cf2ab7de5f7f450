#include "StandIns/message_reader.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>

namespace camphorferry::standins {
namespace {

class MessageReaderTest : public testing::Test {
 protected:
  static std::optional<MessageError> ErrorKindOf(
      const std::string& body,
      const std::function<void(MessageReader*)>& read) {
    try {
      MessageReader message(body);
      read(&message);
      message.RejectUnknownFields();
    } catch (const BadMessageError& error) {
      return error.Kind();
    }
    return std::nullopt;
  }
};

// Guards against malformed messages that are accepted.
TEST_F(MessageReaderTest, Read_MalformedMessage_ThrowsItsErrorKind) {
  const auto term = [](MessageReader* message) { message->Unsigned("term"); };
  EXPECT_EQ(ErrorKindOf(R"({"term":1})", term), std::nullopt);
  EXPECT_EQ(ErrorKindOf("{term", term), MessageError::kNotJson);
  EXPECT_EQ(ErrorKindOf("", term), MessageError::kNotJson);
  EXPECT_EQ(ErrorKindOf("[1]", term), MessageError::kNotAnObject);
  EXPECT_EQ(ErrorKindOf("{}", term), MessageError::kMissingField);
  EXPECT_EQ(ErrorKindOf(R"({"term":null})", term), MessageError::kMissingField);
  EXPECT_EQ(ErrorKindOf(R"({"term":-1})", term), MessageError::kWrongType);
  EXPECT_EQ(ErrorKindOf(R"({"term":"1"})", term), MessageError::kWrongType);
  EXPECT_EQ(ErrorKindOf(R"({"term":1,"x":2})", term),
            MessageError::kUnknownField);
}

// Guards against positions with missing, additional or non-numeric elements.
TEST_F(MessageReaderTest, Position_NotTwoNumbers_Throws) {
  const auto read = [](MessageReader* message) { message->Position("p"); };
  EXPECT_EQ(ErrorKindOf(R"({"p":[1,2]})", read), std::nullopt);
  for (const char* body : {R"({"p":[1]})", R"({"p":[1,2,3]})",
                           R"({"p":[1,"2"]})", R"({"p":12})"}) {
    EXPECT_EQ(ErrorKindOf(body, read), MessageError::kWrongType) << body;
  }
}

// Guards against durations that overflow a timer.
TEST_F(MessageReaderTest, Milliseconds_AboveTheMaximum_Throws) {
  const auto read = [](MessageReader* message) {
    message->Milliseconds("wait_ms");
  };
  EXPECT_EQ(ErrorKindOf(R"({"wait_ms":3600000})", read), std::nullopt);
  EXPECT_EQ(ErrorKindOf(R"({"wait_ms":3600001})", read),
            MessageError::kOutOfRange);
  MessageReader absent(std::string("{}"));
  EXPECT_EQ(absent.Milliseconds("wait_ms"), std::nullopt);
}

}  // namespace
}  // namespace camphorferry::standins
