#include "Session/admission_queue.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

/// Requests in progress at a time. With one, an operation could wait for two
/// round trips between regions.
constexpr std::uint32_t kMaxRequests = 2;
/// Longest time for which operations are refused without asking. Short compared
/// with the rate window (5 s), since the limit may be raised meanwhile.
constexpr std::chrono::milliseconds kMaxRefusal(500);
/// Longest retry time that a client is given.
constexpr std::chrono::seconds kMaxRetryAfter(5);

}  // namespace

AdmissionQueue::Ask AdmissionQueue::TakeWaiting() {
  ++this->requests;
  return {std::exchange(this->waiting, 0U)};
}

AdmissionQueue::Step AdmissionQueue::OnOperation(common::SteadyTime now) {
  if (now < this->refuse_until) return Refuse{this->NextRetry(now)};
  ++this->waiting;
  if (this->requests >= kMaxRequests) return Wait();
  return this->TakeWaiting();
}

void AdmissionQueue::OnReply(const std::optional<AdmissionReply>& reply,
                             common::SteadyTime now) {
  --this->requests;
  if (!reply.has_value() || !reply->retry_after.has_value()) return;
  this->turn_interval =
      std::min<common::Duration>(*reply->retry_after, kMaxRefusal);
  this->refuse_until = now + this->turn_interval;
  this->refused = 0;
}

AdmissionQueue::Step AdmissionQueue::OnWaiting(common::SteadyTime now) {
  if (this->waiting == 0) return Wait();
  if (now < this->refuse_until) {
    this->waiting = 0;
    return Refuse{this->turn_interval};
  }
  if (this->requests >= kMaxRequests) return Wait();
  return this->TakeWaiting();
}

common::Duration AdmissionQueue::NextRetry(common::SteadyTime now) {
  const common::Duration until_turn =
      std::max(this->refuse_until - now, common::Duration::zero());
  return std::min<common::Duration>(
      until_turn + this->turn_interval * this->refused++, kMaxRetryAfter);
}

}  // namespace camphorferry::session
