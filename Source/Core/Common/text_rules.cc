#include "Common/text_rules.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>

namespace camphorferry::common {

namespace {

constexpr std::size_t kSha256HexLength = 64;

bool IsNameLetter(char letter) {
  return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
         (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' ||
         letter == '.';
}

bool IsHexDigit(char letter) {
  return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
}

bool IsPort(std::string_view text) {
  std::uint16_t port = 0;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, port);
  return parsed.ec == std::errc() && parsed.ptr == last;
}

}  // namespace

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), IsNameLetter);
}

bool IsIpAndPort(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  const std::string ip(text.substr(0, colon));
  // The C function stops at a zero byte, which must not hide what follows.
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
