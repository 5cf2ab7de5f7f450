#ifndef CAMPHORFERRY_STANDINS_STATEMENT_SLOTS_H_
#define CAMPHORFERRY_STANDINS_STATEMENT_SLOTS_H_

#include <cstddef>
#include <deque>
#include <functional>

namespace camphorferry::standins {

/// Bounds the statements that a database runs at once; others wait in order.
class StatementSlots {
 public:
  StatementSlots(std::size_t slots, std::size_t queue_limit)
      : slots(slots), queue_limit(queue_limit) {}

  /// Starts the statement now or later; false if the queue is full. A started
  /// statement keeps its slot until Release.
  bool Submit(std::function<void()> start);

  /// Ends a statement and starts the next one.
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
