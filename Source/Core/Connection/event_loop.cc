#include "Connection/event_loop.h"

#include <event2/event.h>
#include <event2/thread.h>
#include <sys/time.h>

#include <utility>

namespace camphorferry::connection {

namespace {

timeval ToTimeval(common::Duration duration) {
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  return {micros / kMicrosPerSecond, micros % kMicrosPerSecond};
}

event_base* NewThreadSafeBase() {
  evthread_use_pthreads();
  return event_base_new();
}

}  // namespace

Timer::Timer(event_base* base, common::Duration delay, bool repeat,
             std::function<void()> action)
    : action(std::move(action)) {
  const int kind = repeat ? EV_PERSIST : 0;
  this->handle = event_new(base, -1, static_cast<short>(kind), OnEvent, this);
  const timeval interval = ToTimeval(delay);
  event_add(this->handle, &interval);
}

Timer::~Timer() { event_free(this->handle); }

void Timer::OnEvent(int /*fd*/, short /*what*/, void* context) {
  // The action may destroy the timer and with it the stored action, so a copy
  // is called.
  const std::function<void()> action = static_cast<Timer*>(context)->action;
  action();
}

EventLoop::EventLoop() : base(NewThreadSafeBase()) {
  this->wakeup = event_new(this->base, -1, EV_PERSIST, OnWakeup, this);
}

EventLoop::~EventLoop() {
  for (const auto& handler : this->signal_handlers) event_free(handler->handle);
  this->DiscardPending();
  // Libevent frees closed connections in callbacks of its own.
  event_base_loop(this->base, EVLOOP_NONBLOCK);
  this->DiscardPending();
  event_free(this->wakeup);
  event_base_free(this->base);
}

void EventLoop::Run() { event_base_loop(this->base, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::Stop() { event_base_loopbreak(this->base); }

void EventLoop::Post(std::function<void()> action) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->posted.push_back(std::move(action));
  }
  event_active(this->wakeup, EV_TIMEOUT, 0);
}

std::unique_ptr<Timer> EventLoop::After(common::Duration delay,
                                        std::function<void()> action) {
  return std::make_unique<Timer>(this->base, delay, false, std::move(action));
}

std::unique_ptr<Timer> EventLoop::Every(common::Duration period,
                                        std::function<void()> action) {
  return std::make_unique<Timer>(this->base, period, true, std::move(action));
}

void EventLoop::RunLater(common::Duration delay, std::function<void()> action) {
  const auto position = this->delayed.emplace(this->delayed.end());
  *position = this->After(delay, [this, position, action = std::move(action)] {
    this->delayed.erase(position);
    action();
  });
}

void EventLoop::OnSignal(int signal_number, std::function<void()> action) {
  auto handler = std::make_unique<SignalHandler>();
  handler->action = std::move(action);
  handler->handle = event_new(this->base, signal_number, EV_SIGNAL | EV_PERSIST,
                              OnSignalEvent, handler.get());
  event_add(handler->handle, nullptr);
  this->signal_handlers.push_back(std::move(handler));
}

void EventLoop::OnWakeup(int /*fd*/, short /*what*/, void* context) {
  static_cast<EventLoop*>(context)->RunPosted();
}

void EventLoop::OnSignalEvent(int /*fd*/, short /*what*/, void* context) {
  static_cast<SignalHandler*>(context)->action();
}

void EventLoop::DiscardPending() {
  // Pending actions may own connections, which must be freed before the event
  // base. Destroying an action may queue another one, so this repeats until
  // both queues are empty.
  while (true) {
    std::vector<std::function<void()>> discarded;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      discarded.swap(this->posted);
    }
    std::list<std::unique_ptr<Timer>> discarded_timers;
    discarded_timers.swap(this->delayed);
    if (discarded.empty() && discarded_timers.empty()) return;
  }
}

void EventLoop::RunPosted() {
  std::vector<std::function<void()>> actions;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    actions.swap(this->posted);
  }
  for (const auto& action : actions) action();
}

}  // namespace camphorferry::connection
