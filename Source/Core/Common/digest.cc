#include "Common/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <array>
#include <cstdint>

namespace camphorferry::common {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::string_view kBase64UrlAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

const unsigned char* Bytes(std::string_view data) {
  return reinterpret_cast<const unsigned char*>(data.data());
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(Bytes(data), data.size(), digest.data());
  std::string text;
  text.reserve(digest.size() * 2);
  for (const unsigned char byte : digest) {
    text.push_back(kHexDigits[byte >> 4]);
    text.push_back(kHexDigits[byte & 0x0f]);
  }
  return text;
}

std::string HmacSha256(std::string_view secret, std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> code{};
  unsigned int length = code.size();
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       Bytes(data), data.size(), code.data(), &length);
  return std::string(reinterpret_cast<const char*>(code.data()), length);
}

bool ConstantTimeEquals(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string Base64UrlEncode(std::string_view data) {
  std::string text;
  std::uint32_t buffer = 0;
  int bits = 0;
  for (const char byte : data) {
    buffer = (buffer << 8) | static_cast<unsigned char>(byte);
    bits += 8;
    while (bits >= 6) {
      bits -= 6;
      text.push_back(kBase64UrlAlphabet[(buffer >> bits) & 0x3f]);
    }
  }
  if (bits > 0) {
    text.push_back(kBase64UrlAlphabet[(buffer << (6 - bits)) & 0x3f]);
  }
  return text;
}

bool Base64UrlDecode(std::string_view text, std::string* data) {
  data->clear();
  std::uint32_t buffer = 0;
  int bits = 0;
  for (const char character : text) {
    const std::size_t value = kBase64UrlAlphabet.find(character);
    if (value == std::string_view::npos) return false;
    buffer = (buffer << 6) | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      data->push_back(static_cast<char>((buffer >> bits) & 0xff));
    }
  }
  // Unused trailing bits must be zero, so that each value has exactly one
  // encoding.
  const std::uint32_t rest = buffer & ((1U << bits) - 1U);
  return bits < 6 && rest == 0;
}

}  // namespace camphorferry::common
