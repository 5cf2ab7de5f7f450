#ifndef CAMPHORFERRY_SESSION_PROMOTION_LEASE_H_
#define CAMPHORFERRY_SESSION_PROMOTION_LEASE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "Session/directory.h"

namespace camphorferry::session {

/// Client of the fleet-wide promotion lease, which stored objects, headers and
/// metrics call "duty": only the daemon that holds it may order promotions. The
/// record in the platform's store decides who that is. Every change of the
/// record is conditional on its revision, and the revision at which the holder
/// changed, with its era, serves as the fencing token. An order is given only
/// shortly after a successful change of the record; another daemon takes the
/// lease over only after the record has not changed for longer than an order
/// can be in flight. A lease of an earlier era is lost. As its record may be
/// lost too, the first holder of an era waits as if there were one.
///
/// An order may take effect long after it was given, when the lease has passed
/// on. So the record names the member that is promoted before the order is
/// given, until the order has been executed, was rejected or is too old.
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

  /// Records an order that is about to be given for a member of a service whose
  /// newest term is the given one. Calls back like Confirm; with none as well
  /// if an order for another member of the service is open, or one with an
  /// earlier token that may still be on its way.
  void RecordOrder(
      const common::ServiceId& service, const common::EndpointId& endpoint,
      common::Term term,
      std::function<void(std::optional<PromotionLeaseRecord>)> done);

  /// Closes the terms of a service below the given one, unless more are closed
  /// already. Calls back with the entry that is in the stored record; none if
  /// the lease was lost or the store does not answer.
  void CloseTerm(const common::ServiceId& service, common::Term below,
                 std::function<void(std::optional<ClosedTerm>)> done);

  /// Opens the terms of a service from the given one on; none that is open is
  /// closed. Calls back like CloseTerm, with an empty entry if the record has
  /// none.
  void OpenTerm(const common::ServiceId& service, common::Term below,
                std::function<void(std::optional<ClosedTerm>)> done);

  /// A client of any daemon is known to have been told of a position. Later
  /// writes of the record by this daemon have it in the entry of the service.
  void NoteAcknowledged(const common::ServiceId& service,
                        common::LogPosition acknowledged);

  /// The entries of the last known state of the record. Later ones that a
  /// restored store has lost are kept, and are part of the next write.
  const ClosedTerms& Closed() const { return this->record.closed_terms; }

  /// The order that was recorded under a number was not given, or was rejected.
  /// Does nothing if another one has been recorded since.
  void WithdrawOrder(const common::ServiceId& service, std::uint64_t number);

  /// The platform has accepted the order that was recorded under a number. Does
  /// nothing if another one has been recorded since.
  void OnOrderAccepted(const common::ServiceId& service, std::uint64_t number);

  /// All recorded orders of the service have been executed.
  void SettleOrder(const common::ServiceId& service);

  /// The recorded orders of the service that may still be executed.
  std::optional<OpenOrder> OpenOrderOf(const common::ServiceId& service,
                                       common::SteadyTime now) const;

  /// Ends one use that was granted by Acquire. The last one releases the lease.
  void Release();

  /// Ends one use like Release, but leaves the record active, so that this and
  /// any other daemon acquires the lease only after the takeover delay. For a
  /// use of which a command may still be executed.
  void Abandon();

  /// Whether the lease was confirmed recently enough to give an order.
  bool MayOrder(common::SteadyTime now) const;

 private:
  /// Changes the record that is to be written; returns false if it must not be
  /// written.
  using RecordChange = std::function<bool(PromotionLeaseRecord*)>;

  /// A write of the record that waits until the one before has ended.
  struct PendingWrite {
    bool active = false;
    RecordChange change;
    std::function<void(bool written)> done;
  };

  /// Orders as first seen by this daemon.
  struct SeenOrder {
    std::uint64_t number = 0;
    common::SteadyTime since;
  };

  /// Adds a use of the lease that is held; returns false if it was lost.
  bool Share();
  /// Whether a use was abandoned less than the takeover delay ago.
  bool WasAbandoned(common::SteadyTime now) const;
  /// Writes the record, after the writes that have been requested before. The
  /// change may be empty.
  void Write(bool active, const RecordChange& change,
             std::function<void(bool written)> done);
  /// Writes a change of the service's closed terms and calls back with the
  /// stored entry.
  void WriteTerm(const common::ServiceId& service, const RecordChange& change,
                 std::function<void(std::optional<ClosedTerm>)> done);
  void StartNextWrite();
  /// Since when this daemon is the holder, if it is the last known one or
  /// becomes it by the next write.
  StoreRevision HeldSince() const;
  /// The fencing token that goes with it.
  std::uint64_t OwnToken() const;
  void OnWritten(common::SteadyTime sent, std::uint64_t era_before,
                 const PromotionLeaseResult& result);
  void EndWrite(bool written);
  /// Ends all requested writes: they were meant for a record that this daemon
  /// holds, and another one holds it now.
  void FailAllWrites();
  /// Replaces the last known state of the record, apart from what this daemon
  /// knows better.
  void SetRecord(const PromotionLeaseRecord& changed);
  /// Replaces the orders that the record has under a number.
  void CorrectOrder(const common::ServiceId& service,
                    const PromotionOrderRecord& corrected);
  /// Removes the latest of the orders that the record has under a number.
  void RemoveLatest(const common::ServiceId& service,
                    const PromotionOrderRecord& order);
  /// Whether another daemon may still give orders under the stored record, or
  /// under one that a restored store has lost.
  bool MayBeHeldByAnother(const PromotionLeaseRecord& stored,
                          common::SteadyTime now) const;

  Platform* platform;
  common::HostId host;
  /// Last known state of the record.
  PromotionLeaseRecord record;
  /// When the orders in the record were first seen.
  std::map<common::ServiceId, SeenOrder> seen_orders;
  /// Orders of which the stored record has higher counts, because they were not
  /// given, answered or executed since it was written.
  std::map<common::ServiceId, PromotionOrderRecord> corrected_orders;
  /// Writes that have been requested; the first one may be on its way.
  std::deque<PendingWrite> writes;
  bool write_in_flight = false;
  std::mt19937_64 random;
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
