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
/// record is conditional on its revision, and the revision with its era serves
/// as the fencing token. An order is given only shortly after a successful
/// change of the record; another daemon takes the lease over only after the
/// record has not changed for longer than an order can be in flight. A lease of
/// an earlier era is lost. As its record may be lost too, the first holder of
/// an era waits as if there were one.
class PromotionLease {
 public:
  PromotionLease(Platform* platform, common::HostId host);
  ~PromotionLease() { *this->alive = false; }
  PromotionLease(const PromotionLease&) = delete;
  PromotionLease& operator=(const PromotionLease&) = delete;

  /// The store is in the given era. A lease that was acquired in an earlier one
  /// is lost.
  void OnEra(std::uint64_t store_era, common::SteadyTime now);

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
  /// Adds a use of the lease that is held; returns false if it was lost.
  bool Share();
  /// Whether a use was abandoned less than the takeover delay ago.
  bool WasAbandoned(common::SteadyTime now) const;
  void Write(bool active, std::function<void(bool written)> done);
  /// Whether another daemon may still give orders under the stored record, or
  /// under one that a restored store has lost.
  bool MayBeHeldByAnother(const PromotionLeaseRecord& stored,
                          common::SteadyTime now) const;

  Platform* platform;
  common::HostId host;
  /// Last known state of the record.
  PromotionLeaseRecord record;
  /// When the current revision of the record was first seen.
  std::optional<common::SteadyTime> record_seen_at;
  /// When the last successful change of the record was sent.
  std::optional<common::SteadyTime> confirmed_at;
  /// Latest known era of the store, and since when it is known.
  std::uint64_t era = 0;
  common::SteadyTime era_known_since;
  int users = 0;
  /// When a use was last abandoned.
  std::optional<common::SteadyTime> abandoned_at;
  /// Another daemon has changed the record while this one held the lease, or
  /// the store has been restored.
  bool lost = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PROMOTION_LEASE_H_
