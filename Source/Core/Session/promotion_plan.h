#ifndef CAMPHORFERRY_SESSION_PROMOTION_PLAN_H_
#define CAMPHORFERRY_SESSION_PROMOTION_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "Session/directory.h"
#include "Session/promotion_evidence.h"
#include "Session/statement.h"
#include "Session/terms_closed.h"

namespace camphorferry::session {

/// Demotes a primary whose term is lower than the given one to a replica.
struct SendStepDown {
  common::EndpointId endpoint;
  common::Term term = 0;
};

/// Stops a replica from receiving log entries, so that no primary below the
/// given term can get a commit acknowledged by it.
struct SendHold {
  common::EndpointId endpoint;
  common::Term term = 0;
};

/// Lets a held replica receive log entries again.
struct SendResume {
  common::EndpointId endpoint;
};

/// Asks a member for its status.
struct SendStatus {
  common::EndpointId endpoint;
};

/// Asks for the terms of the service below the given one to be closed: all
/// daemons end their acknowledgements and tell what they have acknowledged.
struct CloseTerms {
  common::Term below = 0;
};

/// Opens the terms from the given one on again.
struct OpenTerms {
  common::Term below = 0;
};

/// Asks the platform to promote a member.
struct OrderPromotion {
  common::EndpointId endpoint;
};

/// Reports that the plan has ended.
struct PromotionFinished {
  bool promoted = false;
  const char* reason = "";
  /// An order or another command of the plan may still be executed.
  bool command_may_execute = false;
  /// The platform did not answer before the order was given.
  bool platform_not_reached = false;
};

/// Adds the processes that are members no longer to the former members, apart
/// from those that had announced their shutdown, which have ended, and removes
/// those that have returned.
void UpdateFormerMembers(const std::vector<GroupMember>& before,
                         const std::vector<GroupMember>& now,
                         FormerMembers* former);

/// The members that had announced their shutdown and are gone, with their logs.
std::set<common::EndpointId> EndedMembers(
    const std::vector<GroupMember>& before,
    const std::vector<GroupMember>& now);

using PromotionAction =
    std::variant<SendStepDown, SendHold, SendResume, SendStatus, CloseTerms,
                 OpenTerms, OrderPromotion, PromotionFinished>;

/// State machine of one promotion that loses no acknowledged commit. It does no
/// I/O: it takes events and returns the actions to perform.
///
/// Before it holds a member, the plan has the terms closed: no client is told
/// of a commit of an earlier term any more, whoever confirms it. It orders no
/// member that is behind what clients have been told of.
///
/// Daemons that have ended may have told clients of more, so the plan relies on
/// the members as well. A commit is acknowledged once the primary and one
/// replica have it. The plan therefore holds all registered members but at most
/// one, after a member that leads has stepped down. Then at least one member of
/// each such pair is held, no commit can be acknowledged any more, and the held
/// member with the most advanced log has every acknowledged commit, whichever
/// members had it. The plan relies on no assumption about which member leads: a
/// member that has been replaced without the knowledge of this daemon follows
/// the actual primary once it has stepped down, and counts only when it is
/// held.
///
/// Members that have disappeared from the directory without having announced
/// it may still run and confirm commits, and a member that has started again
/// has lost what it had confirmed. Both count as members that are not held.
/// Members that have ended after they announced it may have confirmed commits
/// that only the old primary has now, so nothing is ordered without its log.
/// An old primary that is held itself, with all that it was heard to have,
/// shows every commit of its term, whatever has become of the others.
class PromotionPlan {
 public:
  /// The former members are those that have disappeared recently. The primary's
  /// term is the one that it has reported to lead; 0 if it has reported none.
  /// The ended members are those of which no later commit is known.
  PromotionPlan(const std::vector<GroupMember>& members, FormerMembers former,
                const std::optional<common::EndpointId>& primary,
                common::Term primary_term, common::Term highest_term,
                common::SteadyTime now,
                std::set<common::EndpointId> ended = {});

  /// Sets orders of earlier plans that may still be executed. Must be called
  /// before Begin. Until they no longer can be, the plan orders no other member
  /// than theirs, none at all if an order with an earlier token may still
  /// arrive, and ends no hold.
  void SetEarlierOrder(const OpenOrder& order);

  /// Sets the first term that was not closed before the plan. Must be called
  /// before Begin. A plan that has no effect opens the later ones again.
  void SetClosedBefore(common::Term below) { this->closed_before = below; }

  /// Returns the first actions of the plan.
  std::vector<PromotionAction> Begin(common::SteadyTime now);

  /// Handles a member's answer to a command of this plan. The answer is as old
  /// as its command: it may have waited while this daemon did not run.
  std::vector<PromotionAction> OnStatus(const common::EndpointId& id,
                                        const EndpointStatus& status,
                                        common::SteadyTime now,
                                        common::SteadyTime sent);
  /// Handles an answer to a command that has just been sent.
  std::vector<PromotionAction> OnStatus(const common::EndpointId& id,
                                        const EndpointStatus& status,
                                        common::SteadyTime now) {
    return this->OnStatus(id, status, now, now);
  }

  /// Handles that the terms have been closed at all daemons.
  std::vector<PromotionAction> OnTermsClosed(const TermsClosed& closed,
                                             common::SteadyTime now);

  /// Handles that the terms can't be closed, because the store does not answer
  /// or the lease was lost. Ends the plan.
  std::vector<PromotionAction> OnTermsNotClosed(common::SteadyTime now);

  /// A member that would be ordered if it were not behind what clients have
  /// been told of.
  struct MemberBehind {
    common::EndpointId endpoint;
    common::LogPosition received;
    common::LogPosition acknowledged;
  };
  /// The member that the logs speak for, if it is behind.
  std::optional<MemberBehind> BehindMember(common::SteadyTime now) const;

  /// Handles a change of the set of registered members.
  std::vector<PromotionAction> OnMembers(
      const std::vector<GroupMember>& members, common::SteadyTime now);

  /// Handles the platform's answer to a promotion order.
  std::vector<PromotionAction> OnOrderAnswer(PromotionAnswer answer,
                                             common::SteadyTime now);

  /// Whether an order may still be sent for this member: it is held, and so are
  /// all others that the choice relies on.
  bool IsChosen(const common::EndpointId& id, common::SteadyTime now) const;

  /// Whether the lease should not pass to another daemon yet: it is needed to
  /// close terms, to give orders and to end holds.
  bool KeepsLease() const { return this->phase != Phase::kFinished; }

  /// Newest term known to have a primary before this promotion.
  common::Term NewestTerm() const { return this->newest_term; }

  /// What the plan knows of each member, among them those that have
  /// disappeared, for log lines.
  std::vector<MemberEvidence> Evidence(common::SteadyTime now) const;

  /// Handles that an order was not sent. The plan fences and chooses again.
  void OnOrderNotSent();

  /// Handles that an order was not sent because the platform did not answer
  /// before. Ends the plan unless it has given an order.
  std::vector<PromotionAction> OnPlatformNotReached(common::SteadyTime now);

  /// Handles the passing of time. Must be called every kPromotionTickInterval.
  std::vector<PromotionAction> OnTick(common::SteadyTime now);

 private:
  enum class Phase { kFencing, kOrdered, kFinished };

  struct Member {
    GroupMember entry;
    /// The member has answered this plan.
    bool has_answered = false;
    /// The member was held when it first answered.
    bool held_before = false;
    /// Highest term of the holds that the plan has sent to the member; 0 if it
    /// has sent none.
    common::Term hold_term = 0;
    /// The member has been held for this plan.
    bool was_fenced = false;
    /// Commands sent since the last tick. A command without effect is repeated
    /// by the next tick, not by each answer.
    bool step_down_sent = false;
    bool hold_sent = false;
    /// The member's answer to a hold for the term of this plan; none while the
    /// member is not held.
    std::optional<EndpointStatus> fenced;
    /// When the command of that answer was sent.
    common::SteadyTime fenced_at;
    /// The member's latest answer, held or not, and when it was received. Only
    /// for log lines.
    std::optional<EndpointStatus> latest;
    common::SteadyTime latest_at;
  };

  /// Whether the terms before the one of the plan are closed at all daemons.
  bool IsClosed() const { return this->closed_below >= this->term; }
  /// Asks for the terms to be closed, unless this has been done.
  void RequestClosing(std::vector<PromotionAction>* actions);
  /// Takes over who leads from what other daemons have heard.
  void TakeLeader(const PrimaryLogEnd& leader);
  /// Opens the terms that the plan has closed, from the given one on.
  void Reopen(common::Term from, std::vector<PromotionAction>* actions);
  /// Whether every acknowledged commit is at a member that is held.
  bool MembersSuffice(const std::set<common::EndpointId>& missing,
                      common::SteadyTime now) const;
  /// Whether the held member with the most advanced log has all that any client
  /// has been told of, also by daemons that have ended.
  bool MostAdvancedCoversAll(common::SteadyTime now) const;
  /// Whether the primary is a registered member and held.
  bool IsPrimaryHeld(const std::set<common::EndpointId>& missing) const;
  /// Whether the primary of the newest term is held and has all of its log.
  bool PrimaryShowsAll(const std::set<common::EndpointId>& missing) const;
  static bool IsLeaving(const Member& member);
  /// Whether the member is held, by an answer that is recent.
  static bool IsHeld(const Member& member, common::SteadyTime now);
  /// Whether an ended member may have had more than every member that is held.
  bool MayLackEnded(common::SteadyTime now) const;
  /// Whether a member that is not held may be held now.
  bool MayHold(const Member& member) const;
  /// Commands to a member for the plan's term. They are recorded as sent.
  SendStepDown StepDown(const common::EndpointId& id, Member* member) const;
  SendHold Hold(const common::EndpointId& id, Member* member) const;
  /// Fences the members that are not held. A member is asked for its status
  /// before its hold, whose answer would not show an earlier hold.
  std::vector<PromotionAction> FenceUnanswered();
  /// Fences the members that are not held and asks the others for their status:
  /// a restart, or a delayed command of another daemon, may have ended a hold.
  /// Once an order was given, a hold may also have ended because the promotion
  /// has taken effect, and another one would cut the member off from its new
  /// primary; so only members that were never held are held then.
  std::vector<PromotionAction> CheckMembers();
  /// Takes over a term that is known to have a primary; returns whether it is
  /// newer than those known before.
  bool TakeTerm(common::Term known);
  /// Fences all members anew for a higher term.
  void RaiseTerm(common::Term raised);
  /// Records whether a member is held; fences it if it is not.
  std::vector<PromotionAction> TakeStatus(const common::EndpointId& id,
                                          const EndpointStatus& status,
                                          common::SteadyTime sent);
  std::vector<PromotionAction> OrderIfPossible(common::SteadyTime now);
  /// Members that are not held, among them those that have disappeared.
  std::set<common::EndpointId> Missing(common::SteadyTime now) const;
  /// Number of held members without log entries. They hold nothing that they
  /// may have confirmed before they started again. Nobody knows whether the
  /// group has ever had entries if all daemons have started anew as well.
  std::size_t CountEmptyLogs(common::SteadyTime now) const;
  /// Whether an earlier promotion, of which only a hold is known, may have made
  /// a member the primary that is not held and not the one to replace. The
  /// holds for its term do not stop it.
  bool OtherMayLead(common::SteadyTime now) const;
  /// The member to promote; none while none may be promoted.
  std::optional<common::EndpointId> ChooseCandidate(
      common::SteadyTime now) const;
  /// The member that the logs speak for and that is not behind what clients
  /// have been told of, whatever has been ordered before.
  std::optional<common::EndpointId> ChooseByLogs(common::SteadyTime now) const;
  /// The member that the logs speak for.
  std::optional<common::EndpointId> ChooseByMembers(
      common::SteadyTime now) const;
  /// The held member with the most advanced log, apart from the named one.
  std::optional<common::EndpointId> MostAdvanced(
      const std::optional<common::EndpointId>& without,
      common::SteadyTime now) const;
  /// Whether a held member has all that another held one has.
  bool HasAllOf(const common::EndpointId& id,
                const common::EndpointId& other) const;
  OrderPromotion Order(common::SteadyTime now);
  /// Whether an order, also of an earlier plan, may still take effect.
  bool OrderMayExecute(common::SteadyTime now) const;
  bool EarlierOrderMayExecute(common::SteadyTime now) const;
  /// Ends the plan because another member has been promoted: this one, or the
  /// one that it follows, leads the given term. Holds up to that term end with
  /// the promotion; where it has not arrived yet, they stop the old primary.
  /// Later ones would cut the replicas off from the new primary.
  std::vector<PromotionAction> FinishSuperseded(const common::EndpointId& id,
                                                common::Term led,
                                                common::SteadyTime now);
  /// Ends the plan because its promotion has taken effect.
  std::vector<PromotionAction> FinishPromoted(const common::EndpointId& id,
                                              common::Term led);
  /// Ends the plan without a promotion.
  std::vector<PromotionAction> Finish(const char* reason,
                                      common::SteadyTime now);
  /// Resumes the members that are held for a later term than the one that is
  /// led now, apart from the member that has told of it.
  std::vector<PromotionAction> ResumeHeldAbove(
      const common::EndpointId& informant, common::Term led) const;

  std::map<common::EndpointId, Member> members;
  FormerMembers former;
  std::set<common::EndpointId> ended;
  /// What ended members had when they were held for this plan.
  std::map<common::EndpointId, common::LogPosition> ended_received;
  std::optional<common::EndpointId> primary;
  /// Term that the primary was last heard to lead; 0 if it has reported none.
  common::Term primary_term;
  /// Highest term known when the plan was made.
  common::Term initial_term;
  /// Highest term known to have a primary before this promotion.
  common::Term newest_term;
  /// Highest term of the holds that members had before this plan; 0 if there
  /// were none above the newest term.
  common::Term earlier_hold = 0;
  /// Term for which the members are held: the one that the promoted member will
  /// lead, or a later one if an earlier promotion may have used that term. The
  /// plan resumes members whose hold would outlast the promotion.
  common::Term term;
  common::SteadyTime started;
  /// The plan ends at this time if it has ordered nothing.
  common::SteadyTime fencing_deadline;
  /// The plan ends at this time if its order has not taken effect.
  common::SteadyTime deadline;
  std::optional<OpenOrder> earlier_order;
  /// The first terms that are not closed: before the plan, as requested, and at
  /// all daemons.
  common::Term closed_before = 0;
  common::Term requested_below = 0;
  common::Term closed_below = 0;
  /// When the terms were closed. Answers that were requested before don't
  /// count.
  common::SteadyTime closed_at;
  /// From then on, members that live but whose entries were away have been
  /// seen.
  common::SteadyTime members_known_at;
  common::LogPosition acknowledged;
  common::LogPosition acknowledged_end;
  /// The end of the primary's log covers what daemons that have ended told.
  bool covers_all = false;
  /// The primary of the newest term, if a daemon has heard it lately. It may
  /// live although it is not listed.
  std::optional<common::EndpointId> primary_heard_lately;
  /// End of the log that the primary of the newest term was heard to have.
  common::LogPosition primary_end;
  Phase phase = Phase::kFencing;
  std::optional<common::EndpointId> chosen;
  common::SteadyTime last_order;
  /// Orders that have been neither accepted nor rejected.
  int unanswered_orders = 0;
  std::optional<common::SteadyTime> accepted_at;
};

/// Interval between two calls of PromotionPlan::OnTick. Short compared with a
/// promotion, which takes at least 600 ms.
inline constexpr std::chrono::milliseconds kPromotionTickInterval(100);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PROMOTION_PLAN_H_
