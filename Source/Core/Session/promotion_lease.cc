#include "Session/promotion_lease.h"

#include <utility>

#include "Common/common.h"

namespace camphorferry::session {

namespace {

/// How long after a change of the record was sent an order may be given.
constexpr std::chrono::milliseconds kOrderWindow(600);
/// An active record may be taken over after it has not changed for this long:
/// the order window (600 ms), the time that an order may be in flight (1,000
/// ms), and a reserve for a slow holder.
constexpr std::chrono::milliseconds kTakeoverDelay(3000);
/// Leaves numbers of orders below 2^53, so that JSON keeps them exactly.
constexpr int kOrderNumberShift = 11;

/// Logs a change of this daemon's use of the lease and the record that it is
/// based on.
void LogLease(const char* event, const char* reason,
              const PromotionLeaseRecord& record) {
  common::Log(common::Subsystem::kConnection, common::LogLevel::kWarning, event,
              {{"reason", reason},
               {"holder", record.holder},
               {"active", record.active ? "yes" : "no"},
               {"era", record.revision.era},
               {"revision", record.revision.number},
               {"open_orders", record.orders.size()}});
}

}  // namespace

PromotionLease::PromotionLease(Platform* platform, common::HostId host)
    : platform(platform),
      host(std::move(host)),
      random(std::random_device{}()) {}

void PromotionLease::OnEra(std::uint64_t store_era, common::SteadyTime now) {
  if (store_era <= this->era) return;
  this->era = store_era;
  this->era_known_since = now;
  if (this->users > 0 && this->record.revision.era < store_era) {
    LogLease("promotion_lease_lost", "store_restored", this->record);
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
        this->SetRecord(*stored);
        if (this->MayBeHeldByAnother(*stored, now)) {
          done(false);
          return;
        }
        this->Write(true, {}, [this, done, former = *stored](bool written) {
          if (written) {
            ++this->users;
            const bool same = former.holder == this->host;
            LogLease("promotion_lease_acquired",
                     same            ? "own"
                     : former.active ? "taken_over"
                                     : "released",
                     this->record);
          }
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
  this->Write(true, {}, [this, done = std::move(done)](bool written) {
    done(written ? std::optional(this->record) : std::nullopt);
  });
}

void PromotionLease::RecordOrder(
    const common::ServiceId& service, const common::EndpointId& endpoint,
    common::Term term,
    std::function<void(std::optional<PromotionLeaseRecord>)> done) {
  if (this->lost) {
    done(std::nullopt);
    return;
  }
  const auto order = std::make_shared<PromotionOrderRecord>();
  const RecordChange change = [this, service, endpoint, term,
                               order](PromotionLeaseRecord* changed) {
    const std::optional<OpenOrder> open =
        this->OpenOrderOf(service, common::SteadyNow());
    if (open.has_value() &&
        (open->record.endpoint != endpoint || open->may_arrive)) {
      return false;
    }
    *order = open.has_value() ? open->record
                              : PromotionOrderRecord{endpoint, term, 0, 0};
    order->token = this->OwnToken();
    ++order->count;
    ++order->unanswered;
    order->number = this->random() >> kOrderNumberShift;
    changed->orders[service] = *order;
    return true;
  };
  this->Write(true, change,
              [this, service, order, done = std::move(done)](bool written) {
                // Without an answer, the record may have been written.
                if (!written && order->count > 0) {
                  this->RemoveLatest(service, *order);
                }
                done(written ? std::optional(this->record) : std::nullopt);
              });
}

void PromotionLease::WithdrawOrder(const common::ServiceId& service,
                                   std::uint64_t number) {
  const auto found = this->record.orders.find(service);
  if (found == this->record.orders.end()) return;
  if (found->second.number != number) return;
  this->RemoveLatest(service, found->second);
}

void PromotionLease::OnOrderAccepted(const common::ServiceId& service,
                                     std::uint64_t number) {
  const auto found = this->record.orders.find(service);
  if (found == this->record.orders.end()) return;
  if (found->second.number != number || found->second.unanswered == 0) return;
  PromotionOrderRecord corrected = found->second;
  --corrected.unanswered;
  this->CorrectOrder(service, corrected);
}

void PromotionLease::SettleOrder(const common::ServiceId& service) {
  const auto found = this->record.orders.find(service);
  if (found == this->record.orders.end()) return;
  PromotionOrderRecord corrected = found->second;
  corrected.count = 0;
  this->CorrectOrder(service, corrected);
}

void PromotionLease::RemoveLatest(const common::ServiceId& service,
                                  const PromotionOrderRecord& order) {
  PromotionOrderRecord corrected = order;
  --corrected.count;
  if (corrected.unanswered > 0) --corrected.unanswered;
  this->CorrectOrder(service, corrected);
}

void PromotionLease::CorrectOrder(const common::ServiceId& service,
                                  const PromotionOrderRecord& corrected) {
  this->corrected_orders[service] = corrected;
  this->SetRecord(this->record);
}

std::optional<OpenOrder> PromotionLease::OpenOrderOf(
    const common::ServiceId& service, common::SteadyTime now) const {
  const auto found = this->record.orders.find(service);
  if (found == this->record.orders.end()) return std::nullopt;
  const common::SteadyTime until =
      this->seen_orders.at(service).since + kOrderLifetime;
  if (now >= until) return std::nullopt;
  const PromotionOrderRecord& order = found->second;
  return OpenOrder{order, until,
                   order.unanswered > 0 && order.token != this->OwnToken()};
}

void PromotionLease::SetRecord(const PromotionLeaseRecord& changed) {
  const ClosedTerms known = this->record.closed_terms;
  this->record = changed;
  MergeClosedTerms(known, &this->record.closed_terms);
  for (const auto& [service, corrected] : this->corrected_orders) {
    const auto found = this->record.orders.find(service);
    if (found == this->record.orders.end()) continue;
    if (found->second.number != corrected.number) continue;
    found->second = corrected;
    if (corrected.count == 0) this->record.orders.erase(found);
  }
  const common::SteadyTime now = common::SteadyNow();
  std::erase_if(this->seen_orders, [&](const auto& seen) {
    return !this->record.orders.contains(seen.first);
  });
  for (const auto& [service, order] : this->record.orders) {
    const auto [place, is_new] =
        this->seen_orders.try_emplace(service, SeenOrder{order.number, now});
    if (place->second.number != order.number) {
      place->second = {order.number, now};
    }
  }
}

void PromotionLease::Abandon() {
  LogLease("promotion_lease_abandoned", "may_execute", this->record);
  this->abandoned_at = common::SteadyNow();
  this->Release();
}

void PromotionLease::Release() {
  if (--this->users > 0) return;
  this->confirmed_at.reset();
  if (std::exchange(this->lost, false)) return;
  if (this->WasAbandoned(common::SteadyNow())) return;
  this->Write(false, {}, [this](bool written) {
    this->confirmed_at.reset();
    LogLease("promotion_lease_released", written ? "unused" : "not_written",
             this->record);
  });
}

bool PromotionLease::WasAbandoned(common::SteadyTime now) const {
  return this->abandoned_at.has_value() &&
         now - *this->abandoned_at < kTakeoverDelay;
}

bool PromotionLease::MayOrder(common::SteadyTime now) const {
  return this->users > 0 && this->confirmed_at.has_value() &&
         now - *this->confirmed_at < kOrderWindow;
}

void PromotionLease::Write(bool active, const RecordChange& change,
                           std::function<void(bool written)> done) {
  this->writes.push_back({active, change, std::move(done)});
  if (!this->write_in_flight) this->StartNextWrite();
}

StoreRevision PromotionLease::HeldSince() const {
  const bool is_holder =
      this->record.holder == this->host && this->record.held_since.number > 0 &&
      this->record.held_since.era == this->record.revision.era;
  if (is_holder) return this->record.held_since;
  return {this->record.revision.era, this->record.revision.number + 1};
}

std::uint64_t PromotionLease::OwnToken() const {
  PromotionLeaseRecord own;
  own.held_since = this->HeldSince();
  return FencingToken(own);
}

void PromotionLease::StartNextWrite() {
  this->write_in_flight = true;
  const common::SteadyTime sent = common::SteadyNow();
  PromotionLeaseRecord wanted = this->record;
  wanted.holder = this->host;
  wanted.active = this->writes.front().active;
  wanted.written_in_era = wanted.revision.era;
  wanted.held_since = this->HeldSince();
  std::erase_if(wanted.orders, [&](const auto& order) {
    return !this->OpenOrderOf(order.first, sent).has_value();
  });
  const RecordChange& change = this->writes.front().change;
  if (change && !change(&wanted)) {
    this->EndWrite(false);
    return;
  }
  this->platform->WritePromotionLease(
      wanted, [this, sent, era_before = wanted.revision.era,
               still_alive = this->alive](const PromotionLeaseResult& result) {
        if (*still_alive) this->OnWritten(sent, era_before, result);
      });
}

void PromotionLease::OnWritten(common::SteadyTime sent,
                               std::uint64_t era_before,
                               const PromotionLeaseResult& result) {
  if (const auto* written = std::get_if<PromotionLeaseRecord>(&result)) {
    this->OnEra(written->revision.era, common::SteadyNow());
    // After a restore, the revision that the write required may have been that
    // of another daemon's record.
    if (written->revision.era != era_before || era_before != this->era) {
      this->FailAllWrites();
      return;
    }
    this->SetRecord(*written);
    this->record_seen_at = common::SteadyNow();
    this->confirmed_at = sent;
    this->EndWrite(true);
    return;
  }
  if (const auto* conflict = std::get_if<PromotionLeaseConflict>(&result)) {
    this->OnEra(conflict->record.revision.era, common::SteadyNow());
    this->SetRecord(conflict->record);
    this->record_seen_at = common::SteadyNow();
    this->confirmed_at.reset();
    // The new holder must not lose the lease to this daemon. A record of this
    // daemon is its own write that had no answer, or the copy of one in a store
    // that was restored and may have lost another holder's record.
    const bool taken_over = conflict->record.holder != this->host;
    if (this->users > 0 && taken_over) {
      LogLease("promotion_lease_lost", "taken_over", this->record);
      this->lost = true;
    }
    if (taken_over || conflict->record.revision.era != era_before) {
      this->FailAllWrites();
      return;
    }
  }
  this->EndWrite(false);
}

void PromotionLease::EndWrite(bool written) {
  const PendingWrite ended = std::move(this->writes.front());
  this->writes.pop_front();
  this->write_in_flight = false;
  const auto still_alive = this->alive;
  ended.done(written);
  if (!*still_alive || this->write_in_flight || this->writes.empty()) return;
  this->StartNextWrite();
}

void PromotionLease::FailAllWrites() {
  const std::deque<PendingWrite> failed =
      std::exchange(this->writes, std::deque<PendingWrite>());
  this->write_in_flight = false;
  const auto still_alive = this->alive;
  for (const PendingWrite& write : failed) {
    write.done(false);
    if (!*still_alive) return;
  }
}

}  // namespace camphorferry::session
