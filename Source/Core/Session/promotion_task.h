#ifndef CAMPHORFERRY_SESSION_PROMOTION_TASK_H_
#define CAMPHORFERRY_SESSION_PROMOTION_TASK_H_

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Session/group_context.h"
#include "Session/primary_monitor.h"
#include "Session/promotion_plan.h"

namespace camphorferry::session {

/// What a promotion needs of its group.
struct PromotionGroup {
  /// Sends an encoded command to a member; calls back with its status, or with
  /// nothing if it gave none in time.
  std::function<void(const common::EndpointId&, const std::string& command,
                     std::function<void(std::optional<EndpointStatus>)>)>
      ask;
  std::function<std::vector<GroupMember>()> members;
  std::function<std::optional<common::EndpointId>()> primary;
  std::function<common::Term()> highest_term;
  /// Whether the primary is still to be replaced.
  std::function<bool()> still_needed;
};

/// Replaces the primary of one group: gets the duty, carries out a promotion
/// plan, and gives the duty back.
class PromotionTask {
 public:
  PromotionTask(GroupContext context, common::ServiceId service,
                PromotionGroup group);
  ~PromotionTask();
  PromotionTask(const PromotionTask&) = delete;
  PromotionTask& operator=(const PromotionTask&) = delete;

  /// Starts a promotion, unless one runs or one has just ended.
  void Start(ReplaceReason reason, common::SteadyTime now);

  /// The set of registered members has changed.
  void OnMembers(const std::vector<GroupMember>& members,
                 common::SteadyTime now);

  /// To be called every kPromotionTick.
  void Tick(common::SteadyTime now);

 private:
  void Begin(ReplaceReason reason);
  void Perform(const std::vector<PromotionAction>& actions);
  void SendOrder(const OrderPromotion& order);
  /// Lets replicas receive again, if this daemon still has the duty, and ends.
  void ResumeAndEnd(const std::vector<common::EndpointId>& held,
                    const PromotionFinished& finished);
  void End(const PromotionFinished& finished);
  /// Records how long a phase took that ends now; the next one begins.
  void RecordPhase(const std::string& phase);

  GroupContext context;
  common::ServiceId service;
  PromotionGroup group;
  bool running = false;
  std::shared_ptr<PromotionPlan> plan;
  common::SteadyTime next_start;
  common::SteadyTime phase_started_at;
  std::mt19937_64 random;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PROMOTION_TASK_H_
