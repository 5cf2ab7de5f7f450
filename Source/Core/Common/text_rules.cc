#include "Common/text_rules.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>

namespace camphorferry::common {

namespace {

constexpr std::size_t kSha256HexLength = 64;

bool IsNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' ||
         character == '_' || character == '.';
}

bool IsHexDigit(char character) {
  return (character >= '0' && character <= '9') ||
         (character >= 'a' && character <= 'f');
}

bool IsPort(std::string_view text) {
  std::uint16_t port = 0;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, port);
  return parsed.ec == std::errc() && parsed.ptr == last;
}

}  // namespace

bool IsValidName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsIpAndPort(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  const std::string ip(text.substr(0, colon));
  // inet_pton stops at a NUL byte and would ignore the text after it.
  if (ip.find('\0') != std::string::npos) return false;
  in_addr parsed{};
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1) return false;
  return IsPort(text.substr(colon + 1));
}

bool IsSha256Hex(std::string_view text) {
  return text.size() == kSha256HexLength &&
         std::all_of(text.begin(), text.end(), IsHexDigit);
}

}  // namespace camphorferry::common
