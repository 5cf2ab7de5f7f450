#ifndef CAMPHORFERRY_PROCESS_GRPC_PEER_CLIENT_H_
#define CAMPHORFERRY_PROCESS_GRPC_PEER_CLIENT_H_

#include <grpcpp/grpcpp.h>

#include <map>
#include <memory>
#include <string>

#include "Process/event_log.h"
#include "Process/peer_client.h"
#include "peer.grpc.pb.h"

namespace camphorferry::process {

/// PeerClient over gRPC. gRPC's threads only post the responses to the event
/// loop.
class GrpcPeerClient : public PeerClient {
 public:
  /// The event log provides the hybrid timestamps that messages carry.
  GrpcPeerClient(connection::EventLoop* loop, EventLog* events);
  ~GrpcPeerClient() override;

  /// Sets the address of a peer. A changed address replaces the channel.
  void SetAddress(const common::HostId& peer, const std::string& address);

  void Execute(const common::HostId& peer,
               const connection::StatementCall& call, common::SteadyTime now,
               std::function<void(connection::StatementReply)> done) override;
  void Confirm(const common::HostId& peer, const common::EndpointId& endpoint,
               common::LogPosition position, common::Duration wait,
               std::function<void(connection::ConfirmReply)> done) override;
  void Heartbeat(
      const common::HostId& peer, const HeartbeatExchange& heartbeat,
      std::function<void(std::optional<HeartbeatExchange>)> done) override;
  void PullConfiguration(
      const common::HostId& peer, std::uint64_t have_version,
      std::function<void(std::optional<PeerConfiguration>)> done) override;
  void PushConfiguration(const common::HostId& peer,
                         const PeerConfiguration& configuration) override;
  void BorrowRate(
      const common::HostId& peer, const common::WorkspaceId& workspace,
      std::uint64_t wanted_millitokens,
      std::function<void(std::optional<PeerRateLoan>)> done) override;

 private:
  struct Peer {
    std::string address;
    std::unique_ptr<peer::v1::Peer::Stub> stub;
  };

  peer::v1::Peer::Stub* StubOf(const common::HostId& peer);
  void SendExecute(const common::HostId& peer,
                   const connection::StatementCall& call,
                   common::SteadyTime now,
                   std::function<void(connection::StatementReply)> done);

  template <typename Request, typename Reply, typename Method>
  void Call(const common::HostId& peer, Method method, Request request,
            common::Duration timeout, std::function<void(const Reply*)> done);

  connection::EventLoop* loop;
  EventLog* events;
  std::map<common::HostId, Peer> peers;
  /// Set to false when the client is destroyed, so that late responses are
  /// dropped.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_GRPC_PEER_CLIENT_H_
