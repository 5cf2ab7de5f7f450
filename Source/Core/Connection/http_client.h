#ifndef CAMPHORFERRY_CONNECTION_HTTP_CLIENT_H_
#define CAMPHORFERRY_CONNECTION_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <variant>

#include "Connection/event_loop.h"
#include "Connection/http_message.h"

namespace camphorferry::connection {

/// Answer to a client's request, or why there is none.
using HttpResult = std::variant<HttpResponse, HttpFailure>;

/// One client connection that carries one request at a time. After a failure
/// it is closed for good and must be replaced, so that a late answer can never
/// be taken for the answer to a later request.
class HttpClientConnection {
 public:
  using Callback = std::function<void(HttpResult)>;

  HttpClientConnection(EventLoop* loop, SocketAddress address);
  /// Closes the connection; a pending request's callback is not called.
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;

  /// Sends a request; the connection must be idle and usable. The callback is
  /// called once from the event loop, never from within Send.
  void Send(const HttpRequest& request, common::Duration timeout,
            Callback callback);

  /// True while a request has no answer yet.
  bool Busy() const;

  /// False after a failure or after the server asked to close.
  bool Usable() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

/// Sends one request on a connection of its own.
void SendHttpOnce(EventLoop* loop, const SocketAddress& address,
                  const HttpRequest& request, common::Duration timeout,
                  HttpClientConnection::Callback callback);

/// Sends one request and runs a loop of its own until the answer or failure.
/// For command line tools.
HttpResult SendHttpBlocking(const SocketAddress& address,
                            const HttpRequest& request,
                            common::Duration timeout);

}  // namespace camphorferry::connection

#endif  // CAMPHORFERRY_CONNECTION_HTTP_CLIENT_H_
