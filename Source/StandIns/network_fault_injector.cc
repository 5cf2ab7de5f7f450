#include "StandIns/network_fault_injector.h"

#include <utility>

namespace camphorferry::standins {

bool AnswerGate::NoteConnection(std::uint64_t connection_id) {
  // The server numbers connections in the order of their first requests.
  if (connection_id <= this->newest_connection) return false;
  this->newest_connection = connection_id;
  return true;
}

void AnswerGate::SetIsolated(bool isolated) {
  const bool ends = this->isolated && !isolated;
  this->isolated = isolated;
  if (!ends) return;
  for (const auto& responder : std::exchange(this->held, {})) {
    responder->CloseUnanswered();
  }
}

bool AnswerGate::IsSilent(std::uint64_t connection_id) const {
  return this->isolated || connection_id <= this->silent_up_to;
}

void AnswerGate::Hold(std::shared_ptr<connection::HttpResponder> responder) {
  this->held.push_back(std::move(responder));
}

void AnswerGate::Send(std::uint64_t connection_id,
                      std::shared_ptr<connection::HttpResponder> responder,
                      const connection::HttpResponse& response) {
  if (this->IsSilent(connection_id)) {
    this->Hold(std::move(responder));
    return;
  }
  responder->Send(response);
}

}  // namespace camphorferry::standins
