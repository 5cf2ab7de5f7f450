#include "Session/acknowledgement_gate.h"

#include <algorithm>

namespace camphorferry::session {

namespace {

/// Lowest end of a log that can have a commit that lies behind the first
/// position, exclusively, and up to the second one, whose term it has.
common::LogPosition LowestEndOfCommit(common::LogPosition after,
                                      common::LogPosition end) {
  if (after.term == end.term) {
    return std::min(common::LogPosition{end.term, after.index + 1}, end);
  }
  return std::min(common::LogPosition{end.term, 1}, end);
}

}  // namespace

void AcknowledgementGate::OnRegistered(common::SteadyTime now) {
  this->registered = now;
}

void AcknowledgementGate::OnRecord(const ClosedTerms& closed,
                                   common::SteadyTime requested) {
  MergeClosedTerms(closed, &this->closed);
  this->requested = std::max(this->requested.value_or(requested), requested);
}

void AcknowledgementGate::OnClosed(const common::ServiceId& service,
                                   const ClosedTerm& closed) {
  MergeClosedTerm(service, closed, &this->closed);
}

AcknowledgementVerdict AcknowledgementGate::Check(
    const common::ServiceId& service, common::Term term,
    common::SteadyTime now) const {
  const auto entry = this->closed.find(service);
  if (entry != this->closed.end() && term < entry->second.below) {
    return AcknowledgementVerdict::kWithhold;
  }
  return this->KnownSince(now).has_value() ? AcknowledgementVerdict::kPass
                                           : AcknowledgementVerdict::kConfirm;
}

void AcknowledgementGate::OnTold(const common::ServiceId& service,
                                 common::LogPosition after,
                                 common::LogPosition end) {
  Told& told = this->told[service];
  told.acknowledged =
      std::max(told.acknowledged, LowestEndOfCommit(after, end));
  told.end = std::max(told.end, end);
}

common::LogPosition AcknowledgementGate::Acknowledged(
    const common::ServiceId& service) const {
  common::LogPosition acknowledged;
  const auto told = this->told.find(service);
  if (told != this->told.end()) acknowledged = told->second.acknowledged;
  const auto entry = this->closed.find(service);
  if (entry == this->closed.end()) return acknowledged;
  return std::max(acknowledged, entry->second.acknowledged);
}

common::LogPosition AcknowledgementGate::AcknowledgedEnd(
    const common::ServiceId& service) const {
  const auto told = this->told.find(service);
  return told == this->told.end() ? common::LogPosition{} : told->second.end;
}

ClosedTerms AcknowledgementGate::Closed() const {
  ClosedTerms known = this->closed;
  for (const auto& [service, told] : this->told) {
    MergeClosedTerm(service, {0, {}, told.acknowledged}, &known);
  }
  return known;
}

std::optional<common::SteadyTime> AcknowledgementGate::KnownSince(
    common::SteadyTime now) const {
  if (!this->requested.has_value() || !this->registered.has_value()) {
    return std::nullopt;
  }
  // Only times are compared: the difference of two may overflow. A request
  // after `now` would stay valid for too long, so it does not count.
  const common::SteadyTime oldest =
      std::max(now, common::SteadyTime::min() + kRecordValidity) -
      kRecordValidity;
  const bool counts = *this->requested > *this->registered &&
                      *this->requested > oldest && *this->requested <= now;
  return counts ? this->requested : std::nullopt;
}

}  // namespace camphorferry::session
