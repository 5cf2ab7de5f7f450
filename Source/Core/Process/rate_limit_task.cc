#include "Process/rate_limit_task.h"

#include <algorithm>
#include <utility>

namespace camphorferry::process {

namespace {

constexpr std::chrono::milliseconds kTickInterval(100);
/// Covers two reads of the host list. A daemon that knows only itself in its
/// domain would acquire all slots, and giving them back takes minutes.
constexpr std::chrono::milliseconds kAcquireDelay(2500);

std::uint32_t TotalSlots(const version::Configuration& configuration) {
  std::uint32_t total = 0;
  for (const auto& [id, domain] : configuration.domains) {
    total += domain.rate_slots;
  }
  return total;
}

/// Slot numbers of a domain. The slots of all domains are numbered
/// consecutively in the order of the domains.
RateSlotLeaseManager::SlotRange SlotRangeOf(
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
      acquire_at(common::SteadyNow() + kAcquireDelay) {
  this->tick = loop->Every(kTickInterval, [this] { this->OnTick(); });
}

void RateLimitTask::SetConfiguration(
    version::ConfigurationPointer configuration) {
  this->configuration = std::move(configuration);
  this->total_slots = TotalSlots(*this->configuration);
  const RateSlotLeaseManager::SlotRange wanted =
      SlotRangeOf(*this->configuration, this->domain);
  const bool same_range =
      wanted.first == this->range.first && wanted.count == this->range.count;
  if (this->leases == nullptr || !same_range) {
    // The slot numbers changed, so new leases are acquired under the new
    // numbers.
    this->range = wanted;
    this->leases = std::make_unique<RateSlotLeaseManager>(
        this->host, this->incarnation, this->range);
    this->leases->SetHosts(this->domain_hosts);
    this->limiters.clear();
  }
  std::erase_if(this->limiters, [this](const auto& entry) {
    return !this->configuration->workspaces.contains(entry.first);
  });
  for (const auto& [id, workspace] : this->configuration->workspaces) {
    const RateLimits limits{workspace.rate, workspace.burst, this->total_slots};
    std::unique_ptr<LocalRateLimiter>& limiter = this->limiters[id];
    if (limiter != nullptr) {
      limiter->SetLimits(limits, common::SteadyNow());
      continue;
    }
    limiter = std::make_unique<LocalRateLimiter>(limits, common::SteadyNow());
    for (const auto& [slot, end] :
         this->leases->HeldSlots(common::SteadyNow())) {
      limiter->AddSlot(slot, end, common::SteadyNow());
    }
  }
}

void RateLimitTask::SetDomainHosts(const std::set<common::HostId>& hosts) {
  this->domain_hosts = hosts;
  if (this->leases != nullptr) this->leases->SetHosts(hosts);
}

void RateLimitTask::SetLenders(std::vector<common::HostId> lenders) {
  this->lenders = std::move(lenders);
}

Admission RateLimitTask::Admit(const common::WorkspaceId& workspace,
                               Attempt attempt) {
  LocalRateLimiter* limiter = this->LimiterOf(workspace);
  if (limiter == nullptr) return Refused{std::chrono::seconds(1)};
  const Admission admission = limiter->Admit(common::SteadyNow(), attempt);
  this->BorrowIfNeeded(workspace, limiter);
  return admission;
}

PeerRateLoan RateLimitTask::Lend(const common::WorkspaceId& workspace,
                                 Millitokens wanted) {
  LocalRateLimiter* limiter = this->LimiterOf(workspace);
  if (limiter == nullptr) return {};
  const RateLoan loan = limiter->Lend(wanted, common::SteadyNow());
  if (loan.Empty()) return {};
  this->counters->Add("rate_loans_given");
  return {static_cast<std::uint64_t>(loan.rate),
          static_cast<std::uint64_t>(loan.capacity),
          static_cast<std::uint64_t>(loan.level), loan.duration};
}

void RateLimitTask::Drain(common::Duration limit, std::function<void()> done) {
  if (this->leases == nullptr) {
    done();
    return;
  }
  this->drain_done = std::move(done);
  this->drain_timeout =
      this->loop->After(limit, [this] { this->FinishDrain(); });
  this->Perform(this->leases->Drain(common::SteadyNow()));
  if (this->leases->Drained()) this->FinishDrain();
}

std::size_t RateLimitTask::HeldSlots() const {
  return this->leases == nullptr
             ? 0
             : this->leases->HeldSlots(common::SteadyNow()).size();
}

void RateLimitTask::OnTick() {
  if (this->leases == nullptr || common::SteadyNow() < this->acquire_at) return;
  this->Perform(this->leases->Tick(common::SteadyNow()));
  if (this->drain_done && this->leases->Drained()) this->FinishDrain();
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
      [this, sent, requested_by = this->leases.get()](
          const connection::ReadResult& result) {
        // The lease manager was replaced while the call was in progress.
        if (requested_by != this->leases.get()) return;
        const auto* object = std::get_if<connection::StoredObject>(&result);
        const SlotActions actions =
            object == nullptr
                ? this->leases->OnReadFailed(common::SteadyNow())
                : this->leases->OnRead(object->version, object->value, sent,
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
      [this, requested_by =
                 this->leases.get()](const connection::WriteResult& result) {
        if (requested_by != this->leases.get()) return;
        this->started = true;
        this->Perform(std::visit(
            common::Overloaded{
                [this](const connection::ObjectWritten& written) {
                  return this->leases->OnUpdated(written.version,
                                                 common::SteadyNow());
                },
                [this](const connection::ObjectConflict& /*conflict*/) {
                  return this->leases->OnUpdateConflicted(common::SteadyNow());
                },
                [this](const connection::StoreNoAnswer& /*none*/) {
                  return this->leases->OnUpdateAnswerLost(common::SteadyNow());
                }},
            result));
      });
}

void RateLimitTask::Perform(const UseSlot& action) {
  this->events->Record(common::WallNow(), common::Subsystem::kProcess,
                       "rate_slot_taken", {{"slot", action.slot}});
  for (const auto& [id, limiter] : this->limiters) {
    limiter->AddSlot(action.slot, action.lease_end, common::SteadyNow());
  }
}

void RateLimitTask::Perform(const ExtendSlot& action) {
  for (const auto& [id, limiter] : this->limiters) {
    limiter->RenewSlot(action.slot, action.lease_end, common::SteadyNow());
  }
}

void RateLimitTask::Perform(const StopSlot& action) {
  this->events->Record(common::WallNow(), common::Subsystem::kProcess,
                       "rate_slot_stopped", {{"slot", action.slot}});
  for (const auto& [id, limiter] : this->limiters) {
    limiter->RemoveSlot(action.slot, common::SteadyNow());
  }
}

LocalRateLimiter* RateLimitTask::LimiterOf(
    const common::WorkspaceId& workspace) {
  const auto found = this->limiters.find(workspace);
  return found == this->limiters.end() ? nullptr : found->second.get();
}

void RateLimitTask::BorrowIfNeeded(const common::WorkspaceId& workspace,
                                   LocalRateLimiter* limiter) {
  const common::SteadyTime requested_at = common::SteadyNow();
  LenderSelector& selector = this->lender_selectors[workspace];
  if (this->lenders.empty()) return;
  const std::optional<BorrowRequest> wanted =
      limiter->NextBorrowRequest(requested_at);
  if (!wanted) return;
  const std::optional<common::HostId> lender =
      selector.Select(this->lenders, requested_at);
  if (!lender) return;
  this->counters->Add("rate_loans_asked");
  this->peers->BorrowRate(
      *lender, workspace, static_cast<std::uint64_t>(wanted->wanted),
      [this, workspace, requested_at,
       lender = *lender](const std::optional<PeerRateLoan>& reply) {
        if (reply) this->OnLoan(workspace, requested_at, lender, *reply);
      });
}

void RateLimitTask::OnLoan(const common::WorkspaceId& workspace,
                           common::SteadyTime requested_at,
                           const common::HostId& lender,
                           const PeerRateLoan& reply) {
  const RateLoan loan{static_cast<Millitokens>(reply.rate),
                      static_cast<Millitokens>(reply.capacity),
                      static_cast<Millitokens>(reply.level), reply.duration};
  this->lender_selectors[workspace].OnLoanReply(lender, loan,
                                                common::SteadyNow());
  LocalRateLimiter* borrower = this->LimiterOf(workspace);
  if (borrower == nullptr) return;
  borrower->AcceptLoan(requested_at, loan, common::SteadyNow());
}

void RateLimitTask::FinishDrain() {
  this->drain_timeout.reset();
  const std::function<void()> done = std::exchange(this->drain_done, nullptr);
  if (done) done();
}

}  // namespace camphorferry::process
