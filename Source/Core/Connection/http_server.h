#ifndef CAMPHORFERRY_CONNECTION_HTTP_SERVER_H_
#define CAMPHORFERRY_CONNECTION_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "Connection/event_loop.h"
#include "Connection/http_message.h"

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace camphorferry::connection {

/// The listening socket could not be opened.
class ListenError : public common::Error {
 public:
  explicit ListenError(const SocketAddress& address);
};

/// Limits that a server enforces on its clients.
struct HttpServerLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 1024 * 1024;
  /// A connection without any traffic for this long is closed.
  common::Duration idle_timeout = std::chrono::seconds(60);
};

/// Sends the response to one request, at most once. If none was sent, the
/// destructor sends status 500, since libevent frees a request only after a
/// response.
class HttpResponder {
 public:
  HttpResponder(evhttp_request* request, std::shared_ptr<bool> server_alive,
                std::shared_ptr<std::size_t> active);
  ~HttpResponder();
  HttpResponder(const HttpResponder&) = delete;
  HttpResponder& operator=(const HttpResponder&) = delete;

  /// Sends the response; later calls do nothing.
  void Send(const HttpResponse& response);

  /// Closes the connection without a response, as a crashing server would. The
  /// process must ignore SIGPIPE.
  void CloseWithoutResponse();

 private:
  evhttp_request* request;
  std::shared_ptr<bool> server_alive;
  std::shared_ptr<std::size_t> active;
};

/// HTTP/1.1 server on an event loop.
class HttpServer {
 public:
  using Handler =
      std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

  /// Listens on the address; with port 0 the system chooses a free port. Throws
  /// ListenError.
  HttpServer(EventLoop* loop, const SocketAddress& address,
             const HttpServerLimits& limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The port that the server listens on.
  std::uint16_t Port() const { return this->port; }

  /// Number of requests that were received and not yet answered.
  std::size_t ActiveRequests() const { return *this->active; }

  /// Number of open connections that have sent at least one request.
  std::size_t OpenConnections() const { return this->connections.size(); }

  /// Closes the listening socket; open connections stay open.
  void StopListening();

 private:
  static void OnRequest(evhttp_request* request, void* context);
  static void OnClose(evhttp_connection* connection, void* context);
  std::uint64_t ConnectionId(evhttp_request* request);

  evhttp* server = nullptr;
  evhttp_bound_socket* socket = nullptr;
  Handler handler;
  std::uint16_t port = 0;
  std::uint64_t next_connection_id = 1;
  std::unordered_map<evhttp_connection*, std::uint64_t> connections;
  /// Shared with the responders, which may outlive the server.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  std::shared_ptr<std::size_t> active = std::make_shared<std::size_t>(0);
};

}  // namespace camphorferry::connection

#endif  // CAMPHORFERRY_CONNECTION_HTTP_SERVER_H_
