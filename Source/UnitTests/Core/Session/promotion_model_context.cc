#include "promotion_model_context.h"

namespace camphorferry::session {

using std::chrono::milliseconds;

void VirtualTime::RunLater(milliseconds delay, std::function<void()> task) {
  this->tasks.emplace(std::pair(this->now + delay, this->next_number++),
                      std::move(task));
}

void VirtualTime::Advance(milliseconds duration) {
  const common::SteadyTime until = this->now + duration;
  while (!this->tasks.empty() && this->tasks.begin()->first.first <= until) {
    auto due = this->tasks.extract(this->tasks.begin());
    this->now = due.key().first;
    due.mapped()();
  }
  this->now = until;
}

milliseconds ModelContext::Between(int shortest, int longest) {
  return milliseconds(
      std::uniform_int_distribution<int>(shortest, longest)(this->random));
}

bool ModelContext::Happens(int percent) {
  return std::uniform_int_distribution<int>(1, 100)(this->random) <= percent;
}

void ModelContext::Trace(const std::string& line) {
  const auto passed = common::ToMilliseconds(
      this->time.Now() - common::SteadyTime(std::chrono::hours(1)));
  this->trace.push_back(std::to_string(passed.count()) + " ms  " + line);
}

}  // namespace camphorferry::session
