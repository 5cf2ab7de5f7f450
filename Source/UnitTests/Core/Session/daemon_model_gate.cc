#include <algorithm>
#include <utility>

#include "daemon_model.h"

namespace camphorferry::session {

namespace {

using std::chrono::milliseconds;

/// As in ServiceGroup.
constexpr milliseconds kMaxConfirmAge(500);
/// How often the listed replicas are asked for a commit, and for how long.
constexpr milliseconds kConfirmInterval(160);
constexpr milliseconds kConfirmTimeout(1500);
/// Age of the knowledge of the record at which it is read again.
constexpr milliseconds kReadInterval(1000);
/// Between two questions for what a peer knows of the record.
constexpr milliseconds kPeerInterval(500);

}  // namespace

common::ServiceId ModelService() { return common::ServiceId("service"); }

void DaemonModel::Commit(int leader) {
  const std::optional<int> index = this->group->LeaderAt(leader);
  if (!index.has_value() || this->IsFrozen() || this->IsDown()) return;
  const auto is_cut = [this, primary = *index] {
    return this->cut.contains(primary);
  };
  const std::uint64_t asked = this->group->ProcessOf(*index);
  this->context->time.RunLater(
      this->context->Between(1, 40),
      [this, primary = *index, is_cut, asked, sender = this->process,
       after = this->known_end] {
        if (is_cut() || this->group->ProcessOf(primary) != asked) return;
        this->group->Commit(primary, [this, is_cut, sender,
                                      after](const ModelCommitAnswer& answer) {
          // No client hears of a commit unless the answer reaches the daemon
          // that has sent it.
          this->context->time.RunLater(
              this->context->Between(1, 40),
              [this, is_cut, sender, answer, after] {
                if (is_cut() || this->process != sender) return;
                this->RunLater(milliseconds(0), [this, answer, after] {
                  this->OnCommitAnswerOnceKnown(
                      answer, after,
                      this->context->time.Now() + kConfirmTimeout);
                });
              });
        });
      });
}

void DaemonModel::OnCommitAnswerOnceKnown(const ModelCommitAnswer& answer,
                                          common::LogPosition after,
                                          common::SteadyTime until) {
  const common::SteadyTime now = this->context->time.Now();
  this->has_known_record |= this->gate.KnownSince(now).has_value();
  if (this->has_known_record) {
    this->OnCommitAnswer(answer, after);
  } else if (now < until) {
    this->RunLater(milliseconds(20), [this, answer, after, until] {
      this->OnCommitAnswerOnceKnown(answer, after, until);
    });
  }
}

void DaemonModel::OnCommitAnswer(const ModelCommitAnswer& answer,
                                 common::LogPosition after) {
  const common::SteadyTime now = this->context->time.Now();
  this->known_end = std::max(this->known_end, answer.log_end);
  const bool settled = this->stability.IsSettled(now);
  // PAGE acknowledgements, The gate.
  switch (this->gate.Check(ModelService(), answer.term, now)) {
    case AcknowledgementVerdict::kPass:
      if (settled) {
        this->Tell(answer, after, !this->IsListed(answer.confirmed_by));
      } else {
        this->TellOnceConfirmed(answer, after);
      }
      break;
    case AcknowledgementVerdict::kConfirm:
      // PAGE acknowledgements, Without knowledge of the record.
      this->TellOnceConfirmed(answer, after);
      break;
    case AcknowledgementVerdict::kWithhold:
      this->context->Trace(this->Name() + " withholds commit #" +
                           std::to_string(answer.number));
      break;
  }
  const common::EndpointId primary(DatabaseGroupModel::NameOf(answer.primary));
  if (this->view.Primary() != primary) return;
  std::erase_if(this->ended_members, [now](const auto& item) {
    return now - item.second >= kMaxConfirmAge;
  });
}

bool DaemonModel::IsListed(int database) const {
  const common::EndpointId id(DatabaseGroupModel::NameOf(database));
  return std::any_of(
      this->members.begin(), this->members.end(),
      [&](const GroupMember& member) { return member.id == id; });
}

void DaemonModel::Tell(const ModelCommitAnswer& answer,
                       common::LogPosition after, bool confirmed_unlisted) {
  this->gate.OnTold(ModelService(), after, answer.log_end);
  this->group->OnPassedOn(answer,
                          {this->number, this->process, confirmed_unlisted});
}

void DaemonModel::TellOnceConfirmed(const ModelCommitAnswer& answer,
                                    common::LogPosition after) {
  const common::SteadyTime now = this->context->time.Now();
  Unconfirmed& waiting = this->unconfirmed[answer.primary];
  waiting.commits.Add(answer.log_end, now, now + kConfirmTimeout,
                      [this, answer, after](bool confirmed) {
                        if (!confirmed) return;
                        const AcknowledgementVerdict verdict =
                            this->gate.Check(ModelService(), answer.term,
                                             this->context->time.Now());
                        if (verdict != AcknowledgementVerdict::kWithhold) {
                          this->Tell(answer, after, false);
                        }
                      });
  if (!waiting.asking) this->AskReplicas(answer.primary);
}

void DaemonModel::AskReplicas(int primary) {
  const common::SteadyTime now = this->context->time.Now();
  Unconfirmed& waiting = this->unconfirmed[primary];
  waiting.commits.OnTick(now);
  waiting.asking = !waiting.commits.Empty();
  if (!waiting.asking) return;
  for (const GroupMember& member : this->members) {
    if (member.id.Value() == DatabaseGroupModel::NameOf(primary)) continue;
    this->Send(
        member.id, ModelCommand::kStatus, 0,
        [this, primary](const EndpointStatus& status, common::SteadyTime sent) {
          const bool follows = status.role == GroupRole::kReplica &&
                               status.received.term == status.term &&
                               status.held <= status.term;
          if (!follows) return;
          this->unconfirmed[primary].commits.OnConfirmed(
              status.received, sent, this->context->time.Now());
        });
  }
  this->RunLater(kConfirmInterval,
                 [this, primary] { this->AskReplicas(primary); });
}

void DaemonModel::OnMemberStatus(const common::EndpointId& id,
                                 const EndpointStatus& status,
                                 common::SteadyTime sent) {
  this->view.OnStatus(id, status);
  this->known_end = std::max(this->known_end, status.received);
  if (status.role != GroupRole::kPrimary) {
    // A primary that has stepped down has entries that nobody has confirmed.
    const bool has_led = this->leader.has_value() &&
                         this->leader->endpoint == id &&
                         this->leader->term == status.received.term;
    if (!has_led) {
      this->replica_end = std::max(this->replica_end, status.received);
    }
    return;
  }
  if (this->leader.has_value() &&
      std::pair(this->leader->term, this->leader->end) >
          std::pair(status.term, status.received)) {
    return;
  }
  this->leader = PrimaryLogEnd{id, status.term, status.received};
  this->leader_at = sent;
}

void DaemonModel::UpdateKnowledge() {
  const common::SteadyTime now = this->context->time.Now();
  if (!this->store_reachable) {
    this->followed_since.reset();
  } else {
    if (!this->followed_since.has_value()) this->followed_since = now;
    // PAGE acknowledgements, Closing: a daemon that registers later reads the
    // record after its registration.
    if (!std::exchange(this->is_registered, true)) {
      this->gate.OnRegistered(now);
    }
    if (now >= this->next_read) this->ReadRecord();
  }
  const auto known = this->gate.KnownSince(now);
  if (known.has_value() && now - *known < kReadInterval) return;
  if (now >= this->next_peer_request) this->AskForRecord();
}

void DaemonModel::ReadRecord() {
  // PAGE acknowledgements, The gate: the knowledge dates from when the read was
  // sent.
  const common::SteadyTime sent = this->context->time.Now();
  this->next_read = sent + kReadInterval;
  if (this->context->Happens(10)) return;
  this->context->time.RunLater(
      this->context->Between(1, 40), [this, sent, reading = this->process] {
        if (!this->store_reachable || this->context->Happens(10)) return;
        const ClosedTerm closed = this->store->closed;
        this->context->time.RunLater(
            this->context->Between(1, 40), [this, sent, reading, closed] {
              if (!this->store_reachable || this->process != reading) return;
              this->RunLater(milliseconds(0), [this, sent, closed] {
                this->gate.OnRecord({{ModelService(), closed}}, sent);
              });
            });
      });
}

void DaemonModel::AskForRecord() {
  // PAGE acknowledgements, The gate: a peer's knowledge is dated back to when
  // it was requested.
  const common::SteadyTime sent = this->context->time.Now();
  this->next_peer_request = sent + kPeerInterval;
  const int count = static_cast<int>(this->fleet->daemons.size());
  const int step =
      static_cast<int>(this->context->Between(1, count - 1).count());
  this->AskPeer(
      (this->number + step) % count, [this, sent](DaemonModel* asked) -> Task {
        if (asked == nullptr) return [] {};
        const common::SteadyTime now = this->context->time.Now();
        const auto known = asked->gate.KnownSince(now);
        if (!known.has_value()) return [] {};
        return [this, sent, age = now - *known, closed = asked->gate.Closed()] {
          this->gate.OnRecord(closed, sent - age);
        };
      });
}

void DaemonModel::ForgetKnowledge() {
  this->started = this->down_until;
  this->followed_since.reset();
  this->stability = GroupStability();
  this->gate = AcknowledgementGate();
  this->is_registered = false;
  this->has_known_record = false;
  this->next_read = common::SteadyTime();
  this->next_peer_request = common::SteadyTime();
  this->known_end = {};
  this->replica_end = {};
  this->leader.reset();
  this->unconfirmed.clear();
}

}  // namespace camphorferry::session
