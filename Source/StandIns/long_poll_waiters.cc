#include "StandIns/long_poll_waiters.h"

#include <utility>
#include <vector>

namespace camphorferry::standins {

void LongPollWaiters::Wait(common::Duration timeout, RespondCallback respond) {
  const bool expired = timeout <= common::Duration::zero();
  if (respond(expired) || expired) return;
  const std::uint64_t id = this->next_id++;
  auto waiter = std::make_shared<Waiter>();
  waiter->respond = std::move(respond);
  waiter->timer = this->loop->After(timeout, [this, id] { this->Expire(id); });
  this->waiters.emplace(id, std::move(waiter));
}

void LongPollWaiters::Notify() {
  // A callback may change the state, which calls Notify again or adds waiters.
  std::vector<std::uint64_t> ids;
  ids.reserve(this->waiters.size());
  for (const auto& [id, waiter] : this->waiters) ids.push_back(id);
  for (const std::uint64_t id : ids) {
    const auto found = this->waiters.find(id);
    if (found == this->waiters.end()) continue;
    const std::shared_ptr<Waiter> waiter = found->second;
    if (waiter->respond(/*expired=*/false)) this->waiters.erase(id);
  }
}

void LongPollWaiters::Expire(std::uint64_t id) {
  const auto found = this->waiters.find(id);
  if (found == this->waiters.end()) return;
  const std::shared_ptr<Waiter> waiter = std::move(found->second);
  this->waiters.erase(found);
  waiter->respond(/*expired=*/true);
}

}  // namespace camphorferry::standins
