#ifndef CAMPHORFERRY_PROCESS_CLIENT_HTTP_SERVER_H_
#define CAMPHORFERRY_PROCESS_CLIENT_HTTP_SERVER_H_

#include <functional>
#include <memory>

#include "Process/request_context.h"
#include "Process/request_task.h"

namespace camphorferry::process {

/// HTTP server for clients: statements, liveness and readiness.
class ClientHttpServer {
 public:
  /// `ready` tells whether the daemon accepts requests of clients.
  ClientHttpServer(connection::EventLoop* loop,
                   const connection::SocketAddress& address,
                   RequestContext* context, std::function<bool()> ready);

  std::uint16_t Port() const { return this->server.Port(); }

  /// Closes the listening socket. Requests on open connections continue.
  void StopListening() { this->server.StopListening(); }

  /// Number of requests that have not been answered yet.
  std::size_t ActiveRequests() const { return this->server.ActiveRequests(); }

  std::size_t OpenConnections() const { return this->server.OpenConnections(); }

 private:
  using Responder = std::shared_ptr<connection::HttpResponder>;

  void OnRequest(const connection::HttpRequest& request, Responder responder);
  void OnStatement(const connection::HttpRequest& request, Responder responder);
  void Answer(const Responder& responder, const std::string& request_id,
              const RequestAnswer& answer);

  RequestContext* context;
  std::function<bool()> ready;
  connection::HttpServer server;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_CLIENT_HTTP_SERVER_H_
