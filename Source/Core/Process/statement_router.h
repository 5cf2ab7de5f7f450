#ifndef CAMPHORFERRY_PROCESS_STATEMENT_ROUTER_H_
#define CAMPHORFERRY_PROCESS_STATEMENT_ROUTER_H_

#include <functional>

#include "Process/endpoint_owner.h"
#include "Process/membership.h"
#include "Process/peer_client.h"
#include "Version/version.h"

namespace camphorferry::process {

/// Routes statements and confirm requests to the daemon that owns the
/// endpoint's connections, which may be this one.
class StatementRouter {
 public:
  StatementRouter(connection::EventLoop* loop, common::HostId self,
                  const Membership* membership, PeerClient* peers,
                  Counters* counters);

  /// Sets the handler of requests to endpoints owned by this daemon. To be
  /// called once at startup.
  void SetLocalOwner(EndpointOwner* owner) { this->local_owner = owner; }

  void SetConfiguration(const version::ConfigurationPointer& configuration);

  /// Executes a statement at the endpoint's owner. The callback is called once.
  void Execute(const connection::StatementCall& call,
               EndpointPool::Callback done);

  /// Asks whether an endpoint holds a log entry.
  void Confirm(const common::EndpointId& endpoint, common::LogPosition position,
               common::Duration wait, ConfirmBatcher::Callback done);

  /// Daemon that owns the endpoint's connections; empty if none is known.
  common::HostId OwnerOf(const common::EndpointId& endpoint) const;

 private:
  connection::EventLoop* loop;
  common::HostId self;
  const Membership* membership;
  PeerClient* peers;
  Counters* counters;
  EndpointOwner* local_owner = nullptr;
  std::map<common::EndpointId, common::FailureDomainId> endpoint_domains;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_STATEMENT_ROUTER_H_
