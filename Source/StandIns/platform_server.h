#ifndef CAMPHORFERRY_STANDINS_PLATFORM_SERVER_H_
#define CAMPHORFERRY_STANDINS_PLATFORM_SERVER_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "Common/common.h"
#include "Connection/connection.h"
#include "StandIns/long_poll_waiters.h"
#include "StandIns/object_store_core.h"
#include "StandIns/platform_directory.h"

namespace camphorferry::standins {

/// Faults that tests inject into the platform.
struct PlatformFaults {
  /// Connections are closed without a response.
  bool down = false;
  common::Duration delay = common::Duration::zero();
  /// Number of upcoming changes that are stored but get no response.
  std::uint64_t lose_answers = 0;
};

/// Number of API calls that the platform has received. A long-polling watch
/// counts as one call.
struct PlatformCalls {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t lists = 0;
};

/// HTTP server of the platform API, which daemons connect to.
class PlatformServer {
 public:
  PlatformServer(connection::EventLoop* loop,
                 const connection::SocketAddress& address,
                 common::Duration list_delay);

  std::uint16_t Port() const { return this->server.Port(); }

  const PlatformFaults& Faults() const { return this->faults; }
  /// Sets the faults. If the platform goes down, also closes all connections
  /// with pending requests.
  void SetFaults(const PlatformFaults& faults);

  const PlatformCalls& Calls() const { return this->calls; }
  PlatformDirectory* Directory() { return &this->directory; }

 private:
  using Responder = std::shared_ptr<connection::HttpResponder>;

  void OnRequest(const connection::HttpRequest& request,
                 const Responder& responder);
  void Route(const connection::HttpRequest& request,
             const Responder& responder);
  void GetObject(const std::string& path, const Responder& responder);
  void Watch(const std::string& path, const connection::HttpRequest& request,
             const Responder& responder);
  void Put(const std::string& path, const connection::HttpRequest& request,
           const Responder& responder);
  void List(const std::string& path, const Responder& responder);
  void Respond(const Responder& responder,
               const connection::HttpResponse& response);
  void SendIfPending(const Responder& responder,
                     const connection::HttpResponse& response);

  connection::EventLoop* loop;
  ObjectStoreCore store;
  PlatformDirectory directory;
  PlatformFaults faults;
  PlatformCalls calls;
  LongPollWaiters waiters;
  /// Responders of pending requests, which an outage closes.
  std::set<Responder> pending_responders;
  connection::HttpServer server;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_PLATFORM_SERVER_H_
