#include "wire_format.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace camphorferry::platform {
namespace {

using session::Statement;
using session::StatementError;
using session::StatementKind;

class WireFormatTest : public testing::Test {
 protected:
  Statement Decode(std::string_view line) const {
    const session::ClientMessage message = this->format.DecodeClient(line);
    const auto* statement = std::get_if<Statement>(&message);
    return statement == nullptr ? Statement{} : *statement;
  }

  bool Unreadable(std::string_view line) const {
    return std::holds_alternative<session::UnreadableMessage>(
        this->format.DecodeClient(line));
  }

  WireFormat format;
};

TEST_F(WireFormatTest, DecodeClient_Startup_ReadsDatabaseAndKey) {
  const auto message = this->format.DecodeClient("STARTUP lepu270 u3f1");
  const auto& open = std::get<session::OpenSession>(message);
  EXPECT_EQ(open.database, "lepu270");
  EXPECT_EQ(open.key, "u3f1");
}

// Guards against a statement whose text is changed on its way to an endpoint.
TEST_F(WireFormatTest, EncodeStatement_Read_KeepsText) {
  const Statement statement = this->Decode("QUERY 5c0e READ 1a4");
  EXPECT_EQ(statement.kind, StatementKind::kRead);
  EXPECT_EQ(this->format.EncodeStatement(statement, std::nullopt),
            "QUERY 5c0e READ 1a4\r\n");
  EXPECT_EQ(
      this->format.EncodeStatement(statement, common::LogPosition{3, 1207}),
      "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");
}

TEST_F(WireFormatTest, EncodeExecute_Execute_ChangesOnlyStatementName) {
  const Statement statement = this->Decode("QUERY 7 EXECUTE s1 1a4 xk qp");
  EXPECT_EQ(statement.name, "s1");
  EXPECT_EQ(this->format.EncodeExecute(statement, "p9", std::nullopt),
            "QUERY 7 EXECUTE p9 1a4 xk qp\r\n");
}

TEST_F(WireFormatTest, DecodeClient_Prepare_ReadsAccessAndShape) {
  const Statement statement = this->Decode("QUERY 7 PREPARE s1 WRITE q2c");
  EXPECT_EQ(statement.kind, StatementKind::kPrepare);
  EXPECT_EQ(statement.prepared.access, session::AccessKind::kWrite);
  EXPECT_EQ(statement.prepared.shape, "q2c");
}

// Guards against clients that use commands reserved for the proxy.
TEST_F(WireFormatTest, DecodeClient_ProxyCommands_AreUnreadable) {
  EXPECT_TRUE(this->Unreadable("QUERY 7 STATUS"));
  EXPECT_TRUE(this->Unreadable("QUERY 7 AFTER 1.1 READ x"));
  EXPECT_TRUE(this->Unreadable("QUERY 7 PAUSE 9"));
  EXPECT_TRUE(this->Unreadable("QUERY 7 RESET"));
  EXPECT_TRUE(this->Unreadable("QUERY - READ x"));
}

// Guards against statement injection through a line break.
TEST_F(WireFormatTest, DecodeClient_EmbeddedLineBreak_IsUnreadable) {
  EXPECT_TRUE(this->Unreadable("QUERY 7 WRITE a b\nQUERY 8 WRITE c d"));
  EXPECT_TRUE(this->Unreadable("QUERY 7 WRITE a b\rQUERY 8 WRITE c d"));
}

TEST_F(WireFormatTest, DecodeStatus_Replica_ReadsHeldTerm) {
  const auto status = this->format.DecodeStatus("replica 3 3.1209 4 12 2 17");
  ASSERT_TRUE(status.has_value());
  EXPECT_EQ(status->role, session::GroupRole::kReplica);
  EXPECT_EQ(status->term, 3U);
  EXPECT_EQ(status->received, (common::LogPosition{3, 1209}));
  EXPECT_EQ(status->held, 4U);
  EXPECT_FALSE(this->format.DecodeStatus("replica x").has_value());
}

TEST_F(WireFormatTest, DecodeEndpoint_ValidAndInvalidMessages_AreRecognized) {
  const auto error = this->format.DecodeEndpoint("ERROR READONLY i-7f");
  EXPECT_EQ(std::get<session::EndpointError>(error).code,
            StatementError::kReadOnly);
  const auto ready = this->format.DecodeEndpoint("READY T 3.1209");
  EXPECT_EQ(std::get<session::EndpointReady>(ready).phase,
            session::TransactionPhase::kOpen);
  const auto odd = this->format.DecodeEndpoint("READY Q 1.1");
  EXPECT_TRUE(std::holds_alternative<session::EndpointUnreadable>(odd));
}

// Guards against input that crashes the process.
RC_GTEST_PROP(WireFormatPropertyTest, Decode_AnyBytes_NeverThrows,
              (const std::string& bytes)) {
  const WireFormat format;
  (void)format.DecodeClient(bytes);
  (void)format.DecodeClient("QUERY 1 " + bytes);
  (void)format.DecodeEndpoint(bytes);
  (void)format.DecodeEndpoint("READY " + bytes);
  (void)format.DecodeStatus(bytes);
}

}  // namespace
}  // namespace camphorferry::platform
