#include "StandIns/long_poll_waiters.h"

#include <utility>
#include <vector>

namespace camphorferry::standins {

void ChangeWaiters::Wait(common::Duration limit, Attempt attempt) {
  const bool last = limit <= common::Duration::zero();
  if (attempt(last) || last) return;
  const std::uint64_t number = this->next_number++;
  auto waiter = std::make_shared<Waiter>();
  waiter->attempt = std::move(attempt);
  waiter->timer =
      this->loop->After(limit, [this, number] { this->Expire(number); });
  this->waiters.emplace(number, std::move(waiter));
}

void ChangeWaiters::Notify() {
  // An attempt may change the state and so notify again or add waiters.
  std::vector<std::uint64_t> numbers;
  numbers.reserve(this->waiters.size());
  for (const auto& [number, waiter] : this->waiters) numbers.push_back(number);
  for (const std::uint64_t number : numbers) {
    const auto found = this->waiters.find(number);
    if (found == this->waiters.end()) continue;
    const std::shared_ptr<Waiter> waiter = found->second;
    if (waiter->attempt(/*last=*/false)) this->waiters.erase(number);
  }
}

void ChangeWaiters::Expire(std::uint64_t number) {
  const auto found = this->waiters.find(number);
  if (found == this->waiters.end()) return;
  const std::shared_ptr<Waiter> waiter = std::move(found->second);
  this->waiters.erase(found);
  waiter->attempt(/*last=*/true);
}

}  // namespace camphorferry::standins
