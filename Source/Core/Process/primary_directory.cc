#include "Process/primary_directory.h"

namespace camphorferry::process {

bool PrimaryDirectory::Update(const common::ServiceId& service,
                              const connection::PrimaryHint& hint) {
  if (hint.endpoint.Empty()) return false;
  connection::PrimaryHint& known = this->primaries[service];
  const bool same_term = hint.term == known.term;
  if (hint.term < known.term || (same_term && !known.endpoint.Empty())) {
    return false;
  }
  known = hint;
  return true;
}

void PrimaryDirectory::Invalidate(const common::ServiceId& service,
                                  const connection::PrimaryHint& hint) {
  const auto found = this->primaries.find(service);
  if (found == this->primaries.end() || found->second.term > hint.term) return;
  // The term is kept, so that an older hint is not accepted again.
  found->second.endpoint = common::EndpointId();
}

connection::PrimaryHint PrimaryDirectory::Find(
    const common::ServiceId& service) const {
  const auto found = this->primaries.find(service);
  return found == this->primaries.end() ? connection::PrimaryHint{}
                                        : found->second;
}

}  // namespace camphorferry::process
