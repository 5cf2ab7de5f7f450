#include "StandIns/network_fault_injector.h"

#include <utility>

namespace camphorferry::standins {

bool NetworkFaultInjector::RegisterConnection(std::uint64_t connection_id) {
  // The server numbers connections in ascending order of their first requests.
  if (connection_id <= this->newest_connection) return false;
  this->newest_connection = connection_id;
  return true;
}

void NetworkFaultInjector::SetIsolated(bool isolated) {
  const bool isolation_ended = this->isolated && !isolated;
  this->isolated = isolated;
  if (!isolation_ended) return;
  for (const auto& responder : std::exchange(this->held_responders, {})) {
    responder->CloseWithoutResponse();
  }
}

bool NetworkFaultInjector::IsSilent(std::uint64_t connection_id) const {
  return this->isolated || connection_id <= this->last_silenced_connection;
}

void NetworkFaultInjector::HoldUnanswered(
    std::shared_ptr<connection::HttpResponder> responder) {
  this->held_responders.push_back(std::move(responder));
}

void NetworkFaultInjector::Send(
    std::uint64_t connection_id,
    std::shared_ptr<connection::HttpResponder> responder,
    const connection::HttpResponse& response) {
  if (this->IsSilent(connection_id)) {
    this->HoldUnanswered(std::move(responder));
    return;
  }
  responder->Send(response);
}

}  // namespace camphorferry::standins
