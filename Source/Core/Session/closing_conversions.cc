#include "Session/closing_conversions.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "Session/statement_messages.h"

namespace camphorferry::session {

namespace {

std::uint64_t RoundedDown(common::Duration duration) {
  return static_cast<std::uint64_t>(
      common::ToMilliseconds(std::max(duration, common::Duration::zero()))
          .count());
}

/// Also covers a part of a millisecond.
std::uint64_t RoundedUp(common::Duration duration) {
  return RoundedDown(duration) + 1;
}

fleet::v1::ClosedTerm ClosedTermMessage(const common::ServiceId& service,
                                        const ClosedTerm& closed) {
  fleet::v1::ClosedTerm message;
  message.set_service(service.Value());
  message.set_below(closed.below);
  message.set_era(closed.written.era);
  message.set_revision(closed.written.number);
  *message.mutable_acknowledged() = ToMessage(closed.acknowledged);
  return message;
}

ClosedTerm ClosedTermOf(const fleet::v1::ClosedTerm& message) {
  return {message.below(),
          {message.era(), message.revision()},
          FromMessage(message.acknowledged())};
}

}  // namespace

fleet::v1::CloseTermRequest ToMessage(const CloseTermRequest& request) {
  fleet::v1::CloseTermRequest message;
  *message.mutable_closed() =
      ClosedTermMessage(request.service, request.closed);
  return message;
}

CloseTermRequest FromMessage(const fleet::v1::CloseTermRequest& message) {
  return {common::ServiceId(message.closed().service()),
          ClosedTermOf(message.closed())};
}

fleet::v1::CloseTermReply ToMessage(const CloseTermReply& reply) {
  fleet::v1::CloseTermReply message;
  *message.mutable_acknowledged() = ToMessage(reply.acknowledged);
  *message.mutable_acknowledged_end() = ToMessage(reply.acknowledged_end);
  message.set_running_ms(RoundedDown(reply.running));
  message.set_followed_ms(RoundedDown(reply.followed));
  message.set_is_first_process(reply.is_first_process);
  message.set_highest_term(reply.highest_term);
  *message.mutable_replica_end() = ToMessage(reply.replica_end);
  if (reply.primary.has_value()) {
    fleet::v1::PrimaryLogEnd* primary = message.mutable_primary();
    primary->set_endpoint(reply.primary->endpoint.Value());
    primary->set_term(reply.primary->term);
    *primary->mutable_end() = ToMessage(reply.primary->end);
    primary->set_age_ms(RoundedUp(reply.primary->age));
  }
  for (const FormerProcess& process : reply.former) {
    fleet::v1::FormerProcess* entry = message.add_former();
    entry->set_endpoint(process.endpoint.Value());
    entry->set_incarnation(process.incarnation);
    entry->set_age_ms(RoundedDown(process.age));
    entry->set_ended(process.ended);
  }
  return message;
}

CloseTermReply FromMessage(const fleet::v1::CloseTermReply& message) {
  CloseTermReply reply;
  reply.acknowledged = FromMessage(message.acknowledged());
  reply.acknowledged_end = FromMessage(message.acknowledged_end());
  reply.running = std::chrono::milliseconds(message.running_ms());
  reply.followed = std::chrono::milliseconds(message.followed_ms());
  reply.is_first_process = message.is_first_process();
  reply.highest_term = message.highest_term();
  reply.replica_end = FromMessage(message.replica_end());
  if (message.has_primary()) {
    const fleet::v1::PrimaryLogEnd& primary = message.primary();
    reply.primary = {common::EndpointId(primary.endpoint()), primary.term(),
                     FromMessage(primary.end()),
                     std::chrono::milliseconds(primary.age_ms())};
  }
  for (const auto& entry : message.former()) {
    reply.former.push_back(
        {common::EndpointId(entry.endpoint()), entry.incarnation(),
         std::chrono::milliseconds(entry.age_ms()), entry.ended()});
  }
  return reply;
}

fleet::v1::RecordKnowledge ToMessage(const RecordKnowledge& knowledge) {
  fleet::v1::RecordKnowledge message;
  message.set_age_ms(RoundedUp(knowledge.age));
  for (const auto& [service, closed] : knowledge.closed) {
    *message.add_closed() = ClosedTermMessage(service, closed);
  }
  return message;
}

RecordKnowledge FromMessage(const fleet::v1::RecordKnowledge& message) {
  RecordKnowledge knowledge;
  knowledge.age = std::chrono::milliseconds(message.age_ms());
  for (const auto& entry : message.closed()) {
    knowledge.closed[common::ServiceId(entry.service())] = ClosedTermOf(entry);
  }
  return knowledge;
}

}  // namespace camphorferry::session
