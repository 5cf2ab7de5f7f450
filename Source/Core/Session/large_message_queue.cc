#include "Session/large_message_queue.h"

#include <utility>

namespace camphorferry::session {

void LargeMessageQueue::Request(const void* holder,
                                std::function<void()> granted) {
  this->waiting.push_back({holder, std::move(granted)});
  this->GrantNext();
}

void LargeMessageQueue::Release(const void* holder) {
  this->holders.erase(holder);
  this->waiting.remove_if(
      [holder](const Waiter& waiter) { return waiter.holder == holder; });
  this->GrantNext();
}

void LargeMessageQueue::GrantNext() {
  while (this->holders.size() < this->limit && !this->waiting.empty()) {
    const Waiter next = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->holders.insert(next.holder);
    next.granted();
  }
}

}  // namespace camphorferry::session
