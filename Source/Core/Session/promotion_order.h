#ifndef CAMPHORFERRY_SESSION_PROMOTION_ORDER_H_
#define CAMPHORFERRY_SESSION_PROMOTION_ORDER_H_

#include <chrono>
#include <cstdint>

#include "Common/common.h"

namespace camphorferry::session {

/// An order is assumed to take effect within this time after it was recorded,
/// if at all. Ten times the longest promotion (1,000 ms): a platform or a
/// database that is short of processor time executes it late.
inline constexpr std::chrono::milliseconds kOrderLifetime(10000);

/// The orders to promote one member of a service that may still be executed, as
/// recorded with the promotion lease. Orders for two members are never open at
/// the same time: the later effect would depose the other one's primary.
struct PromotionOrderRecord {
  common::EndpointId endpoint;
  /// Newest term of the service when the first of the orders was given.
  common::Term term = 0;
  /// Number of orders that were given and not rejected.
  std::uint32_t count = 0;
  /// Random number of the latest order; differs between attempts to record one.
  std::uint64_t number = 0;
  /// Fencing token of the latest order.
  std::uint64_t token = 0;
  /// Number of orders with that token and without an answer from the platform,
  /// which they may not have reached yet.
  std::uint32_t unanswered = 0;

  bool operator==(const PromotionOrderRecord&) const = default;

  /// Whether all orders have been executed if the member leads the given term.
  bool IsExecuted(const common::EndpointId& leader, common::Term led) const {
    return this->count == 1 && this->endpoint == leader && led > this->term;
  }
};

/// Open orders as one daemon knows them.
struct OpenOrder {
  PromotionOrderRecord record;
  /// When they can no longer be executed.
  common::SteadyTime until;
  /// An order with an earlier token than this daemon would use may still be on
  /// its way to the platform, and must not arrive after one with that token.
  bool may_arrive = false;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PROMOTION_ORDER_H_
