#ifndef CAMPHORFERRY_STANDINS_LONG_POLL_WAITERS_H_
#define CAMPHORFERRY_STANDINS_LONG_POLL_WAITERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "Common/common.h"
#include "Connection/connection.h"

namespace camphorferry::standins {

/// Long-polling requests: each waits for a change of state until its timeout.
class LongPollWaiters {
 public:
  /// Responds to the request if the state allows it and returns whether it has
  /// responded. If the argument is true, the timeout has passed: the callback
  /// must respond and is not called again.
  using RespondCallback = std::function<bool(bool expired)>;

  explicit LongPollWaiters(connection::EventLoop* loop) : loop(loop) {}

  /// Calls the callback immediately, after each change of state and at the
  /// timeout, until it has responded.
  void Wait(common::Duration timeout, RespondCallback respond);

  /// Calls the callbacks of all waiting requests. To be called after each
  /// change of state.
  void Notify();

 private:
  struct Waiter {
    RespondCallback respond;
    std::unique_ptr<connection::Timer> timer;
  };

  void Expire(std::uint64_t id);

  connection::EventLoop* loop;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_LONG_POLL_WAITERS_H_
