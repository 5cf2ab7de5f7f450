#ifndef CAMPHORFERRY_SESSION_EVACUATIONS_H_
#define CAMPHORFERRY_SESSION_EVACUATIONS_H_

#include <set>

#include "Session/directory.h"

namespace camphorferry::session {

/// The failure domains that are to be evacuated, as they were at a revision of
/// the store. Daemons that watch the store with a lag take them over from the
/// reports of others.
struct Evacuations {
  std::set<common::FailureDomainId> domains;
  StoreRevision as_of;

  /// Takes over a state if it is at least as late. Returns whether the domains
  /// have changed.
  bool Update(const Evacuations& other);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_EVACUATIONS_H_
