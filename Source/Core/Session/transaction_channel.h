#ifndef CAMPHORFERRY_SESSION_TRANSACTION_CHANNEL_H_
#define CAMPHORFERRY_SESSION_TRANSACTION_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <variant>

#include "Session/directory.h"
#include "Session/endpoint_channel.h"

namespace camphorferry::session {

/// A transaction that a connection owner keeps open on one of its channels for
/// this daemon.
struct ForwardedTransaction {
  FleetHost owner;
  common::EndpointId endpoint;
  /// Identifies the transaction at its owner.
  std::uint64_t number = 0;
  /// Asks the owner to roll the transaction back.
  std::function<void()> roll_back;
};

/// The channel of a session's open transaction; none if no transaction is open
/// at an endpoint.
using TransactionChannel =
    std::variant<std::monostate, std::shared_ptr<EndpointChannel>,
                 ForwardedTransaction>;

/// Whether there is a channel that can still carry statements.
bool IsUsable(const TransactionChannel& channel);

/// The endpoint of the transaction; empty if there is none.
common::EndpointId EndpointOf(const TransactionChannel& channel);

/// Rolls the transaction back, if there is one, and forgets the channel.
void RollBack(TransactionChannel* channel);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_TRANSACTION_CHANNEL_H_
