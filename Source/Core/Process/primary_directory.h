#ifndef CAMPHORFERRY_PROCESS_PRIMARY_DIRECTORY_H_
#define CAMPHORFERRY_PROCESS_PRIMARY_DIRECTORY_H_

#include <map>

#include "Connection/connection.h"

namespace camphorferry::process {

/// The primaries that this daemon believes in. It is soft state: an outdated
/// entry costs a retry, since the databases check the term themselves.
class PrimaryDirectory {
 public:
  /// Takes a hint; the one with the highest term is kept. True if the known
  /// primary changed.
  bool Learn(const common::ServiceId& service,
             const connection::PrimaryHint& hint);

  /// Drops a hint that led to an endpoint that did not answer, so that the
  /// next request asks another endpoint's owner.
  void Forget(const common::ServiceId& service,
              const connection::PrimaryHint& hint);

  /// The known primary; its endpoint is empty if there is none.
  connection::PrimaryHint Find(const common::ServiceId& service) const;

 private:
  std::map<common::ServiceId, connection::PrimaryHint> primaries;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_PRIMARY_DIRECTORY_H_
