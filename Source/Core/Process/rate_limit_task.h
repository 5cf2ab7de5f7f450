#ifndef CAMPHORFERRY_PROCESS_RATE_LIMIT_TASK_H_
#define CAMPHORFERRY_PROCESS_RATE_LIMIT_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Process/counters.h"
#include "Process/event_log.h"
#include "Process/lender_selector.h"
#include "Process/local_rate_limiter.h"
#include "Process/peer_client.h"
#include "Process/rate_slot_lease_manager.h"
#include "Version/version.h"

namespace camphorferry::process {

/// Enforces the workspaces' rate limits at this daemon: acquires rate slots
/// through the store, and borrows rate from peers when a workspace's local
/// bucket is nearly empty.
class RateLimitTask {
 public:
  RateLimitTask(connection::EventLoop* loop, connection::ObjectStore* store,
                PeerClient* peers, EventLog* events, Counters* counters,
                common::HostId host, std::uint64_t incarnation,
                common::FailureDomainId domain);

  void SetConfiguration(version::ConfigurationPointer configuration);

  /// Sets the live hosts of the own failure domain, including this one.
  void SetDomainHosts(const std::set<common::HostId>& hosts);

  /// Sets the peers to borrow from, nearest first.
  void SetLenders(std::vector<common::HostId> lenders);

  /// Decides whether to admit one request of a workspace. A workspace without
  /// limits in the configuration has no tokens.
  Admission Admit(const common::WorkspaceId& workspace, Attempt attempt);

  /// Handles a peer's loan request.
  PeerRateLoan Lend(const common::WorkspaceId& workspace, Millitokens wanted);

  /// Releases the slots. The callback is called when the store has them back,
  /// or after the given time limit.
  void Drain(common::Duration limit, std::function<void()> done);

  std::size_t HeldSlots() const;

  /// True once the first attempt to acquire slots has ended. A daemon that is
  /// not started would refuse its first requests.
  bool Started() const { return this->started; }

 private:
  void OnTick();
  void Perform(const SlotActions& actions);
  void Perform(const ReadSlots& action);
  void Perform(const UpdateSlots& action);
  void Perform(const UseSlot& action);
  void Perform(const ExtendSlot& action);
  void Perform(const StopSlot& action);
  LocalRateLimiter* LimiterOf(const common::WorkspaceId& workspace);
  void BorrowIfNeeded(const common::WorkspaceId& workspace,
                      LocalRateLimiter* limiter);
  void OnLoan(const common::WorkspaceId& workspace,
              common::SteadyTime requested_at, const common::HostId& lender,
              const PeerRateLoan& reply);
  void FinishDrain();

  connection::EventLoop* loop;
  connection::ObjectStore* store;
  PeerClient* peers;
  EventLog* events;
  Counters* counters;
  common::HostId host;
  std::uint64_t incarnation;
  common::FailureDomainId domain;
  version::ConfigurationPointer configuration;
  std::uint32_t total_slots = 0;
  /// No slot is acquired before this time.
  common::SteadyTime acquire_at;
  bool started = false;
  RateSlotLeaseManager::SlotRange range;
  std::unique_ptr<RateSlotLeaseManager> leases;
  std::set<common::HostId> domain_hosts;
  std::vector<common::HostId> lenders;
  std::map<common::WorkspaceId, LenderSelector> lender_selectors;
  std::map<common::WorkspaceId, std::unique_ptr<LocalRateLimiter>> limiters;
  std::unique_ptr<connection::Timer> tick;
  std::unique_ptr<connection::Timer> drain_timeout;
  std::function<void()> drain_done;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_RATE_LIMIT_TASK_H_
