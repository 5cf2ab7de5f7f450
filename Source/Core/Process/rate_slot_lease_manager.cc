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

/// Read interval of a daemon that lacks slots, and of one that does not. With
/// 155 daemons in each of 22 domains the latter makes 57 reads per second.
constexpr Duration kAcquiringReadInterval = seconds(15);
constexpr Duration kReadInterval = seconds(60);
/// A slot above FairShareFloor is acquired only after it was free this long, so
/// that daemons with fewer slots come first.
constexpr Duration kAcquireGracePeriod = seconds(60);
/// Initial and maximum delay after a failed, lost or conflicting call.
constexpr Duration kInitialRetryDelay = milliseconds(250);
constexpr Duration kMaxRetryDelay = seconds(30);

/// Scales a delay by a factor between 0.5 and 1.5 that depends on host and
/// attempt, so that daemons whose updates conflicted do not all retry at the
/// same time.
Duration WithJitter(Duration wait, const HostId& host, std::uint32_t attempt) {
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
  // The host list may lag and not contain this daemon yet.
  this->hosts.insert(this->host);
}

SlotActions RateSlotLeaseManager::Tick(SteadyTime now) {
  this->RemoveExpired(now);
  if (this->open_call != Call::kNone || now < this->next_read ||
      this->Drained()) {
    return {};
  }
  this->open_call = Call::kRead;
  return {ReadSlots{}};
}

SlotActions RateSlotLeaseManager::OnRead(ObjectVersion version,
                                         const std::string& content,
                                         SteadyTime sent, SteadyTime answered) {
  this->open_call = Call::kNone;
  this->RemoveExpired(answered);
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
  this->ProcessDocument(read, sent, answered, &actions);
  this->YieldExcessSlots(answered, &actions);
  std::optional<SlotDocument> next = this->NextDocument(answered);
  if (!next) {
    this->consecutive_failures = 0;
    this->Schedule(answered);
    return actions;
  }
  this->open_call = Call::kUpdate;
  this->write_times[this->write_number] = answered;
  this->pending_document = std::move(*next);
  actions.emplace_back(
      UpdateSlots{version, FormatSlotDocument(this->pending_document)});
  return actions;
}

SlotActions RateSlotLeaseManager::OnReadFailed(SteadyTime now) {
  this->open_call = Call::kNone;
  this->RemoveExpired(now);
  this->ScheduleRetry(now);
  return {};
}

SlotActions RateSlotLeaseManager::OnUpdated(ObjectVersion /*version*/,
                                            SteadyTime now) {
  this->open_call = Call::kNone;
  this->RemoveExpired(now);
  this->consecutive_failures = 0;
  SlotActions actions;
  // The records of other daemons are as old as the read before the update.
  const SteadyTime sent = this->write_times.at(this->write_number);
  this->ProcessDocument(this->pending_document, sent, now, &actions);
  this->Schedule(now);
  return actions;
}

SlotActions RateSlotLeaseManager::OnUpdateConflicted(SteadyTime now) {
  return this->OnReadFailed(now);
}

SlotActions RateSlotLeaseManager::OnUpdateAnswerLost(SteadyTime now) {
  this->document_current = false;
  return this->OnReadFailed(now);
}

SlotActions RateSlotLeaseManager::Drain(SteadyTime now) {
  this->RemoveExpired(now);
  SlotActions actions;
  this->draining = true;
  while (!this->held.empty()) {
    this->StopUsing(this->held.begin()->first, now, &actions);
  }
  this->next_read = now;
  return actions;
}

bool RateSlotLeaseManager::Drained() const {
  if (!this->draining || this->open_call == Call::kUpdate) {
    return false;
  }
  return this->document_current && this->OwnSlotCount(this->document) == 0;
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

void RateSlotLeaseManager::ProcessDocument(const SlotDocument& read,
                                           SteadyTime sent, SteadyTime now,
                                           SlotActions* actions) {
  for (std::uint32_t index = 0; index < read.size(); ++index) {
    const std::optional<SlotRecord>& record = read[index];
    if (this->IsOwn(record)) {
      this->ProcessOwnRecord(index, *record, now, actions);
    } else {
      this->ProcessForeignRecord(index, record, sent, now, actions);
    }
  }
  this->document = read;
  this->document_current = true;
}

/// The record contains the number of the write that made it, so the lease is
/// counted from when that write was sent, even if its response was lost.
void RateSlotLeaseManager::ProcessOwnRecord(std::uint32_t index,
                                            const SlotRecord& record,
                                            SteadyTime now,
                                            SlotActions* actions) {
  this->observed.erase(index);
  const auto written = this->write_times.find(record.renewals);
  if (this->pending_release.contains(index) || this->draining ||
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
  this->held[index] = HeldLease{start, end};
}

void RateSlotLeaseManager::ProcessForeignRecord(
    std::uint32_t index, const std::optional<SlotRecord>& record,
    SteadyTime sent, SteadyTime now, SlotActions* actions) {
  if (this->held.erase(index) > 0) {
    actions->emplace_back(StopSlot{this->range.first + index});
  }
  this->pending_release.erase(index);
  const auto known = this->observed.find(index);
  if (known != this->observed.end() && known->second.record == record) {
    known->second.latest_sent = std::max(known->second.latest_sent, sent);
    return;
  }
  this->observed[index] = ObservedRecord{record, now, sent};
}

void RateSlotLeaseManager::StopUsing(std::uint32_t index, SteadyTime now,
                                     SlotActions* actions) {
  this->held.erase(index);
  this->pending_release[index] = now;
  actions->emplace_back(StopSlot{this->range.first + index});
}

/// Stops using excess slots that other daemons lack. Of what the daemons below
/// FairShareFloor lack, this daemon yields its proportion of all slots above
/// the floor, so that several daemons together do not yield too many.
void RateSlotLeaseManager::YieldExcessSlots(SteadyTime now,
                                            SlotActions* actions) {
  if (this->draining || !this->pending_release.empty()) {
    return;
  }
  const std::uint32_t own = this->OwnSlotCount(this->document);
  const std::uint32_t floor = this->FairShareFloor();
  const std::uint32_t ceiling = this->FairShareCeiling();
  std::uint32_t missing = 0;
  std::uint32_t excess = own > floor ? own - floor : 0;
  bool any_below_ceiling = false;
  for (const HostId& other : this->hosts) {
    if (other == this->host) {
      continue;
    }
    const std::uint32_t count = this->SlotCountOf(this->document, other);
    missing += count < floor ? floor - count : 0;
    excess += count > floor ? count - floor : 0;
    any_below_ceiling = any_below_ceiling || count < ceiling;
  }
  const auto free = static_cast<std::uint32_t>(
      std::count(this->document.begin(), this->document.end(), std::nullopt));
  std::uint32_t to_yield = 0;
  if (own > floor && missing > free) {
    to_yield = ((missing - free) * (own - floor) + excess - 1) / excess;
  }
  if (own > ceiling && any_below_ceiling && free == 0) {
    to_yield = std::max(to_yield, own - ceiling);
  }
  while (to_yield > 0 && !this->held.empty()) {
    this->StopUsing(this->held.rbegin()->first, now, actions);
    --to_yield;
  }
}

/// Returns the document to write, if it differs from the one read.
std::optional<SlotDocument> RateSlotLeaseManager::NextDocument(SteadyTime now) {
  ++this->write_number;
  SlotDocument next = this->document;
  this->ReleaseUnusedSlots(&next, now);
  if (!this->draining) {
    this->RenewLeases(&next, now);
    this->AcquireSlots(&next);
  }
  if (next == this->document) {
    return std::nullopt;
  }
  return next;
}

/// Frees the slots that are no longer used, once the loans given from them have
/// ended.
void RateSlotLeaseManager::ReleaseUnusedSlots(SlotDocument* next,
                                              SteadyTime now) const {
  for (std::uint32_t index = 0; index < next->size(); ++index) {
    if (!this->IsOwn((*next)[index])) {
      continue;
    }
    const auto since = this->pending_release.find(index);
    const bool unused = since == this->pending_release.end() &&
                        !this->held.contains(index) && this->draining;
    const bool loans_ended =
        since != this->pending_release.end() &&
        now >= since->second + GrantorPeriod(kLoanDuration);
    if (unused || loans_ended) {
      (*next)[index].reset();
    }
  }
}

/// Renews the leases of all own slots if one of them is due.
void RateSlotLeaseManager::RenewLeases(SlotDocument* next,
                                       SteadyTime now) const {
  bool due = false;
  for (std::uint32_t index = 0; index < next->size(); ++index) {
    if (!this->IsOwn((*next)[index]) || this->pending_release.contains(index)) {
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
    if (this->IsOwn((*next)[index]) && !this->pending_release.contains(index)) {
      (*next)[index]->renewals = this->write_number;
    }
  }
}

void RateSlotLeaseManager::AcquireSlots(SlotDocument* next) const {
  std::uint32_t own = this->OwnSlotCount(*next);
  for (std::uint32_t index = 0; index < next->size(); ++index) {
    const bool below_floor = own < this->FairShareFloor();
    if (!below_floor && own >= this->FairShareCeiling()) {
      return;
    }
    const Duration grace = below_floor ? Duration::zero() : kAcquireGracePeriod;
    if (this->IsOwn((*next)[index]) || !this->CanAcquire(index, grace)) {
      continue;
    }
    (*next)[index] = SlotRecord{.holder = this->host,
                                .incarnation = this->incarnation,
                                .nonce = this->write_number,
                                .renewals = this->write_number};
    ++own;
  }
}

/// Only the time between reads that showed the same record is counted: what
/// happened while this daemon did not read, for example while it was paused, is
/// unknown until the next read.
bool RateSlotLeaseManager::CanAcquire(std::uint32_t index,
                                      Duration grace) const {
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

std::uint32_t RateSlotLeaseManager::SlotCountOf(const SlotDocument& slots,
                                                const HostId& of) const {
  return static_cast<std::uint32_t>(std::count_if(
      slots.begin(), slots.end(),
      [&of](const auto& record) { return record && record->holder == of; }));
}

std::uint32_t RateSlotLeaseManager::OwnSlotCount(
    const SlotDocument& slots) const {
  return static_cast<std::uint32_t>(std::count_if(
      slots.begin(), slots.end(),
      [this](const auto& record) { return this->IsOwn(record); }));
}

/// Number of slots that every daemon can have at least: the equal share rounded
/// down, but not below one.
std::uint32_t RateSlotLeaseManager::FairShareFloor() const {
  const auto daemons = static_cast<std::uint32_t>(this->hosts.size());
  return std::max<std::uint32_t>(1, this->range.count / daemons);
}

/// The equal share rounded up: all slots are held if every daemon has this
/// many.
std::uint32_t RateSlotLeaseManager::FairShareCeiling() const {
  const auto daemons = static_cast<std::uint32_t>(this->hosts.size());
  return (this->range.count + daemons - 1) / daemons;
}

void RateSlotLeaseManager::Schedule(SteadyTime now) {
  const bool below_fair_share =
      this->OwnSlotCount(this->document) < this->FairShareFloor();
  this->next_read =
      now + (below_fair_share ? kAcquiringReadInterval : kReadInterval);
  for (const auto& [index, lease] : this->held) {
    this->next_read =
        std::min(this->next_read, lease.start + kSlotRenewalInterval);
  }
  for (const auto& [index, since] : this->pending_release) {
    this->next_read =
        std::min(this->next_read, since + GrantorPeriod(kLoanDuration));
  }
  this->next_read = std::max(this->next_read, now);
}

void RateSlotLeaseManager::ScheduleRetry(SteadyTime now) {
  const std::uint32_t doublings =
      std::min<std::uint32_t>(this->consecutive_failures, 10);
  const Duration wait =
      std::min(kInitialRetryDelay * (1 << doublings), kMaxRetryDelay);
  ++this->consecutive_failures;
  this->next_read =
      now + WithJitter(wait, this->host, this->consecutive_failures);
}

void RateSlotLeaseManager::RemoveExpired(SteadyTime now) {
  std::erase_if(this->held,
                [now](const auto& slot) { return slot.second.end <= now; });
  std::erase_if(this->write_times, [this, now](const auto& write) {
    return write.first != this->write_number &&
           write.second + kSlotLeaseDuration <= now;
  });
}

}  // namespace camphorferry::process
