#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Common/common.h"

namespace camphorferry::common {
namespace {

using nlohmann::json;

class JsonTextTest : public testing::Test {};

TEST_F(JsonTextTest, SplitJsonObject_NestedValues_ReturnsTheirTexts) {
  const JsonMembers members = SplitJsonObject(
      R"( { "a" : {"b":[1,2]} , "c":"},\"]", "d": -1e400,"a2":[],"c":[ ] } )");
  EXPECT_EQ(members, (JsonMembers{{"a", R"({"b":[1,2]} )"},
                                  {"c", "[ ] "},
                                  {"d", "-1e400"},
                                  {"a2", "[]"}}));
  EXPECT_TRUE(SplitJsonObject("{ }").empty());
}

TEST_F(JsonTextTest, SplitJsonArray_NestedElements_ReturnsTheirTexts) {
  EXPECT_EQ(
      SplitJsonArray(R"([1,"\\",{"a":"]"},[[]]])"),
      (std::vector<std::string_view>{"1", R"("\\")", R"({"a":"]"})", "[[]]"}));
  EXPECT_TRUE(SplitJsonArray("[]").empty());
}

// Guards against a text that ends early and is taken for a shorter one.
TEST_F(JsonTextTest, Split_IncompleteOrOtherText_Throws) {
  for (const char* text : {"", "[", "{", "[1", "[1,", "[1,]", "[,1]", "[1]]",
                           "[[1]", "[\"a]", "[\"\\", "7", "null", "{}"}) {
    EXPECT_THROW(SplitJsonArray(text), JsonTextError) << text;
  }
  for (const char* text : {"", "{", "{\"a", "{\"a\"", "{\"a\":", "{\"a\":1",
                           "{\"a\":1,}", "{\"a\":}", "{a:1}", "{}x", "[]"}) {
    EXPECT_THROW(SplitJsonObject(text), JsonTextError) << text;
  }
  EXPECT_THROW(FindJsonMember(SplitJsonObject("{}"), "a"), JsonTextError);
}

TEST_F(JsonTextTest, ParseJson_NestingAboveLimit_Throws) {
  for (const char* text : {R"([[1],{"a":2}])", R"({"a":[]})", "7", "[]"}) {
    EXPECT_EQ(ParseJson(text, 2), json::parse(text));
  }
  EXPECT_EQ(ParseJson("7", 0), json(7));
  for (const char* text : {"[[[]]]", R"({"a":[{}]})", R"([1,[2,[]]])"}) {
    EXPECT_THROW(ParseJson(text, 2), JsonTextError) << text;
  }
}

// Guards against a message that repeats a long text in the log.
TEST_F(JsonTextTest, ParseJson_InvalidText_ThrowsShortMessage) {
  const std::string long_text(100'000, 'a');
  for (const std::string& text :
       {std::string(), std::string("1e400"), "\"" + long_text,
        "\"" + long_text + "\\ud800\"", long_text, std::string("\"\xff\"")}) {
    try {
      ParseJson(text, 2);
      ADD_FAILURE() << text.substr(0, 10);
    } catch (const JsonTextError& error) {
      EXPECT_LT(std::string(error.what()).size(), 100U);
    }
  }
}

// Guards against input that crashes the process.
RC_GTEST_PROP(JsonTextPropertyTest, Split_AnyText_ThrowsOnlyItsError, ()) {
  const auto text = *rc::gen::container<std::string>(
      rc::gen::element('[', ']', '{', '}', '"', '\\', ',', ':', '1', ' '));
  try {
    SplitJsonArray(text);
  } catch (const JsonTextError&) {
  }
  try {
    SplitJsonObject(text);
  } catch (const JsonTextError&) {
  }
}

// Guards against a split that a parser of the whole text does not agree with.
RC_GTEST_PROP(JsonTextPropertyTest, Split_ValidText_AgreesWithParser,
              (const std::map<std::string, std::vector<std::string>>& value)) {
  json document = json::object();
  for (const auto& [name, strings] : value) {
    json list = json::array();
    for (const std::string& text : strings) list.push_back(text);
    document[name] = list;
  }
  const std::string text =
      document.dump(*rc::gen::element(-1, 2), ' ',
                    /*ensure_ascii=*/true, json::error_handler_t::replace);
  json joined = json::object();
  for (const auto& [name, list] : SplitJsonObject(text)) {
    const std::string quoted = "\"" + std::string(name) + "\"";
    json& elements = joined[json::parse(quoted).get<std::string>()];
    elements = json::array();
    for (const std::string_view element : SplitJsonArray(list)) {
      elements.push_back(json::parse(element));
    }
  }
  RC_ASSERT(joined == json::parse(text));
}

}  // namespace
}  // namespace camphorferry::common
