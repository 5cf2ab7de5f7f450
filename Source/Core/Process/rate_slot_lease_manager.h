#ifndef CAMPHORFERRY_PROCESS_RATE_SLOT_LEASE_MANAGER_H_
#define CAMPHORFERRY_PROCESS_RATE_SLOT_LEASE_MANAGER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/common.h"
#include "Process/local_rate_limiter.h"

namespace camphorferry::process {

/// Number of one run of a daemon's process; a restart gets another one.
using Incarnation = std::uint64_t;

/// Version of an object in the platform's store; 0 if it does not exist.
using ObjectVersion = std::uint64_t;

/// How often a holder renews its leases.
inline constexpr common::Duration kSlotRenewalInterval =
    std::chrono::minutes(10);

/// Who holds a rate slot, as the store knows it. Each write of a holder carries
/// another renewal counter, so a record that is read twice unchanged was not
/// renewed in between.
struct SlotRecord {
  common::HostId holder;
  Incarnation incarnation = 0;
  /// Number of the write that took the slot.
  std::uint64_t nonce = 0;
  /// Number of the write that renewed it last.
  std::uint64_t renewals = 0;

  bool operator==(const SlotRecord&) const = default;
};

/// Content of the store object rates/DOMAIN: one entry for each slot of the
/// domain, empty if the slot is free.
using SlotDocument = std::vector<std::optional<SlotRecord>>;

/// The content of rates/DOMAIN could not be read as a slot document.
class BadSlotDocumentError : public common::Error {
 public:
  explicit BadSlotDocumentError(const std::string& detail);
};

/// Reads a JSON slot document; throws BadSlotDocumentError.
SlotDocument ParseSlotDocument(std::string_view text);

/// The JSON form that ParseSlotDocument reads.
std::string FormatSlotDocument(const SlotDocument& document);

/// Read rates/DOMAIN.
struct ReadSlots {};

/// Write rates/DOMAIN if it still has this version.
struct UpdateSlots {
  ObjectVersion if_version = 0;
  std::string content;
};

/// Use the slot in the shares of all workspaces until its lease ends.
struct UseSlot {
  RateSlotNumber slot = 0;
  common::SteadyTime lease_end;
};

/// The slot's lease was extended.
struct ExtendSlot {
  RateSlotNumber slot = 0;
  common::SteadyTime lease_end;
};

/// Remove the slot from the shares of all workspaces at once.
struct StopSlot {
  RateSlotNumber slot = 0;
};

using SlotAction =
    std::variant<ReadSlots, UpdateSlots, UseSlot, ExtendSlot, StopSlot>;
using SlotActions = std::vector<SlotAction>;

/// Holds and takes rate slots of one failure domain for one daemon. At most one
/// call to the store is open at a time; the caller reports its end with exactly
/// one event. Actions are to be carried out in order and before the next event.
class RateSlotLeaseManager {
 public:
  /// Switches that break the rules, for tests of the checks themselves.
  struct Policy {
    /// Take another daemon's slot only after its lease has run out.
    bool wait_for_lease = true;
  };

  /// Slots of the domain within the numbers of the whole fleet.
  struct SlotRange {
    RateSlotNumber first = 0;
    std::uint32_t count = 0;
  };

  RateSlotLeaseManager(common::HostId host, Incarnation incarnation,
                       SlotRange range);
  RateSlotLeaseManager(common::HostId host, Incarnation incarnation,
                       SlotRange range, const Policy& policy);

  /// Live hosts of the domain by the platform's list; without leaving ones.
  void SetHosts(std::set<common::HostId> live);

  /// Time has passed.
  SlotActions Tick(common::SteadyTime now);

  /// The read that was sent and answered at these times returned a version and
  /// content; version 0 if the object does not exist.
  SlotActions OnRead(ObjectVersion version, const std::string& content,
                     common::SteadyTime sent, common::SteadyTime answered);

  /// The read failed or got no answer.
  SlotActions OnReadFailed(common::SteadyTime now);

  /// The update took effect and made this version.
  SlotActions OnUpdated(ObjectVersion version, common::SteadyTime now);

  /// The update had no effect because the version had changed.
  SlotActions OnUpdateConflicted(common::SteadyTime now);

  /// The update got no answer; it may have taken effect or still do so.
  SlotActions OnUpdateAnswerLost(common::SteadyTime now);

  /// Stops using all slots and then releases them.
  SlotActions Drain(common::SteadyTime now);

  /// True when a drain has released every slot in the store.
  bool Drained() const;

  /// Slots in use and the ends of their leases.
  std::map<RateSlotNumber, common::SteadyTime> HeldSlots(
      common::SteadyTime now) const;

 private:
  enum class Call { kNone, kRead, kUpdate };

  /// A slot in use.
  struct Held {
    /// When the write that the lease rests on was sent.
    common::SteadyTime start;
    common::SteadyTime end;
  };

  /// Another daemon's record, or none, as several reads in a row showed it.
  struct Observed {
    std::optional<SlotRecord> record;
    common::SteadyTime first_answered;
    common::SteadyTime latest_sent;
  };

  bool IsOwn(const std::optional<SlotRecord>& record) const;
  void Learn(const SlotDocument& read, common::SteadyTime sent,
             common::SteadyTime now, SlotActions* actions);
  void LearnOwn(std::uint32_t index, const SlotRecord& record,
                common::SteadyTime now, SlotActions* actions);
  void LearnForeign(std::uint32_t index,
                    const std::optional<SlotRecord>& record,
                    common::SteadyTime sent, common::SteadyTime now,
                    SlotActions* actions);
  void Stop(std::uint32_t index, common::SteadyTime now, SlotActions* actions);
  void GiveBack(common::SteadyTime now, SlotActions* actions);
  std::optional<SlotDocument> Change(common::SteadyTime now);
  void Release(SlotDocument* next, common::SteadyTime now) const;
  void Renew(SlotDocument* next, common::SteadyTime now) const;
  void Take(SlotDocument* next) const;
  bool MayTake(std::uint32_t index, common::Duration grace) const;
  std::uint32_t CountOf(const SlotDocument& slots,
                        const common::HostId& of) const;
  std::uint32_t OwnCount(const SlotDocument& slots) const;
  std::uint32_t BaseNumber() const;
  std::uint32_t FairNumber() const;
  void Schedule(common::SteadyTime now);
  void ScheduleRetry(common::SteadyTime now);
  void DropEnded(common::SteadyTime now);

  common::HostId host;
  Incarnation incarnation;
  SlotRange range;
  Policy policy;
  std::set<common::HostId> hosts;
  bool draining = false;

  Call call = Call::kNone;
  common::SteadyTime next_read;
  std::uint32_t failures = 0;

  /// Document as last read or written.
  SlotDocument document;
  /// True if the store had this document after this daemon's latest write.
  bool document_known = false;
  /// Document of the open update.
  SlotDocument pending;
  /// Number of the latest write, and when each was sent.
  std::uint64_t writes = 0;
  std::map<std::uint64_t, common::SteadyTime> write_times;

  /// By index in the document.
  std::map<std::uint32_t, Held> held;
  /// Slots no longer used but not yet released, and since when.
  std::map<std::uint32_t, common::SteadyTime> stopped;
  std::map<std::uint32_t, Observed> observed;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_RATE_SLOT_LEASE_MANAGER_H_
