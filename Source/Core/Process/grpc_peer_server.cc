#include "Process/grpc_peer_server.h"

#include <utility>

#include "Process/peer_codec.h"

namespace camphorferry::process {

PeerListenError::PeerListenError(const connection::SocketAddress& address)
    : Error("cannot listen for peers on " + connection::ToString(address)) {}

/// Posts gRPC's callbacks, which run on gRPC's own threads, to the event loop.
class GrpcPeerServer::Service : public peer::v1::Peer::CallbackService {
 public:
  Service(connection::EventLoop* loop, EventLog* events, PeerHandler* handler)
      : loop(loop), events(events), handler(handler) {}

  grpc::ServerUnaryReactor* Execute(grpc::CallbackServerContext* context,
                                    const peer::v1::ExecuteRequest* request,
                                    peer::v1::ExecuteReply* reply) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    this->loop->Post([this, request, reply, reactor] {
      this->events->MergeRemoteTime(request->hybrid_time());
      this->handler->OnExecute(
          FromMessage(*request, common::SteadyNow()),
          [this, reply,
           reactor](const connection::StatementReply& statement_reply) {
            *reply = ToMessage(statement_reply);
            this->Finish(reply, reactor);
          });
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* Confirm(grpc::CallbackServerContext* context,
                                    const peer::v1::ConfirmRequest* request,
                                    peer::v1::ConfirmReply* reply) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    this->loop->Post([this, request, reply, reactor] {
      this->events->MergeRemoteTime(request->hybrid_time());
      this->handler->OnConfirm(
          common::EndpointId(request->endpoint()),
          FromMessage(request->position()),
          std::chrono::milliseconds(request->wait_ms()),
          [this, reply,
           reactor](const connection::ConfirmReply& confirm_reply) {
            *reply = ToMessage(confirm_reply);
            this->Finish(reply, reactor);
          });
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* Heartbeat(
      grpc::CallbackServerContext* context,
      const peer::v1::HeartbeatMessage* request,
      peer::v1::HeartbeatMessage* reply) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    this->loop->Post([this, request, reply, reactor] {
      this->events->MergeRemoteTime(request->hybrid_time());
      *reply = ToMessage(this->handler->OnHeartbeat(FromMessage(*request)));
      this->Finish(reply, reactor);
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* PullConfiguration(
      grpc::CallbackServerContext* context,
      const peer::v1::PullConfigurationRequest* request,
      peer::v1::ConfigurationDocument* reply) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    this->loop->Post([this, request, reply, reactor] {
      this->events->MergeRemoteTime(request->hybrid_time());
      const PeerConfiguration configuration =
          this->handler->OnPullConfiguration(request->have_version());
      reply->set_version(configuration.version);
      reply->set_document(configuration.document);
      this->Finish(reply, reactor);
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* PushConfiguration(
      grpc::CallbackServerContext* context,
      const peer::v1::ConfigurationDocument* request,
      peer::v1::PushConfigurationReply* reply) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    this->loop->Post([this, request, reply, reactor] {
      this->events->MergeRemoteTime(request->hybrid_time());
      reply->set_version(this->handler->OnPushConfiguration(
          {request->version(), request->document()}));
      this->Finish(reply, reactor);
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* BorrowRate(
      grpc::CallbackServerContext* context,
      const peer::v1::BorrowRateRequest* request,
      peer::v1::BorrowRateReply* reply) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    this->loop->Post([this, request, reply, reactor] {
      this->events->MergeRemoteTime(request->hybrid_time());
      const PeerRateLoan loan =
          this->handler->OnBorrowRate(common::WorkspaceId(request->workspace()),
                                      request->wanted_millitokens());
      reply->set_rate_millitokens_per_second(loan.rate);
      reply->set_capacity_millitokens(loan.capacity);
      reply->set_level_millitokens(loan.level);
      reply->set_loan_ms(common::ToMilliseconds(loan.duration).count());
      this->Finish(reply, reactor);
    });
    return reactor;
  }

 private:
  template <typename Reply>
  void Finish(Reply* reply, grpc::ServerUnaryReactor* reactor) {
    reply->set_hybrid_time(this->events->Timestamp(common::WallNow()));
    reactor->Finish(grpc::Status::OK);
  }

  connection::EventLoop* loop;
  EventLog* events;
  PeerHandler* handler;
};

GrpcPeerServer::GrpcPeerServer(connection::EventLoop* loop,
                               const connection::SocketAddress& address,
                               EventLog* events, PeerHandler* handler)
    : service(std::make_unique<Service>(loop, events, handler)) {
  grpc::ServerBuilder builder;
  int chosen_port = 0;
  // Port sharing is disabled: two daemons on one port would answer each other's
  // calls.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(connection::ToString(address),
                           grpc::InsecureServerCredentials(), &chosen_port);
  builder.RegisterService(this->service.get());
  this->server = builder.BuildAndStart();
  if (this->server == nullptr || chosen_port == 0) {
    throw PeerListenError(address);
  }
  this->port = static_cast<std::uint16_t>(chosen_port);
}

GrpcPeerServer::~GrpcPeerServer() { this->Shutdown(common::Duration::zero()); }

void GrpcPeerServer::Shutdown(common::Duration grace) {
  if (this->server == nullptr) return;
  this->server->Shutdown(
      common::WallNow() +
      std::chrono::duration_cast<std::chrono::system_clock::duration>(grace));
  this->server.reset();
}

}  // namespace camphorferry::process
