#include "Process/statement_router.h"

#include <utility>

namespace camphorferry::process {

StatementRouter::StatementRouter(connection::EventLoop* loop,
                                 common::HostId self,
                                 const Membership* membership,
                                 PeerClient* peers, Counters* counters)
    : loop(loop),
      self(std::move(self)),
      membership(membership),
      peers(peers),
      counters(counters) {}

void StatementRouter::SetConfiguration(
    const version::ConfigurationPointer& configuration) {
  this->endpoint_domains.clear();
  for (const auto& [id, service] : configuration->services) {
    for (const version::Endpoint& endpoint : service.endpoints) {
      this->endpoint_domains[endpoint.id] = endpoint.domain;
    }
  }
}

void StatementRouter::Execute(const connection::StatementCall& call,
                              EndpointPool::Callback done) {
  const common::HostId owner = this->OwnerOf(call.endpoint);
  if (owner.Empty()) {
    this->loop->Post([done = std::move(done)] {
      done({request::NotRun{request::NotRunReason::kEndpointUnreachable,
                            std::nullopt},
            0});
    });
    return;
  }
  if (owner == this->self) {
    this->counters->Add("statements_served_here");
    this->local_owner->Execute(call, std::move(done));
    return;
  }
  this->counters->Add("statements_forwarded");
  this->peers->Execute(owner, call, common::SteadyNow(), std::move(done));
}

void StatementRouter::Confirm(const common::EndpointId& endpoint,
                              common::LogPosition position,
                              common::Duration wait,
                              ConfirmBatcher::Callback done) {
  const common::HostId owner = this->OwnerOf(endpoint);
  if (owner.Empty()) {
    this->loop->Post(
        [done = std::move(done)] { done(connection::ConfirmReply{}); });
    return;
  }
  if (owner == this->self) {
    this->local_owner->Confirm(endpoint, position, wait, std::move(done));
    return;
  }
  this->counters->Add("confirms_forwarded");
  this->peers->Confirm(owner, endpoint, position, wait, std::move(done));
}

common::HostId StatementRouter::OwnerOf(
    const common::EndpointId& endpoint) const {
  const auto domain = this->endpoint_domains.find(endpoint);
  if (domain == this->endpoint_domains.end()) return common::HostId();
  return this->membership
      ->OwnerOf(endpoint, domain->second, common::SteadyNow())
      .value_or(common::HostId());
}

}  // namespace camphorferry::process
