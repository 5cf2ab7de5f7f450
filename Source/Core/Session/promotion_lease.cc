#include "Session/promotion_lease.h"

#include <utility>

namespace camphorferry::session {

namespace {

/// How long after a change of the record was sent an order may be given.
constexpr std::chrono::milliseconds kOrderWindow(600);
/// An active record may be taken over after it has not changed for this long:
/// the order window (600 ms), the time that an order may be in flight (1,000
/// ms), and a reserve for a slow holder.
constexpr std::chrono::milliseconds kTakeoverDelay(3000);

}  // namespace

DutyKeeper::DutyKeeper(Platform* platform, common::HostId host)
    : platform(platform), host(std::move(host)) {}

void DutyKeeper::Acquire(std::function<void(bool held)> done) {
  if (this->users > 0) {
    if (this->lost) {
      done(false);
      return;
    }
    ++this->users;
    done(true);
    return;
  }
  this->platform->ReadDuty([this, still_alive = this->alive,
                            done = std::move(done)](const DutyResult& result) {
    if (!*still_alive) return;
    const auto* duty = std::get_if<PromotionDuty>(&result);
    if (duty == nullptr) {
      done(false);
      return;
    }
    const common::SteadyTime now = common::SteadyNow();
    if (!this->record_seen_at.has_value() ||
        duty->revision != this->record.revision) {
      this->record_seen_at = now;
    }
    this->record = *duty;
    if (duty->active && duty->holder != this->host &&
        now - *this->record_seen_at < kTakeoverDelay) {
      done(false);
      return;
    }
    this->Write(true, [this, done](bool written) {
      if (written) ++this->users;
      done(written);
    });
  });
}

void DutyKeeper::Confirm(
    std::function<void(std::optional<PromotionDuty>)> done) {
  if (this->lost) {
    done(std::nullopt);
    return;
  }
  if (this->MayOrder(common::SteadyNow())) {
    done(this->record);
    return;
  }
  this->Write(true, [this, done = std::move(done)](bool written) {
    done(written ? std::optional(this->record) : std::nullopt);
  });
}

void DutyKeeper::Release() {
  if (--this->users > 0) return;
  this->confirmed_at.reset();
  if (std::exchange(this->lost, false)) return;
  this->Write(false, [this](bool /*written*/) { this->confirmed_at.reset(); });
}

bool DutyKeeper::MayOrder(common::SteadyTime now) const {
  return this->users > 0 && this->confirmed_at.has_value() &&
         now - *this->confirmed_at < kOrderWindow;
}

void DutyKeeper::Write(bool active, std::function<void(bool written)> done) {
  const common::SteadyTime sent = common::SteadyNow();
  PromotionDuty wanted{this->host, active, this->record.revision};
  this->platform->WriteDuty(
      wanted, [this, sent, still_alive = this->alive,
               done = std::move(done)](const DutyResult& result) {
        if (!*still_alive) return;
        if (const auto* written = std::get_if<PromotionDuty>(&result)) {
          this->record = *written;
          this->record_seen_at = common::SteadyNow();
          this->confirmed_at = sent;
          done(true);
          return;
        }
        if (const auto* conflict = std::get_if<DutyConflict>(&result)) {
          this->record = conflict->duty;
          this->record_seen_at = common::SteadyNow();
          this->confirmed_at.reset();
          // The new holder must not lose the duty to this daemon.
          this->lost = this->users > 0;
        }
        done(false);
      });
}

}  // namespace camphorferry::session
