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
  /// Connections are closed without an answer.
  bool down = false;
  common::Duration delay = common::Duration::zero();
  /// Number of following changes that take effect but get no answer.
  std::uint64_t lose_answers = 0;
};

/// Calls that the platform has received; a pending watch is one call.
struct PlatformCalls {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t lists = 0;
};

/// The platform's listener for daemons.
class PlatformServer {
 public:
  PlatformServer(connection::EventLoop* loop,
                 const connection::SocketAddress& address,
                 common::Duration list_lag);

  std::uint16_t Port() const { return this->server.Port(); }

  const PlatformFaults& Faults() const { return this->faults; }
  /// Also closes all connections with unanswered requests if it sets down.
  void SetFaults(const PlatformFaults& faults);

  const PlatformCalls& Calls() const { return this->calls; }
  PlatformDirectory* Directory() { return &this->directory; }

 private:
  using Responder = std::shared_ptr<connection::HttpResponder>;

  void Receive(const connection::HttpRequest& request,
               const Responder& responder);
  void Route(const connection::HttpRequest& request,
             const Responder& responder);
  void GetObject(const std::string& path, const Responder& responder);
  void Watch(const std::string& path, const connection::HttpRequest& request,
             const Responder& responder);
  void Put(const std::string& path, const connection::HttpRequest& request,
           const Responder& responder);
  void List(const std::string& path, const Responder& responder);
  void Answer(const Responder& responder,
              const connection::HttpResponse& response);
  void Finish(const Responder& responder,
              const connection::HttpResponse& response);

  connection::EventLoop* loop;
  ObjectStoreCore store;
  PlatformDirectory directory;
  PlatformFaults faults;
  PlatformCalls calls;
  ChangeWaiters waiters;
  /// Requests without an answer, which an outage cuts off.
  std::set<Responder> unanswered;
  connection::HttpServer server;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_PLATFORM_SERVER_H_
