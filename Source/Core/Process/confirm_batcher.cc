#include "Process/confirm_batcher.h"

#include <algorithm>
#include <utility>

namespace camphorferry::process {

namespace {

/// Longest wait inside one call; short, so that later entries join soon.
constexpr std::chrono::milliseconds kCallWait(100);
/// Time allowed for the answer beyond the wait.
constexpr std::chrono::milliseconds kAnswerMargin(200);

/// True if the reply settles a wait for the position.
bool Settles(const connection::ConfirmReply& reply,
             common::LogPosition position) {
  return reply.position.term > position.term || reply.position >= position ||
         reply.fence > position.term;
}

/// The reply as it reads for one position. The log is one sequence within a
/// term, so a replica whose last entry has the same term holds all earlier
/// entries of that term.
connection::ConfirmReply ReplyFor(const connection::ConfirmReply& reply,
                                  common::LogPosition position) {
  connection::ConfirmReply own = reply;
  own.held = reply.position.term == position.term &&
             reply.position.index >= position.index;
  return own;
}

}  // namespace

ConfirmBatcher::ConfirmBatcher(connection::EventLoop* loop,
                               connection::SocketAddress address)
    : loop(loop), address(std::move(address)) {}

void ConfirmBatcher::Add(common::LogPosition position,
                         common::SteadyTime deadline, Callback done) {
  this->waiters.push_back({position, deadline, std::move(done)});
  this->Ask();
}

void ConfirmBatcher::Ask() {
  if (this->asking || this->waiters.empty()) return;
  this->asking = true;
  if (this->link == nullptr || !this->link->Usable()) {
    this->link = std::make_unique<connection::HttpEndpointLink>(this->loop,
                                                                this->address);
  }
  const auto earliest =
      std::min_element(this->waiters.begin(), this->waiters.end(),
                       [](const Waiter& left, const Waiter& right) {
                         return left.position < right.position;
                       });
  this->link->Confirm(
      earliest->position, kCallWait, kCallWait + kAnswerMargin,
      [this](const connection::ConfirmReply& reply) { this->OnReply(reply); });
}

void ConfirmBatcher::OnReply(const connection::ConfirmReply& reply) {
  this->asking = false;
  const common::SteadyTime now = common::SteadyNow();
  std::vector<Waiter> waiting = std::exchange(this->waiters, {});
  for (Waiter& waiter : waiting) {
    if (!reply.answered) {
      waiter.done(connection::ConfirmReply{});
    } else if (Settles(reply, waiter.position) || now >= waiter.deadline) {
      waiter.done(ReplyFor(reply, waiter.position));
    } else {
      this->waiters.push_back(std::move(waiter));
    }
  }
  this->Ask();
}

}  // namespace camphorferry::process
