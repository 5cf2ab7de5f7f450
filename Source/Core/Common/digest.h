#ifndef CAMPHORFERRY_COMMON_DIGEST_H_
#define CAMPHORFERRY_COMMON_DIGEST_H_

#include <string>
#include <string_view>

namespace camphorferry::common {

/// SHA-256 of the data as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

/// HMAC-SHA256 of the data as 32 raw bytes.
std::string HmacSha256(std::string_view secret, std::string_view data);

/// Compares two texts in constant time, so that the timing does not reveal
/// where they differ. Texts of different lengths are unequal at once.
bool ConstantTimeEquals(std::string_view left, std::string_view right);

/// Base64url without padding (RFC 4648, section 5).
std::string Base64UrlEncode(std::string_view data);

/// Decodes base64url without padding; false if the text is not valid.
bool Base64UrlDecode(std::string_view text, std::string* data);

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_DIGEST_H_
