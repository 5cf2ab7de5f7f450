#ifndef CAMPHORFERRY_SESSION_FLEET_MESSAGES_H_
#define CAMPHORFERRY_SESSION_FLEET_MESSAGES_H_

#include <optional>

#include "Session/fleet_transport.h"
#include "Session/peer_clocks.h"
#include "fleet.pb.h"

/// Conversions of the reports, requests and replies that daemons exchange,
/// apart from those of statements and closings.

namespace camphorferry::session {

fleet::v1::Report ToMessage(const FleetReport& report);
FleetReport FromMessage(const fleet::v1::Report& message);

fleet::v1::DirectoryRequest ToMessage(const DirectoryQuery& query);
DirectoryQuery FromMessage(const fleet::v1::DirectoryRequest& message);

fleet::v1::DirectoryReply ToMessage(const SharedDirectory& shared);
SharedDirectory FromMessage(const fleet::v1::DirectoryReply& message);

fleet::v1::AdmissionRequest ToMessage(const AdmissionRequest& request);
AdmissionRequest FromMessage(const fleet::v1::AdmissionRequest& message);

fleet::v1::AdmissionReply ToMessage(const AdmissionReply& reply);
AdmissionReply FromMessage(const fleet::v1::AdmissionReply& message);

fleet::v1::RelayRequest ToMessage(const CommandRelay& request);
CommandRelay FromMessage(const fleet::v1::RelayRequest& message);

/// The status of a member after a command; none if it gave no answer.
fleet::v1::RelayReply ToMessage(const std::optional<EndpointStatus>& status);
std::optional<EndpointStatus> FromMessage(const fleet::v1::RelayReply& message);

fleet::v1::ProcessTime ToMessage(const ProcessTime& time);
ProcessTime FromMessage(const fleet::v1::ProcessTime& message);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_FLEET_MESSAGES_H_
