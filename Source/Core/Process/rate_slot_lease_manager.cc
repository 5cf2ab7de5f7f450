#include "Process/rate_slot_lease_manager.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorferry::process {

namespace {

using common::Duration;
using common::HostId;
using common::SteadyTime;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Interval of reads by a daemon that wants slots, and by one that does not.
/// With 155 daemons in each of 22 domains the latter makes 57 reads a second.
constexpr Duration kWantingReadInterval = seconds(15);
constexpr Duration kReadInterval = seconds(60);
/// A slot beyond the base number is taken only after it was free this long, so
/// that daemons with fewer slots come first.
constexpr Duration kTakeGrace = seconds(60);
/// First and longest wait after a failed, lost or conflicting call.
constexpr Duration kFirstRetry = milliseconds(250);
constexpr Duration kLongestRetry = seconds(30);

/// Factor between 0.5 and 1.5 that differs between hosts and attempts, so that
/// daemons which conflicted do not all come back at the same time.
Duration Spread(Duration wait, const HostId& host, std::uint32_t attempt) {
  const std::uint64_t score =
      common::RendezvousScore(std::to_string(attempt), host) % 1000;
  return wait / 2 + wait / 1000 * static_cast<Duration::rep>(score);
}

std::optional<SlotRecord> ParseRecord(const json& entry) {
  if (entry.is_null()) {
    return std::nullopt;
  }
  SlotRecord record;
  record.holder = HostId(entry.at("holder").get<std::string>());
  record.incarnation = entry.at("incarnation").get<Incarnation>();
  record.nonce = entry.at("nonce").get<std::uint64_t>();
  record.renewals = entry.at("renewals").get<std::uint64_t>();
  return record;
}

}  // namespace

BadSlotDocumentError::BadSlotDocumentError(const std::string& detail)
    : common::Error("bad slot document: " + detail) {}

SlotDocument ParseSlotDocument(std::string_view text) {
  try {
    SlotDocument document;
    const json parsed = json::parse(text);
    for (const json& entry : parsed.at("slots")) {
      document.push_back(ParseRecord(entry));
    }
    return document;
  } catch (const json::exception& error) {
    throw BadSlotDocumentError(error.what());
  }
}

std::string FormatSlotDocument(const SlotDocument& document) {
  json slots = json::array();
  for (const std::optional<SlotRecord>& record : document) {
    if (!record) {
      slots.push_back(nullptr);
      continue;
    }
    slots.push_back({{"holder", record->holder.Value()},
                     {"incarnation", record->incarnation},
                     {"nonce", record->nonce},
                     {"renewals", record->renewals}});
  }
  return json{{"slots", std::move(slots)}}.dump();
}

RateSlotLeaseManager::RateSlotLeaseManager(HostId host, Incarnation incarnation,
                                           SlotRange range)
    : RateSlotLeaseManager(std::move(host), incarnation, range, Policy()) {}

RateSlotLeaseManager::RateSlotLeaseManager(HostId host, Incarnation incarnation,
                                           SlotRange range,
                                           const Policy& policy)
    : host(std::move(host)),
      incarnation(incarnation),
      range(range),
      policy(policy),
      hosts({this->host}) {}

void RateSlotLeaseManager::SetHosts(std::set<HostId> live) {
  this->hosts = std::move(live);
  // The list lags and may not contain this daemon yet.
  this->hosts.insert(this->host);
}

SlotActions RateSlotLeaseManager::Tick(SteadyTime now) {
  this->DropEnded(now);
  if (this->call != Call::kNone || now < this->next_read || this->Drained()) {
    return {};
  }
  this->call = Call::kRead;
  return {ReadSlots{}};
}

SlotActions RateSlotLeaseManager::OnRead(ObjectVersion version,
                                         const std::string& content,
                                         SteadyTime sent, SteadyTime answered) {
  this->call = Call::kNone;
  this->DropEnded(answered);
  SlotDocument read(this->range.count);
  if (version != 0) {
    try {
      read = ParseSlotDocument(content);
    } catch (const BadSlotDocumentError&) {
      this->ScheduleRetry(answered);
      return {};
    }
  }
  // A document of another size belongs to another configuration; the slot
  // numbers would stand for other fractions of the rates.
  if (read.size() != this->range.count) {
    this->ScheduleRetry(answered);
    return {};
  }
  SlotActions actions;
  this->Learn(read, sent, answered, &actions);
  this->GiveBack(answered, &actions);
  std::optional<SlotDocument> next = this->Change(answered);
  if (!next) {
    this->failures = 0;
    this->Schedule(answered);
    return actions;
  }
  this->call = Call::kUpdate;
  this->write_times[this->writes] = answered;
  this->pending = std::move(*next);
  actions.emplace_back(UpdateSlots{version, FormatSlotDocument(this->pending)});
  return actions;
}

SlotActions RateSlotLeaseManager::OnReadFailed(SteadyTime now) {
  this->call = Call::kNone;
  this->DropEnded(now);
  this->ScheduleRetry(now);
  return {};
}

SlotActions RateSlotLeaseManager::OnUpdated(ObjectVersion /*version*/,
                                            SteadyTime now) {
  this->call = Call::kNone;
  this->DropEnded(now);
  this->failures = 0;
  SlotActions actions;
  // What other daemons' slots hold is as old as the read before the update.
  const SteadyTime sent = this->write_times.at(this->writes);
  this->Learn(this->pending, sent, now, &actions);
  this->Schedule(now);
  return actions;
}

SlotActions RateSlotLeaseManager::OnUpdateConflicted(SteadyTime now) {
  return this->OnReadFailed(now);
}

SlotActions RateSlotLeaseManager::OnUpdateAnswerLost(SteadyTime now) {
  this->document_known = false;
  return this->OnReadFailed(now);
}

SlotActions RateSlotLeaseManager::Drain(SteadyTime now) {
  this->DropEnded(now);
  SlotActions actions;
  this->draining = true;
  while (!this->held.empty()) {
    this->Stop(this->held.begin()->first, now, &actions);
  }
  this->next_read = now;
  return actions;
}

bool RateSlotLeaseManager::Drained() const {
  if (!this->draining || this->call == Call::kUpdate) {
    return false;
  }
  return this->document_known && this->OwnCount(this->document) == 0;
}

std::map<RateSlotNumber, SteadyTime> RateSlotLeaseManager::HeldSlots(
    SteadyTime now) const {
  std::map<RateSlotNumber, SteadyTime> slots;
  for (const auto& [index, lease] : this->held) {
    if (lease.end > now) {
      slots[this->range.first + index] = lease.end;
    }
  }
  return slots;
}

bool RateSlotLeaseManager::IsOwn(
    const std::optional<SlotRecord>& record) const {
  return record && record->holder == this->host &&
         record->incarnation == this->incarnation;
}

void RateSlotLeaseManager::Learn(const SlotDocument& read, SteadyTime sent,
                                 SteadyTime now, SlotActions* actions) {
  for (std::uint32_t index = 0; index < read.size(); ++index) {
    const std::optional<SlotRecord>& record = read[index];
    if (this->IsOwn(record)) {
      this->LearnOwn(index, *record, now, actions);
    } else {
      this->LearnForeign(index, record, sent, now, actions);
    }
  }
  this->document = read;
  this->document_known = true;
}

/// The record names the write that made it, so the lease counts from when that
/// write was sent, also if its answer was lost.
void RateSlotLeaseManager::LearnOwn(std::uint32_t index,
                                    const SlotRecord& record, SteadyTime now,
                                    SlotActions* actions) {
  this->observed.erase(index);
  const auto written = this->write_times.find(record.renewals);
  if (this->stopped.contains(index) || this->draining ||
      written == this->write_times.end()) {
    return;
  }
  const SteadyTime start = written->second;
  const SteadyTime end = start + HolderPeriod(kSlotLeaseDuration);
  if (end <= now) {
    return;
  }
  const RateSlotNumber slot = this->range.first + index;
  const auto known = this->held.find(index);
  if (known == this->held.end()) {
    actions->emplace_back(UseSlot{slot, end});
  } else if (end > known->second.end) {
    actions->emplace_back(ExtendSlot{slot, end});
  }
  this->held[index] = Held{start, end};
}

void RateSlotLeaseManager::LearnForeign(std::uint32_t index,
                                        const std::optional<SlotRecord>& record,
                                        SteadyTime sent, SteadyTime now,
                                        SlotActions* actions) {
  if (this->held.erase(index) > 0) {
    actions->emplace_back(StopSlot{this->range.first + index});
  }
  this->stopped.erase(index);
  const auto known = this->observed.find(index);
  if (known != this->observed.end() && known->second.record == record) {
    known->second.latest_sent = std::max(known->second.latest_sent, sent);
    return;
  }
  this->observed[index] = Observed{record, now, sent};
}

void RateSlotLeaseManager::Stop(std::uint32_t index, SteadyTime now,
                                SlotActions* actions) {
  this->held.erase(index);
  this->stopped[index] = now;
  actions->emplace_back(StopSlot{this->range.first + index});
}

/// Stops using slots that others need more. Of what the daemons below the base
/// number miss, this daemon gives the part that it has of all slots above the
/// base number, so that several daemons together do not give too much.
void RateSlotLeaseManager::GiveBack(SteadyTime now, SlotActions* actions) {
  if (this->draining || !this->stopped.empty()) {
    return;
  }
  const std::uint32_t own = this->OwnCount(this->document);
  const std::uint32_t base = this->BaseNumber();
  const std::uint32_t fair = this->FairNumber();
  std::uint32_t missing = 0;
  std::uint32_t excess = own > base ? own - base : 0;
  bool any_below_fair = false;
  for (const HostId& other : this->hosts) {
    if (other == this->host) {
      continue;
    }
    const std::uint32_t count = this->CountOf(this->document, other);
    missing += count < base ? base - count : 0;
    excess += count > base ? count - base : 0;
    any_below_fair = any_below_fair || count < fair;
  }
  const auto free = static_cast<std::uint32_t>(
      std::count(this->document.begin(), this->document.end(), std::nullopt));
  std::uint32_t give = 0;
  if (own > base && missing > free) {
    give = ((missing - free) * (own - base) + excess - 1) / excess;
  }
  if (own > fair && any_below_fair && free == 0) {
    give = std::max(give, own - fair);
  }
  while (give > 0 && !this->held.empty()) {
    this->Stop(this->held.rbegin()->first, now, actions);
    --give;
  }
}

/// The document that this daemon wants, if it differs from the one read.
std::optional<SlotDocument> RateSlotLeaseManager::Change(SteadyTime now) {
  ++this->writes;
  SlotDocument next = this->document;
  this->Release(&next, now);
  if (!this->draining) {
    this->Renew(&next, now);
    this->Take(&next);
  }
  if (next == this->document) {
    return std::nullopt;
  }
  return next;
}

/// Frees the slots that are no longer used, once the loans given from them have
/// ended.
void RateSlotLeaseManager::Release(SlotDocument* next, SteadyTime now) const {
  for (std::uint32_t index = 0; index < next->size(); ++index) {
    if (!this->IsOwn((*next)[index])) {
      continue;
    }
    const auto since = this->stopped.find(index);
    const bool unused = since == this->stopped.end() &&
                        !this->held.contains(index) && this->draining;
    const bool loans_ended =
        since != this->stopped.end() &&
        now >= since->second + GrantorPeriod(kLoanDuration);
    if (unused || loans_ended) {
      (*next)[index].reset();
    }
  }
}

/// Renews all own slots at once if one of them is due.
void RateSlotLeaseManager::Renew(SlotDocument* next, SteadyTime now) const {
  bool due = false;
  for (std::uint32_t index = 0; index < next->size(); ++index) {
    if (!this->IsOwn((*next)[index]) || this->stopped.contains(index)) {
      continue;
    }
    const auto lease = this->held.find(index);
    due = due || lease == this->held.end() ||
          now >= lease->second.start + kSlotRenewalInterval;
  }
  if (!due) {
    return;
  }
  for (std::uint32_t index = 0; index < next->size(); ++index) {
    if (this->IsOwn((*next)[index]) && !this->stopped.contains(index)) {
      (*next)[index]->renewals = this->writes;
    }
  }
}

void RateSlotLeaseManager::Take(SlotDocument* next) const {
  std::uint32_t own = this->OwnCount(*next);
  for (std::uint32_t index = 0; index < next->size(); ++index) {
    const bool below_base = own < this->BaseNumber();
    if (!below_base && own >= this->FairNumber()) {
      return;
    }
    const Duration grace = below_base ? Duration::zero() : kTakeGrace;
    if (this->IsOwn((*next)[index]) || !this->MayTake(index, grace)) {
      continue;
    }
    (*next)[index] = SlotRecord{.holder = this->host,
                                .incarnation = this->incarnation,
                                .nonce = this->writes,
                                .renewals = this->writes};
    ++own;
  }
}

/// Only the time between reads that showed the same record counts: what
/// happened while this daemon did not look, for example while it was paused,
/// is not known before the next read.
bool RateSlotLeaseManager::MayTake(std::uint32_t index, Duration grace) const {
  const auto known = this->observed.find(index);
  if (known == this->observed.end()) {
    return false;
  }
  const Duration unchanged =
      known->second.latest_sent - known->second.first_answered;
  if (!known->second.record) {
    return grace == Duration::zero() || unchanged >= grace;
  }
  if (!this->policy.wait_for_lease) {
    return true;
  }
  return unchanged >= GrantorPeriod(kSlotLeaseDuration) + grace;
}

std::uint32_t RateSlotLeaseManager::CountOf(const SlotDocument& slots,
                                            const HostId& of) const {
  return static_cast<std::uint32_t>(std::count_if(
      slots.begin(), slots.end(),
      [&of](const auto& record) { return record && record->holder == of; }));
}

std::uint32_t RateSlotLeaseManager::OwnCount(const SlotDocument& slots) const {
  return static_cast<std::uint32_t>(std::count_if(
      slots.begin(), slots.end(),
      [this](const auto& record) { return this->IsOwn(record); }));
}

/// Number of slots that every daemon can have, one at least.
std::uint32_t RateSlotLeaseManager::BaseNumber() const {
  const auto daemons = static_cast<std::uint32_t>(this->hosts.size());
  return std::max<std::uint32_t>(1, this->range.count / daemons);
}

/// Number of slots at which all slots are held when all daemons have it.
std::uint32_t RateSlotLeaseManager::FairNumber() const {
  const auto daemons = static_cast<std::uint32_t>(this->hosts.size());
  return (this->range.count + daemons - 1) / daemons;
}

void RateSlotLeaseManager::Schedule(SteadyTime now) {
  const bool wants = this->OwnCount(this->document) < this->BaseNumber();
  this->next_read = now + (wants ? kWantingReadInterval : kReadInterval);
  for (const auto& [index, lease] : this->held) {
    this->next_read =
        std::min(this->next_read, lease.start + kSlotRenewalInterval);
  }
  for (const auto& [index, since] : this->stopped) {
    this->next_read =
        std::min(this->next_read, since + GrantorPeriod(kLoanDuration));
  }
  this->next_read = std::max(this->next_read, now);
}

void RateSlotLeaseManager::ScheduleRetry(SteadyTime now) {
  const std::uint32_t doublings = std::min<std::uint32_t>(this->failures, 10);
  const Duration wait = std::min(kFirstRetry * (1 << doublings), kLongestRetry);
  ++this->failures;
  this->next_read = now + Spread(wait, this->host, this->failures);
}

void RateSlotLeaseManager::DropEnded(SteadyTime now) {
  std::erase_if(this->held,
                [now](const auto& slot) { return slot.second.end <= now; });
  std::erase_if(this->write_times, [this, now](const auto& write) {
    return write.first != this->writes &&
           write.second + kSlotLeaseDuration <= now;
  });
}

}  // namespace camphorferry::process
