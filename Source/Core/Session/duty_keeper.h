#ifndef CAMPHORFERRY_SESSION_DUTY_KEEPER_H_
#define CAMPHORFERRY_SESSION_DUTY_KEEPER_H_

#include <functional>
#include <memory>
#include <optional>

#include "Session/directory.h"

namespace camphorferry::session {

/// Holds the fleet's one duty to order promotions while this daemon promotes.
/// The record in the platform's store decides who holds it: each change is
/// conditional, and the record's revision is the fencing token. An order is
/// given only shortly after a change of the record succeeded; another daemon
/// takes the duty over only if the record has rested for longer than an order
/// can be on its way.
class DutyKeeper {
 public:
  DutyKeeper(Platform* platform, common::HostId host);
  ~DutyKeeper() { *this->alive = false; }
  DutyKeeper(const DutyKeeper&) = delete;
  DutyKeeper& operator=(const DutyKeeper&) = delete;

  /// Tries to get the duty; calls back with whether it is held.
  void Acquire(std::function<void(bool held)> done);

  /// Calls back with a token that may be used at once; none if the duty was
  /// lost or the store gives no answer.
  void Confirm(std::function<void(std::optional<PromotionDuty>)> done);

  /// Ends one use that Acquire has granted.
  void Release();

  /// Whether a confirmed token is young enough for an order.
  bool MayOrder(common::SteadyTime now) const;

 private:
  void Write(bool active, std::function<void(bool written)> done);

  Platform* platform;
  common::HostId host;
  /// The record as last seen.
  PromotionDuty record;
  /// When the present revision of the record was first seen.
  std::optional<common::SteadyTime> record_seen_at;
  /// When the last successful change was sent.
  std::optional<common::SteadyTime> confirmed_at;
  int users = 0;
  /// Another daemon has changed the record while this one used the duty.
  bool lost = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_DUTY_KEEPER_H_
