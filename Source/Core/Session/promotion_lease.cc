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

PromotionLease::PromotionLease(Platform* platform, common::HostId host)
    : platform(platform), host(std::move(host)) {}

void PromotionLease::OnEra(std::uint64_t store_era, common::SteadyTime now) {
  if (store_era <= this->era) return;
  this->era = store_era;
  this->era_known_since = now;
  if (this->users > 0 && this->record.revision.era < store_era) {
    this->lost = true;
    this->confirmed_at.reset();
  }
}

bool PromotionLease::MayBeHeldByAnother(const PromotionLeaseRecord& stored,
                                        common::SteadyTime now) const {
  const bool first_of_era = stored.revision.era != stored.written_in_era;
  if (first_of_era && now - this->era_known_since < kTakeoverDelay) return true;
  return stored.active && stored.holder != this->host &&
         now - *this->record_seen_at < kTakeoverDelay;
}

void PromotionLease::Acquire(std::function<void(bool held)> done) {
  if (this->WasAbandoned(common::SteadyNow())) {
    done(false);
    return;
  }
  if (this->users > 0) {
    done(this->Share());
    return;
  }
  this->platform->ReadPromotionLease(
      [this, still_alive = this->alive,
       done = std::move(done)](const PromotionLeaseResult& result) {
        if (!*still_alive) return;
        // Another use has acquired the lease meanwhile.
        if (this->users > 0) {
          done(this->Share());
          return;
        }
        const auto* stored = std::get_if<PromotionLeaseRecord>(&result);
        if (stored == nullptr) {
          done(false);
          return;
        }
        const common::SteadyTime now = common::SteadyNow();
        this->OnEra(stored->revision.era, now);
        if (stored->revision.era < this->era) {
          done(false);
          return;
        }
        if (!this->record_seen_at.has_value() ||
            stored->revision != this->record.revision) {
          this->record_seen_at = now;
        }
        this->record = *stored;
        if (this->MayBeHeldByAnother(*stored, now)) {
          done(false);
          return;
        }
        this->Write(true, [this, done](bool written) {
          if (written) ++this->users;
          done(written);
        });
      });
}

bool PromotionLease::Share() {
  if (this->lost) return false;
  ++this->users;
  return true;
}

void PromotionLease::Confirm(
    std::function<void(std::optional<PromotionLeaseRecord>)> done) {
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

void PromotionLease::Abandon() {
  this->abandoned_at = common::SteadyNow();
  this->Release();
}

void PromotionLease::Release() {
  if (--this->users > 0) return;
  this->confirmed_at.reset();
  if (std::exchange(this->lost, false)) return;
  if (this->WasAbandoned(common::SteadyNow())) return;
  this->Write(false, [this](bool /*written*/) { this->confirmed_at.reset(); });
}

bool PromotionLease::WasAbandoned(common::SteadyTime now) const {
  return this->abandoned_at.has_value() &&
         now - *this->abandoned_at < kTakeoverDelay;
}

bool PromotionLease::MayOrder(common::SteadyTime now) const {
  return this->users > 0 && this->confirmed_at.has_value() &&
         now - *this->confirmed_at < kOrderWindow;
}

void PromotionLease::Write(bool active,
                           std::function<void(bool written)> done) {
  const common::SteadyTime sent = common::SteadyNow();
  const PromotionLeaseRecord wanted{this->host, active, this->record.revision,
                                    this->record.revision.era};
  this->platform->WritePromotionLease(
      wanted,
      [this, sent, era_before = wanted.revision.era, still_alive = this->alive,
       done = std::move(done)](const PromotionLeaseResult& result) {
        if (!*still_alive) return;
        if (const auto* written = std::get_if<PromotionLeaseRecord>(&result)) {
          this->OnEra(written->revision.era, common::SteadyNow());
          // After a restore, the revision that the write required may have been
          // that of another daemon's record.
          if (written->revision.era != era_before || era_before != this->era) {
            done(false);
            return;
          }
          this->record = *written;
          this->record_seen_at = common::SteadyNow();
          this->confirmed_at = sent;
          done(true);
          return;
        }
        if (const auto* conflict =
                std::get_if<PromotionLeaseConflict>(&result)) {
          this->OnEra(conflict->record.revision.era, common::SteadyNow());
          this->record = conflict->record;
          this->record_seen_at = common::SteadyNow();
          this->confirmed_at.reset();
          // The new holder must not lose the lease to this daemon. A record of
          // this daemon is its own write that had no answer.
          this->lost = this->users > 0 && conflict->record.holder != this->host;
        }
        done(false);
      });
}

}  // namespace camphorferry::session
