#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "Request/request.h"

namespace camphorferry::request {
namespace {

using common::RouteId;
using common::WallTime;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr std::int64_t kIssued = 1'764'830'000;
const WallTime kIssuedAt{seconds(kIssued)};
const std::string kKey = "1764830000-a_B-3456";

class IdempotencyKeyTest : public testing::Test {
 protected:
  static Operations ParseText(const std::string& text) {
    return ParseOperations(nlohmann::json::parse(text));
  }

  static std::string DigestOf(const std::string& route,
                              const std::string& operations) {
    return OperationsDigest(RouteId(route), ParseText(operations));
  }
};

// Guards against a record whose key differs from the client's key.
TEST_F(IdempotencyKeyTest, WellFormed_Parse_KeepsTextAndTime) {
  const IdempotencyKey key = IdempotencyKey::Parse(kKey, kIssuedAt);
  EXPECT_EQ(key.Text(), kKey);
  EXPECT_EQ(key.IssuedAt(), kIssuedAt);
}

// Guards against keys of unbounded length or with unsafe characters in records
// and logs.
TEST_F(IdempotencyKeyTest, Malformed_Parse_IsRefused) {
  const std::string seconds = std::to_string(kIssued);
  const std::vector<std::string> texts = {
      "",
      "-",
      seconds,
      seconds + "-",
      seconds + "-1234567",
      seconds + "-" + std::string(65, 'a'),
      seconds + "-12345678\n",
      seconds + "-1234 5678",
      "-12345678",
      "0-12345678",
      "0" + seconds + "-12345678",
      "+" + seconds + "-12345678",
      " " + seconds + "-12345678",
      "17648x0000-12345678",
      "123456789012-12345678",
  };
  for (const std::string& text : texts) {
    EXPECT_THROW(IdempotencyKey::Parse(text, kIssuedAt),
                 MalformedIdempotencyKeyError)
        << text;
  }
}

// Guards against a retry that runs again because its record was purged.
TEST_F(IdempotencyKeyTest, OlderThanMaxAge_Parse_IsExpired) {
  const WallTime last = kIssuedAt + kMaxIdempotencyKeyAge;
  EXPECT_NO_THROW(IdempotencyKey::Parse(kKey, last));
  EXPECT_THROW(IdempotencyKey::Parse(kKey, last + nanoseconds(1)),
               IdempotencyKeyExpiredError);
  EXPECT_THROW(IdempotencyKey::Parse("1-12345678", last),
               IdempotencyKeyExpiredError);
}

// Guards against a key that stays valid longer than its record is kept, even if
// its issue time does not fit into a 64-bit number of nanoseconds.
TEST_F(IdempotencyKeyTest, FromFuture_Parse_IsRefused) {
  const WallTime first = kIssuedAt - kMaxIdempotencyKeyLead;
  EXPECT_NO_THROW(IdempotencyKey::Parse(kKey, first));
  EXPECT_THROW(IdempotencyKey::Parse(kKey, first - nanoseconds(1)),
               IdempotencyKeyFromFutureError);
  EXPECT_THROW(IdempotencyKey::Parse("99999999999-12345678", kIssuedAt),
               IdempotencyKeyFromFutureError);
}

// Guards against malformed keys that are accepted or that cause an exception of
// another type.
RC_GTEST_PROP(IdempotencyKeyProperty, AnyText_Parse_AcceptsOnlyTheFormat,
              (bool hyphen)) {
  const auto suffix = *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("0123456789-_aZ \n")));
  const std::string text = (hyphen ? "-" : "") + suffix;
  const std::string key = std::to_string(kIssued) + text;
  const bool well_formed = text.size() >= 9 && text.size() <= 65 &&
                           text[0] == '-' &&
                           text.find_first_of(" \n") == std::string::npos;
  RC_CLASSIFY(well_formed);
  try {
    IdempotencyKey::Parse(key, kIssuedAt);
    RC_ASSERT(well_formed);
  } catch (const BadIdempotencyKeyError& error) {
    RC_ASSERT(!well_formed);
  }
}

// Guards against a retry that is treated as another request.
TEST_F(IdempotencyKeyTest, SameRequest_OperationsDigest_IsEqual) {
  const std::string original = DigestOf(
      "r", R"([{"op":"put","table":"t","key":"k","value":{"a":1,"b":2}}])");
  const std::string reordered = DigestOf(
      "r", R"([{"value":{"b":2,"a":1},"key":"k","table":"t","op":"put"}])");
  EXPECT_EQ(original, reordered);
  EXPECT_EQ(original.size(), 64U);
}

// Guards against answering one request with the stored result of another.
TEST_F(IdempotencyKeyTest, OtherRequest_OperationsDigest_Differs) {
  const std::vector<std::string> digests = {
      DigestOf("r", R"([{"op":"add","table":"t","key":"k","amount":1}])"),
      DigestOf("s", R"([{"op":"add","table":"t","key":"k","amount":1}])"),
      DigestOf("r", R"([{"op":"add","table":"t","key":"k","amount":2}])"),
      DigestOf("r", R"([{"op":"add","table":"tk","key":"","amount":1}])"),
      DigestOf("r", R"([{"op":"add","table":"t","key":"k","amount":1},
                        {"op":"add","table":"t","key":"k","amount":1}])"),
      DigestOf("r", R"([{"op":"put","table":"t","key":"k","value":1}])"),
      DigestOf("r", R"([{"op":"insert","table":"t","key":"k","value":1}])"),
      DigestOf("r", R"([{"op":"put","table":"t","key":"k","value":"1"}])"),
  };
  for (std::size_t i = 0; i < digests.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) EXPECT_NE(digests[i], digests[j]);
  }
}

// Guards against an exception on strings that are not valid UTF-8.
TEST_F(IdempotencyKeyTest, InvalidUtf8_OperationsDigest_IsDefined) {
  const Operations first = {GetOperation{"t", "\xff"}};
  const Operations second = {GetOperation{"t", "\xfe"}};
  EXPECT_NE(OperationsDigest(RouteId("r"), first),
            OperationsDigest(RouteId("r"), second));
}

}  // namespace
}  // namespace camphorferry::request
