#ifndef CAMPHORFERRY_SESSION_CLOSING_CONVERSIONS_H_
#define CAMPHORFERRY_SESSION_CLOSING_CONVERSIONS_H_

#include "Session/closing_messages.h"
#include "Session/fleet_transport.h"
#include "fleet.grpc.pb.h"

namespace camphorferry::session {

/// Conversion between the messages about closed terms and their protocol
/// messages. Times are rounded so that a daemon never seems to know more than
/// it does: the age of knowledge up, the time for which it has watched down.
fleet::v1::CloseTermRequest ToMessage(const CloseTermRequest& request);
CloseTermRequest FromMessage(const fleet::v1::CloseTermRequest& message);
fleet::v1::CloseTermReply ToMessage(const CloseTermReply& reply);
CloseTermReply FromMessage(const fleet::v1::CloseTermReply& message);
fleet::v1::RecordKnowledge ToMessage(const RecordKnowledge& knowledge);
RecordKnowledge FromMessage(const fleet::v1::RecordKnowledge& message);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_CLOSING_CONVERSIONS_H_
