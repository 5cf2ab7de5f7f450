#ifndef CAMPHORFERRY_STANDINS_DATABASE_CONTROL_H_
#define CAMPHORFERRY_STANDINS_DATABASE_CONTROL_H_

#include <cstdint>
#include <memory>

#include "Connection/connection.h"
#include "StandIns/database_server.h"

namespace camphorferry::standins {

/// HTTP server through which tests inject faults into a database and read its
/// state. It responds even while the database is isolated.
class DatabaseControl {
 public:
  DatabaseControl(connection::EventLoop* loop,
                  const connection::SocketAddress& address,
                  DatabaseServer* database);

  std::uint16_t Port() const { return this->server.Port(); }

 private:
  connection::HttpResponse HandleRequest(
      const connection::HttpRequest& request);
  connection::HttpResponse SetFaults(const std::string& body);
  connection::HttpResponse FaultsResponse() const;

  DatabaseServer* database;
  connection::HttpServer server;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_DATABASE_CONTROL_H_
