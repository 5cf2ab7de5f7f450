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

/// A group member's listener for daemons and for the other databases.
class DatabaseServer {
 public:
  DatabaseServer(connection::EventLoop* loop, const DatabaseSettings& settings);

  std::uint16_t Port() const { return this->server.Port(); }

  DatabaseFaults Faults() const;
  void SetFaults(const DatabaseFaults& faults);
  /// Connections that are open now get no answer again.
  void SilenceOpen() { this->gate.SilenceOpen(); }

  /// Everything that tests compare between databases.
  nlohmann::json Dump() const;

 private:
  /// Sends a request's answer, at once or later.
  using Answer = std::function<void(connection::HttpResponse)>;

  void Receive(connection::HttpRequest request,
               std::shared_ptr<connection::HttpResponder> responder);
  void Route(const connection::HttpRequest& request, const Answer& answer);
  void Dispatch(const connection::HttpRequest& request, const Answer& answer);
  void Execute(const std::string& body, const Answer& answer);
  void WaitForPosition(const ExecuteMessage& message, const Answer& answer);
  void TakeSlot(const ExecuteMessage& message, const Answer& answer);
  void Run(const ExecuteMessage& message, const Answer& answer);
  void Confirm(const std::string& body, const Answer& answer);
  void Status(const Answer& answer);
  void Fence(const std::string& body, const Answer& answer);
  void Promote(const std::string& body, const Answer& answer);
  void Follow(const std::string& body, const Answer& answer);
  void Replicate(const std::string& body, const Answer& answer);
  nlohmann::json StatusJson() const;

  connection::EventLoop* loop;
  DatabaseSettings settings;
  DatabaseCore core;
  AnswerGate gate;
  ChangeWaiters waiters;
  StatementSlots slots;
  common::Duration statement_delay = common::Duration::zero();
  ReplicationPuller puller;
  connection::HttpServer server;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_DATABASE_SERVER_H_
