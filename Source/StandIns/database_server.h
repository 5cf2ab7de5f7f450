#ifndef CAMPHORFERRY_STANDINS_DATABASE_SERVER_H_
#define CAMPHORFERRY_STANDINS_DATABASE_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "Connection/connection.h"
#include "StandIns/database_core.h"
#include "StandIns/database_messages.h"
#include "StandIns/database_settings.h"
#include "StandIns/long_poll_waiters.h"
#include "StandIns/network_fault_injector.h"
#include "StandIns/replication_puller.h"
#include "StandIns/statement_slots.h"

namespace camphorferry::standins {

/// Faults that tests inject into a database.
struct DatabaseFaults {
  bool isolated = false;
  common::Duration replication_delay = common::Duration::zero();
  common::Duration statement_delay = common::Duration::zero();
};

/// HTTP server of a database, which daemons and the other databases of the
/// group connect to.
class DatabaseServer {
 public:
  DatabaseServer(connection::EventLoop* loop, const DatabaseSettings& settings);

  std::uint16_t Port() const { return this->server.Port(); }

  DatabaseFaults Faults() const;
  void SetFaults(const DatabaseFaults& faults);
  /// Stops all responses on the connections that are open now.
  void SilenceOpenConnections() {
    this->network_faults.SilenceOpenConnections();
  }

  /// The complete state, which tests compare between databases.
  nlohmann::json Dump() const;

 private:
  /// Sends the response to a request, immediately or later.
  using ResponseCallback = std::function<void(connection::HttpResponse)>;

  void OnRequest(connection::HttpRequest request,
                 std::shared_ptr<connection::HttpResponder> responder);
  void Route(const connection::HttpRequest& request,
             const ResponseCallback& respond);
  void Dispatch(const connection::HttpRequest& request,
                const ResponseCallback& respond);
  void Execute(const std::string& body, const ResponseCallback& respond);
  void WaitUntilCaughtUp(const ExecuteMessage& message,
                         const ResponseCallback& respond);
  void AcquireSlot(const ExecuteMessage& message,
                   const ResponseCallback& respond);
  void RunStatement(const ExecuteMessage& message,
                    const ResponseCallback& respond);
  void Confirm(const std::string& body, const ResponseCallback& respond);
  void Status(const ResponseCallback& respond);
  void Fence(const std::string& body, const ResponseCallback& respond);
  void Promote(const std::string& body, const ResponseCallback& respond);
  void Follow(const std::string& body, const ResponseCallback& respond);
  void Replicate(const std::string& body, const ResponseCallback& respond);
  nlohmann::json StatusJson() const;

  connection::EventLoop* loop;
  DatabaseSettings settings;
  DatabaseCore core;
  NetworkFaultInjector network_faults;
  LongPollWaiters waiters;
  StatementSlots slots;
  common::Duration statement_delay = common::Duration::zero();
  ReplicationPuller puller;
  connection::HttpServer server;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_DATABASE_SERVER_H_
