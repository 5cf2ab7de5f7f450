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

/// The text is not of the form IP:PORT.
class BadSocketAddressError : public common::Error {
 public:
  explicit BadSocketAddressError(const std::string& text);
};

/// Parses IP:PORT; throws BadSocketAddressError.
SocketAddress ParseSocketAddress(const std::string& text);

/// The form that ParseSocketAddress reads.
std::string ToString(const SocketAddress& address);

/// Headers or query parameters; header names are in lower case.
using HttpFields = std::map<std::string, std::string>;

/// Request that a server received or a client sends.
struct HttpRequest {
  std::string method = "GET";
  std::string path;
  HttpFields query;
  HttpFields headers;
  std::string body;
  /// Identifies the connection that the request came on; unique in a process.
  std::uint64_t connection_id = 0;

  /// Value of a header, or the empty text.
  const std::string& Header(const std::string& lower_case_name) const;

  /// Value of a query parameter, or the empty text.
  const std::string& Query(const std::string& name) const;
};

/// Answer to a request.
struct HttpResponse {
  int status = 200;
  HttpFields headers;
  std::string body;
  /// Closes the connection after the answer.
  bool close = false;
};

/// Why a client got no answer.
enum class HttpFailure {
  /// No connection could be made, so the server has not seen the request.
  kNotSent,
  /// The server may have received the request.
  kNoAnswer,
};

}  // namespace camphorferry::connection

#endif  // CAMPHORFERRY_CONNECTION_HTTP_MESSAGE_H_
