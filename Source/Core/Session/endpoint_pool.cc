#include "Session/endpoint_pool.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

/// Limit for opening a channel: a round trip between regions (40 ms) and the
/// wait for a free execution slot of the endpoint. Beyond this the endpoint
/// counts as unreachable.
constexpr std::chrono::milliseconds kOpenTimeout(700);
/// Pause after the endpoint has refused a connection because it has too many.
constexpr std::chrono::milliseconds kFullBackoff(40);
/// How long a caller waits for a channel of its own before another caller's
/// idle channel is closed for it. A new connection costs the endpoint an
/// execution slot.
constexpr std::chrono::milliseconds kCallerSwitchDelay(15);
/// Limit of a rollback, which needs a round trip between regions (40 ms) but no
/// execution slot of the endpoint.
constexpr std::chrono::milliseconds kRollbackTimeout(500);
/// Idle timeout of channels if there are fewer connections than daemons.
/// Statements of one workspace at one daemon are far apart then, so an idle
/// channel would only keep a connection from other daemons.
constexpr std::chrono::milliseconds kBorrowedIdleTimeout(100);
/// If there are fewer connections than daemons, a daemon uses at most the
/// endpoint's connections divided by this, so that a busy daemon leaves most of
/// them to others.
constexpr std::size_t kBorrowedDivisor = 8;

/// A channel on which a client has left more values and prepared statements, in
/// bytes, is not kept open.
constexpr std::size_t kMaxIdleStateBytes = 64 * 1024;

/// Removes a channel from a list and returns it; null if it is not in the list.
std::shared_ptr<EndpointChannel> RemoveFrom(
    std::vector<std::shared_ptr<EndpointChannel>>* list,
    const EndpointChannel* wanted) {
  const auto found = std::find_if(
      list->begin(), list->end(),
      [wanted](const auto& channel) { return channel.get() == wanted; });
  if (found == list->end()) return nullptr;
  std::shared_ptr<EndpointChannel> channel = std::move(*found);
  list->erase(found);
  return channel;
}

}  // namespace

ChannelLimits DivideChannels(std::size_t connections, std::size_t fleet) {
  ChannelLimits limits;
  const std::size_t share = connections / std::max<std::size_t>(fleet, 1);
  if (share > 0) {
    limits.max_idle = share;
    limits.max_channels = share;
    return limits;
  }
  return BorrowChannels(connections);
}

ChannelLimits BorrowChannels(std::size_t connections) {
  ChannelLimits limits;
  limits.max_idle = 0;
  limits.max_channels =
      std::max<std::size_t>(connections / kBorrowedDivisor, 1);
  limits.idle_timeout = kBorrowedIdleTimeout;
  return limits;
}

EndpointPool::EndpointPool(connection::EventLoop* loop, const WireCodec* codec,
                           GroupMember member, std::string own_caller,
                           PoolObservers observers,
                           std::shared_ptr<LargeMessageQueue> large_responses)
    : loop(loop),
      codec(codec),
      member(std::move(member)),
      own_caller(std::move(own_caller)),
      observers(std::move(observers)),
      large_responses(std::move(large_responses)) {}

EndpointPool::~EndpointPool() {
  *this->alive = false;
  for (const auto& channel : this->idle) channel->Close();
}

ChannelRequestId EndpointPool::Acquire(ChannelRequest request) {
  const ChannelRequestId id = this->next_id++;
  const common::SteadyTime now = common::SteadyNow();
  const WaitingRequest waiting_request{id, request.caller.value_or(""),
                                       request.priority, request.waiting_since,
                                       request.deadline};
  if (this->queue.WouldBeLate(waiting_request, now)) {
    request.done(PoolFailure::kOverloaded);
    return id;
  }
  this->queue.Add(waiting_request, now);
  this->waiting[id] = {std::move(request), now};
  this->Dispatch();
  return id;
}

void EndpointPool::Cancel(ChannelRequestId id) {
  const auto found = this->waiting.find(id);
  if (found == this->waiting.end()) return;
  this->observers.waited(common::SteadyNow() - found->second.since);
  this->queue.Remove(id);
  this->waiting.erase(found);
}

void EndpointPool::Release(const std::shared_ptr<EndpointChannel>& channel) {
  --this->leased;
  if (this->closed) {
    channel->Close();
    return;
  }
  const bool keeps_little = channel->State().Bytes() <= kMaxIdleStateBytes;
  if (channel->Usable() && !channel->Busy() && keeps_little) {
    this->AddIdle(channel);
  } else {
    channel->Close();
  }
  this->Dispatch();
}

void EndpointPool::RollBack(const std::shared_ptr<EndpointChannel>& channel) {
  if (!channel->Usable()) {
    this->Release(channel);
    return;
  }
  this->ending.push_back(channel);
  channel->Send(this->codec->EncodeRollback(), kRollbackTimeout,
                [this, still_alive = this->alive,
                 ended = channel.get()](const ChannelResult& result) {
                  if (*still_alive) this->OnLastAnswer(ended, result);
                });
}

void EndpointPool::ReleaseWhenAnswered(
    const std::shared_ptr<EndpointChannel>& channel,
    std::function<void(const ChannelResult&)> receiver) {
  this->ending.push_back(channel);
  channel->RedirectAnswer(
      [this, still_alive = this->alive, ended = channel.get(),
       receiver = std::move(receiver)](const ChannelResult& result) {
        if (*still_alive) this->OnLastAnswer(ended, result);
        receiver(result);
      });
}

void EndpointPool::OnLastAnswer(const EndpointChannel* ended,
                                const ChannelResult& result) {
  const auto channel = RemoveFrom(&this->ending, ended);
  const auto* answer = std::get_if<EndpointAnswer>(&result);
  if (answer == nullptr || answer->phase != TransactionPhase::kIdle) {
    channel->Close();
  }
  this->Release(channel);
}

void EndpointPool::AddIdle(const std::shared_ptr<EndpointChannel>& channel) {
  channel->idle_since = common::SteadyNow();
  channel->SetIdleCloseHandler([this, raw = channel.get()] {
    std::erase_if(this->idle,
                  [raw](const auto& other) { return other.get() == raw; });
  });
  this->idle.push_back(channel);
}

void EndpointPool::CloseExcessIdle(common::SteadyTime now) {
  while (this->idle.size() + this->leased > this->limits.max_idle) {
    if (this->idle.empty()) break;
    const auto oldest = this->OldestIdle();
    if (now - (*oldest)->idle_since < this->limits.idle_timeout) break;
    this->CloseIdle(oldest);
  }
  if (!this->waiting.empty()) this->Dispatch();
}

void EndpointPool::Close() {
  this->closed = true;
  for (const auto& channel : this->idle) channel->Close();
  this->idle.clear();
  this->FailAll(PoolFailure::kUnreachable);
}

bool EndpointPool::HasIdle(const std::string& caller) const {
  return std::any_of(
      this->idle.begin(), this->idle.end(),
      [&](const auto& channel) { return channel->Caller() == caller; });
}

std::shared_ptr<EndpointChannel> EndpointPool::TakeIdle(
    const ChannelRequest& request) {
  auto best = this->idle.end();
  std::size_t fewest_preparations = 0;
  for (auto it = this->idle.begin(); it != this->idle.end(); ++it) {
    if (request.caller.has_value() && (*it)->Caller() != *request.caller) {
      continue;
    }
    const std::size_t preparations =
        (*it)->State().PreparationCount(request.values);
    if (best == this->idle.end() || preparations < fewest_preparations) {
      best = it;
      fewest_preparations = preparations;
    }
  }
  if (best == this->idle.end()) return nullptr;
  std::shared_ptr<EndpointChannel> channel = *best;
  this->idle.erase(best);
  channel->SetIdleCloseHandler(nullptr);
  return channel;
}

bool EndpointPool::FailExpired() {
  const auto still_alive = this->alive;
  const common::SteadyTime now = common::SteadyNow();
  for (const ChannelRequestId id : this->queue.TakeExpired(now)) {
    const auto expired = this->waiting.extract(id);
    // A callback for another request may have cancelled this one.
    if (expired.empty()) continue;
    this->observers.waited(now - expired.mapped().since);
    expired.mapped().request.done(PoolFailure::kOverloaded);
    if (!*still_alive) return false;
  }
  return true;
}

void EndpointPool::Dispatch() {
  if (!this->FailExpired()) return;
  const auto still_alive = this->alive;
  // A callback may change the queue, so the loop starts over after each.
  auto next = this->queue.Next(std::nullopt);
  while (next.has_value()) {
    Waiter& waiter = this->waiting.at(*next);
    std::shared_ptr<EndpointChannel> channel = this->TakeIdle(waiter.request);
    if (channel != nullptr) {
      const auto done = std::move(waiter.request.done);
      const common::SteadyTime now = common::SteadyNow();
      this->observers.waited(now - waiter.since);
      this->queue.OnServed(*next, now);
      this->waiting.erase(*next);
      ++this->leased;
      done(channel);
      if (!*still_alive) return;
      next = this->queue.Next(std::nullopt);
      continue;
    }
    if (!waiter.opening && this->MakeRoom(waiter)) {
      this->OpenFor(*next, &waiter);
    }
    next = this->queue.Next(next);
  }
}

bool EndpointPool::MakeRoom(const Waiter& waiter) {
  const common::SteadyTime now = common::SteadyNow();
  if (this->closed || now < this->open_not_before) return false;
  if (this->Channels() < this->limits.max_channels) return true;
  if (this->idle.empty()) return false;
  const bool within_delay = now - waiter.since < kCallerSwitchDelay;
  const bool others_in_use = this->leased + this->opening.size() > 0;
  if (within_delay && others_in_use) {
    if (this->retry == nullptr) this->RetryAfter(kCallerSwitchDelay);
    return false;
  }
  this->CloseIdle(this->OldestIdle());
  return true;
}

void EndpointPool::RetryAfter(common::Duration pause) {
  this->retry = this->loop->After(pause, [this] {
    this->retry.reset();
    this->Dispatch();
  });
}

EndpointPool::IdleChannels::iterator EndpointPool::OldestIdle() {
  return std::min_element(this->idle.begin(), this->idle.end(),
                          [](const auto& one, const auto& other) {
                            return one->idle_since < other->idle_since;
                          });
}

void EndpointPool::CloseIdle(IdleChannels::iterator channel) {
  (*channel)->Close();
  this->idle.erase(channel);
}

void EndpointPool::OpenFor(ChannelRequestId id, Waiter* waiter) {
  waiter->opening = true;
  auto channel = std::make_shared<EndpointChannel>(
      this->loop, this->codec, this->member,
      waiter->request.caller.value_or(this->own_caller), this->large_responses);
  channel->owner = this->weak_from_this();
  this->opening.push_back(channel);
  channel->Open(kOpenTimeout,
                [this, still_alive = this->alive, opened = channel.get(),
                 id](const OpenResult& result) {
                  if (*still_alive) this->OnOpened(opened, id, result);
                });
}

void EndpointPool::OnOpened(const EndpointChannel* opened, ChannelRequestId id,
                            const OpenResult& result) {
  const auto channel = RemoveFrom(&this->opening, opened);
  if (std::holds_alternative<ChannelOpened>(result)) {
    this->observers.reached(true);
    if (this->closed) {
      channel->Close();
      return;
    }
    this->AddIdle(channel);
    this->Dispatch();
    return;
  }
  const auto waiter = this->waiting.find(id);
  if (waiter != this->waiting.end()) waiter->second.opening = false;
  const auto* error = std::get_if<EndpointError>(&result);
  const auto* lost = std::get_if<ChannelLost>(&result);
  // An endpoint that has no free connection may also close one that it has
  // accepted.
  const bool full = lost != nullptr && !lost->silent && lost->connected;
  if (error != nullptr || full) {
    this->observers.reached(true);
    if (error != nullptr && error->code == StatementError::kWrongEndpoint) {
      this->FailAll(PoolFailure::kWrongEndpoint);
      return;
    }
    this->open_not_before = common::SteadyNow() + kFullBackoff;
    this->RetryAfter(kFullBackoff);
    return;
  }
  this->observers.reached(false);
  this->FailAll(PoolFailure::kUnreachable);
}

void EndpointPool::FailAll(PoolFailure failure) {
  const auto failed = std::exchange(this->waiting, {});
  const auto order = this->queue.Order();
  this->queue = WaitQueue();
  const auto still_alive = this->alive;
  const common::SteadyTime now = common::SteadyNow();
  for (const ChannelRequestId id : order) {
    const Waiter& waiter = failed.at(id);
    this->observers.waited(now - waiter.since);
    waiter.request.done(failure);
    if (!*still_alive) return;
  }
}

void ReturnToPool(const std::shared_ptr<EndpointChannel>& channel) {
  if (const auto pool = channel->owner.lock()) {
    pool->Release(channel);
  } else {
    channel->Close();
  }
}

void ReturnToPoolWhenAnswered(
    const std::shared_ptr<EndpointChannel>& channel,
    std::function<void(const ChannelResult&)> receiver) {
  if (const auto pool = channel->owner.lock()) {
    pool->ReleaseWhenAnswered(channel, std::move(receiver));
  } else {
    channel->Close();
  }
}

void RollBackAndReturnToPool(const std::shared_ptr<EndpointChannel>& channel) {
  if (const auto pool = channel->owner.lock()) {
    pool->RollBack(channel);
  } else {
    channel->Close();
  }
}

}  // namespace camphorferry::session
