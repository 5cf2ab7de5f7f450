#ifndef CAMPHORFERRY_COMMON_TEXT_RULES_H_
#define CAMPHORFERRY_COMMON_TEXT_RULES_H_

#include <cstddef>
#include <string_view>

namespace camphorferry::common {

/// Longest name of an object or host. Names appear in every log line about the
/// object.
inline constexpr std::size_t kMaxNameLength = 64;

/// What IsName accepts, for messages to people.
inline constexpr std::string_view kNameRule =
    "1 to 64 letters, digits, '-', '_' or '.'";
/// What IsIpAndPort accepts, for messages to people.
inline constexpr std::string_view kIpAndPortRule =
    "IP:PORT with a numeric IPv4 address";
/// What IsSha256Hex accepts, for messages to people.
inline constexpr std::string_view kSha256HexRule =
    "64 lower-case hexadecimal digits";

/// True for 1 to 64 letters, digits, '-', '_' and '.'; such names need no
/// quoting in logs, paths and JSON.
bool IsName(std::string_view text);

/// True for IP:PORT with a numeric IPv4 address. Names are not accepted, since
/// processes resolve none.
bool IsIpAndPort(std::string_view text);

/// True for 64 lower-case hexadecimal digits, the form of Sha256Hex.
bool IsSha256Hex(std::string_view text);

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_TEXT_RULES_H_
