#ifndef CAMPHORFERRY_CONNECTION_HTTP_MESSAGE_H_
#define CAMPHORFERRY_CONNECTION_HTTP_MESSAGE_H_

#include <cstdint>
#include <map>
#include <string>

#include "Common/common.h"

namespace camphorferry::connection {

/// IP address and port that a process listens on or connects to.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const SocketAddress&) const = default;
};

/// A text does not have the form IP:PORT.
class BadSocketAddressError : public common::Error {
 public:
  explicit BadSocketAddressError(const std::string& text);
};

/// Parses IP:PORT; throws BadSocketAddressError.
SocketAddress ParseSocketAddress(const std::string& text);

/// Formats an address as IP:PORT, the form that ParseSocketAddress accepts.
std::string ToString(const SocketAddress& address);

/// Headers or query parameters; header names are in lower case.
using HttpFields = std::map<std::string, std::string>;

/// HTTP request, received by a server or sent by a client.
struct HttpRequest {
  std::string method = "GET";
  std::string path;
  HttpFields query;
  HttpFields headers;
  std::string body;
  /// Identifies the connection that the request arrived on; unique within one
  /// server. 0 in a client's request.
  std::uint64_t connection_id = 0;

  /// Value of a header, or an empty string.
  const std::string& Header(const std::string& lower_case_name) const;

  /// Value of a query parameter, or an empty string.
  const std::string& Query(const std::string& name) const;
};

/// HTTP response.
struct HttpResponse {
  int status = 200;
  HttpFields headers;
  std::string body;
  /// True if the connection is closed after the response.
  bool close = false;
};

/// Why a client received no response.
enum class HttpFailure {
  /// No connection could be made, so the server has not received the request.
  kNotSent,
  /// The request was sent, or partly sent; the server may have processed it.
  kNoAnswer,
};

}  // namespace camphorferry::connection

#endif  // CAMPHORFERRY_CONNECTION_HTTP_MESSAGE_H_
