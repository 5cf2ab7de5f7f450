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

/// Thousandths of a token; one request costs kRequestCost.
using Millitokens = std::int64_t;

/// Index of a rate slot within the whole fleet, from zero.
using RateSlotNumber = std::uint32_t;

inline constexpr Millitokens kRequestCost = 1000;

/// Maximum error of a host's clock rate that the rate limits tolerate, in parts
/// per thousand. Buckets refill slower by this fraction, because a fast clock
/// would otherwise admit more than the rate.
inline constexpr std::int64_t kClockErrorPermille = 5;

/// Agreed duration of a loan between lender and borrower.
inline constexpr common::Duration kLoanDuration = std::chrono::seconds(5);

/// Agreed duration of a rate slot's lease.
inline constexpr common::Duration kSlotLeaseDuration = std::chrono::minutes(90);

/// Time after which the grantor of a lease or loan may reuse what it granted:
/// 1% more than agreed, to allow for clock errors.
constexpr common::Duration GrantorPeriod(common::Duration agreed) {
  return agreed + agreed / 100;
}

/// Time for which the holder of a lease or loan may use it. Two clocks that are
/// off by 0.5% in opposite directions differ by a factor of 1.005 / 0.995,
/// which is 0.005% more than the grantor's 1%; stopping 0.01% early covers
/// that.
constexpr common::Duration HolderPeriod(common::Duration agreed) {
  return agreed - agreed / 10000;
}

/// Part of a fleet-wide amount that belongs to one slot. The remainder of the
/// division goes to the lowest slots, so that the parts add up to the amount.
Millitokens PerSlotAmount(Millitokens amount, std::uint32_t total_slots,
                          RateSlotNumber slot);

/// Fleet-wide limits of one workspace.
struct RateLimits {
  /// Tokens per second.
  std::uint32_t rate = 0;
  /// Tokens above the rate that may be used at once (capacity of the fleet-wide
  /// bucket).
  std::uint32_t burst = 0;
  /// Total number of rate slots over all failure domains.
  std::uint32_t total_slots = 1;

  bool operator==(const RateLimits&) const = default;
};

/// Part of a workspace's rate that one daemon lends to another. All zero if the
/// lender has nothing to spare.
struct RateLoan {
  /// Millitokens per second.
  Millitokens rate = 0;
  /// Capacity added to the borrower's bucket.
  Millitokens capacity = 0;
  /// Millitokens transferred with the loan.
  Millitokens level = 0;
  /// The borrower counts it from before it sent the request.
  common::Duration duration = common::Duration::zero();

  bool Empty() const { return this->capacity == 0; }
  bool operator==(const RateLoan&) const = default;
};

/// The request is admitted; its token has been deducted.
struct Admitted {};

/// The request exceeds what this daemon may currently admit.
struct Refused {
  common::Duration retry_after;
};

using Admission = std::variant<Admitted, Refused>;

/// Whether a request asks for admission for the first time. A retry of a
/// refused request is not new demand.
enum class Attempt { kFirst, kRetry };

/// A loan request to be sent now.
struct BorrowRequest {
  Millitokens wanted = 0;
};

/// Rate limiter of one workspace at one daemon.
///
/// It is one token bucket. Its rate and capacity are those of the rate slots
/// that the daemon holds, less loans given, plus loans taken. Tokens only move
/// between daemons or get lost, and no part of the capacity is ever at two
/// daemons, so the fleet's bucket levels never exceed the burst.
///
/// Every method takes the current time of this daemon's steady clock and first
/// ends the leases and loans that have expired by then, so that a daemon that
/// was paused does not use an expired lease or loan.
class LocalRateLimiter {
 public:
  /// Safety rules that only tests disable, to verify that the violations are
  /// detected.
  struct Policy {
    /// If true, a loan is counted from before its request, otherwise from its
    /// reply.
    bool loan_counts_from_request = true;
  };

  LocalRateLimiter(const RateLimits& limits, common::SteadyTime now);
  LocalRateLimiter(const RateLimits& limits, common::SteadyTime now,
                   const Policy& policy);

  /// Decides whether to admit one request, and deducts its token.
  Admission Admit(common::SteadyTime now, Attempt attempt = Attempt::kFirst);

  /// Adds a slot whose lease ends at the given time. A new slot brings no
  /// tokens.
  void AddSlot(RateSlotNumber slot, common::SteadyTime lease_end,
               common::SteadyTime now);

  /// Extends the lease of a slot that is still held.
  void RenewSlot(RateSlotNumber slot, common::SteadyTime lease_end,
                 common::SteadyTime now);

  /// Stops using a slot. Loans given from it end within
  /// GrantorPeriod(kLoanDuration); only then may the slot go to another daemon.
  void RemoveSlot(RateSlotNumber slot, common::SteadyTime now);

  /// Changes the limits. Lower limits cut the level at once; higher limits
  /// bring no tokens. After a change of the number of slots, each slot counts
  /// as the smaller of both fractions until no lease from before the change
  /// remains.
  void SetLimits(const RateLimits& limits, common::SteadyTime now);

  /// Lends what the recent local demand does not need, at most `wanted`
  /// millitokens over the duration of a loan. The loan is deducted before this
  /// returns.
  RateLoan Lend(Millitokens wanted, common::SteadyTime now);

  /// Returns a loan request if the bucket will soon be empty and none was sent
  /// recently. The reply is passed to AcceptLoan with this `now` as
  /// `requested_at`.
  std::optional<BorrowRequest> NextBorrowRequest(common::SteadyTime now);

  /// Adds the loan granted in response to the request that NextBorrowRequest
  /// returned at `requested_at`. A second response to the same request is
  /// ignored.
  void AcceptLoan(common::SteadyTime requested_at, const RateLoan& loan,
                  common::SteadyTime now);

  /// Current rate in millitokens per second.
  Millitokens Rate(common::SteadyTime now);

  /// Current capacity of the bucket in millitokens.
  Millitokens Capacity(common::SteadyTime now);

  /// Current level of the bucket in millitokens.
  Millitokens Level(common::SteadyTime now);

 private:
  /// A loan given or taken, and when it expires at this daemon.
  struct ActiveLoan {
    Millitokens rate = 0;
    Millitokens capacity = 0;
    common::SteadyTime end;
  };

  /// Smallest and largest number of slots that daemons may assume at the same
  /// time, until all of them use the new number.
  struct SlotCountChange {
    std::uint32_t min_slots = 0;
    std::uint32_t max_slots = 0;
    common::SteadyTime end;
  };

  /// Rate in millitokens per second, and capacity in millitokens.
  struct BucketLimits {
    Millitokens rate = 0;
    Millitokens capacity = 0;
  };

  void AdvanceTo(common::SteadyTime now);
  std::optional<common::SteadyTime> NextExpiry(common::SteadyTime now) const;
  void RemoveExpired();
  void Refill(common::SteadyTime until);
  void RecomputeLimits();
  BucketLimits LimitsOfSlot(RateSlotNumber slot) const;
  BucketLimits LimitsOfSlotsHeldUntil(common::SteadyTime end) const;
  BucketLimits LentLimits() const;
  void StartDemandPeriod();
  bool IsDemandIncrease(Millitokens rate) const;
  Millitokens OwnDemandRate() const;
  Millitokens ProjectedDemandRate() const;
  common::Duration BorrowInterval() const;
  Millitokens RateAt(common::SteadyTime time) const;

  RateLimits limits;
  Policy policy;
  std::map<RateSlotNumber, common::SteadyTime> slots;
  std::vector<ActiveLoan> loans_given;
  std::vector<ActiveLoan> loans_taken;
  std::optional<SlotCountChange> slot_count_change;

  /// Refills and expiries up to this time have been applied.
  common::SteadyTime advanced_until;
  BucketLimits effective;
  Millitokens level = 0;
  /// Refilled part of the next millitoken, in sub-units.
  std::int64_t level_fraction = 0;

  /// Number of requests of the current and the previous demand period, and the
  /// moving average of their rate.
  common::SteadyTime demand_period_start;
  std::int64_t current_demand = 0;
  std::int64_t previous_demand = 0;
  Millitokens mean_demand = 0;

  std::vector<common::SteadyTime> pending_requests;
  std::optional<common::SteadyTime> last_request;
  /// Number of loan requests since the last one that brought a loan.
  std::uint32_t requests_without_loan = 0;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_LOCAL_RATE_LIMITER_H_
