#ifndef CAMPHORFERRY_PROCESS_ENDPOINT_TASK_H_
#define CAMPHORFERRY_PROCESS_ENDPOINT_TASK_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "Process/confirm_batch.h"
#include "Process/counters.h"
#include "Process/event_log.h"
#include "Request/request.h"
#include "Version/version.h"

namespace camphorferry::process {

/// Owns this daemon's statement connections to one endpoint and the queue in
/// front of them.
class EndpointTask {
 public:
  using Callback = std::function<void(connection::StatementReply)>;
  /// Called with each statement reply, and with none for a lost connection, so
  /// that failures are noticed without polling.
  using Observer = std::function<void(const connection::StatementReply*)>;

  EndpointTask(connection::EventLoop* loop, const version::Endpoint& endpoint,
               const version::Service& service, EventLog* events,
               Counters* counters, Observer observer);

  /// Queues a statement by its workspace's weight and runs it on one of the
  /// endpoint's connections.
  void Execute(connection::StatementCall call, Callback done);

  /// Asks whether this endpoint, as a replica, holds an entry.
  void Confirm(common::LogPosition position, common::SteadyTime deadline,
               ConfirmBatch::Callback done);

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
    std::unique_ptr<connection::HttpEndpointLink> link;
  };

  using Queue = request::FairQueue<Pending>;

  void Pump();
  std::optional<Pending> PopReady();
  Lane* FreeLane();
  void Run(Lane* lane, Pending pending);
  void OnReply(common::SteadyTime started, const Callback& done,
               const connection::StatementReply& reply);
  void ShedExpired();
  void RemoveUnusable();

  connection::EventLoop* loop;
  version::Endpoint endpoint;
  connection::SocketAddress address;
  std::size_t max_lanes;
  EventLog* events;
  Counters* counters;
  Observer observer;
  Queue queue;
  ConfirmBatch confirms;
  std::vector<std::unique_ptr<Lane>> lanes;
  std::size_t running = 0;
  std::unique_ptr<connection::Timer> tick;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_ENDPOINT_TASK_H_
