#include "Process/endpoint_directory.h"

namespace camphorferry::process {

namespace {

/// How long an endpoint that did not answer is tried last.
constexpr std::chrono::seconds kAvoidPeriod(1);

bool GaveNoAnswer(const request::Outcome& outcome) {
  if (std::holds_alternative<request::Unknown>(outcome)) return true;
  const auto* not_run = std::get_if<request::NotRun>(&outcome);
  return not_run != nullptr &&
         not_run->reason == request::NotRunReason::kEndpointUnreachable;
}

}  // namespace

void EndpointDirectory::Learn(const common::EndpointId& endpoint,
                              const connection::StatementReply& reply,
                              common::SteadyTime now) {
  Entry& entry = this->entries[endpoint];
  if (GaveNoAnswer(reply.outcome)) {
    entry.avoid_until = now + kAvoidPeriod;
    return;
  }
  const auto* done = std::get_if<request::Done>(&reply.outcome);
  if (done == nullptr) return;
  entry.position = done->position;
  entry.learned = now;
  entry.avoid_until = common::SteadyTime();
}

const EndpointDirectory::Entry& EndpointDirectory::Find(
    const common::EndpointId& endpoint) const {
  static const Entry kUnknown;
  const auto found = this->entries.find(endpoint);
  return found == this->entries.end() ? kUnknown : found->second;
}

}  // namespace camphorferry::process
