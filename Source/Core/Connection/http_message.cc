#include "Connection/http_message.h"

#include <charconv>

namespace camphorferry::connection {

namespace {

const std::string& FindOrEmpty(const HttpFields& fields,
                               const std::string& name) {
  static const std::string kAbsent;
  const auto found = fields.find(name);
  return found == fields.end() ? kAbsent : found->second;
}

}  // namespace

BadSocketAddressError::BadSocketAddressError(const std::string& text)
    : Error("expected IP:PORT, found '" + text + "'") {}

SocketAddress ParseSocketAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    throw BadSocketAddressError(text);
  }
  SocketAddress address;
  address.ip = text.substr(0, colon);
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(first, last, address.port);
  if (parsed.ec != std::errc() || parsed.ptr != last || first == last) {
    throw BadSocketAddressError(text);
  }
  return address;
}

std::string ToString(const SocketAddress& address) {
  return address.ip + ":" + std::to_string(address.port);
}

const std::string& HttpRequest::Header(
    const std::string& lower_case_name) const {
  return FindOrEmpty(this->headers, lower_case_name);
}

const std::string& HttpRequest::Query(const std::string& name) const {
  return FindOrEmpty(this->query, name);
}

}  // namespace camphorferry::connection
