#ifndef CAMPHORFERRY_PROCESS_PRIMARY_DIRECTORY_H_
#define CAMPHORFERRY_PROCESS_PRIMARY_DIRECTORY_H_

#include <map>

#include "Connection/connection.h"

namespace camphorferry::process {

/// Primary of each service as last known to this daemon. An outdated entry
/// costs a retry, since the databases check the term themselves.
class PrimaryDirectory {
 public:
  /// Updates a service's primary; the hint with the highest term wins. Returns
  /// true if the known primary changed.
  bool Update(const common::ServiceId& service,
              const connection::PrimaryHint& hint);

  /// Removes a hint that led to an unresponsive endpoint, so that the next
  /// request asks another endpoint's owner.
  void Invalidate(const common::ServiceId& service,
                  const connection::PrimaryHint& hint);

  /// The known primary; its endpoint is empty if none is known.
  connection::PrimaryHint Find(const common::ServiceId& service) const;

 private:
  std::map<common::ServiceId, connection::PrimaryHint> primaries;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_PRIMARY_DIRECTORY_H_
