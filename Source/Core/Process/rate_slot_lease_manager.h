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

/// Identifies one run of a daemon's process; each restart gets another number.
using Incarnation = std::uint64_t;

/// Version of an object in the platform's store; 0 if the object does not
/// exist.
using ObjectVersion = std::uint64_t;

inline constexpr common::Duration kSlotRenewalInterval =
    std::chrono::minutes(10);

/// Stored record of the holder of a rate slot. Each write of a holder changes
/// the renewal number, so a record that is read twice unchanged was not renewed
/// in between.
struct SlotRecord {
  common::HostId holder;
  Incarnation incarnation = 0;
  /// Number of the holder's write that acquired the slot.
  std::uint64_t nonce = 0;
  /// Number of the holder's write that last renewed the lease.
  std::uint64_t renewals = 0;

  bool operator==(const SlotRecord&) const = default;
};

/// Content of the store object rates/DOMAIN: one entry per slot of the domain,
/// empty if the slot is free.
using SlotDocument = std::vector<std::optional<SlotRecord>>;

/// The content of rates/DOMAIN is not a valid slot document.
class BadSlotDocumentError : public common::Error {
 public:
  explicit BadSlotDocumentError(const std::string& detail);
};

/// Parses a JSON slot document; throws BadSlotDocumentError.
SlotDocument ParseSlotDocument(std::string_view text);

/// Returns the JSON form that ParseSlotDocument reads.
std::string FormatSlotDocument(const SlotDocument& document);

/// Read rates/DOMAIN from the store.
struct ReadSlots {};

/// Write rates/DOMAIN if it still has the given version.
struct UpdateSlots {
  ObjectVersion if_version = 0;
  std::string content;
};

/// Add the slot to the rate limiters of all workspaces until its lease ends.
struct UseSlot {
  RateSlotNumber slot = 0;
  common::SteadyTime lease_end;
};

/// The slot's lease was extended.
struct ExtendSlot {
  RateSlotNumber slot = 0;
  common::SteadyTime lease_end;
};

/// Remove the slot from the rate limiters of all workspaces at once.
struct StopSlot {
  RateSlotNumber slot = 0;
};

using SlotAction =
    std::variant<ReadSlots, UpdateSlots, UseSlot, ExtendSlot, StopSlot>;
using SlotActions = std::vector<SlotAction>;

/// Acquires, renews and releases the leases of one daemon on the rate slots of
/// its failure domain. The leases are records in one store object, updated by
/// compare-and-swap.
///
/// The class does no I/O. At most one call to the store is open at a time; the
/// caller reports its end with exactly one event. Actions must be carried out
/// in order and before the next event.
class RateSlotLeaseManager {
 public:
  /// Safety rules that only tests disable, to verify that the violations are
  /// detected.
  struct Policy {
    /// If true, another daemon's slot is acquired only after its lease has
    /// expired.
    bool wait_for_lease = true;
  };

  /// The domain's slots within the slot numbers of the whole fleet.
  struct SlotRange {
    RateSlotNumber first = 0;
    std::uint32_t count = 0;
  };

  RateSlotLeaseManager(common::HostId host, Incarnation incarnation,
                       SlotRange range);
  RateSlotLeaseManager(common::HostId host, Incarnation incarnation,
                       SlotRange range, const Policy& policy);

  /// Sets the live hosts of the domain according to the platform's host list,
  /// without those that are leaving.
  void SetHosts(std::set<common::HostId> live);

  /// Periodic tick.
  SlotActions Tick(common::SteadyTime now);

  /// The read returned a version and content; version 0 if the object does not
  /// exist. `sent` and `answered` are the times of the call and of its
  /// response.
  SlotActions OnRead(ObjectVersion version, const std::string& content,
                     common::SteadyTime sent, common::SteadyTime answered);

  /// The read failed or got no response.
  SlotActions OnReadFailed(common::SteadyTime now);

  /// The update took effect and produced this version.
  SlotActions OnUpdated(ObjectVersion version, common::SteadyTime now);

  /// The update had no effect because the object's version had changed.
  SlotActions OnUpdateConflicted(common::SteadyTime now);

  /// The update got no response; it may have taken effect or still do so.
  SlotActions OnUpdateAnswerLost(common::SteadyTime now);

  /// Stops using all slots and then releases them in the store.
  SlotActions Drain(common::SteadyTime now);

  /// True when a drain has released every slot in the store.
  bool Drained() const;

  /// Slots in use, with the ends of their leases.
  std::map<RateSlotNumber, common::SteadyTime> HeldSlots(
      common::SteadyTime now) const;

 private:
  enum class Call { kNone, kRead, kUpdate };

  /// Lease of a slot in use.
  struct HeldLease {
    /// When the write that made or renewed the lease was sent.
    common::SteadyTime start;
    common::SteadyTime end;
  };

  /// Another daemon's record, or none, as seen in consecutive reads.
  struct ObservedRecord {
    std::optional<SlotRecord> record;
    common::SteadyTime first_answered;
    common::SteadyTime latest_sent;
  };

  bool IsOwn(const std::optional<SlotRecord>& record) const;
  void ProcessDocument(const SlotDocument& read, common::SteadyTime sent,
                       common::SteadyTime now, SlotActions* actions);
  void ProcessOwnRecord(std::uint32_t index, const SlotRecord& record,
                        common::SteadyTime now, SlotActions* actions);
  void ProcessForeignRecord(std::uint32_t index,
                            const std::optional<SlotRecord>& record,
                            common::SteadyTime sent, common::SteadyTime now,
                            SlotActions* actions);
  void StopUsing(std::uint32_t index, common::SteadyTime now,
                 SlotActions* actions);
  void YieldExcessSlots(common::SteadyTime now, SlotActions* actions);
  std::optional<SlotDocument> NextDocument(common::SteadyTime now);
  void ReleaseUnusedSlots(SlotDocument* next, common::SteadyTime now) const;
  void RenewLeases(SlotDocument* next, common::SteadyTime now) const;
  void AcquireSlots(SlotDocument* next) const;
  bool CanAcquire(std::uint32_t index, common::Duration grace) const;
  std::uint32_t SlotCountOf(const SlotDocument& slots,
                            const common::HostId& of) const;
  std::uint32_t OwnSlotCount(const SlotDocument& slots) const;
  std::uint32_t FairShareFloor() const;
  std::uint32_t FairShareCeiling() const;
  void Schedule(common::SteadyTime now);
  void ScheduleRetry(common::SteadyTime now);
  void RemoveExpired(common::SteadyTime now);

  common::HostId host;
  Incarnation incarnation;
  SlotRange range;
  Policy policy;
  std::set<common::HostId> hosts;
  bool draining = false;

  Call open_call = Call::kNone;
  common::SteadyTime next_read;
  std::uint32_t consecutive_failures = 0;

  /// The document as last read or written.
  SlotDocument document;
  /// True after a read or a successful update, until an update gets no
  /// response.
  bool document_current = false;
  /// Document of the update in progress.
  SlotDocument pending_document;
  /// Number of the latest write, and the send time of each write that a lease
  /// may rest on.
  std::uint64_t write_number = 0;
  std::map<std::uint64_t, common::SteadyTime> write_times;

  /// Leases in use, by index in the document.
  std::map<std::uint32_t, HeldLease> held;
  /// Slots no longer used but not yet released, and since when they are unused.
  std::map<std::uint32_t, common::SteadyTime> pending_release;
  std::map<std::uint32_t, ObservedRecord> observed;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_RATE_SLOT_LEASE_MANAGER_H_
