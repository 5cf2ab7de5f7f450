#ifndef CAMPHORFERRY_SESSION_PROMOTION_TASK_H_
#define CAMPHORFERRY_SESSION_PROMOTION_TASK_H_

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Session/closing_task.h"
#include "Session/group_context.h"
#include "Session/member_command.h"
#include "Session/primary_monitor.h"
#include "Session/promotion_plan.h"

namespace camphorferry::session {

/// Callbacks through which a promotion uses its group.
struct PromotionCallbacks {
  /// Sends a command to a member.
  std::function<void(const common::EndpointId&, const MemberCommand& command,
                     CommandCallback)>
      send_command;
  /// Sends a command to a member, also through peers if the member does not
  /// answer this daemon.
  std::function<void(const common::EndpointId&, const MemberCommand& command,
                     CommandCallback)>
      send_command_by_any;
  std::function<std::vector<GroupMember>()> members;
  std::function<FormerMembers()> former_members;
  std::function<std::set<common::EndpointId>()> ended_members;
  std::function<std::optional<common::EndpointId>()> primary;
  /// Term that the primary has reported to lead; 0 if it has reported none.
  std::function<common::Term()> primary_term;
  std::function<common::Term()> highest_term;
  /// Whether the primary still needs to be replaced.
  std::function<bool()> still_needed;
};

/// Replaces the primary of one group: acquires the promotion lease, lists the
/// members, carries out a PromotionPlan and releases the lease.
class PromotionTask {
 public:
  PromotionTask(GroupContext context, common::ServiceId service,
                PromotionCallbacks callbacks);
  ~PromotionTask();
  PromotionTask(const PromotionTask&) = delete;
  PromotionTask& operator=(const PromotionTask&) = delete;

  /// Starts a promotion, unless one is running or has ended less than the
  /// restart delay ago.
  void Start(FailoverReason reason, common::SteadyTime now);

  /// Handles a change of the set of registered members.
  void OnMembers(const std::vector<GroupMember>& members,
                 common::SteadyTime now);

  /// Must be called every kPromotionTickInterval.
  void Tick(common::SteadyTime now);

 private:
  /// Lists the members before a promotion begins, and follows them without lag
  /// until it ends. The list may be outdated after this daemon was cut off, and
  /// lack a member that leads meanwhile; a member that joins meanwhile confirms
  /// commits of the old primary until it is held.
  void RefreshMembers(FailoverReason reason);
  void Begin(FailoverReason reason);
  void Perform(const std::vector<PromotionAction>& actions);
  void SendCommand(const common::EndpointId& id, const MemberCommand& command,
                   CommandCallback done);
  /// Has the terms below the given one closed at all daemons.
  void CloseTermsBelow(common::Term below);
  /// Logs, once a plan, that the member that would be ordered lacks commits of
  /// which clients have been told.
  void LogBehind(common::SteadyTime now);
  /// A call that gives an order, and since when the platform has answered.
  struct OpenPromoteCall {
    PromoteCall promote;
    common::SteadyTime since;
  };

  void SendOrder(const OrderPromotion& order);
  /// Records an order that is about to be given, and gives it.
  void RecordOrder(const std::shared_ptr<PromotionPlan>& current,
                   const OrderPromotion& order, const OpenPromoteCall& call);
  /// Gives an order that has been recorded, if it may still be given.
  void SendRecordedOrder(const std::shared_ptr<PromotionPlan>& current,
                         const OrderPromotion& order,
                         const PromotionLeaseRecord& record,
                         const OpenPromoteCall& call);
  /// Removes the recorded orders of the service if the known primary shows that
  /// they have been executed.
  void SettleExecutedOrder(common::SteadyTime now);
  /// Renews the lease while an order is outstanding, so that no other daemon
  /// orders the promotion of another member meanwhile.
  void RenewLease(common::SteadyTime now);
  /// Resumes the held replicas if this daemon still holds the lease, and ends
  /// the promotion.
  void ResumeAndEnd(const std::vector<common::EndpointId>& held,
                    const PromotionFinished& finished);
  /// Resumes the held replicas and ends the promotion once all have answered or
  /// can answer no more.
  void Resume(const std::vector<common::EndpointId>& held,
              const PromotionFinished& finished);
  /// Ends the promotion and the use of the lease.
  void End(const PromotionFinished& finished);
  /// Logs what the plan knows when an order for a member is about to be given.
  void LogEvidence(const common::EndpointId& id, common::SteadyTime now) const;
  /// Logs that a member has answered that it is no longer held, if the plan
  /// took it for held before that answer and does not any more.
  void LogHoldEnded(const std::vector<MemberEvidence>& before,
                    const common::EndpointId& id,
                    const EndpointStatus& status) const;
  /// Removes the latest recorded order of the service, which was not given or
  /// was rejected.
  void WithdrawOrder(const common::EndpointId& id, std::uint64_t number,
                     const char* reason);
  /// Logs a member's answer to a command of the plan.
  void LogStatus(const common::EndpointId& id, const char* purpose,
                 const EndpointStatus& status) const;
  /// Records the duration of the phase that ends now and starts the next one.
  void RecordPhase(const std::string& phase);

  /// The orders that the current plan has given, all for one member.
  struct GivenOrders {
    common::EndpointId endpoint;
    common::SteadyTime first_at;
    int count = 0;
  };

  GroupContext context;
  common::ServiceId service;
  PromotionCallbacks callbacks;
  bool running = false;
  std::shared_ptr<PromotionPlan> plan;
  ClosingTask closing;
  bool behind_logged = false;
  std::optional<GivenOrders> given;
  /// Exists from the listing of the members until the promotion has ended.
  CloseFollowing following;
  /// The primary that is replaced. Peers that reach it must not go on to get
  /// its commits confirmed.
  std::optional<common::EndpointId> old_primary;
  common::SteadyTime next_start;
  common::SteadyTime next_renewal;
  common::SteadyTime phase_started_at;
  std::mt19937_64 random;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PROMOTION_TASK_H_
