#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Request/request.h"

namespace camphorferry::request {
namespace {

using common::LogPosition;
using common::ServiceId;
using common::WorkspaceId;

const SessionSecrets kSecrets = {"the first secret of at least 32 bytes"};
const WorkspaceId kWorkspace("trust");

std::optional<SessionTokenFault> FaultOf(
    const std::string& text, const SessionSecrets& secrets = kSecrets) {
  try {
    SessionToken::Decode(text, secrets, kWorkspace);
  } catch (const BadSessionTokenError& error) {
    return error.Fault();
  }
  return std::nullopt;
}

std::string SignAndEncode(const std::string& body) {
  return common::Base64UrlEncode(body + common::HmacSha256(kSecrets[0], body));
}

class SessionTokenTest : public testing::Test {
 protected:
  static std::string SignatureOf(const SessionToken& token) {
    std::string data;
    EXPECT_TRUE(common::Base64UrlDecode(token.Encode(kSecrets), &data));
    return data.substr(data.size() - 32);
  }

  SessionToken token{kWorkspace};
};

// Guards against a session that loses positions when it changes daemons.
RC_GTEST_PROP(SessionTokenProperty, AnyToken_RoundTrip_IsEqual,
              (const std::map<std::string,
                              std::pair<std::uint64_t, std::uint64_t>>& entries,
               const std::string& workspace)) {
  SessionToken token{WorkspaceId(workspace)};
  for (const auto& [service, position] : entries) {
    if (token.PositionOf(ServiceId(service)) != LogPosition{}) continue;
    try {
      token.Advance(ServiceId(service), {position.first, position.second});
    } catch (const SessionTooWideError& error) {
      break;
    }
  }
  const std::string text = token.Encode(kSecrets);
  RC_ASSERT(text.size() <= kMaxSessionTextLength);
  RC_ASSERT(SessionToken::Decode(text, kSecrets, WorkspaceId(workspace)) ==
            token);
}

// Guards against clients that edit a token to claim another position.
RC_GTEST_PROP(SessionTokenProperty, AnyChangedByte_Decode_IsRefused,
              (std::uint64_t term, std::uint64_t index)) {
  SessionToken token(kWorkspace);
  token.Advance(ServiceId("ledger"), {term, index});
  std::string text = token.Encode(kSecrets);
  const auto offset = *rc::gen::inRange<std::size_t>(0, text.size());
  const char replacement = *rc::gen::arbitrary<char>();
  RC_PRE(text[offset] != replacement);
  text[offset] = replacement;
  RC_ASSERT(FaultOf(text).has_value());
}

// Guards against a position that decreases when responses arrive out of order.
RC_GTEST_PROP(
    SessionTokenProperty, AnyOrder_Advance_KeepsTheGreatest,
    (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& positions)) {
  SessionToken token(kWorkspace);
  LogPosition greatest;
  for (const auto& [term, index] : positions) {
    token.Advance(ServiceId("ledger"), {term, index});
    greatest = std::max(greatest, LogPosition{term, index});
    RC_ASSERT(token.PositionOf(ServiceId("ledger")) == greatest);
  }
}

// Guards against two tokens with the same signed bytes but different field
// boundaries.
TEST_F(SessionTokenTest, ShiftedBoundary_Encode_HasAnotherSignature) {
  SessionToken left{WorkspaceId("ab")};
  left.Advance(ServiceId("c"), {1, 1});
  SessionToken right{WorkspaceId("a")};
  right.Advance(ServiceId("bc"), {1, 1});
  EXPECT_NE(SignatureOf(left), SignatureOf(right));
}

// Guards against a token that is accepted in another workspace.
TEST_F(SessionTokenTest, OtherWorkspace_Decode_IsRefused) {
  const std::string text =
      SessionToken(WorkspaceId("directorate")).Encode(kSecrets);
  EXPECT_EQ(FaultOf(text), SessionTokenFault::kOtherWorkspace);
}

// Guards against sessions that fail while the signing secret is being replaced.
TEST_F(SessionTokenTest, ReplacedSecret_Decode_AcceptsWhileListed) {
  const std::string text = this->token.Encode(kSecrets);
  EXPECT_EQ(FaultOf(text, {"a newer secret", kSecrets[0]}), std::nullopt);
  EXPECT_EQ(FaultOf(text, {"a newer secret"}),
            SessionTokenFault::kWrongSignature);
}

// Guards against tokens that anyone can sign.
TEST_F(SessionTokenTest, NoSecret_EncodeAndDecode_AreRefused) {
  EXPECT_THROW(this->token.Encode({}), MissingSessionSecretError);
  EXPECT_THROW(this->token.Encode({""}), MissingSessionSecretError);
  const std::string body("\1\5trust\0", 8);
  const std::string forged =
      common::Base64UrlEncode(body + common::HmacSha256("", body));
  EXPECT_EQ(FaultOf(forged, {}), SessionTokenFault::kWrongSignature);
  EXPECT_EQ(FaultOf(forged, {""}), SessionTokenFault::kWrongSignature);
}

// Guards against a signed body of another format version that is misread, and
// against more than one accepted encoding of a token.
TEST_F(SessionTokenTest, NotCanonicalBody_Decode_IsMalformed) {
  const std::string entry("\1s\1\1", 4);
  const std::string head("\1\5trust", 7);
  EXPECT_EQ(FaultOf(SignAndEncode(head + "\1" + entry)), std::nullopt);
  const std::vector<std::string> bodies = {
      std::string("\2\5trust\0", 8),                     // unknown version
      head,                                              // cut off
      head + std::string("\0\0", 2),                     // trailing byte
      head + std::string("\x80\0", 2),                   // padded varint
      head + "\2" + entry + entry,                       // repeated service
      head + "\1" + std::string("\1s\0\0", 4),           // zero position
      head + "\1\x7fs\1\1",                              // text past the end
      head + "\1\1s\1" + std::string(9, '\xff') + "\2",  // above 64 bits
  };
  for (const std::string& body : bodies) {
    EXPECT_EQ(FaultOf(SignAndEncode(body)), SessionTokenFault::kMalformed)
        << testing::PrintToString(body);
  }
  EXPECT_EQ(FaultOf(""), SessionTokenFault::kMalformed);
  EXPECT_EQ(FaultOf("not base64!"), SessionTokenFault::kMalformed);
}

// Guards against headers of unbounded length.
TEST_F(SessionTokenTest, LongText_Decode_IsTooLong) {
  EXPECT_EQ(FaultOf(std::string(kMaxSessionTextLength + 1, 'A')),
            SessionTokenFault::kTooLong);
}

// Guards against a token of unbounded size, and against one that Advance
// accepts but Decode refuses.
TEST_F(SessionTokenTest, FullToken_Advance_IsTooWide) {
  constexpr std::uint64_t kMaxUint64 =
      std::numeric_limits<std::uint64_t>::max();
  for (std::size_t i = 0; i < kMaxSessionServices; ++i) {
    this->token.Advance(ServiceId(std::string(60, 's') + std::to_string(i)),
                        {kMaxUint64, kMaxUint64});
  }
  EXPECT_THROW(this->token.Advance(ServiceId("one-more"), {1, 1}),
               SessionTooWideError);
  EXPECT_EQ(FaultOf(this->token.Encode(kSecrets)), std::nullopt);
  EXPECT_THROW(SessionToken(WorkspaceId(std::string(4000, 'w'))),
               SessionTooWideError);
}

}  // namespace
}  // namespace camphorferry::request
