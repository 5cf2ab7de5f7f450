#ifndef CAMPHORFERRY_SESSION_STATEMENT_MESSAGES_H_
#define CAMPHORFERRY_SESSION_STATEMENT_MESSAGES_H_

#include <optional>

#include "Session/fleet_transport.h"
#include "fleet.grpc.pb.h"

namespace camphorferry::session {

/// Conversion between log positions and their protocol messages.
fleet::v1::Position ToMessage(const common::LogPosition& position);
common::LogPosition FromMessage(const fleet::v1::Position& message);

/// Conversion between forwarded statements and their protocol messages.
fleet::v1::StatementRequest ToMessage(const ForwardedStatement& request);
ForwardedStatement FromMessage(const fleet::v1::StatementRequest& message);
fleet::v1::StatementReply ToMessage(const ForwardedResult& result);
ForwardedResult FromMessage(const fleet::v1::StatementReply& message);
fleet::v1::EndTransactionRequest ToMessage(const TransactionEnd& request);
TransactionEnd FromMessage(const fleet::v1::EndTransactionRequest& message);
fleet::v1::ProofReply ToMessage(
    const std::optional<common::LogPosition>& position);
std::optional<common::LogPosition> FromMessage(
    const fleet::v1::ProofReply& message);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_STATEMENT_MESSAGES_H_
