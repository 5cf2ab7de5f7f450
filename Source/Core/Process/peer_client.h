#ifndef CAMPHORFERRY_PROCESS_PEER_CLIENT_H_
#define CAMPHORFERRY_PROCESS_PEER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "Common/common.h"
#include "Connection/connection.h"
#include "Process/membership.h"

namespace camphorferry::process {

/// A heartbeat with the sender's configuration version.
struct HeartbeatExchange {
  PeerHeartbeat heartbeat;
  std::uint64_t configuration_version = 0;
};

/// A configuration document sent between daemons.
struct PeerConfiguration {
  std::uint64_t version = 0;
  /// JSON text; empty if the receiver is already up to date.
  std::string document;
};

/// Part of a workspace's rate lent for a limited time, in millitokens (per
/// second).
struct PeerRateLoan {
  std::uint64_t rate = 0;
  std::uint64_t capacity = 0;
  std::uint64_t level = 0;
  common::Duration duration = common::Duration::zero();
};

/// RPC client for calls to the other daemons. Callbacks are called once, from
/// the event loop; an empty optional means that no response arrived.
class PeerClient {
 public:
  virtual ~PeerClient() = default;

  /// Executes a statement at the owner of the endpoint's connections.
  virtual void Execute(
      const common::HostId& peer, const connection::StatementCall& call,
      common::SteadyTime now,
      std::function<void(connection::StatementReply)> done) = 0;

  virtual void Confirm(const common::HostId& peer,
                       const common::EndpointId& endpoint,
                       common::LogPosition position, common::Duration wait,
                       std::function<void(connection::ConfirmReply)> done) = 0;

  virtual void Heartbeat(
      const common::HostId& peer, const HeartbeatExchange& heartbeat,
      std::function<void(std::optional<HeartbeatExchange>)> done) = 0;

  virtual void PullConfiguration(
      const common::HostId& peer, std::uint64_t have_version,
      std::function<void(std::optional<PeerConfiguration>)> done) = 0;

  virtual void PushConfiguration(const common::HostId& peer,
                                 const PeerConfiguration& configuration) = 0;

  virtual void BorrowRate(
      const common::HostId& peer, const common::WorkspaceId& workspace,
      std::uint64_t wanted_millitokens,
      std::function<void(std::optional<PeerRateLoan>)> done) = 0;
};

/// Handles the calls of other daemons. Its functions are called from the event
/// loop.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;

  virtual void OnExecute(
      connection::StatementCall call,
      std::function<void(connection::StatementReply)> done) = 0;
  virtual void OnConfirm(
      const common::EndpointId& endpoint, common::LogPosition position,
      common::Duration wait,
      std::function<void(connection::ConfirmReply)> done) = 0;
  virtual HeartbeatExchange OnHeartbeat(const HeartbeatExchange& heartbeat) = 0;
  virtual PeerConfiguration OnPullConfiguration(std::uint64_t have_version) = 0;
  virtual std::uint64_t OnPushConfiguration(
      const PeerConfiguration& configuration) = 0;
  virtual PeerRateLoan OnBorrowRate(const common::WorkspaceId& workspace,
                                    std::uint64_t wanted_millitokens) = 0;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_PEER_CLIENT_H_
