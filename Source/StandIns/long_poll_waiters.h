#ifndef CAMPHORFERRY_STANDINS_LONG_POLL_WAITERS_H_
#define CAMPHORFERRY_STANDINS_LONG_POLL_WAITERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "Common/common.h"
#include "Connection/connection.h"

namespace camphorferry::standins {

/// Requests that wait for a change of state for a bounded time.
class ChangeWaiters {
 public:
  /// Answers the request if it can be answered; the argument says that this is
  /// the last call, so that it must be answered. Returns whether it was.
  using Attempt = std::function<bool(bool last)>;

  explicit ChangeWaiters(connection::EventLoop* loop) : loop(loop) {}

  /// Tries at once, after each change, and when the time is over.
  void Wait(common::Duration limit, Attempt attempt);

  /// Tries all that wait; called after each change of state.
  void Notify();

 private:
  struct Waiter {
    Attempt attempt;
    std::unique_ptr<connection::Timer> timer;
  };

  void Expire(std::uint64_t number);

  connection::EventLoop* loop;
  std::uint64_t next_number = 1;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_LONG_POLL_WAITERS_H_
