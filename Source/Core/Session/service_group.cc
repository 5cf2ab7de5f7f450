#include "Session/service_group.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

using common::LogLevel;
using common::Subsystem;

/// Limit of a status request. It takes an execution slot of the endpoint for
/// less than a millisecond and crosses regions in 40 ms; a member that takes
/// longer counts as unresponsive.
constexpr std::chrono::milliseconds kStatusTimeout(400);
/// Minimum interval between two requests to peers to send a command of one kind
/// to a member. A promotion repeats its commands more often.
constexpr std::chrono::milliseconds kRelayInterval(300);
/// Commands go on to be sent by peers for this long after they have had a
/// member's answer: longer than the fencing of a promotion.
constexpr std::chrono::milliseconds kRelayedDuration(2500);
/// Reads prefer other members for this long after a member could not be
/// reached.
constexpr std::chrono::milliseconds kAvoidDuration(300);
/// Expected delay of a member at which every statement fails: the time after
/// which a read is sent to a second member.
constexpr std::chrono::milliseconds kFailureDelay(400);
/// Proofs are kept for longer than every staleness bound in use.
constexpr std::chrono::seconds kProofRetention(10);
/// Older proofs are not sent to other daemons. Below every staleness bound in
/// use.
constexpr std::chrono::milliseconds kMaxSharedProofAge(2000);
/// Added to the wait for a primary after the start: the first listing of
/// members may lag by this much, so a primary that it does not name may have
/// registered meanwhile.
constexpr std::chrono::milliseconds kMaxFirstListingAge(3000);
/// A commit is acknowledged within this time after a replica has confirmed it.
constexpr std::chrono::milliseconds kMaxConfirmAge(500);
/// A primary whose failure domain is to be evacuated gets no statements after
/// this time. The bound is 5,000 ms from the operator's request, which a daemon
/// may learn 2,500 ms late.
constexpr std::chrono::milliseconds kMaxUseAfterEvacuation(2000);
/// Minimum interval between two probes.
constexpr std::chrono::milliseconds kProbeInterval(150);
/// Backoff after a proof round without a proof, doubled up to the maximum. Each
/// status request takes an execution slot of an endpoint, and the whole fleet
/// sends them at once when a primary is lost.
constexpr std::chrono::milliseconds kMinRoundBackoff(30);
constexpr std::chrono::milliseconds kMaxRoundBackoff(400);
/// Pause before it is checked again whether the lease record is known.
constexpr std::chrono::milliseconds kRecordPause(20);
/// Pause between two rounds that wait for a replica to receive a commit.
constexpr std::chrono::milliseconds kConfirmationPause(20);
/// A daemon goes on asking the members itself for this long after a peer has
/// relied on it, or has failed to prove who leads.
constexpr std::chrono::milliseconds kOwnRoundsForPeer(1000);
constexpr std::chrono::milliseconds kOwnRoundsAfterFailure(400);
/// Typical round trips within a failure domain, within a region and between
/// regions.
constexpr std::chrono::milliseconds kSameDomainRoundTrip(1);
constexpr std::chrono::milliseconds kSameRegionRoundTrip(3);
constexpr std::chrono::milliseconds kCrossRegionRoundTrip(40);
/// Expected delay per request in a pool's queue; about one statement.
constexpr std::chrono::milliseconds kDelayPerQueuedRequest(12);
/// Expected delay of opening a connection.
constexpr std::chrono::milliseconds kOpenDelay(14);

}  // namespace

ServiceGroup::ServiceGroup(GroupContext context, common::ServiceId service)
    : context(std::move(context)),
      service(std::move(service)),
      random(std::hash<std::string>()(this->context.location.host.Value() +
                                      "/" + this->service.Value())),
      round_backoff(kMinRoundBackoff) {
  this->monitor.OnPrimaryChanged(common::SteadyNow() + kMaxFirstListingAge,
                                 false);
  PromotionCallbacks callbacks;
  callbacks.send_command = [this](const common::EndpointId& id,
                                  const MemberCommand& command,
                                  CommandCallback done) {
    this->SendCommand(id, command, std::move(done));
  };
  callbacks.send_command_by_any = [this](const common::EndpointId& id,
                                         const MemberCommand& command,
                                         CommandCallback done) {
    this->SendCommandByAny(id, command, std::move(done));
  };
  callbacks.members = [this] { return this->PromotionEntries(); };
  callbacks.former_members = [this] { return this->RecentFormerMembers(); };
  callbacks.ended_members = [this] {
    std::set<common::EndpointId> ended;
    for (const auto& [id, since] : this->ended_members) ended.insert(id);
    return ended;
  };
  callbacks.primary = [this] { return this->primary; };
  callbacks.primary_term = [this] { return this->view.PrimaryTerm(); };
  callbacks.highest_term = [this] { return this->view.HighestTerm(); };
  callbacks.still_needed = [this] {
    return this->MustReplace(common::SteadyNow());
  };
  this->promotion = std::make_unique<PromotionTask>(
      this->context, this->service, std::move(callbacks));
}

ServiceGroup::~ServiceGroup() { *this->alive = false; }

FormerMembers ServiceGroup::RecentFormerMembers() const {
  FormerMembers former;
  for (const auto& [process, until] : this->former_members) {
    former.insert(process);
  }
  return former;
}

void ServiceGroup::UpdateFormer(const std::vector<GroupMember>& present,
                                common::SteadyTime now) {
  FormerMembers former = this->RecentFormerMembers();
  UpdateFormerMembers(this->Entries(), present, &former);
  std::erase_if(this->former_members,
                [&](const auto& item) { return !former.contains(item.first); });
  for (const auto& process : former) {
    this->former_members.try_emplace(process, now + kFormerMemberRetention);
  }
}

void ServiceGroup::SetMembers(const std::vector<GroupMember>& present) {
  const common::SteadyTime updated_at = common::SteadyNow();
  this->UpdateFormer(present, updated_at);
  for (const auto& id : EndedMembers(this->Entries(), present)) {
    this->ended_members.try_emplace(id, updated_at);
  }
  std::set<common::EndpointId> ids;
  for (const GroupMember& entry : present) {
    ids.insert(entry.id);
    const auto found = this->members.find(entry.id);
    const bool same = found != this->members.end() &&
                      found->second.entry.incarnation == entry.incarnation &&
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
        this->OnResponsive(id);
      } else {
        this->OnUnresponsive(id);
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
        this->context.location.host.Value(), std::move(observers),
        this->context.large_responses);
    member.pool->SetLimits(this->LimitsFor(entry));
    if (found != this->members.end()) {
      // Channels of the former database process may still call back.
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
  this->departures.OnMembers(present, updated_at);
  this->stability.OnMembers(present, updated_at);
  this->view.OnMembers(present);
  this->UpdatePrimary();
  this->UpdateLeaving();
  this->promotion->OnMembers(this->PromotionEntries(), common::SteadyNow());
}

void ServiceGroup::SetEvacuated(
    const std::map<common::FailureDomainId, common::SteadyTime>& since) {
  if (this->evacuated == since) return;
  this->evacuated = since;
  this->UpdateLeaving();
  this->promotion->OnMembers(this->PromotionEntries(), common::SteadyNow());
}

bool ServiceGroup::IsEvacuated(const GroupMember& member) const {
  return this->evacuated.contains(member.domain);
}

bool ServiceGroup::MayUse(const common::EndpointId& id) const {
  const auto found = this->members.find(id);
  if (found == this->members.end()) return true;
  const auto since = this->evacuated.find(found->second.entry.domain);
  return since == this->evacuated.end() ||
         common::SteadyNow() - since->second < kMaxUseAfterEvacuation;
}

ChannelLimits ServiceGroup::LimitsFor(const GroupMember& member) const {
  const bool near = member.domain == this->context.location.domain;
  return PlanChannels(this->connection_users, near ? this->hosts_in_domain : 0);
}

void ServiceGroup::SetConnectionUsers(const ConnectionUsers& users,
                                      std::size_t hosts) {
  this->connection_users = users;
  this->hosts_in_domain = hosts;
  for (auto& [id, member] : this->members) {
    member.pool->SetLimits(this->LimitsFor(member.entry));
  }
}

void ServiceGroup::Tick(common::SteadyTime now) {
  for (auto& [id, member] : this->members) member.pool->CloseExcessIdle(now);
  this->leadership_proofs.DropOlderThan(now - kProofRetention);
  std::erase_if(this->former_members,
                [now](const auto& item) { return item.second <= now; });
  std::erase_if(this->ended_members, [now](const auto& item) {
    return now - item.second >= kFormerMemberRetention;
  });
  std::vector<std::function<void(bool)>> expired;
  for (auto it = this->waiters.begin(); it != this->waiters.end();) {
    if (it->until > now) {
      ++it;
      continue;
    }
    expired.push_back(std::move(it->done));
    it = this->waiters.erase(it);
  }
  for (const auto& done : expired) done(false);
  this->pending_acknowledgements.OnTick(now);
  this->promotion->Tick(now);
  this->RunMonitor(now);
}

std::optional<common::EndpointId> ServiceGroup::Primary() const {
  return this->primary;
}

std::optional<common::EndpointId> ServiceGroup::UsablePrimary() const {
  if (!this->primary.has_value()) return std::nullopt;
  const bool usable =
      this->departures.MayUse(*this->primary, common::SteadyNow()) &&
      this->MayUse(*this->primary);
  return usable ? this->primary : std::nullopt;
}

EndpointPool* ServiceGroup::PoolOf(const common::EndpointId& id) {
  return this->SharedPoolOf(id).get();
}

std::shared_ptr<EndpointPool> ServiceGroup::SharedPoolOf(
    const common::EndpointId& id) {
  const auto found = this->members.find(id);
  return found == this->members.end() ? nullptr : found->second.pool;
}

std::optional<FleetHost> ServiceGroup::ConnectionOwner(
    const common::EndpointId& id, const std::string& caller) const {
  const auto found = this->members.find(id);
  if (found == this->members.end()) return std::nullopt;
  if (!this->UsesConnectionOwners()) return std::nullopt;
  return this->context.forwarding.connection_owner(caller, found->second.entry);
}

void ServiceGroup::ForwardStatement(
    const FleetHost& owner, ForwardedStatement request,
    common::Duration timeout,
    std::function<void(const ForwardingResult&)> done) {
  this->context.metrics->Count("forwarded_statements",
                               "Statements sent to the daemon that owns the "
                               "connection.",
                               "service", this->service.Value());
  this->context.forwarding.run_statement(owner, std::move(request), timeout,
                                         std::move(done));
}

void ServiceGroup::EndForwardedTransaction(const FleetHost& owner,
                                           std::uint64_t number) {
  this->context.forwarding.end_transaction(owner, number);
}

std::optional<common::LogPosition> ServiceGroup::RequiredPosition(
    common::SteadyTime time) const {
  return this->leadership_proofs.RequiredPosition(time);
}

common::Duration ServiceGroup::RoundTripTo(const GroupMember& member) const {
  const HostLocation& location = this->context.location;
  if (member.domain == location.domain) return kSameDomainRoundTrip;
  return location.InSameRegion(member.domain)
             ? common::Duration(kSameRegionRoundTrip)
             : common::Duration(kCrossRegionRoundTrip);
}

bool ServiceGroup::MayRead(const common::EndpointId& id, const Member& member,
                           const std::set<common::EndpointId>& without) const {
  return !without.contains(id) && member.entry.state != MemberState::kLeaving &&
         !this->IsEvacuated(member.entry);
}

bool ServiceGroup::HasReader(
    const std::set<common::EndpointId>& without) const {
  return std::any_of(this->members.begin(), this->members.end(),
                     [&](const auto& item) {
                       return this->MayRead(item.first, item.second, without);
                     });
}

common::Duration ServiceGroup::FailurePenalty(const Member& member,
                                              common::SteadyTime now) const {
  common::Duration penalty = std::chrono::duration_cast<common::Duration>(
      kFailureDelay * member.failures.Probability(now));
  if (member.avoid_until > now) penalty += kAvoidDuration;
  return penalty;
}

std::optional<common::EndpointId> ServiceGroup::ChooseReader(
    const std::string& caller, const std::set<common::EndpointId>& without) {
  const common::SteadyTime now = common::SteadyNow();
  if (this->UsesConnectionOwners()) {
    return this->ChooseReaderByLoad(now, without);
  }
  std::optional<common::EndpointId> best;
  common::Duration best_delay = common::Duration::max();
  for (const auto& [id, member] : this->members) {
    if (!this->MayRead(id, member, without)) continue;
    common::Duration delay = this->RoundTripTo(member.entry) +
                             kDelayPerQueuedRequest * member.pool->Waiting() +
                             this->FailurePenalty(member, now);
    if (!member.pool->HasIdle(caller)) delay += kOpenDelay;
    if (delay < best_delay) {
      best_delay = delay;
      best = id;
    }
  }
  return best;
}

std::optional<common::EndpointId> ServiceGroup::ChooseReaderByLoad(
    common::SteadyTime now, const std::set<common::EndpointId>& without) {
  std::vector<common::EndpointId> ids;
  std::vector<ReaderCandidate> candidates;
  for (const auto& [id, member] : this->members) {
    if (!this->MayRead(id, member, without)) continue;
    ReaderCandidate candidate;
    candidate.distance = this->RoundTripTo(member.entry);
    candidate.response_time = member.response_times.Average();
    candidate.weight = member.response_times.Weight(now);
    candidate.penalty = this->FailurePenalty(member, now);
    // Only the primary can run writes.
    if (this->primary == id) candidate.penalty += kDelayPerQueuedRequest;
    ids.push_back(id);
    candidates.push_back(candidate);
  }
  if (ids.empty()) return std::nullopt;
  const double random =
      std::uniform_real_distribution<double>(0, 1)(this->random);
  const common::EndpointId& chosen =
      ids[session::ChooseReaderByLoad(candidates, random)];
  const common::FailureDomainId& domain = this->members.at(chosen).entry.domain;
  const HostLocation& own = this->context.location;
  const char* where = own.InSameRegion(domain) ? "same_region" : "other_region";
  if (domain == own.domain) where = "same_domain";
  this->context.metrics->Count(
      "placed_reads", "Reads by the place of their endpoint.", "where", where);
  return chosen;
}

void ServiceGroup::OnReadTime(const common::EndpointId& id,
                              common::Duration time, bool served) {
  const auto found = this->members.find(id);
  if (found == this->members.end()) return;
  Member& member = found->second;
  const common::Duration at_endpoint = std::max(
      time - this->RoundTripTo(member.entry), common::Duration::zero());
  const common::SteadyTime now = common::SteadyNow();
  if (served) {
    member.response_times.Record(at_endpoint, now);
  } else {
    member.response_times.RecordFailure(at_endpoint, now);
  }
}

void ServiceGroup::SendCommand(const common::EndpointId& id,
                               const MemberCommand& command,
                               CommandCallback done) {
  EndpointPool* pool = this->PoolOf(id);
  if (pool == nullptr) {
    this->context.loop->Post(
        [done = std::move(done)] { done(CommandResult()); });
    return;
  }
  const std::uint64_t number = this->next_command++;
  PendingCommand& pending = this->commands[number];
  pending.endpoint = id;
  pending.command = command;
  pending.done = std::move(done);
  pending.timer = this->context.loop->After(
      kStatusTimeout, [this, number] { this->OnChannelTimeout(number); });
  ChannelRequest request;
  request.done = [this, number,
                  still_alive = this->alive](const ChannelGrant& grant) {
    if (*still_alive) this->OnCommandChannel(number, grant);
  };
  const ChannelRequestId request_id = pool->Acquire(std::move(request));
  const auto waiting = this->commands.find(number);
  if (waiting != this->commands.end()) waiting->second.request_id = request_id;
}

void ServiceGroup::SendCommandByAny(const common::EndpointId& id,
                                    const MemberCommand& command,
                                    CommandCallback done) {
  const common::SteadyTime now = common::SteadyNow();
  const auto member = this->members.find(id);
  // A member that accepts this daemon's connections and closes them seems
  // responsive after each of them.
  const bool relays =
      member != this->members.end() &&
      (member->second.unresponsive || now < member->second.relayed_until) &&
      now >= member->second.next_relay[command.kind];
  const CommandCallback finish =
      CombineAttempts(relays ? 2 : 1, std::move(done));
  if (relays) {
    member->second.next_relay[command.kind] = now + kRelayInterval;
    this->context.relay_command(
        {this->service, id, command},
        [this, still_alive = this->alive, id,
         finish](const std::optional<EndpointStatus>& status) {
          if (!*still_alive) return;
          common::Log(Subsystem::kConnection, LogLevel::kInfo,
                      "command_relayed",
                      {{"service", this->service},
                       {"endpoint", id},
                       {"answered", status.has_value() ? "yes" : "no"}});
          if (status.has_value()) {
            const auto answered = this->members.find(id);
            if (answered != this->members.end()) {
              answered->second.relayed_until =
                  common::SteadyNow() + kRelayedDuration;
            }
            this->OnStatus(id, *status);
          }
          finish({status, true});
        });
  }
  this->SendCommand(id, command, finish);
}

void ServiceGroup::OnChannelTimeout(std::uint64_t number) {
  const PendingCommand& pending = this->commands.at(number);
  if (EndpointPool* pool = this->PoolOf(pending.endpoint)) {
    pool->Cancel(pending.request_id);
  }
  this->EndCommand(number, {});
}

void ServiceGroup::OnCommandChannel(std::uint64_t number,
                                    const ChannelGrant& grant) {
  const auto* channel = std::get_if<std::shared_ptr<EndpointChannel>>(&grant);
  const auto found = this->commands.find(number);
  if (found == this->commands.end()) {
    if (channel != nullptr) ReturnToPool(*channel);
    return;
  }
  PendingCommand& pending = found->second;
  pending.timer.reset();
  if (channel == nullptr) {
    this->EndCommand(number, {});
    return;
  }
  pending.channel = *channel;
  pending.channel->Send(
      Encode(*this->context.codec, pending.command), kStatusTimeout,
      [this, number, still_alive = this->alive](const ChannelResult& result) {
        if (*still_alive) this->OnCommandResult(number, result);
      });
}

void ServiceGroup::OnCommandResult(std::uint64_t number,
                                   const ChannelResult& result) {
  const common::EndpointId id = this->commands.at(number).endpoint;
  std::optional<EndpointStatus> status;
  if (const auto* answer = std::get_if<EndpointAnswer>(&result)) {
    this->OnResponsive(id);
    if (!answer->rows.empty()) {
      status = this->context.codec->DecodeStatus(answer->rows.front());
    }
  } else {
    this->OnUnresponsive(id);
  }
  if (status.has_value()) this->OnStatus(id, *status);
  this->EndCommand(number, {status, true});
}

void ServiceGroup::EndCommand(std::uint64_t number,
                              const CommandResult& result) {
  auto ended = this->commands.extract(number);
  const PendingCommand& pending = ended.mapped();
  if (pending.channel != nullptr) ReturnToPool(pending.channel);
  pending.done(result);
}

std::vector<GroupMember> ServiceGroup::Entries() const {
  std::vector<GroupMember> entries;
  entries.reserve(this->members.size());
  for (const auto& [id, member] : this->members) {
    entries.push_back(member.entry);
  }
  return entries;
}

std::vector<GroupMember> ServiceGroup::PromotionEntries() const {
  std::vector<GroupMember> entries = this->Entries();
  for (GroupMember& entry : entries) {
    entry.evacuated = this->IsEvacuated(entry);
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
  const Member& member = this->members.at(*this->primary);
  this->monitor.SetLeaving(member.entry.state == MemberState::kLeaving ||
                           this->IsEvacuated(member.entry));
}

void ServiceGroup::OnStatus(const common::EndpointId& id,
                            const EndpointStatus& status) {
  this->view.OnStatus(id, status);
  this->UpdatePrimary();
  if (status.role == GroupRole::kPrimary) {
    this->OnPrimaryReport(id, status.term, status.received);
  }
  if (status.role == GroupRole::kReplica) {
    // A primary that has stepped down has entries that nobody has confirmed.
    const bool has_led = this->heard_primary.has_value() &&
                         this->heard_primary->endpoint == id &&
                         this->heard_primary->term == status.received.term;
    if (!has_led) {
      this->replica_end = std::max(this->replica_end, status.received);
    }
    const common::SteadyTime now = common::SteadyNow();
    this->monitor.OnReplicaPosition(now, status.received);
    this->monitor.OnReplicaHeld(now, id,
                                status.held > this->view.HighestTerm());
  }
}

void ServiceGroup::OnResponsive(const common::EndpointId& id) {
  const auto found = this->members.find(id);
  if (found != this->members.end()) {
    found->second.avoid_until = common::SteadyTime();
    found->second.unresponsive = false;
  }
  if (this->primary == id) this->monitor.OnResponsive(common::SteadyNow());
}

bool ServiceGroup::TryHedge(const common::EndpointId& waits_for) {
  if (!this->HasReader({waits_for})) return false;
  const bool taken = this->hedge_budget.TryTake();
  this->context.metrics->Count(
      "slow_reads", "Reads without an answer for a third of the objective.",
      "result", taken ? "repeated" : "over_budget");
  return taken;
}

void ServiceGroup::OnStatementSucceeded(const common::EndpointId& id) {
  const auto found = this->members.find(id);
  if (found == this->members.end()) return;
  found->second.failures.Record(false, common::SteadyNow());
}

void ServiceGroup::OnStatementFailed(const common::EndpointId& id) {
  const auto found = this->members.find(id);
  if (found == this->members.end()) return;
  found->second.failures.Record(true, common::SteadyNow());
}

void ServiceGroup::OnUnresponsive(const common::EndpointId& id) {
  const common::SteadyTime now = common::SteadyNow();
  const auto found = this->members.find(id);
  if (found != this->members.end()) {
    found->second.avoid_until = now + kAvoidDuration;
    found->second.unresponsive = true;
  }
  if (this->primary == id) this->monitor.OnUnresponsive(now);
}

void ServiceGroup::OnNotPrimary(const common::EndpointId& id) {
  this->view.OnNotPrimary(id);
  this->UpdatePrimary();
}

void ServiceGroup::OnCommitSuccess(const common::EndpointId& id) {
  if (this->primary != id) return;
  const common::SteadyTime now = common::SteadyNow();
  this->monitor.OnCommitSuccess(now);
  // A member that is still there has confirmed the commit and has all earlier
  // ones.
  std::erase_if(this->ended_members, [now](const auto& item) {
    return now - item.second >= kMaxConfirmAge;
  });
}

void ServiceGroup::OnCommitUnanswered(const common::EndpointId& id) {
  if (this->primary == id) {
    this->monitor.OnCommitUnanswered(common::SteadyNow());
  }
}

void ServiceGroup::AwaitProof(common::SteadyTime not_before,
                              common::Duration wait,
                              std::function<void(bool proved)> done) {
  const std::optional<common::SteadyTime> latest =
      this->leadership_proofs.LatestTime();
  if (latest.has_value() && *latest >= not_before) {
    done(true);
    return;
  }
  this->waiters.push_back(
      ProofWaiter{not_before, common::SteadyNow() + wait, std::move(done)});
  this->StartRound();
}

void ServiceGroup::RefreshProof(common::SteadyTime not_before) {
  const std::optional<common::SteadyTime> latest =
      this->leadership_proofs.LatestTime();
  if (latest.has_value() && *latest >= not_before) return;
  this->StartRound();
}

std::optional<ServiceGroup::AgedProof> ServiceGroup::LatestProof(
    common::SteadyTime now) const {
  const auto latest = this->leadership_proofs.LatestTime();
  if (!latest.has_value() || now - *latest > kMaxSharedProofAge) {
    return std::nullopt;
  }
  return AgedProof{*this->leadership_proofs.LatestPosition(), now - *latest};
}

void ServiceGroup::AddProof(common::SteadyTime as_of,
                            common::LogPosition position) {
  const auto latest = this->leadership_proofs.LatestTime();
  if (latest.has_value() && *latest >= as_of) return;
  this->leadership_proofs.Add(as_of, position);
}

std::optional<common::EndpointId> ServiceGroup::ChooseProofReplica() const {
  const common::SteadyTime now = common::SteadyNow();
  std::optional<common::EndpointId> best;
  common::Duration best_delay = common::Duration::max();
  for (const auto& [id, member] : this->members) {
    if (this->primary == id) continue;
    common::Duration delay = this->RoundTripTo(member.entry);
    if (member.avoid_until > now) delay += kAvoidDuration;
    if (this->unfit_replica == id) delay += kAvoidDuration;
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
  if (this->StartRoundAtPeer()) return;
  Round started;
  started.number = this->next_round++;
  started.started = common::SteadyNow();
  const std::optional<common::EndpointId> replica = this->ChooseProofReplica();
  started.needs_replica = replica.has_value();
  if (replica.has_value()) started.replica_id = *replica;
  this->round = started;
  const std::uint64_t number = started.number;
  this->SendCommand(*this->primary, {},
                    [this, number](const CommandResult& result) {
                      this->OnRoundAnswer(number, true, result.status);
                    });
  if (replica.has_value()) {
    this->SendCommand(*replica, {},
                      [this, number](const CommandResult& result) {
                        this->OnRoundAnswer(number, false, result.status);
                      });
  }
}

void ServiceGroup::ProveByItself(common::SteadyTime now) {
  this->own_rounds_until = std::max<common::SteadyTime>(
      this->own_rounds_until, now + kOwnRoundsForPeer);
  // The peer may be the one that this round waits for.
  if (this->round.has_value() && this->round->by_peer) this->round.reset();
}

bool ServiceGroup::StartRoundAtPeer() {
  if (!this->UsesConnectionOwners()) return false;
  if (common::SteadyNow() < this->own_rounds_until) return false;
  const std::optional<FleetHost> prover =
      this->context.forwarding.prover(this->members.at(*this->primary).entry);
  if (!prover.has_value()) return false;
  Round started;
  started.number = this->next_round++;
  started.started = common::SteadyNow();
  started.by_peer = true;
  this->round = started;
  this->context.forwarding.prove_leadership(
      *prover, this->service,
      [this, still_alive = this->alive, number = started.number](
          const std::optional<common::LogPosition>& position) {
        if (!*still_alive || !this->round.has_value()) return;
        if (this->round->number != number) return;
        // The peer's round began after this one.
        if (position.has_value()) {
          this->leadership_proofs.Add(this->round->started, *position);
        } else {
          this->own_rounds_until = std::max<common::SteadyTime>(
              this->own_rounds_until,
              common::SteadyNow() + kOwnRoundsAfterFailure);
        }
        this->EndRound(position.has_value());
      });
  return true;
}

void ServiceGroup::OnRoundAnswer(std::uint64_t number, bool from_primary,
                                 const std::optional<EndpointStatus>& status) {
  if (!this->round.has_value() || this->round->number != number) return;
  if (!status.has_value()) {
    if (!from_primary) this->unfit_replica = this->round->replica_id;
    this->EndRound(false);
    return;
  }
  if (from_primary) {
    this->round->primary = status;
  } else {
    this->round->replica = status;
    this->unfit_replica.reset();
  }
  if (!this->round->primary.has_value()) return;
  if (this->round->needs_replica && !this->round->replica.has_value()) return;
  const LeadershipRound complete{this->round->started, *this->round->primary,
                                 this->round->replica};
  const bool proved = this->leadership_proofs.Record(complete);
  // Another replica may be able to confirm the primary.
  if (!proved && this->round->needs_replica) {
    this->unfit_replica = this->round->replica_id;
  }
  const auto still_alive = this->alive;
  if (const auto confirmed = ConfirmedPosition(complete)) {
    this->pending_acknowledgements.OnConfirmed(*confirmed, complete.started,
                                               common::SteadyNow());
    if (!*still_alive || !this->round.has_value()) return;
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
    this->round_backoff = kMinRoundBackoff;
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
  if (!*still_alive || !this->AwaitsRound() || this->round.has_value()) return;
  if (proved && !this->waiters.empty()) {
    this->StartRound();
  } else if (proved) {
    this->ScheduleRound(kConfirmationPause);
  } else {
    this->ScheduleRound(this->round_backoff);
    this->round_backoff =
        std::min<common::Duration>(this->round_backoff * 2, kMaxRoundBackoff);
  }
}

void ServiceGroup::ScheduleRound(common::Duration pause) {
  this->round_not_before = common::SteadyNow() + pause;
  this->context.loop->RunLater(pause, [this, still_alive = this->alive] {
    if (*still_alive && this->AwaitsRound()) this->StartRound();
  });
}

void ServiceGroup::OnPrimaryReport(const common::EndpointId& id,
                                   common::Term term, common::LogPosition end) {
  const bool is_newer =
      !this->heard_primary.has_value() ||
      std::pair(term, end) >=
          std::pair(this->heard_primary->term, this->heard_primary->end);
  if (!is_newer) return;
  this->heard_primary = PrimaryLogEnd{id, term, end};
  this->heard_primary_at = common::SteadyNow();
  this->log_end = std::max(this->log_end, end);
}

void ServiceGroup::AcknowledgeCommit(common::LogPosition after,
                                     common::LogPosition end,
                                     common::SteadyTime until,
                                     std::function<void(bool told)> done) {
  const common::SteadyTime now = common::SteadyNow();
  this->log_end = std::max(this->log_end, end);
  AcknowledgementTask* acknowledgements = this->context.acknowledgements;
  if (!acknowledgements->HasKnownRecord() && now < until) {
    this->context.loop->RunLater(
        kRecordPause, [this, still_alive = this->alive, after, end, until,
                       done = std::move(done)] {
          if (*still_alive) this->AcknowledgeCommit(after, end, until, done);
        });
    return;
  }
  const auto finish = [this, acknowledgements, after, end,
                       done = std::move(done)](const char* how, bool told) {
    this->context.metrics->Count(
        "acknowledgements", "Commits by whether clients were told of them.",
        "result", how);
    if (told) acknowledgements->OnTold(this->service, after, end);
    done(told);
  };
  if (!acknowledgements->HasKnownRecord()) {
    finish("record_unknown", false);
    return;
  }
  const AcknowledgementVerdict verdict =
      acknowledgements->Check(this->service, end.term);
  if (verdict == AcknowledgementVerdict::kWithhold) {
    finish("closed", false);
    return;
  }
  if (verdict == AcknowledgementVerdict::kPass &&
      this->stability.IsSettled(now)) {
    finish("passed", true);
    return;
  }
  this->pending_acknowledgements.Add(
      end, now, until,
      [this, acknowledgements, term = end.term, finish](bool confirmed) {
        // The term may have been closed meanwhile.
        const bool is_closed = acknowledgements->Check(this->service, term) ==
                               AcknowledgementVerdict::kWithhold;
        const bool told = confirmed && !is_closed;
        finish(told ? "confirmed" : is_closed ? "closed" : "unconfirmed", told);
      });
  // Peers only tell what the primary has.
  this->ProveByItself(now);
  this->StartRound();
}

CloseTermReply ServiceGroup::CloseTerm(const CloseTermRequest& request) {
  const common::SteadyTime now = common::SteadyNow();
  CloseTermReply reply = this->context.acknowledgements->Close(request);
  reply.highest_term = this->view.HighestTerm();
  reply.replica_end = this->replica_end;
  reply.followed = now - this->followed_since;
  reply.primary = this->heard_primary;
  if (reply.primary.has_value()) {
    reply.primary->age = now - this->heard_primary_at;
  }
  for (const auto& [process, until] : this->former_members) {
    reply.former.push_back({process.first, process.second,
                            now - (until - kFormerMemberRetention), false});
  }
  for (const auto& [id, since] : this->ended_members) {
    reply.former.push_back({id, 0, now - since, true});
  }
  return reply;
}

void ServiceGroup::Probe(const common::EndpointId& id) {
  this->SendCommand(id, {}, [](const CommandResult& /*result*/) {});
}

void ServiceGroup::ProbePrimary(bool must_replace) {
  this->Probe(*this->primary);
  std::optional<common::EndpointId> replica = this->ChooseProofReplica();
  if (must_replace) {
    std::set<common::EndpointId> replicas;
    for (const auto& [id, member] : this->members) {
      if (this->primary != id) replicas.insert(id);
    }
    replica = this->monitor.NextReplica(replicas);
  }
  if (replica.has_value()) this->Probe(*replica);
}

void ServiceGroup::RunMonitor(common::SteadyTime now) {
  if (this->AwaitsRound()) this->StartRound();
  const FailoverDecision decision = this->monitor.Decide(now);
  if (decision.probe && this->primary.has_value() && now >= this->next_probe) {
    this->next_probe = now + kProbeInterval;
    this->ProbePrimary(decision.replace.has_value());
  }
  const std::vector<common::EndpointId> held = this->monitor.HeldReplicas();
  if (!held.empty() && now >= this->next_probe) {
    this->next_probe = now + kProbeInterval;
    for (const common::EndpointId& id : held) this->Probe(id);
  }
  if (!decision.replace.has_value() && this->primary.has_value()) return;
  if (!this->primary.has_value() && now >= this->next_probe) {
    this->next_probe = now + kProbeInterval;
    for (const GroupMember& member : this->Entries()) this->Probe(member.id);
  }
  if (!decision.replace.has_value()) return;
  const bool has_candidate = std::any_of(
      this->members.begin(), this->members.end(), [&](const auto& entry) {
        return this->primary != entry.first &&
               ((entry.second.entry.state == MemberState::kReady &&
                 !this->IsEvacuated(entry.second.entry)) ||
                *decision.replace != FailoverReason::kLeaving);
      });
  if (has_candidate) this->promotion->Start(*decision.replace, now);
}

bool ServiceGroup::MustReplace(common::SteadyTime now) const {
  return this->monitor.Decide(now).replace.has_value();
}

}  // namespace camphorferry::session
