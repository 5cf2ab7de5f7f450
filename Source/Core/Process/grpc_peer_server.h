#ifndef CAMPHORFERRY_PROCESS_GRPC_PEER_SERVER_H_
#define CAMPHORFERRY_PROCESS_GRPC_PEER_SERVER_H_

#include <grpcpp/grpcpp.h>

#include <memory>

#include "Process/event_log.h"
#include "Process/peer_client.h"
#include "peer.grpc.pb.h"

namespace camphorferry::process {

/// The peer listener could not be opened.
class PeerListenError : public common::Error {
 public:
  explicit PeerListenError(const connection::SocketAddress& address);
};

/// gRPC server for the other daemons. Its threads hand each call to the event
/// loop, where the handler answers it.
class GrpcPeerServer {
 public:
  /// Throws PeerListenError.
  GrpcPeerServer(connection::EventLoop* loop,
                 const connection::SocketAddress& address, EventLog* events,
                 PeerHandler* handler);
  ~GrpcPeerServer();

  std::uint16_t Port() const { return this->port; }

  /// Rejects new calls and waits for the running ones, at most for the given
  /// time.
  void Shutdown(common::Duration grace);

 private:
  class Service;

  std::unique_ptr<Service> service;
  std::unique_ptr<grpc::Server> server;
  std::uint16_t port = 0;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_GRPC_PEER_SERVER_H_
