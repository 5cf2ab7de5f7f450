#ifndef CAMPHORFERRY_SESSION_PROMOTION_LEASE_H_
#define CAMPHORFERRY_SESSION_PROMOTION_LEASE_H_

#include <functional>
#include <memory>
#include <optional>

#include "Session/directory.h"

namespace camphorferry::session {

/// Client of the fleet-wide promotion lease (the "duty"): only the daemon that
/// holds it may order promotions. The record in the platform's store decides
/// who that is. Every change of the record is conditional on its revision, and
/// the revision serves as the fencing token. An order is given only shortly
/// after a successful change of the record; another daemon takes the duty over
/// only after the record has not changed for longer than an order can be in
/// flight.
class DutyKeeper {
 public:
  DutyKeeper(Platform* platform, common::HostId host);
  ~DutyKeeper() { *this->alive = false; }
  DutyKeeper(const DutyKeeper&) = delete;
  DutyKeeper& operator=(const DutyKeeper&) = delete;

  /// Tries to acquire the duty and calls back with whether it is held.
  void Acquire(std::function<void(bool held)> done);

  /// Renews the duty if necessary and calls back with a record whose token can
  /// be used at once; none if the duty was lost or the store does not answer.
  void Confirm(std::function<void(std::optional<PromotionDuty>)> done);

  /// Ends one use that was granted by Acquire. The last one releases the duty.
  void Release();

  /// Whether the duty was confirmed recently enough to give an order.
  bool MayOrder(common::SteadyTime now) const;

 private:
  void Write(bool active, std::function<void(bool written)> done);

  Platform* platform;
  common::HostId host;
  /// Last known state of the record.
  PromotionDuty record;
  /// When the current revision of the record was first seen.
  std::optional<common::SteadyTime> record_seen_at;
  /// When the last successful change of the record was sent.
  std::optional<common::SteadyTime> confirmed_at;
  int users = 0;
  /// Another daemon has changed the record while this one held the duty.
  bool lost = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PROMOTION_LEASE_H_
