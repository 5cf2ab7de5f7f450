#ifndef CAMPHORFERRY_SESSION_CLOSED_TERM_H_
#define CAMPHORFERRY_SESSION_CLOSED_TERM_H_

#include <map>

#include "Common/common.h"
#include "Session/store_revision.h"

namespace camphorferry::session {

/// Up to which term the acknowledgements of a service have ended. Commits of
/// earlier terms are not acknowledged to clients any more.
struct ClosedTerm {
  /// The first term that is not closed; 0 if none is closed.
  common::Term below = 0;
  /// Revision of the lease record that the entry was written upon. Rises with
  /// every change of the entry.
  StoreRevision written;
  /// A member that is behind this position lacks a commit of which a client has
  /// been told.
  common::LogPosition acknowledged;

  bool operator==(const ClosedTerm&) const = default;
};

using ClosedTerms = std::map<common::ServiceId, ClosedTerm>;

/// Merges the entry of a service into those that are known. Of two entries the
/// one that was written later counts, with the higher acknowledged position of
/// both.
void MergeClosedTerm(const common::ServiceId& service, const ClosedTerm& other,
                     ClosedTerms* known);

/// Merges all entries.
void MergeClosedTerms(const ClosedTerms& other, ClosedTerms* known);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_CLOSED_TERM_H_
