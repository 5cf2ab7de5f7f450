#ifndef CAMPHORFERRY_PROCESS_ENDPOINT_POOL_H_
#define CAMPHORFERRY_PROCESS_ENDPOINT_POOL_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "Process/confirm_batcher.h"
#include "Process/counters.h"
#include "Process/event_log.h"
#include "Request/request.h"
#include "Version/version.h"

namespace camphorferry::process {

/// Connection pool of one endpoint, with the fair queue of the statements that
/// wait for a connection.
class EndpointPool {
 public:
  using Callback = std::function<void(connection::StatementReply)>;
  /// Called with each statement reply, and with a null pointer for a lost
  /// connection, so that failures are detected without polling.
  using Observer = std::function<void(const connection::StatementReply*)>;

  EndpointPool(connection::EventLoop* loop, const version::Endpoint& endpoint,
               const version::Service& service, EventLog* events,
               Counters* counters, Observer observer);
  ~EndpointPool();
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  /// Queues a statement by its workspace's weight and executes it on one of the
  /// pool's connections.
  void Execute(connection::StatementCall call, Callback done);

  /// Asks whether this endpoint, as a replica, holds a log entry.
  void Confirm(common::LogPosition position, common::SteadyTime deadline,
               ConfirmBatcher::Callback done);

  /// True if no statement is waiting or running.
  bool Idle() const;

  const version::Endpoint& Endpoint() const { return this->endpoint; }

 private:
  struct Pending {
    connection::StatementCall call;
    Callback done;
  };
  /// A pooled connection. It executes one statement at a time.
  struct PooledConnection {
    connection::LinkId id = 0;
    std::unique_ptr<connection::HttpEndpointLink> link;
    /// Set while a statement runs.
    Callback done;
    common::SteadyTime started;
  };

  using Queue = request::FairQueue<Pending>;

  void Dispatch();
  std::optional<Pending> PopReady();
  PooledConnection* AcquireConnection();
  PooledConnection* FindConnection(connection::LinkId id);
  void ExecuteOn(PooledConnection* pooled, Pending pending);
  void OnReply(connection::LinkId id, const std::string& request_id,
               const connection::StatementReply& reply);
  /// Finishes the connection's statement with a reply.
  void FinishStatement(PooledConnection* pooled,
                       const connection::StatementReply& reply);
  void OnTick();
  void Handle(const connection::LinkEvent& event);
  void Perform(const connection::OpenProbe& action);
  void Perform(const connection::CloseLink& action);
  void Perform(const connection::MarkEndpointDown& action);
  void FailWaiting();
  void RemoveConnection(connection::LinkId id);

  connection::EventLoop* loop;
  version::Endpoint endpoint;
  connection::SocketAddress address;
  std::size_t max_connections;
  EventLog* events;
  Counters* counters;
  Observer observer;
  Queue queue;
  ConfirmBatcher confirm_batcher;
  std::vector<std::unique_ptr<PooledConnection>> connections;
  connection::LinkMonitor monitor;
  connection::LinkId next_link_id = 1;
  std::size_t running_statements = 0;
  std::unique_ptr<connection::Timer> tick;
  /// Set to false when the pool is destroyed, so that late replies are dropped.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_ENDPOINT_POOL_H_
