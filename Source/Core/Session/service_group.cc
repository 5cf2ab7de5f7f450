#include "Session/service_group.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

using common::LogLevel;
using common::Subsystem;

/// A status takes a slot for less than a millisecond and crosses regions in
/// 40 ms; beyond this the member counts as silent.
constexpr std::chrono::milliseconds kStatusTimeout(400);
/// Reads avoid a member for this long after it could not be reached.
constexpr std::chrono::milliseconds kAvoidance(300);
/// Delay that reads expect of a member of which every statement fails: the time
/// after which a read is sent to a second member.
constexpr std::chrono::milliseconds kFailureDelay(400);
/// Proofs older than every staleness bound in use are forgotten.
constexpr std::chrono::seconds kProofMemory(10);
/// Older proofs are of no use to other daemons; below every staleness bound in
/// use.
constexpr std::chrono::milliseconds kSharedProofAge(2000);
/// The first listing of members may be older than this, so that a primary which
/// it does not name may have registered meanwhile.
constexpr std::chrono::milliseconds kFirstListingLag(3000);
/// Pause between two probes of a primary that does not answer.
constexpr std::chrono::milliseconds kProbeInterval(150);
/// Pauses after a round without a proof, doubled up to the second value. Each
/// question takes a slot of an endpoint, and a whole fleet asks at once when a
/// primary is lost.
constexpr std::chrono::milliseconds kFirstRoundPause(30);
constexpr std::chrono::milliseconds kLongestRoundPause(400);
/// Distances within a failure domain, within a region and between regions, as
/// round trips.
constexpr std::chrono::milliseconds kNearTrip(1);
constexpr std::chrono::milliseconds kRegionTrip(3);
constexpr std::chrono::milliseconds kFarTrip(40);
/// Delay that one waiting demand adds to the next; about one statement.
constexpr std::chrono::milliseconds kDelayPerWaiting(12);
/// Delay of a connection that must first be opened.
constexpr std::chrono::milliseconds kOpenDelay(14);

}  // namespace

ServiceGroup::ServiceGroup(GroupContext context, common::ServiceId service)
    : context(std::move(context)),
      service(std::move(service)),
      round_pause(kFirstRoundPause) {
  this->monitor.OnPrimaryChanged(common::SteadyNow() + kFirstListingLag, false);
  PromotionGroup group;
  group.ask = [this](const common::EndpointId& id, const std::string& command,
                     StatusCallback done) {
    this->Ask(id, command, kStatusTimeout, std::move(done));
  };
  group.members = [this] { return this->Entries(); };
  group.primary = [this] { return this->primary; };
  group.highest_term = [this] { return this->view.HighestTerm(); };
  group.still_needed = [this] {
    return this->MustReplace(common::SteadyNow());
  };
  this->promotion = std::make_unique<PromotionTask>(
      this->context, this->service, std::move(group));
}

ServiceGroup::~ServiceGroup() { *this->alive = false; }

void ServiceGroup::SetMembers(const std::vector<GroupMember>& present) {
  std::set<common::EndpointId> ids;
  for (const GroupMember& entry : present) {
    ids.insert(entry.id);
    const auto found = this->members.find(entry.id);
    const bool same = found != this->members.end() &&
                      found->second.entry.born == entry.born &&
                      found->second.entry.address == entry.address;
    if (same) {
      found->second.entry = entry;
      found->second.pool->SetMember(entry);
      continue;
    }
    if (found != this->members.end()) found->second.pool->Close();
    Member member;
    member.entry = entry;
    PoolObservers observers;
    observers.reached = [this, id = entry.id](bool reached) {
      if (reached) {
        this->OnReached(id);
      } else {
        this->OnUnreached(id);
      }
    };
    observers.waited = [this](common::Duration wait) {
      this->context.metrics->Observe(
          "channel_wait_seconds",
          "Time that statements and status questions wait for a channel.",
          "service", this->service.Value(), wait);
    };
    member.pool = std::make_shared<EndpointPool>(
        this->context.loop, this->context.codec, entry,
        this->context.place.host.Value(), std::move(observers));
    member.pool->SetLimits(this->channel_limits);
    if (found != this->members.end()) {
      // Channels of the former incarnation may still call back.
      this->context.loop->Post([old = std::move(found->second.pool)] {});
    }
    this->members[entry.id] = std::move(member);
  }
  for (auto it = this->members.begin(); it != this->members.end();) {
    if (ids.contains(it->first)) {
      ++it;
      continue;
    }
    it->second.pool->Close();
    this->context.loop->Post([old = std::move(it->second.pool)] {});
    it = this->members.erase(it);
  }
  this->view.OnMembers(present);
  this->UpdatePrimary();
  this->UpdateLeaving();
  this->promotion->OnMembers(this->Entries(), common::SteadyNow());
}

void ServiceGroup::SetChannelLimits(const ChannelLimits& limits) {
  this->channel_limits = limits;
  for (auto& [id, member] : this->members) member.pool->SetLimits(limits);
}

void ServiceGroup::Tick(common::SteadyTime now) {
  for (auto& [id, member] : this->members) member.pool->Tidy(now);
  this->ledger.Forget(now - kProofMemory);
  std::vector<std::function<void(bool)>> late;
  for (auto it = this->waiters.begin(); it != this->waiters.end();) {
    if (it->until > now) {
      ++it;
      continue;
    }
    late.push_back(std::move(it->done));
    it = this->waiters.erase(it);
  }
  for (const auto& done : late) done(false);
  this->promotion->Tick(now);
  this->RunMonitor(now);
}

std::optional<common::EndpointId> ServiceGroup::Primary() const {
  return this->primary;
}

EndpointPool* ServiceGroup::PoolOf(const common::EndpointId& id) {
  const auto found = this->members.find(id);
  return found == this->members.end() ? nullptr : found->second.pool.get();
}

std::optional<common::LogPosition> ServiceGroup::PositionAt(
    common::SteadyTime time) const {
  return this->ledger.PositionAt(time);
}

common::Duration ServiceGroup::DistanceTo(const GroupMember& member) const {
  const HostPlace& place = this->context.place;
  if (member.domain == place.domain) return kNearTrip;
  return place.InSameRegion(member.domain) ? common::Duration(kRegionTrip)
                                           : common::Duration(kFarTrip);
}

std::optional<common::EndpointId> ServiceGroup::ChooseReader(
    const std::string& caller,
    const std::set<common::EndpointId>& without) const {
  const common::SteadyTime now = common::SteadyNow();
  std::optional<common::EndpointId> best;
  common::Duration best_delay = common::Duration::max();
  for (const auto& [id, member] : this->members) {
    if (without.contains(id)) continue;
    if (member.entry.state == MemberState::kLeaving) continue;
    common::Duration delay = this->DistanceTo(member.entry) +
                             kDelayPerWaiting * member.pool->Waiting();
    if (!member.pool->HasIdle(caller)) delay += kOpenDelay;
    if (member.avoid_until > now) delay += kAvoidance;
    delay += std::chrono::duration_cast<common::Duration>(
        kFailureDelay * member.failures.At(now));
    if (delay < best_delay) {
      best_delay = delay;
      best = id;
    }
  }
  return best;
}

void ServiceGroup::Ask(const common::EndpointId& id, const std::string& command,
                       common::Duration timeout, StatusCallback done) {
  EndpointPool* pool = this->PoolOf(id);
  if (pool == nullptr) {
    this->context.loop->Post([done = std::move(done)] { done(std::nullopt); });
    return;
  }
  const std::uint64_t number = this->next_question++;
  Question& question = this->questions[number];
  question.endpoint = id;
  question.command = command;
  question.timeout = timeout;
  question.done = std::move(done);
  question.timer = this->context.loop->After(
      timeout, [this, number] { this->OnNoChannel(number); });
  ChannelDemand demand;
  demand.done = [this, number,
                 still_alive = this->alive](const ChannelGrant& grant) {
    if (*still_alive) this->OnQuestionGrant(number, grant);
  };
  const DemandId demand_id = pool->Acquire(std::move(demand));
  const auto waiting = this->questions.find(number);
  if (waiting != this->questions.end()) waiting->second.demand = demand_id;
}

void ServiceGroup::OnNoChannel(std::uint64_t number) {
  const Question& question = this->questions.at(number);
  if (EndpointPool* pool = this->PoolOf(question.endpoint)) {
    pool->Cancel(question.demand);
  }
  this->EndQuestion(number, std::nullopt);
}

void ServiceGroup::OnQuestionGrant(std::uint64_t number,
                                   const ChannelGrant& grant) {
  const auto* channel = std::get_if<std::shared_ptr<EndpointChannel>>(&grant);
  const auto found = this->questions.find(number);
  if (found == this->questions.end()) {
    if (channel != nullptr) GiveBack(*channel);
    return;
  }
  Question& question = found->second;
  question.timer.reset();
  if (channel == nullptr) {
    this->EndQuestion(number, std::nullopt);
    return;
  }
  question.channel = *channel;
  question.channel->Send(
      question.command, question.timeout,
      [this, number, still_alive = this->alive](const ChannelResult& result) {
        if (*still_alive) this->OnReply(number, result);
      });
}

void ServiceGroup::OnReply(std::uint64_t number, const ChannelResult& result) {
  const common::EndpointId id = this->questions.at(number).endpoint;
  std::optional<EndpointStatus> status;
  if (const auto* answer = std::get_if<EndpointAnswer>(&result)) {
    this->OnReached(id);
    if (!answer->rows.empty()) {
      status = this->context.codec->DecodeStatus(answer->rows.front());
    }
  } else {
    this->OnUnreached(id);
  }
  if (status.has_value()) this->OnStatus(id, *status);
  this->EndQuestion(number, status);
}

void ServiceGroup::EndQuestion(std::uint64_t number,
                               const std::optional<EndpointStatus>& status) {
  auto ended = this->questions.extract(number);
  const Question& question = ended.mapped();
  if (question.channel != nullptr) GiveBack(question.channel);
  question.done(status);
}

std::vector<GroupMember> ServiceGroup::Entries() const {
  std::vector<GroupMember> entries;
  entries.reserve(this->members.size());
  for (const auto& [id, member] : this->members) {
    entries.push_back(member.entry);
  }
  return entries;
}

void ServiceGroup::UpdatePrimary() {
  const std::optional<common::EndpointId> now_primary = this->view.Primary();
  if (now_primary == this->primary) return;
  this->primary = now_primary;
  this->monitor.OnPrimaryChanged(common::SteadyNow(), now_primary.has_value());
  this->UpdateLeaving();
  common::Log(Subsystem::kConnection, LogLevel::kInfo, "primary_changed",
              {{"service", this->service},
               {"primary", now_primary.value_or(common::EndpointId())},
               {"term", this->view.HighestTerm()}});
}

void ServiceGroup::UpdateLeaving() {
  if (!this->primary.has_value()) return;
  const GroupMember& entry = this->members.at(*this->primary).entry;
  this->monitor.SetLeaving(entry.state == MemberState::kLeaving);
}

void ServiceGroup::OnStatus(const common::EndpointId& id,
                            const EndpointStatus& status) {
  this->view.OnStatus(id, status);
  this->UpdatePrimary();
  if (status.role == GroupRole::kReplica) {
    const common::SteadyTime now = common::SteadyNow();
    this->monitor.OnReplicaPosition(now, status.received);
    this->monitor.OnReplicaHeld(now, id,
                                status.held > this->view.HighestTerm());
  }
}

void ServiceGroup::OnReached(const common::EndpointId& id) {
  const auto found = this->members.find(id);
  if (found != this->members.end()) {
    found->second.avoid_until = common::SteadyTime();
  }
  if (this->primary == id) this->monitor.OnReached(common::SteadyNow());
}

bool ServiceGroup::TakeRepetition(const std::string& caller,
                                  const common::EndpointId& waits_for) {
  if (!this->ChooseReader(caller, {waits_for}).has_value()) return false;
  const bool taken = this->repetitions.Take();
  this->context.metrics->Count(
      "slow_reads", "Reads without an answer for a third of the objective.",
      "result", taken ? "repeated" : "over_budget");
  return taken;
}

void ServiceGroup::OnServed(const common::EndpointId& id) {
  const auto found = this->members.find(id);
  if (found == this->members.end()) return;
  found->second.failures.Record(false, common::SteadyNow());
}

void ServiceGroup::OnFailed(const common::EndpointId& id) {
  const auto found = this->members.find(id);
  if (found == this->members.end()) return;
  found->second.failures.Record(true, common::SteadyNow());
}

void ServiceGroup::OnUnreached(const common::EndpointId& id) {
  const common::SteadyTime now = common::SteadyNow();
  const auto found = this->members.find(id);
  if (found != this->members.end()) {
    found->second.avoid_until = now + kAvoidance;
  }
  if (this->primary == id) this->monitor.OnUnreached(now);
}

void ServiceGroup::OnNotPrimary(const common::EndpointId& id) {
  this->view.OnNotPrimary(id);
  this->UpdatePrimary();
}

void ServiceGroup::OnCommitDone(const common::EndpointId& id) {
  if (this->primary == id) this->monitor.OnCommitDone(common::SteadyNow());
}

void ServiceGroup::OnCommitUnanswered(const common::EndpointId& id) {
  if (this->primary == id) {
    this->monitor.OnCommitUnanswered(common::SteadyNow());
  }
}

void ServiceGroup::AwaitProof(common::SteadyTime not_before,
                              common::Duration wait,
                              std::function<void(bool proved)> done) {
  const std::optional<common::SteadyTime> latest = this->ledger.Latest();
  if (latest.has_value() && *latest >= not_before) {
    done(true);
    return;
  }
  this->waiters.push_back(
      ProofWaiter{not_before, common::SteadyNow() + wait, std::move(done)});
  this->StartRound();
}

void ServiceGroup::RefreshProof(common::SteadyTime not_before) {
  const std::optional<common::SteadyTime> latest = this->ledger.Latest();
  if (latest.has_value() && *latest >= not_before) return;
  this->StartRound();
}

std::optional<ServiceGroup::AgedProof> ServiceGroup::LatestProof(
    common::SteadyTime now) const {
  const auto latest = this->ledger.Latest();
  if (!latest.has_value() || now - *latest > kSharedProofAge) {
    return std::nullopt;
  }
  return AgedProof{*this->ledger.LatestPosition(), now - *latest};
}

void ServiceGroup::AdoptProof(common::SteadyTime as_of,
                              common::LogPosition position) {
  const auto latest = this->ledger.Latest();
  if (latest.has_value() && *latest >= as_of) return;
  this->ledger.Adopt(as_of, position);
}

std::optional<common::EndpointId> ServiceGroup::ChooseWitness() const {
  const common::SteadyTime now = common::SteadyNow();
  std::optional<common::EndpointId> best;
  common::Duration best_delay = common::Duration::max();
  for (const auto& [id, member] : this->members) {
    if (this->primary == id) continue;
    common::Duration delay = this->DistanceTo(member.entry);
    if (member.avoid_until > now) delay += kAvoidance;
    if (this->unfit_witness == id) delay += kAvoidance;
    if (delay < best_delay) {
      best_delay = delay;
      best = id;
    }
  }
  return best;
}

void ServiceGroup::StartRound() {
  if (!this->primary.has_value() || this->round.has_value()) return;
  if (common::SteadyNow() < this->round_not_before) return;
  Round started;
  started.number = this->next_round++;
  started.started = common::SteadyNow();
  const std::optional<common::EndpointId> witness = this->ChooseWitness();
  started.needs_replica = witness.has_value();
  if (witness.has_value()) started.replica_id = *witness;
  this->round = started;
  const std::string command = this->context.codec->EncodeStatus();
  const std::uint64_t number = started.number;
  this->Ask(*this->primary, command, kStatusTimeout,
            [this, number](const std::optional<EndpointStatus>& status) {
              this->OnRoundAnswer(number, true, status);
            });
  if (witness.has_value()) {
    this->Ask(*witness, command, kStatusTimeout,
              [this, number](const std::optional<EndpointStatus>& status) {
                this->OnRoundAnswer(number, false, status);
              });
  }
}

void ServiceGroup::OnRoundAnswer(std::uint64_t number, bool from_primary,
                                 const std::optional<EndpointStatus>& status) {
  if (!this->round.has_value() || this->round->number != number) return;
  if (!status.has_value()) {
    if (!from_primary) this->unfit_witness = this->round->replica_id;
    this->EndRound(false);
    return;
  }
  if (from_primary) {
    this->round->primary = status;
  } else {
    this->round->replica = status;
    this->unfit_witness.reset();
  }
  if (!this->round->primary.has_value()) return;
  if (this->round->needs_replica && !this->round->replica.has_value()) return;
  const bool proved = this->ledger.Record(
      {this->round->started, *this->round->primary, this->round->replica});
  // Another replica may confirm what this one can't.
  if (!proved && this->round->needs_replica) {
    this->unfit_witness = this->round->replica_id;
  }
  this->EndRound(proved);
}

void ServiceGroup::EndRound(bool proved) {
  const common::SteadyTime started = this->round->started;
  this->round.reset();
  this->context.metrics->Count(
      "proof_rounds", "Rounds of questions that prove who leads a service.",
      "result", proved ? "proved" : "failed");
  this->context.metrics->Observe(
      "proof_round_seconds", "Length of a round that proves who leads.",
      "result", proved ? "proved" : "failed", common::SteadyNow() - started);
  std::vector<std::function<void(bool)>> served;
  if (proved) {
    this->round_pause = kFirstRoundPause;
    for (auto it = this->waiters.begin(); it != this->waiters.end();) {
      if (it->not_before > started) {
        ++it;
        continue;
      }
      served.push_back(std::move(it->done));
      it = this->waiters.erase(it);
    }
  }
  const auto still_alive = this->alive;
  for (const auto& done : served) done(true);
  if (!*still_alive || this->waiters.empty() || this->round.has_value()) return;
  if (proved) {
    this->StartRound();
  } else {
    this->round_not_before = common::SteadyNow() + this->round_pause;
    this->context.loop->RunLater(this->round_pause, [this, still_alive] {
      if (!*still_alive || this->waiters.empty()) return;
      this->StartRound();
    });
    this->round_pause =
        std::min<common::Duration>(this->round_pause * 2, kLongestRoundPause);
  }
}

void ServiceGroup::Probe(const common::EndpointId& id) {
  this->Ask(id, this->context.codec->EncodeStatus(), kStatusTimeout,
            [](const std::optional<EndpointStatus>& /*status*/) {});
}

void ServiceGroup::RunMonitor(common::SteadyTime now) {
  if (!this->waiters.empty()) this->StartRound();
  const MonitorVerdict verdict = this->monitor.Decide(now);
  if (verdict.probe && this->primary.has_value() && now >= this->next_probe) {
    this->next_probe = now + kProbeInterval;
    this->Probe(*this->primary);
    if (const auto witness = this->ChooseWitness()) this->Probe(*witness);
  }
  const std::vector<common::EndpointId> held = this->monitor.HeldReplicas();
  if (!held.empty() && now >= this->next_probe) {
    this->next_probe = now + kProbeInterval;
    for (const common::EndpointId& id : held) this->Probe(id);
  }
  if (!verdict.replace.has_value() && this->primary.has_value()) return;
  if (!this->primary.has_value() && now >= this->next_probe) {
    this->next_probe = now + kProbeInterval;
    for (const GroupMember& member : this->Entries()) this->Probe(member.id);
  }
  if (!verdict.replace.has_value()) return;
  const bool has_candidate = std::any_of(
      this->members.begin(), this->members.end(), [&](const auto& entry) {
        return this->primary != entry.first &&
               (entry.second.entry.state == MemberState::kReady ||
                *verdict.replace != ReplaceReason::kLeaving);
      });
  if (has_candidate) this->promotion->Start(*verdict.replace, now);
}

bool ServiceGroup::MustReplace(common::SteadyTime now) const {
  return this->monitor.Decide(now).replace.has_value();
}

}  // namespace camphorferry::session
