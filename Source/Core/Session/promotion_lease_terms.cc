#include <algorithm>
#include <utility>

#include "Session/promotion_lease.h"

namespace camphorferry::session {

namespace {

/// The revision for a changed entry of a record that is based on the given one.
/// Rises also if a store that doesn't tell eras gives its revisions out again.
StoreRevision NextWritten(const ClosedTerm& entry, StoreRevision base) {
  return std::max(base, {entry.written.era, entry.written.number + 1});
}

}  // namespace

void PromotionLease::CloseTerm(
    const common::ServiceId& service, common::Term below,
    std::function<void(std::optional<ClosedTerm>)> done) {
  const RecordChange change = [service, below](PromotionLeaseRecord* changed) {
    ClosedTerm& entry = changed->closed_terms[service];
    entry.below = std::max(entry.below, below);
    entry.written = NextWritten(entry, changed->revision);
    return true;
  };
  this->WriteTerm(service, change, std::move(done));
}

void PromotionLease::OpenTerm(
    const common::ServiceId& service, common::Term below,
    std::function<void(std::optional<ClosedTerm>)> done) {
  // The record is written even if nothing is to be opened: the store may have
  // executed a closing that had no answer.
  const RecordChange change = [service, below](PromotionLeaseRecord* changed) {
    const auto found = changed->closed_terms.find(service);
    if (found == changed->closed_terms.end()) return true;
    ClosedTerm& entry = found->second;
    if (entry.below <= below) return true;
    entry.below = below;
    entry.written = NextWritten(entry, changed->revision);
    return true;
  };
  this->WriteTerm(service, change, std::move(done));
}

void PromotionLease::NoteAcknowledged(const common::ServiceId& service,
                                      common::LogPosition acknowledged) {
  MergeClosedTerm(service, {0, {}, acknowledged}, &this->record.closed_terms);
}

void PromotionLease::WriteTerm(
    const common::ServiceId& service, const RecordChange& change,
    std::function<void(std::optional<ClosedTerm>)> done) {
  if (this->lost || this->users == 0) {
    done(std::nullopt);
    return;
  }
  this->Write(true, change,
              [this, service, done = std::move(done)](bool written) {
                if (!written) {
                  done(std::nullopt);
                  return;
                }
                const auto found = this->record.closed_terms.find(service);
                const bool exists = found != this->record.closed_terms.end();
                done(exists ? found->second : ClosedTerm{});
              });
}

}  // namespace camphorferry::session
