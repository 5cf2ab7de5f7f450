#include "Request/session_token.h"

#include <cstdint>
#include <utility>

namespace camphorferry::request {

namespace {

using common::LogPosition;
using common::ServiceId;
using common::WorkspaceId;

// Body: version, workspace, number of services, then service, term and index
// of each in ascending order of service. Strings are length-prefixed and the
// signature covers the whole body, so shifting a field boundary invalidates it.
constexpr char kFormatVersion = 1;
constexpr std::size_t kSignatureBytes = 32;
constexpr std::size_t kMaxVarintBytes = 10;
constexpr int kVarintBits = 7;
constexpr std::uint8_t kVarintContinuationBit = 0x80;
constexpr std::uint8_t kVarintValueMask = 0x7f;
// Base64 encodes three bytes as four characters.
constexpr std::size_t kMaxBodyBytes =
    kMaxSessionTextLength / 4 * 3 - kSignatureBytes;

void AppendVarint(std::uint64_t value, std::string* data) {
  while (value > kVarintValueMask) {
    data->push_back(
        static_cast<char>(kVarintContinuationBit | (value & kVarintValueMask)));
    value >>= kVarintBits;
  }
  data->push_back(static_cast<char>(value));
}

void AppendText(const std::string& text, std::string* data) {
  AppendVarint(text.size(), data);
  data->append(text);
}

std::size_t MaxTextSize(const std::string& text) {
  return kMaxVarintBytes + text.size();
}

std::size_t MaxEntrySize(const ServiceId& service) {
  return MaxTextSize(service.Value()) + 2 * kMaxVarintBytes;
}

/// Reads the fields of a body. Accepts only the canonical encoding that Encode
/// writes, so that each token has exactly one text.
class BodyReader {
 public:
  explicit BodyReader(std::string_view rest) : rest(rest) {}

  std::uint8_t Byte() {
    if (this->rest.empty()) Fail();
    const auto byte = static_cast<std::uint8_t>(this->rest.front());
    this->rest.remove_prefix(1);
    return byte;
  }

  std::uint64_t Varint() {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += kVarintBits) {
      const std::uint8_t byte = this->Byte();
      const std::uint64_t part = byte & kVarintValueMask;
      if (part << shift >> shift != part) Fail();
      value |= part << shift;
      if ((byte & kVarintContinuationBit) != 0) continue;
      const bool padded = part == 0 && shift > 0;
      if (padded) Fail();
      return value;
    }
    Fail();
  }

  std::string Text() {
    const std::uint64_t length = this->Varint();
    if (length > this->rest.size()) Fail();
    std::string text(this->rest.substr(0, length));
    this->rest.remove_prefix(length);
    return text;
  }

  bool AtEnd() const { return this->rest.empty(); }

  [[noreturn]] static void Fail() {
    throw BadSessionTokenError(SessionTokenFault::kMalformed);
  }

 private:
  std::string_view rest;
};

bool IsSigned(std::string_view body, std::string_view signature,
              const SessionSecrets& secrets) {
  bool valid = false;
  for (const std::string& secret : secrets) {
    // Anyone can compute a signature with an empty secret.
    if (secret.empty()) continue;
    const std::string expected = common::HmacSha256(secret, body);
    valid |= common::ConstantTimeEquals(expected, signature);
  }
  return valid;
}

std::string FaultText(SessionTokenFault fault) {
  switch (fault) {
    case SessionTokenFault::kMalformed:
      return "session token is malformed";
    case SessionTokenFault::kWrongSignature:
      return "session token has a wrong signature";
    case SessionTokenFault::kOtherWorkspace:
      return "session token belongs to another workspace";
    case SessionTokenFault::kTooLong:
      return "session token is too long";
  }
  return "invalid session token";
}

}  // namespace

BadSessionTokenError::BadSessionTokenError(SessionTokenFault fault)
    : Error(FaultText(fault)), fault(fault) {}

SessionTooWideError::SessionTooWideError(std::size_t services)
    : Error("session token is full with " + std::to_string(services) +
            " services"),
      services(services) {}

MissingSessionSecretError::MissingSessionSecretError()
    : Error("no secret to sign session tokens with") {}

SessionToken::SessionToken(WorkspaceId workspace)
    : workspace(std::move(workspace)),
      max_body_size(sizeof(kFormatVersion) +
                    MaxTextSize(this->workspace.Value()) + kMaxVarintBytes) {
  if (this->max_body_size > kMaxBodyBytes) throw SessionTooWideError(0);
}

SessionToken SessionToken::Decode(std::string_view text,
                                  const SessionSecrets& secrets,
                                  const WorkspaceId& workspace) {
  if (text.size() > kMaxSessionTextLength) {
    throw BadSessionTokenError(SessionTokenFault::kTooLong);
  }
  std::string data;
  if (!common::Base64UrlDecode(text, &data)) BodyReader::Fail();
  if (data.size() <= kSignatureBytes) BodyReader::Fail();
  const std::string_view all = data;
  const std::string_view body = all.substr(0, all.size() - kSignatureBytes);
  const std::string_view signature = all.substr(body.size());
  if (!IsSigned(body, signature, secrets)) {
    throw BadSessionTokenError(SessionTokenFault::kWrongSignature);
  }
  BodyReader reader(body);
  if (reader.Byte() != kFormatVersion) BodyReader::Fail();
  if (reader.Text() != workspace.Value()) {
    throw BadSessionTokenError(SessionTokenFault::kOtherWorkspace);
  }
  SessionToken token(workspace);
  const std::uint64_t count = reader.Varint();
  if (count > kMaxSessionServices) BodyReader::Fail();
  for (std::uint64_t entry = 0; entry < count; ++entry) {
    const ServiceId service(reader.Text());
    const LogPosition position{reader.Varint(), reader.Varint()};
    const bool ascending =
        token.positions.empty() || token.positions.rbegin()->first < service;
    if (!ascending || position == LogPosition{}) BodyReader::Fail();
    token.Advance(service, position);
  }
  if (!reader.AtEnd()) BodyReader::Fail();
  return token;
}

std::string SessionToken::Encode(const SessionSecrets& secrets) const {
  if (secrets.empty() || secrets.front().empty()) {
    throw MissingSessionSecretError();
  }
  std::string data(1, kFormatVersion);
  AppendText(this->workspace.Value(), &data);
  AppendVarint(this->positions.size(), &data);
  for (const auto& [service, position] : this->positions) {
    AppendText(service.Value(), &data);
    AppendVarint(position.term, &data);
    AppendVarint(position.index, &data);
  }
  data.append(common::HmacSha256(secrets.front(), data));
  return common::Base64UrlEncode(data);
}

void SessionToken::Advance(const ServiceId& service, LogPosition position) {
  if (position == LogPosition{}) return;
  const auto found = this->positions.find(service);
  if (found != this->positions.end()) {
    if (found->second < position) found->second = position;
    return;
  }
  const std::size_t body_size = this->max_body_size + MaxEntrySize(service);
  const bool full = this->positions.size() >= kMaxSessionServices;
  if (full || body_size > kMaxBodyBytes) {
    throw SessionTooWideError(this->positions.size());
  }
  this->positions.emplace(service, position);
  this->max_body_size = body_size;
}

LogPosition SessionToken::PositionOf(const ServiceId& service) const {
  const auto found = this->positions.find(service);
  if (found == this->positions.end()) return LogPosition{};
  return found->second;
}

}  // namespace camphorferry::request
