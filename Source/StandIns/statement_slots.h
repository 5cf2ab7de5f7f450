#ifndef CAMPHORFERRY_STANDINS_STATEMENT_SLOTS_H_
#define CAMPHORFERRY_STANDINS_STATEMENT_SLOTS_H_

#include <cstddef>
#include <deque>
#include <functional>

namespace camphorferry::standins {

/// Concurrency limiter: bounds the number of statements that a database
/// executes concurrently. Further statements wait in a bounded FIFO queue.
class StatementSlots {
 public:
  StatementSlots(std::size_t slots, std::size_t queue_limit)
      : slots(slots), queue_limit(queue_limit) {}

  /// Starts the statement now or queues it; returns false if the queue is full.
  /// A started statement holds its slot until Release.
  bool Submit(std::function<void()> start);

  /// Releases the slot of a finished statement and starts the next queued one.
  void Release();

  std::size_t Slots() const { return this->slots; }
  std::size_t Running() const { return this->running; }

 private:
  std::size_t slots;
  std::size_t queue_limit;
  std::size_t running = 0;
  std::deque<std::function<void()>> queue;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_STATEMENT_SLOTS_H_
