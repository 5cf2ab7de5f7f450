#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "daemon_model.h"

namespace camphorferry::session {

namespace {

using std::chrono::milliseconds;

/// Until a daemon that has not answered is asked again.
constexpr milliseconds kAskInterval(400);

common::HostId HostOf(int number) {
  return common::HostId("daemon" + std::to_string(number));
}

}  // namespace

void DaemonModel::AskPeer(int peer,
                          std::function<Task(DaemonModel* asked)> request) {
  const auto linked = [this, peer] {
    return this->fleet->Linked(this->number, peer);
  };
  if (!linked() || this->context->Happens(10)) return;
  this->context->time.RunLater(
      this->context->Between(1, 40),
      [this, peer, linked, request = std::move(request),
       asking = this->process] {
        if (!linked()) return;
        DaemonModel* asked = this->fleet->daemons[peer].get();
        const auto answer = [this, linked, asking](const Task& task) {
          if (!linked() || this->context->Happens(10)) return;
          this->context->time.RunLater(
              this->context->Between(1, 40), [this, linked, asking, task] {
                if (!linked() || this->process != asking) return;
                this->RunLater(milliseconds(0), task);
              });
        };
        if (asked->IsDown()) {
          // The host refuses the connection, or does not answer at all.
          if (this->context->Happens(50)) answer(request(nullptr));
          return;
        }
        asked->RunLater(milliseconds(0),
                        [asked, request, answer] { answer(request(asked)); });
      });
}

void DaemonModel::Close(common::Term below) {
  // PAGE acknowledgements, Closing: (1) the promoter writes the closing into
  // the record.
  const std::optional<ClosedTerm> entry =
      this->WriteClosed(std::max(this->record.closed.below, below));
  this->context->Trace(this->Name() +
                       (entry.has_value() ? " closes" : " can't close") +
                       " the terms below " + std::to_string(below));
  this->RunLater(this->context->Between(1, 40), [this, entry,
                                                 current = this->plan] {
    if (this->plan != current) return;
    const common::SteadyTime now = this->context->time.Now();
    if (!entry.has_value()) {
      this->Perform(current->OnTermsNotClosed(now));
      return;
    }
    // (2) lists the hosts, (3) asks every host, itself included.
    std::set<common::HostId> hosts;
    for (const auto& daemon : this->fleet->daemons) {
      hosts.insert(HostOf(daemon->number));
    }
    this->poll = std::make_shared<ClosingPoll>(*entry, hosts, now);
    this->poll->OnReply(HostOf(this->number), this->OnCloseTerm(*entry), now);
    this->AskUnanswered(this->poll, *entry);
  });
}

void DaemonModel::AskUnanswered(const std::shared_ptr<ClosingPoll>& asked,
                                const ClosedTerm& entry) {
  if (this->poll != asked) return;
  for (const auto& daemon : this->fleet->daemons) {
    const common::HostId host = HostOf(daemon->number);
    if (!asked->Unanswered().contains(host)) continue;
    this->AskPeer(
        daemon->number,
        [this, asked, entry, host,
         sent = this->context->time.Now()](DaemonModel* peer) -> Task {
          if (peer == nullptr) {
            return [this, asked, host] {
              asked->OnEnded(host);
              if (this->poll == asked) this->CheckClosed();
            };
          }
          return [this, asked, host, sent, reply = peer->OnCloseTerm(entry)] {
            asked->OnReply(host, reply, sent);
            if (this->poll == asked) this->CheckClosed();
          };
        });
  }
  this->RunLater(kAskInterval,
                 [this, asked, entry] { this->AskUnanswered(asked, entry); });
}

void DaemonModel::CheckClosed() {
  // PAGE acknowledgements, Closing: (4) all have answered, or nobody acts on an
  // older read.
  const common::SteadyTime now = this->context->time.Now();
  if (this->poll == nullptr || !this->poll->IsDone(now)) return;
  const TermsClosed closed = std::exchange(this->poll, nullptr)->Result(now);
  this->context->Trace(this->Name() + " has closed the terms below " +
                       std::to_string(closed.below) + ", acknowledged " +
                       std::to_string(closed.acknowledged.term) + "." +
                       std::to_string(closed.acknowledged.index) + " to " +
                       std::to_string(closed.acknowledged_end.term) + "." +
                       std::to_string(closed.acknowledged_end.index));
  if (this->plan == nullptr) return;
  this->Perform(this->plan->OnTermsClosed(closed, now));
}

CloseTermReply DaemonModel::OnCloseTerm(const ClosedTerm& entry) {
  const common::SteadyTime now = this->context->time.Now();
  this->gate.OnClosed(ModelService(), entry);
  CloseTermReply reply;
  reply.acknowledged = this->gate.Acknowledged(ModelService());
  reply.acknowledged_end = this->gate.AcknowledgedEnd(ModelService());
  reply.highest_term = this->view.HighestTerm();
  reply.replica_end = this->replica_end;
  reply.running = now - this->started;
  if (this->followed_since.has_value()) {
    reply.followed = now - *this->followed_since;
  }
  reply.primary = this->leader;
  if (reply.primary.has_value()) reply.primary->age = now - this->leader_at;
  for (const auto& [process, until] : this->former_members) {
    reply.former.push_back({process.first, process.second,
                            kFormerMemberRetention - (until - now), false});
  }
  for (const auto& [id, since] : this->ended_members) {
    reply.former.push_back({id, 0, now - since, true});
  }
  return reply;
}

void DaemonModel::Open(common::Term below) {
  // PAGE acknowledgements, Opening: lowers the first term that is not closed,
  // and tells the peers.
  if (below >= this->record.closed.below) return;
  const std::optional<ClosedTerm> entry = this->WriteClosed(below);
  this->context->Trace(this->Name() +
                       (entry.has_value() ? " opens" : " can't open") +
                       " the terms from " + std::to_string(below));
  if (!entry.has_value()) return;
  this->gate.OnClosed(ModelService(), *entry);
  for (const auto& daemon : this->fleet->daemons) {
    if (daemon->number == this->number) continue;
    this->AskPeer(daemon->number, [entry](DaemonModel* peer) -> Task {
      if (peer != nullptr) peer->gate.OnClosed(ModelService(), *entry);
      return [] {};
    });
  }
}

}  // namespace camphorferry::session
