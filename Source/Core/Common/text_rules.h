#ifndef CAMPHORFERRY_COMMON_TEXT_RULES_H_
#define CAMPHORFERRY_COMMON_TEXT_RULES_H_

#include <cstddef>
#include <string_view>

namespace camphorferry::common {

/// Maximum length of the name of an object or host, in characters. Names are
/// limited because they appear in every log line about the object.
inline constexpr std::size_t kMaxNameLength = 64;

/// Description of what IsValidName accepts, for error messages.
inline constexpr std::string_view kNameRule =
    "1 to 64 letters, digits, '-', '_' or '.'";
/// Description of what IsIpAndPort accepts, for error messages.
inline constexpr std::string_view kIpAndPortRule =
    "IP:PORT with a numeric IPv4 address";
/// Description of what IsSha256Hex accepts, for error messages.
inline constexpr std::string_view kSha256HexRule =
    "64 lower-case hexadecimal digits";

/// True for 1 to 64 letters, digits, '-', '_' and '.'; such names need no
/// quoting in logs, paths and JSON.
bool IsValidName(std::string_view text);

/// True for IP:PORT with a numeric IPv4 address. Host names are not accepted,
/// since the processes do not resolve names.
bool IsIpAndPort(std::string_view text);

/// True for 64 lower-case hexadecimal digits, as Sha256Hex returns them.
bool IsSha256Hex(std::string_view text);

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_TEXT_RULES_H_
