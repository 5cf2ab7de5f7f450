#ifndef CAMPHORFERRY_PROCESS_LOCAL_RATE_LIMITER_H_
#define CAMPHORFERRY_PROCESS_LOCAL_RATE_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "Common/common.h"

namespace camphorferry::process {

/// Thousandths of a token; one request costs 1,000.
using Millitokens = std::int64_t;

/// Number of a rate slot within the whole fleet, from zero.
using RateSlotNumber = std::uint32_t;

/// Cost of one request.
inline constexpr Millitokens kRequestCost = 1000;

/// Largest error of a host's clock rate that the rate limits allow for, in
/// parts per thousand. Buckets refill slower by this part, because a fast clock
/// would otherwise admit above the rate.
inline constexpr std::int64_t kClockErrorPermille = 5;

/// Length of a loan as its borrower and its lender name it.
inline constexpr common::Duration kLoanDuration = std::chrono::seconds(5);

/// Length of a slot's lease as its holder and its takers name it.
inline constexpr common::Duration kSlotLeaseDuration = std::chrono::minutes(90);

/// Time that the side which gives something away for a while waits until it
/// uses it again: 1% more than agreed.
constexpr common::Duration GrantorPeriod(common::Duration agreed) {
  return agreed + agreed / 100;
}

/// Time that the side which got something for a while uses it. Two clocks that
/// are off by 0.5% in opposite directions differ by 1.005 / 0.995, which is
/// 0.005% more than the giver's 1%; stopping 0.01% early covers that.
constexpr common::Duration HolderPeriod(common::Duration agreed) {
  return agreed - agreed / 10000;
}

/// Part of a fleet-wide amount that one slot stands for. The remainder of the
/// division goes to the lowest slots, so the parts add up to the amount.
Millitokens PerSlotAmount(Millitokens amount, std::uint32_t total_slots,
                          RateSlotNumber slot);

/// Limits of one workspace over the whole fleet.
struct RateLimits {
  /// Tokens per second.
  std::uint32_t rate = 0;
  /// Tokens above the rate that may be used at once.
  std::uint32_t burst = 0;
  /// Number of rate slots of all failure domains together.
  std::uint32_t total_slots = 1;

  bool operator==(const RateLimits&) const = default;
};

/// Part of a workspace's rate that one daemon lends to another. All zero if
/// the lender has nothing to spare.
struct RateLoan {
  /// Millitokens per second.
  Millitokens rate = 0;
  /// Largest level that the borrower's bucket may gain.
  Millitokens capacity = 0;
  /// Millitokens that come with the loan.
  Millitokens level = 0;
  /// Counted by the borrower from before it sent the request.
  common::Duration length = common::Duration::zero();

  bool Empty() const { return this->capacity == 0; }
  bool operator==(const RateLoan&) const = default;
};

/// The request may run; its token is deducted.
struct Admitted {};

/// The request exceeds what this daemon may admit now.
struct Refused {
  common::Duration retry_after;
};

using Admission = std::variant<Admitted, Refused>;

/// Whether a request asks for the first time. One that was refused, waited and
/// asks again is not new demand.
enum class Attempt { kFirst, kRetry };

/// A request for a loan that is to be sent now.
struct BorrowRequest {
  Millitokens wanted = 0;
};

/// Rate limit of one workspace at one daemon: one token bucket whose rate and
/// capacity are those of the rate slots held, less loans given, plus loans
/// taken. Levels only move between daemons or get lost, and a part of the
/// capacity is never at two daemons, so the fleet's levels never exceed the
/// burst. Every method takes the time on this daemon's steady clock and first
/// ends what has expired by then, so that a daemon which was paused does not
/// use an ended lease or loan.
class LocalRateLimiter {
 public:
  /// Switches that break the rules, for tests of the checks themselves.
  struct Policy {
    /// Count a loan from before its request; otherwise from its answer.
    bool loan_counts_from_request = true;
  };

  LocalRateLimiter(const RateLimits& limits, common::SteadyTime now);
  LocalRateLimiter(const RateLimits& limits, common::SteadyTime now,
                   const Policy& policy);

  /// Decides about one request and deducts its token.
  Admission Admit(common::SteadyTime now, Attempt attempt = Attempt::kFirst);

  /// Adds a slot whose lease ends at the given time; it brings no tokens.
  void AddSlot(RateSlotNumber slot, common::SteadyTime lease_end,
               common::SteadyTime now);

  /// Extends the lease of a slot that is still held.
  void RenewSlot(RateSlotNumber slot, common::SteadyTime lease_end,
                 common::SteadyTime now);

  /// Stops using a slot. Loans that were given from it end within
  /// GrantorPeriod(kLoanDuration); the slot may go to another daemon only then.
  void RemoveSlot(RateSlotNumber slot, common::SteadyTime now);

  /// Changes the limits. Lower limits cut the level at once; higher ones bring
  /// no tokens. After a change of the number of slots, each slot counts as the
  /// smaller of both fractions until no lease from before the change runs.
  void SetLimits(const RateLimits& limits, common::SteadyTime now);

  /// Lends what recent demand here leaves over, at most what is wanted for the
  /// length of a loan. The loan is deducted before this returns.
  RateLoan Lend(Millitokens wanted, common::SteadyTime now);

  /// A request for a loan, if this daemon will run dry soon and has not asked
  /// too recently. Borrow expects the same time as now_before_request.
  std::optional<BorrowRequest> NextBorrowRequest(common::SteadyTime now);

  /// Takes a loan that answers the request which NextBorrowRequest returned at
  /// now_before_request. A second answer to one request is ignored.
  void AcceptLoan(common::SteadyTime now_before_request, const RateLoan& loan,
                  common::SteadyTime now);

  /// Millitokens per second that this daemon may use now.
  Millitokens Rate(common::SteadyTime now);

  /// Largest level that the bucket may reach now.
  Millitokens Capacity(common::SteadyTime now);

  /// Millitokens in the bucket now.
  Millitokens Level(common::SteadyTime now);

 private:
  /// A loan given or taken, and when it stops counting here.
  struct RunningLoan {
    Millitokens rate = 0;
    Millitokens capacity = 0;
    common::SteadyTime end;
  };

  /// Two numbers of slots that daemons may use at the same time.
  struct SlotChange {
    std::uint32_t fewest = 0;
    std::uint32_t most = 0;
    common::SteadyTime end;
  };

  /// Rate and capacity at one moment.
  struct Amounts {
    Millitokens rate = 0;
    Millitokens capacity = 0;
  };

  void Settle(common::SteadyTime now);
  std::optional<common::SteadyTime> NextEnd(common::SteadyTime now) const;
  void DropEnded();
  void Refill(common::SteadyTime until);
  void Recompute();
  Amounts SlotAmounts(RateSlotNumber slot) const;
  Amounts AmountsOfSlotsUntil(common::SteadyTime end) const;
  Amounts Given() const;
  void NextDemandPeriod();
  bool HasRisen(Millitokens rate) const;
  Millitokens LenderNeed() const;
  Millitokens ProjectedDemandRate() const;
  common::Duration RequestGap() const;
  Millitokens RateAt(common::SteadyTime time) const;

  RateLimits limits;
  Policy policy;
  std::map<RateSlotNumber, common::SteadyTime> slots;
  std::vector<RunningLoan> given;
  std::vector<RunningLoan> taken;
  std::optional<SlotChange> slot_change;

  /// Up to this time everything is accounted for.
  common::SteadyTime settled;
  Amounts current;
  Millitokens level = 0;
  /// Gained part of the next millitoken.
  std::int64_t fraction = 0;

  /// Requests of the present and of the preceding demand period, and the mean
  /// rate over some periods.
  common::SteadyTime demand_start;
  std::int64_t demand_now = 0;
  std::int64_t demand_before = 0;
  Millitokens demand_mean = 0;

  std::vector<common::SteadyTime> open_requests;
  std::optional<common::SteadyTime> last_request;
  /// Requests since the latest one that brought a loan.
  std::uint32_t requests_without_loan = 0;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_LOCAL_RATE_LIMITER_H_
