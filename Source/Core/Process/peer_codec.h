#ifndef CAMPHORFERRY_PROCESS_PEER_CODEC_H_
#define CAMPHORFERRY_PROCESS_PEER_CODEC_H_

#include "Process/peer_client.h"
#include "peer.pb.h"

namespace camphorferry::process {

/// Conversions between the messages of the peer protocol and the types of
/// PeerClient. Deadlines are sent as remaining time, since the steady clocks of
/// two hosts cannot be compared.
peer::v1::ExecuteRequest ToMessage(const connection::StatementCall& call,
                                   common::SteadyTime now);
connection::StatementCall FromMessage(const peer::v1::ExecuteRequest& message,
                                      common::SteadyTime now);

peer::v1::ExecuteReply ToMessage(const connection::StatementReply& reply);
connection::StatementReply FromMessage(const peer::v1::ExecuteReply& message);

peer::v1::ConfirmReply ToMessage(const connection::ConfirmReply& reply);
connection::ConfirmReply FromMessage(const peer::v1::ConfirmReply& message);

peer::v1::HeartbeatMessage ToMessage(const HeartbeatExchange& exchange);
HeartbeatExchange FromMessage(const peer::v1::HeartbeatMessage& message);

void ToMessage(common::LogPosition position, peer::v1::LogPosition* message);
common::LogPosition FromMessage(const peer::v1::LogPosition& message);

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_PEER_CODEC_H_
