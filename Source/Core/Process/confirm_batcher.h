#ifndef CAMPHORFERRY_PROCESS_CONFIRM_BATCHER_H_
#define CAMPHORFERRY_PROCESS_CONFIRM_BATCHER_H_

#include <functional>
#include <memory>
#include <vector>

#include "Connection/connection.h"

namespace camphorferry::process {

/// Asks one replica whether it holds entries, for all statements that wait for
/// it, over a single connection with one call at a time. An answer for a later
/// entry of the same term settles all earlier ones, so the number of calls does
/// not grow with the number of writes.
class ConfirmBatcher {
 public:
  using Callback = std::function<void(connection::ConfirmReply)>;

  ConfirmBatcher(connection::EventLoop* loop,
                 connection::SocketAddress address);

  /// Calls back once the replica holds the entry, has left its term, or the
  /// wait is over.
  void Add(common::LogPosition position, common::SteadyTime deadline,
           Callback done);

 private:
  struct Waiter {
    common::LogPosition position;
    common::SteadyTime deadline;
    Callback done;
  };

  void Ask();
  void OnReply(const connection::ConfirmReply& reply);

  connection::EventLoop* loop;
  connection::SocketAddress address;
  std::unique_ptr<connection::HttpEndpointLink> link;
  std::vector<Waiter> waiters;
  bool asking = false;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_CONFIRM_BATCHER_H_
