#include "Process/confirm_batcher.h"

#include <algorithm>
#include <utility>

namespace camphorferry::process {

namespace {

/// Maximum time that the replica waits within one call. It is short so that
/// entries added meanwhile are soon included.
constexpr std::chrono::milliseconds kMaxReplicaWait(100);
/// Time allowed for the response in addition to the wait.
constexpr std::chrono::milliseconds kResponseMargin(200);

/// True if the reply ends the wait for the position: the replica holds it, has
/// left its term, or is fenced above it.
bool IsResolved(const connection::ConfirmReply& reply,
                common::LogPosition position) {
  return reply.position.term > position.term || reply.position >= position ||
         reply.fence > position.term;
}

/// Converts the reply to one for the given position. The log is one sequence
/// within a term, so a replica whose last entry has the same term holds all
/// earlier entries of that term.
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
  this->SendRequest();
}

void ConfirmBatcher::SendRequest() {
  if (this->request_pending || this->waiters.empty()) return;
  this->request_pending = true;
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
      earliest->position, kMaxReplicaWait, kMaxReplicaWait + kResponseMargin,
      [this](const connection::ConfirmReply& reply) { this->OnReply(reply); });
}

void ConfirmBatcher::OnReply(const connection::ConfirmReply& reply) {
  this->request_pending = false;
  const common::SteadyTime now = common::SteadyNow();
  std::vector<Waiter> previous_waiters = std::exchange(this->waiters, {});
  for (Waiter& waiter : previous_waiters) {
    if (!reply.answered) {
      waiter.done(connection::ConfirmReply{});
    } else if (IsResolved(reply, waiter.position) || now >= waiter.deadline) {
      waiter.done(ReplyFor(reply, waiter.position));
    } else {
      this->waiters.push_back(std::move(waiter));
    }
  }
  this->SendRequest();
}

}  // namespace camphorferry::process
