#ifndef CAMPHORFERRY_SESSION_STATEMENT_FORWARDING_H_
#define CAMPHORFERRY_SESSION_STATEMENT_FORWARDING_H_

#include <functional>
#include <optional>
#include <string>

#include "Session/fleet_transport.h"

namespace camphorferry::session {

/// What a group needs to have its statements run by the daemons that own the
/// connections to its members.
struct StatementForwarding {
  /// The peer that owns a caller's connections to a member; none if this daemon
  /// opens them itself.
  std::function<std::optional<FleetHost>(const std::string& caller,
                                         const GroupMember& member)>
      connection_owner;
  std::function<void(const FleetHost& owner, ForwardedStatement request,
                     common::Duration timeout,
                     std::function<void(const ForwardingResult&)> done)>
      run_statement;
  std::function<void(const FleetHost& owner, std::uint64_t transaction)>
      end_transaction;
  /// The peer that proves who leads the service of a primary; none if this
  /// daemon asks the members itself.
  std::function<std::optional<FleetHost>(const GroupMember& primary)> prover;
  std::function<void(const FleetHost& prover, const common::ServiceId& service,
                     ProofCallback done)>
      prove_leadership;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_STATEMENT_FORWARDING_H_
