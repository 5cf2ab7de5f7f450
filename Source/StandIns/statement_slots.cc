#include "StandIns/statement_slots.h"

#include <utility>

namespace camphorferry::standins {

bool StatementSlots::Submit(std::function<void()> start) {
  if (this->running < this->slots) {
    ++this->running;
    start();
    return true;
  }
  if (this->queue.size() >= this->queue_limit) return false;
  this->queue.push_back(std::move(start));
  return true;
}

void StatementSlots::Release() {
  if (this->queue.empty()) {
    --this->running;
    return;
  }
  const std::function<void()> next = std::move(this->queue.front());
  this->queue.pop_front();
  next();
}

}  // namespace camphorferry::standins
