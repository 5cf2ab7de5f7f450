#include "Process/endpoint_directory.h"

namespace camphorferry::process {

namespace {

/// An endpoint that did not respond is tried last for this long.
constexpr std::chrono::seconds kAvoidPeriod(1);

bool IsUnanswered(const request::Outcome& outcome) {
  if (std::holds_alternative<request::Unknown>(outcome)) return true;
  const auto* not_run = std::get_if<request::NotRun>(&outcome);
  return not_run != nullptr &&
         not_run->reason == request::NotRunReason::kEndpointUnreachable;
}

}  // namespace

void EndpointDirectory::Update(const common::EndpointId& endpoint,
                               const connection::StatementReply& reply,
                               common::SteadyTime now) {
  Entry& entry = this->entries[endpoint];
  if (IsUnanswered(reply.outcome)) {
    entry.avoid_until = now + kAvoidPeriod;
    return;
  }
  const auto* done = std::get_if<request::Done>(&reply.outcome);
  if (done == nullptr) return;
  entry.position = done->position;
  entry.updated_at = now;
  entry.avoid_until = common::SteadyTime();
}

const EndpointDirectory::Entry& EndpointDirectory::Find(
    const common::EndpointId& endpoint) const {
  static const Entry kUnknown;
  const auto found = this->entries.find(endpoint);
  return found == this->entries.end() ? kUnknown : found->second;
}

}  // namespace camphorferry::process
