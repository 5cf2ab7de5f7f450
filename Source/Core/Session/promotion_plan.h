#ifndef CAMPHORFERRY_SESSION_PROMOTION_PLAN_H_
#define CAMPHORFERRY_SESSION_PROMOTION_PLAN_H_

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "Session/directory.h"
#include "Session/statement.h"

namespace camphorferry::session {

/// Makes a primary of a lower term a replica.
struct SendStepDown {
  common::EndpointId endpoint;
  common::Term term = 0;
};

/// Stops a replica from receiving.
struct SendHold {
  common::EndpointId endpoint;
  common::Term term = 0;
};

/// Lets a held replica receive again.
struct SendResume {
  common::EndpointId endpoint;
};

/// Asks a member for its status.
struct SendStatus {
  common::EndpointId endpoint;
};

/// Orders the promotion at the platform.
struct OrderPromotion {
  common::EndpointId endpoint;
};

/// Ends the plan.
struct PromotionFinished {
  bool promoted = false;
  const char* reason = "";
};

using PromotionAction =
    std::variant<SendStepDown, SendHold, SendResume, SendStatus, OrderPromotion,
                 PromotionFinished>;

/// Steps of one promotion that loses no acknowledged commit.
///
/// A commit is acknowledged once the primary and one replica hold it. The plan
/// therefore fences all registered replicas and chooses the most advanced one:
/// whichever replica has confirmed a commit, its position counts. If the old
/// primary answers and has stepped down, its final position does as well as
/// replicas that don't answer. Until one of both is met, nobody is promoted.
class PromotionPlan {
 public:
  PromotionPlan(const std::vector<GroupMember>& members,
                const std::optional<common::EndpointId>& primary,
                common::Term highest_term, common::SteadyTime now);

  /// First actions.
  std::vector<PromotionAction> Begin(common::SteadyTime now);

  /// A member answered a command of this plan.
  std::vector<PromotionAction> OnStatus(const common::EndpointId& id,
                                        const EndpointStatus& status,
                                        common::SteadyTime now);

  /// The set of registered members has changed.
  std::vector<PromotionAction> OnMembers(
      const std::vector<GroupMember>& members, common::SteadyTime now);

  /// The platform answered an order.
  std::vector<PromotionAction> OnOrderAnswer(PromotionAnswer answer,
                                             common::SteadyTime now);

  /// Time has passed; to be called every kPromotionTickInterval.
  std::vector<PromotionAction> OnTick(common::SteadyTime now);

 private:
  enum class Phase { kFencing, kOrdered, kFinished };

  struct Member {
    bool leaving = false;
    std::uint64_t incarnation = 0;
    /// Answer to a hold or step-down for the term of this plan.
    std::optional<EndpointStatus> fenced;
  };

  std::vector<PromotionAction> FenceUnanswered();
  std::vector<PromotionAction> OrderIfPossible(common::SteadyTime now);
  std::optional<common::EndpointId> ChooseCandidate(
      common::SteadyTime now) const;
  std::vector<PromotionAction> Finish(bool promoted, const char* reason,
                                      common::SteadyTime now);

  std::map<common::EndpointId, Member> members;
  std::optional<common::EndpointId> primary;
  common::Term term;
  common::SteadyTime started;
  Phase phase = Phase::kFencing;
  std::optional<common::EndpointId> chosen;
  std::optional<common::SteadyTime> fenced_at;
  std::optional<common::SteadyTime> last_order;
  bool order_pending = false;
};

/// Interval between two calls of PromotionPlan::OnTick; short beside the time
/// that a promotion takes (600 ms and more).
inline constexpr std::chrono::milliseconds kPromotionTickInterval(100);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PROMOTION_PLAN_H_
