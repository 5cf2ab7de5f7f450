#ifndef CAMPHORFERRY_SESSION_PROMOTION_LEASE_H_
#define CAMPHORFERRY_SESSION_PROMOTION_LEASE_H_

#include <functional>
#include <memory>
#include <optional>

#include "Session/directory.h"

namespace camphorferry::session {

/// Client of the fleet-wide promotion lease, which stored objects, headers and
/// metrics call "duty": only the daemon that holds it may order promotions. The
/// record in the platform's store decides who that is. Every change of the
/// record is conditional on its revision, and the revision serves as the
/// fencing token. An order is given only shortly after a successful change of
/// the record; another daemon takes the lease over only after the record has
/// not changed for longer than an order can be in flight.
class PromotionLease {
 public:
  PromotionLease(Platform* platform, common::HostId host);
  ~PromotionLease() { *this->alive = false; }
  PromotionLease(const PromotionLease&) = delete;
  PromotionLease& operator=(const PromotionLease&) = delete;

  /// Tries to acquire the lease and calls back with whether it is held.
  void Acquire(std::function<void(bool held)> done);

  /// Renews the lease if necessary and calls back with a record whose token can
  /// be used at once; none if the lease was lost or the store does not answer.
  void Confirm(std::function<void(std::optional<PromotionLeaseRecord>)> done);

  /// Ends one use that was granted by Acquire. The last one releases the lease.
  void Release();

  /// Ends one use like Release, but leaves the record active, so that this and
  /// any other daemon acquires the lease only after the takeover delay. For a
  /// use of which a command may still be executed.
  void Abandon();

  /// Whether the lease was confirmed recently enough to give an order.
  bool MayOrder(common::SteadyTime now) const;

 private:
  /// Whether a use was abandoned less than the takeover delay ago.
  bool WasAbandoned(common::SteadyTime now) const;
  void Write(bool active, std::function<void(bool written)> done);

  Platform* platform;
  common::HostId host;
  /// Last known state of the record.
  PromotionLeaseRecord record;
  /// When the current revision of the record was first seen.
  std::optional<common::SteadyTime> record_seen_at;
  /// When the last successful change of the record was sent.
  std::optional<common::SteadyTime> confirmed_at;
  int users = 0;
  /// When a use was last abandoned.
  std::optional<common::SteadyTime> abandoned_at;
  /// Another daemon has changed the record while this one held the lease.
  bool lost = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PROMOTION_LEASE_H_
