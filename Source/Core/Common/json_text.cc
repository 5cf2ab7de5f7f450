#include "Common/json_text.h"

#include <algorithm>
#include <cstddef>
#include <nlohmann/json.hpp>

namespace camphorferry::common {

namespace {

using nlohmann::json;

/// Reads the punctuation of a text from its start to its end. Uses no
/// recursion, because the nesting of the text is not limited.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : text(text) {}

  /// Skips the character after any blanks if it is the given one.
  bool Skip(char character) {
    this->SkipBlanks();
    if (this->AtEnd() || this->text[this->position] != character) return false;
    ++this->position;
    return true;
  }

  void Expect(char character) {
    if (!this->Skip(character)) this->Fail();
  }

  void ExpectEnd() {
    this->SkipBlanks();
    if (!this->AtEnd()) this->Fail();
  }

  /// Returns the characters between the quotes of a string.
  std::string_view TakeString() {
    this->Expect('"');
    const std::size_t start = this->position;
    this->SkipRestOfString();
    return this->text.substr(start, this->position - start - 1);
  }

  /// Returns the text up to the punctuation that ends the value.
  std::string_view TakeValue() {
    this->SkipBlanks();
    const std::size_t start = this->position;
    std::size_t depth = 0;
    for (; !this->AtEnd(); ++this->position) {
      const char character = this->text[this->position];
      const bool opens = character == '[' || character == '{';
      const bool closes = character == ']' || character == '}';
      if (depth == 0 && (closes || character == ',')) break;
      if (opens) ++depth;
      if (closes) --depth;
      if (character == '"') {
        ++this->position;
        this->SkipRestOfString();
        --this->position;
      }
    }
    if (depth > 0 || this->position == start) this->Fail();
    return this->text.substr(start, this->position - start);
  }

 private:
  bool AtEnd() const { return this->position >= this->text.size(); }

  void SkipBlanks() {
    this->position =
        std::min(this->text.find_first_not_of(" \t\r\n", this->position),
                 this->text.size());
  }

  /// Moves from the first character of a string to the one after its closing
  /// quote.
  void SkipRestOfString() {
    for (; !this->AtEnd(); ++this->position) {
      const char character = this->text[this->position];
      if (character == '"') {
        ++this->position;
        return;
      }
      if (character == '\\') ++this->position;
    }
    this->Fail();
  }

  [[noreturn]] void Fail() const {
    throw JsonTextError("unexpected text at byte " +
                        std::to_string(this->position));
  }

  std::string_view text;
  std::size_t position = 0;
};

}  // namespace

JsonTextError::JsonTextError(const std::string& what)
    : Error("invalid JSON: " + what) {}

JsonMembers SplitJsonObject(std::string_view text) {
  Scanner scanner(text);
  JsonMembers members;
  scanner.Expect('{');
  if (!scanner.Skip('}')) {
    do {
      const std::string_view name = scanner.TakeString();
      scanner.Expect(':');
      members[name] = scanner.TakeValue();
    } while (scanner.Skip(','));
    scanner.Expect('}');
  }
  scanner.ExpectEnd();
  return members;
}

std::vector<std::string_view> SplitJsonArray(std::string_view text) {
  Scanner scanner(text);
  std::vector<std::string_view> elements;
  scanner.Expect('[');
  if (!scanner.Skip(']')) {
    do {
      elements.push_back(scanner.TakeValue());
    } while (scanner.Skip(','));
    scanner.Expect(']');
  }
  scanner.ExpectEnd();
  return elements;
}

std::string_view FindJsonMember(const JsonMembers& members,
                                std::string_view name) {
  const auto found = members.find(name);
  if (found == members.end()) {
    throw JsonTextError("no member '" + std::string(name) + "'");
  }
  return found->second;
}

json ParseJson(std::string_view text, int max_depth) {
  const auto check_depth = [max_depth](int depth, json::parse_event_t event,
                                       json& /*parsed*/) {
    const bool opens = event == json::parse_event_t::array_start ||
                       event == json::parse_event_t::object_start;
    if (opens && depth >= max_depth) throw JsonTextError("nested too deeply");
    return true;
  };
  try {
    return json::parse(text, check_depth);
  } catch (const json::parse_error& error) {
    throw JsonTextError("unexpected text at byte " +
                        std::to_string(error.byte));
  } catch (const json::out_of_range&) {
    throw JsonTextError("number out of range");
  }
}

}  // namespace camphorferry::common
