#include "Session/fleet_messages.h"

#include <algorithm>
#include <utility>

#include "Session/closing_conversions.h"

namespace camphorferry::session {

namespace {

fleet::v1::MemberCommand ToMessage(MemberCommandKind kind) {
  switch (kind) {
    case MemberCommandKind::kStatus:
      return fleet::v1::STATUS;
    case MemberCommandKind::kStepDown:
      return fleet::v1::STEP_DOWN;
    case MemberCommandKind::kHold:
      return fleet::v1::HOLD;
    case MemberCommandKind::kResume:
      return fleet::v1::RESUME;
  }
  return fleet::v1::STATUS;
}

/// Commands that this daemon does not know are sent as a request for the
/// status.
MemberCommandKind FromMessage(fleet::v1::MemberCommand command) {
  switch (command) {
    case fleet::v1::STEP_DOWN:
      return MemberCommandKind::kStepDown;
    case fleet::v1::HOLD:
      return MemberCommandKind::kHold;
    case fleet::v1::RESUME:
      return MemberCommandKind::kResume;
    default:
      return MemberCommandKind::kStatus;
  }
}

}  // namespace

fleet::v1::Report ToMessage(const FleetReport& report) {
  fleet::v1::Report message;
  message.set_host(report.host.id.Value());
  message.set_peer_address(report.host.peer_address);
  message.set_failure_domain(report.host.domain.Value());
  message.set_millicores(report.host.millicores);
  for (const SharedProof& proof : report.proofs) {
    fleet::v1::LeadershipProof* entry = message.add_proofs();
    entry->set_service(proof.service.Value());
    entry->set_term(proof.position.term);
    entry->set_index(proof.position.index);
    // Rounded up, so that a proof never seems younger than it is.
    entry->set_age_ms(
        static_cast<std::uint32_t>(common::ToMilliseconds(proof.age).count()) +
        1);
  }
  message.set_configuration_version(report.configuration_version);
  message.set_store_era(report.store_era);
  message.set_stopping(report.stopping);
  message.set_fleet_size(static_cast<std::uint32_t>(report.fleet_size));
  message.set_misses_domain(report.misses_domain);
  for (const common::FailureDomainId& domain : report.evacuations.domains) {
    message.add_evacuated_domains(domain.Value());
  }
  message.set_evacuations_era(report.evacuations.as_of.era);
  message.set_evacuations_revision(report.evacuations.as_of.number);
  for (const DepartureNotice& notice : report.departures) {
    fleet::v1::Departure* entry = message.add_departures();
    entry->set_endpoint(notice.endpoint.Value());
    entry->set_incarnation(notice.incarnation);
    entry->set_age_ms(
        static_cast<std::uint64_t>(common::ToMilliseconds(notice.age).count()) +
        1);
  }
  if (report.record.has_value()) {
    *message.mutable_record() = ToMessage(*report.record);
  }
  return message;
}

FleetReport FromMessage(const fleet::v1::Report& message) {
  FleetReport report;
  report.host.id = common::HostId(message.host());
  report.host.peer_address = message.peer_address();
  report.host.domain = common::FailureDomainId(message.failure_domain());
  report.host.millicores = message.millicores();
  for (const auto& proof : message.proofs()) {
    report.proofs.push_back({common::ServiceId(proof.service()),
                             {proof.term(), proof.index()},
                             std::chrono::milliseconds(proof.age_ms())});
  }
  report.configuration_version = message.configuration_version();
  report.store_era = message.store_era();
  report.stopping = message.stopping();
  report.fleet_size = message.fleet_size();
  report.misses_domain = message.misses_domain();
  for (const std::string& domain : message.evacuated_domains()) {
    report.evacuations.domains.insert(common::FailureDomainId(domain));
  }
  report.evacuations.as_of = {message.evacuations_era(),
                              message.evacuations_revision()};
  for (const auto& entry : message.departures()) {
    report.departures.push_back({common::EndpointId(entry.endpoint()),
                                 entry.incarnation(),
                                 std::chrono::milliseconds(entry.age_ms())});
  }
  if (message.has_record()) report.record = FromMessage(message.record());
  return report;
}

fleet::v1::DirectoryRequest ToMessage(const DirectoryQuery& query) {
  fleet::v1::DirectoryRequest message;
  message.set_kind(query.kind == DirectoryKind::kMembers
                       ? fleet::v1::MEMBERS
                       : fleet::v1::CONFIGURATION);
  message.set_revision(query.revision.number);
  message.set_era(query.revision.era);
  message.set_version(query.version);
  return message;
}

DirectoryQuery FromMessage(const fleet::v1::DirectoryRequest& message) {
  return {message.kind() == fleet::v1::MEMBERS ? DirectoryKind::kMembers
                                               : DirectoryKind::kConfiguration,
          {message.era(), message.revision()},
          message.version()};
}

fleet::v1::DirectoryReply ToMessage(const SharedDirectory& shared) {
  fleet::v1::DirectoryReply message;
  message.set_revision(shared.revision.number);
  message.set_era(shared.revision.era);
  for (const SharedObject& object : shared.objects) {
    fleet::v1::DirectoryObject* entry = message.add_objects();
    entry->set_name(object.name);
    entry->set_revision(object.revision.number);
    if (object.document.has_value()) entry->set_document(*object.document);
  }
  return message;
}

SharedDirectory FromMessage(const fleet::v1::DirectoryReply& message) {
  SharedDirectory shared;
  shared.revision = {message.era(), message.revision()};
  for (const auto& entry : message.objects()) {
    SharedObject object{
        entry.name(), {message.era(), entry.revision()}, std::nullopt};
    if (entry.has_document()) object.document = entry.document();
    shared.objects.push_back(std::move(object));
  }
  return shared;
}

fleet::v1::AdmissionRequest ToMessage(const AdmissionRequest& request) {
  fleet::v1::AdmissionRequest message;
  message.set_host(request.requester.Value());
  message.set_workspace(request.workspace.Value());
  message.set_admitted_alone(request.admitted_alone);
  message.set_operations(request.operations);
  message.set_alone_rate(request.alone_rate);
  message.set_changed_owner(request.changed_owner);
  message.set_unanswered_ms(static_cast<std::uint32_t>(
      common::ToMilliseconds(request.unanswered).count()));
  return message;
}

AdmissionRequest FromMessage(const fleet::v1::AdmissionRequest& message) {
  // A peer of an earlier version asks for one operation at a time.
  return {common::HostId(message.host()),
          common::WorkspaceId(message.workspace()),
          message.admitted_alone(),
          std::max<std::uint32_t>(message.operations(), 1),
          message.alone_rate(),
          message.changed_owner(),
          std::chrono::milliseconds(message.unanswered_ms())};
}

fleet::v1::AdmissionReply ToMessage(const AdmissionReply& reply) {
  fleet::v1::AdmissionReply message;
  message.set_admitted(!reply.retry_after.has_value() && !reply.declined);
  message.set_admitted_operations(reply.admitted);
  message.set_declined(reply.declined);
  message.set_alone_rate(reply.alone_rate);
  if (reply.retry_after.has_value()) {
    message.set_retry_after_ms(static_cast<std::uint32_t>(
        common::ToMilliseconds(*reply.retry_after).count()));
  }
  return message;
}

AdmissionReply FromMessage(const fleet::v1::AdmissionReply& message) {
  AdmissionReply reply;
  reply.declined = message.declined();
  reply.alone_rate = message.alone_rate();
  reply.admitted = message.admitted_operations();
  if (message.admitted()) {
    // A peer of an earlier version states no number.
    reply.admitted = std::max<std::uint32_t>(reply.admitted, 1);
  } else {
    reply.retry_after = std::chrono::milliseconds(message.retry_after_ms());
  }
  return reply;
}

fleet::v1::RelayRequest ToMessage(const CommandRelay& request) {
  fleet::v1::RelayRequest message;
  message.set_service(request.service.Value());
  message.set_endpoint(request.endpoint.Value());
  message.set_command(ToMessage(request.command.kind));
  message.set_term(request.command.term);
  return message;
}

CommandRelay FromMessage(const fleet::v1::RelayRequest& message) {
  return {common::ServiceId(message.service()),
          common::EndpointId(message.endpoint()),
          {FromMessage(message.command()), message.term()}};
}

fleet::v1::RelayReply ToMessage(const std::optional<EndpointStatus>& status) {
  fleet::v1::RelayReply message;
  if (!status.has_value()) return message;
  message.set_answered(true);
  message.set_leads(status->role == GroupRole::kPrimary);
  message.set_term(status->term);
  message.set_received_term(status->received.term);
  message.set_received_index(status->received.index);
  message.set_held(status->held);
  return message;
}

std::optional<EndpointStatus> FromMessage(
    const fleet::v1::RelayReply& message) {
  if (!message.answered()) return std::nullopt;
  return EndpointStatus{
      message.leads() ? GroupRole::kPrimary : GroupRole::kReplica,
      message.term(),
      {message.received_term(), message.received_index()},
      message.held()};
}

fleet::v1::ProcessTime ToMessage(const ProcessTime& time) {
  fleet::v1::ProcessTime message;
  message.set_process(time.process);
  message.set_time_ms(time.time.count());
  return message;
}

ProcessTime FromMessage(const fleet::v1::ProcessTime& message) {
  return {message.process(), std::chrono::milliseconds(message.time_ms())};
}

}  // namespace camphorferry::session
