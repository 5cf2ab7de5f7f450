#include "Process/rate_limit_task.h"

#include <algorithm>
#include <utility>

namespace camphorferry::process {

namespace {

constexpr std::chrono::milliseconds kTickInterval(100);
/// Time to read the host list twice: a daemon that takes itself for the only
/// one of its domain would take all slots, and giving them back takes minutes.
constexpr std::chrono::milliseconds kTakeDelay(2500);

std::uint32_t TotalSlots(const version::Configuration& configuration) {
  std::uint32_t total = 0;
  for (const auto& [id, domain] : configuration.domains) {
    total += domain.rate_slots;
  }
  return total;
}

/// Numbers of the domain's slots: domains are numbered through in their order.
RateSlotLeaseManager::SlotRange RangeOf(
    const version::Configuration& configuration,
    const common::FailureDomainId& domain) {
  RateSlotLeaseManager::SlotRange range;
  for (const auto& [id, declared] : configuration.domains) {
    if (id == domain) {
      range.count = declared.rate_slots;
      return range;
    }
    range.first += declared.rate_slots;
  }
  return range;
}

}  // namespace

RateLimitTask::RateLimitTask(connection::EventLoop* loop,
                             connection::ObjectStore* store, PeerClient* peers,
                             EventLog* events, Counters* counters,
                             common::HostId host, std::uint64_t incarnation,
                             common::FailureDomainId domain)
    : loop(loop),
      store(store),
      peers(peers),
      events(events),
      counters(counters),
      host(std::move(host)),
      incarnation(incarnation),
      domain(std::move(domain)),
      take_from(common::SteadyNow() + kTakeDelay) {
  this->tick = loop->Every(kTickInterval, [this] { this->OnTick(); });
}

void RateLimitTask::SetConfiguration(
    version::ConfigurationPointer configuration) {
  this->configuration = std::move(configuration);
  this->total_slots = TotalSlots(*this->configuration);
  const RateSlotLeaseManager::SlotRange wanted =
      RangeOf(*this->configuration, this->domain);
  const bool same_range =
      wanted.first == this->range.first && wanted.count == this->range.count;
  if (this->lease == nullptr || !same_range) {
    // Slot numbers changed, so the leases start again under the new numbers.
    this->range = wanted;
    this->lease = std::make_unique<RateSlotLeaseManager>(
        this->host, this->incarnation, this->range);
    this->lease->SetHosts(this->domain_hosts);
    this->shares.clear();
  }
  std::erase_if(this->shares, [this](const auto& entry) {
    return !this->configuration->workspaces.contains(entry.first);
  });
  for (const auto& [id, workspace] : this->configuration->workspaces) {
    const RateLimits limits{workspace.rate, workspace.burst, this->total_slots};
    std::unique_ptr<LocalRateLimiter>& share = this->shares[id];
    if (share != nullptr) {
      share->SetLimits(limits, common::SteadyNow());
      continue;
    }
    share = std::make_unique<LocalRateLimiter>(limits, common::SteadyNow());
    for (const auto& [slot, end] :
         this->lease->HeldSlots(common::SteadyNow())) {
      share->AddSlot(slot, end, common::SteadyNow());
    }
  }
}

void RateLimitTask::SetDomainHosts(const std::set<common::HostId>& hosts) {
  this->domain_hosts = hosts;
  if (this->lease != nullptr) this->lease->SetHosts(hosts);
}

void RateLimitTask::SetLenders(std::vector<common::HostId> lenders) {
  this->lenders = std::move(lenders);
}

Admission RateLimitTask::Admit(const common::WorkspaceId& workspace,
                               Attempt attempt) {
  LocalRateLimiter* share = this->ShareOf(workspace);
  if (share == nullptr) return Refused{std::chrono::seconds(1)};
  const Admission admission = share->Admit(common::SteadyNow(), attempt);
  this->BorrowIfNeeded(workspace, share);
  return admission;
}

PeerRateLoan RateLimitTask::Lend(const common::WorkspaceId& workspace,
                                 Millitokens wanted) {
  LocalRateLimiter* share = this->ShareOf(workspace);
  if (share == nullptr) return {};
  const RateLoan loan = share->Lend(wanted, common::SteadyNow());
  if (loan.Empty()) return {};
  this->counters->Add("rate_loans_given");
  return {static_cast<std::uint64_t>(loan.rate),
          static_cast<std::uint64_t>(loan.capacity),
          static_cast<std::uint64_t>(loan.level), loan.length};
}

void RateLimitTask::Drain(common::Duration limit, std::function<void()> done) {
  if (this->lease == nullptr) {
    done();
    return;
  }
  this->drain_done = std::move(done);
  this->drain_limit = this->loop->After(limit, [this] { this->FinishDrain(); });
  this->Perform(this->lease->Drain(common::SteadyNow()));
  if (this->lease->Drained()) this->FinishDrain();
}

std::size_t RateLimitTask::HeldSlots() const {
  return this->lease == nullptr
             ? 0
             : this->lease->HeldSlots(common::SteadyNow()).size();
}

void RateLimitTask::OnTick() {
  if (this->lease == nullptr || common::SteadyNow() < this->take_from) return;
  this->Perform(this->lease->Tick(common::SteadyNow()));
  if (this->drain_done && this->lease->Drained()) this->FinishDrain();
}

void RateLimitTask::Perform(const SlotActions& actions) {
  for (const SlotAction& action : actions) {
    std::visit([this](const auto& typed) { this->Perform(typed); }, action);
  }
}

void RateLimitTask::Perform(const ReadSlots& /*action*/) {
  const common::SteadyTime sent = common::SteadyNow();
  this->store->Read(
      "rates/" + this->domain.Value(),
      [this, sent,
       asking = this->lease.get()](const connection::ReadResult& result) {
        // The lease was replaced while the call was on its way.
        if (asking != this->lease.get()) return;
        const auto* object = std::get_if<connection::StoredObject>(&result);
        const SlotActions actions =
            object == nullptr
                ? this->lease->OnReadFailed(common::SteadyNow())
                : this->lease->OnRead(object->version, object->value, sent,
                                      common::SteadyNow());
        const bool updates =
            std::any_of(actions.begin(), actions.end(), [](const auto& action) {
              return std::holds_alternative<UpdateSlots>(action);
            });
        if (!updates) this->started = true;
        this->Perform(actions);
      });
}

void RateLimitTask::Perform(const UpdateSlots& action) {
  this->store->Write(
      "rates/" + this->domain.Value(), action.if_version, action.content,
      [this,
       asking = this->lease.get()](const connection::WriteResult& result) {
        if (asking != this->lease.get()) return;
        this->started = true;
        this->Perform(std::visit(
            common::Overloaded{
                [this](const connection::ObjectWritten& written) {
                  return this->lease->OnUpdated(written.version,
                                                common::SteadyNow());
                },
                [this](const connection::ObjectConflict& /*conflict*/) {
                  return this->lease->OnUpdateConflicted(common::SteadyNow());
                },
                [this](const connection::StoreNoAnswer& /*none*/) {
                  return this->lease->OnUpdateAnswerLost(common::SteadyNow());
                }},
            result));
      });
}

void RateLimitTask::Perform(const UseSlot& action) {
  this->events->Record(common::WallNow(), common::Subsystem::kProcess,
                       "rate_slot_taken", {{"slot", action.slot}});
  for (const auto& [id, share] : this->shares) {
    share->AddSlot(action.slot, action.lease_end, common::SteadyNow());
  }
}

void RateLimitTask::Perform(const ExtendSlot& action) {
  for (const auto& [id, share] : this->shares) {
    share->RenewSlot(action.slot, action.lease_end, common::SteadyNow());
  }
}

void RateLimitTask::Perform(const StopSlot& action) {
  this->events->Record(common::WallNow(), common::Subsystem::kProcess,
                       "rate_slot_stopped", {{"slot", action.slot}});
  for (const auto& [id, share] : this->shares) {
    share->RemoveSlot(action.slot, common::SteadyNow());
  }
}

LocalRateLimiter* RateLimitTask::ShareOf(const common::WorkspaceId& workspace) {
  const auto found = this->shares.find(workspace);
  return found == this->shares.end() ? nullptr : found->second.get();
}

void RateLimitTask::BorrowIfNeeded(const common::WorkspaceId& workspace,
                                   LocalRateLimiter* share) {
  const common::SteadyTime asked_at = common::SteadyNow();
  LenderSelector& choice = this->lender_choices[workspace];
  if (this->lenders.empty()) return;
  const std::optional<BorrowRequest> wanted =
      share->NextBorrowRequest(asked_at);
  if (!wanted) return;
  const std::optional<common::HostId> lender =
      choice.Next(this->lenders, asked_at);
  if (!lender) return;
  this->counters->Add("rate_loans_asked");
  this->peers->BorrowRate(
      *lender, workspace, static_cast<std::uint64_t>(wanted->wanted),
      [this, workspace, asked_at,
       lender = *lender](const std::optional<PeerRateLoan>& answer) {
        if (answer) this->OnLoan(workspace, asked_at, lender, *answer);
      });
}

void RateLimitTask::OnLoan(const common::WorkspaceId& workspace,
                           common::SteadyTime asked_at,
                           const common::HostId& lender,
                           const PeerRateLoan& answer) {
  const RateLoan loan{static_cast<Millitokens>(answer.rate),
                      static_cast<Millitokens>(answer.capacity),
                      static_cast<Millitokens>(answer.level), answer.length};
  this->lender_choices[workspace].OnAnswer(lender, loan, common::SteadyNow());
  LocalRateLimiter* borrower = this->ShareOf(workspace);
  if (borrower == nullptr) return;
  borrower->AcceptLoan(asked_at, loan, common::SteadyNow());
}

void RateLimitTask::FinishDrain() {
  this->drain_limit.reset();
  const std::function<void()> done = std::exchange(this->drain_done, nullptr);
  if (done) done();
}

}  // namespace camphorferry::process
