#ifndef CAMPHORFERRY_PROCESS_CONFIRM_BATCHER_H_
#define CAMPHORFERRY_PROCESS_CONFIRM_BATCHER_H_

#include <functional>
#include <memory>
#include <vector>

#include "Connection/connection.h"

namespace camphorferry::process {

/// Batches the confirm requests of all statements that wait for one replica: a
/// single connection with one call at a time. A response for a later entry of
/// the same term resolves all earlier ones, so the number of calls does not
/// grow with the number of writes.
class ConfirmBatcher {
 public:
  using Callback = std::function<void(connection::ConfirmReply)>;

  ConfirmBatcher(connection::EventLoop* loop,
                 connection::SocketAddress address);

  /// Calls back once the replica holds the entry, has left its term or is
  /// fenced above it, when the deadline has passed, or when the call fails.
  void Add(common::LogPosition position, common::SteadyTime deadline,
           Callback done);

 private:
  struct Waiter {
    common::LogPosition position;
    common::SteadyTime deadline;
    Callback done;
  };

  void SendRequest();
  void OnReply(const connection::ConfirmReply& reply);

  connection::EventLoop* loop;
  connection::SocketAddress address;
  std::unique_ptr<connection::HttpEndpointLink> link;
  std::vector<Waiter> waiters;
  bool request_pending = false;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_CONFIRM_BATCHER_H_
