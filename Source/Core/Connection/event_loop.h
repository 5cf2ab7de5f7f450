#ifndef CAMPHORFERRY_CONNECTION_EVENT_LOOP_H_
#define CAMPHORFERRY_CONNECTION_EVENT_LOOP_H_

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <vector>

#include "Common/common.h"

struct event;
struct event_base;

namespace camphorferry::connection {

/// Timer of an event loop. It is cancelled when this object is destroyed.
class Timer {
 public:
  Timer(event_base* base, common::Duration delay, bool repeat,
        std::function<void()> action);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

 private:
  static void OnEvent(int fd, short events, void* context);

  std::function<void()> action;
  event* handle = nullptr;
};

/// Single-threaded event loop on libevent. Only Post and Stop may be called
/// from other threads.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Processes events until Stop is called.
  void Run();

  /// Makes Run return after the current event callback.
  void Stop();

  /// Queues an action to run on the loop's thread.
  void Post(std::function<void()> action);

  /// Calls the action once after the delay.
  std::unique_ptr<Timer> After(common::Duration delay,
                               std::function<void()> action);

  /// Calls the action after each period.
  std::unique_ptr<Timer> Every(common::Duration period,
                               std::function<void()> action);

  /// Calls the action once after the delay; the loop owns the timer.
  void RunLater(common::Duration delay, std::function<void()> action);

  /// Calls the action when the process receives the signal.
  void OnSignal(int signal_number, std::function<void()> action);

  event_base* Base() { return this->base; }

 private:
  static void OnWakeup(int fd, short events, void* context);
  static void OnSignalEvent(int fd, short events, void* context);
  void RunPosted();
  void DiscardPending();

  struct SignalHandler {
    event* handle;
    std::function<void()> action;
  };

  event_base* base;
  event* wakeup;
  std::mutex mutex;
  std::vector<std::function<void()>> posted;
  std::vector<std::unique_ptr<SignalHandler>> signal_handlers;
  /// Timers of RunLater that have not fired yet.
  std::list<std::unique_ptr<Timer>> delayed;
};

}  // namespace camphorferry::connection

#endif  // CAMPHORFERRY_CONNECTION_EVENT_LOOP_H_
