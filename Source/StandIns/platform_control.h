#ifndef CAMPHORFERRY_STANDINS_PLATFORM_CONTROL_H_
#define CAMPHORFERRY_STANDINS_PLATFORM_CONTROL_H_

#include <cstdint>
#include <memory>
#include <string>

#include "Connection/connection.h"
#include "StandIns/platform_server.h"

namespace camphorferry::standins {

/// HTTP server through which tests inject faults into the platform and set its
/// lists of hosts and databases. It responds even while the platform is down.
class PlatformControl {
 public:
  PlatformControl(connection::EventLoop* loop,
                  const connection::SocketAddress& address,
                  PlatformServer* platform);

  std::uint16_t Port() const { return this->server.Port(); }

 private:
  connection::HttpResponse HandleRequest(
      const connection::HttpRequest& request);
  connection::HttpResponse HandlePost(const connection::HttpRequest& request);
  void SetFaults(const std::string& body);
  connection::HttpResponse FaultsResponse() const;
  connection::HttpResponse CallsResponse() const;

  PlatformServer* platform;
  connection::HttpServer server;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_PLATFORM_CONTROL_H_
