#include "Session/closed_term.h"

#include <algorithm>

namespace camphorferry::session {

void MergeClosedTerm(const common::ServiceId& service, const ClosedTerm& other,
                     ClosedTerms* known) {
  ClosedTerm& entry = (*known)[service];
  const common::LogPosition acknowledged =
      std::max(entry.acknowledged, other.acknowledged);
  if (other.written > entry.written) entry = other;
  entry.acknowledged = acknowledged;
}

void MergeClosedTerms(const ClosedTerms& other, ClosedTerms* known) {
  for (const auto& [service, entry] : other) {
    MergeClosedTerm(service, entry, known);
  }
}

}  // namespace camphorferry::session
