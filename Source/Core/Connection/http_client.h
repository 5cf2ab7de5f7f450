#ifndef CAMPHORFERRY_CONNECTION_HTTP_CLIENT_H_
#define CAMPHORFERRY_CONNECTION_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <variant>

#include "Connection/event_loop.h"
#include "Connection/http_message.h"

namespace camphorferry::connection {

/// Response to a client's request, or the reason why there is none.
using HttpResult = std::variant<HttpResponse, HttpFailure>;

/// What becomes of bytes that have not reached the server when the connection
/// is closed, also by the end of this process.
enum class UnsentBytes {
  /// The kernel goes on delivering them.
  kDeliver,
  /// They are discarded, and the server gets a reset. The connection also ends
  /// if the server doesn't acknowledge them within the timeout of the request,
  /// whether this process runs or not.
  kDiscard
};

/// Client connection that carries one request at a time. After a failure it is
/// closed permanently and must be replaced, so that a late response can never
/// be matched to a later request.
class HttpClientConnection {
 public:
  using Callback = std::function<void(HttpResult)>;

  HttpClientConnection(EventLoop* loop, SocketAddress address,
                       UnsentBytes unsent = UnsentBytes::kDeliver);
  /// Closes the connection. The callback of a pending request is not called.
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;

  /// Sends a request. The connection must be usable and not busy. The timeout
  /// bounds the time until the response begins. Each pause while it arrives is
  /// bounded by the timeout, and by one second (noticed within two). The
  /// callback is called once from the event loop, never from within Send.
  void Send(const HttpRequest& request, common::Duration timeout,
            Callback callback);

  /// True while a request is pending.
  bool Busy() const;

  /// False after a failure or after a response with "Connection: close".
  bool Usable() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

/// Sends one request on a new connection, which is closed afterwards.
void SendHttpOnce(EventLoop* loop, const SocketAddress& address,
                  const HttpRequest& request, common::Duration timeout,
                  HttpClientConnection::Callback callback);

/// Sends one request and blocks until it is answered or has failed, running an
/// event loop of its own. For command-line tools.
HttpResult SendHttpBlocking(const SocketAddress& address,
                            const HttpRequest& request,
                            common::Duration timeout);

}  // namespace camphorferry::connection

#endif  // CAMPHORFERRY_CONNECTION_HTTP_CLIENT_H_
