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

/// Owns this daemon's statement connections to one endpoint and the queue in
/// front of them.
class EndpointPool {
 public:
  using Callback = std::function<void(connection::StatementReply)>;
  /// Called with each statement reply, and with none for a lost connection, so
  /// that failures are noticed without polling.
  using Observer = std::function<void(const connection::StatementReply*)>;

  EndpointPool(connection::EventLoop* loop, const version::Endpoint& endpoint,
               const version::Service& service, EventLog* events,
               Counters* counters, Observer observer);
  ~EndpointPool();
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  /// Queues a statement by its workspace's weight and runs it on one of the
  /// endpoint's connections.
  void Execute(connection::StatementCall call, Callback done);

  /// Asks whether this endpoint, as a replica, holds an entry.
  void Confirm(common::LogPosition position, common::SteadyTime deadline,
               ConfirmBatcher::Callback done);

  /// True if nothing waits or runs.
  bool Idle() const;

  const version::Endpoint& Endpoint() const { return this->endpoint; }

 private:
  struct Pending {
    connection::StatementCall call;
    Callback done;
  };
  /// One connection; it runs one statement at a time.
  struct Lane {
    connection::LinkId id = 0;
    std::unique_ptr<connection::HttpEndpointLink> link;
    /// Set while a statement runs.
    Callback done;
    common::SteadyTime started;
  };

  using Queue = request::FairQueue<Pending>;

  void Pump();
  std::optional<Pending> PopReady();
  Lane* FreeLane();
  Lane* FindLane(connection::LinkId id);
  void Run(Lane* lane, Pending pending);
  void OnReply(connection::LinkId id, const std::string& request_id,
               const connection::StatementReply& reply);
  /// Ends the lane's statement with a reply.
  void End(Lane* lane, const connection::StatementReply& reply);
  void OnTick();
  void Handle(const connection::LinkEvent& event);
  void Perform(const connection::OpenProbe& action);
  void Perform(const connection::CloseLink& action);
  void Perform(const connection::MarkEndpointDown& action);
  void RefuseAll();
  void RemoveLane(connection::LinkId id);

  connection::EventLoop* loop;
  version::Endpoint endpoint;
  connection::SocketAddress address;
  std::size_t max_lanes;
  EventLog* events;
  Counters* counters;
  Observer observer;
  Queue queue;
  ConfirmBatcher confirms;
  std::vector<std::unique_ptr<Lane>> lanes;
  connection::LinkMonitor monitor;
  connection::LinkId next_link = 1;
  std::size_t running = 0;
  std::unique_ptr<connection::Timer> tick;
  /// Cleared when the task ends, so that late answers are dropped.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_ENDPOINT_POOL_H_
