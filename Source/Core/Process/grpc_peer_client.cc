#include "Process/grpc_peer_client.h"

#include <algorithm>
#include <utility>

#include "Process/peer_codec.h"

namespace camphorferry::process {

namespace {

constexpr std::chrono::milliseconds kControlTimeout(500);
/// Added to a statement's deadline, so that the owner's own reply about a
/// passed deadline still arrives.
constexpr std::chrono::milliseconds kDeadlineMargin(50);

std::shared_ptr<grpc::Channel> NewChannel(const std::string& address) {
  grpc::ChannelArguments arguments;
  // A retry inside gRPC would hide that a statement may have been executed.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  constexpr int kMaxReconnectBackoffMs = 500;
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
  return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(),
                                   arguments);
}

}  // namespace

GrpcPeerClient::GrpcPeerClient(connection::EventLoop* loop, EventLog* events)
    : loop(loop), events(events) {}

GrpcPeerClient::~GrpcPeerClient() { *this->alive = false; }

void GrpcPeerClient::SetAddress(const common::HostId& peer,
                                const std::string& address) {
  Peer& entry = this->peers[peer];
  if (entry.address == address) return;
  entry.address = address;
  entry.stub = peer::v1::Peer::NewStub(NewChannel(address));
}

peer::v1::Peer::Stub* GrpcPeerClient::StubOf(const common::HostId& peer) {
  const auto found = this->peers.find(peer);
  return found == this->peers.end() ? nullptr : found->second.stub.get();
}

template <typename Request, typename Reply, typename Method>
void GrpcPeerClient::Call(const common::HostId& peer, Method method,
                          Request request, common::Duration timeout,
                          std::function<void(const Reply*)> done) {
  peer::v1::Peer::Stub* stub = this->StubOf(peer);
  if (stub == nullptr) {
    this->loop->Post([done = std::move(done)] { done(nullptr); });
    return;
  }
  struct CallState {
    grpc::ClientContext context;
    Request request;
    Reply reply;
    std::function<void(const Reply*)> done;
  };
  auto state = std::make_shared<CallState>();
  request.set_hybrid_time(this->events->Timestamp(common::WallNow()));
  state->request = std::move(request);
  state->done = std::move(done);
  state->context.set_deadline(
      common::WallNow() +
      std::chrono::duration_cast<std::chrono::system_clock::duration>(timeout));
  const auto finish = [state, client_alive = this->alive, loop = this->loop,
                       events = this->events](const grpc::Status& status) {
    const bool answered = status.ok();
    loop->Post([state, client_alive, events, answered] {
      if (!*client_alive) return;
      if (answered) events->MergeRemoteTime(state->reply.hybrid_time());
      state->done(answered ? &state->reply : nullptr);
    });
  };
  const Request* sent = &state->request;
  method(stub, &state->context, sent, &state->reply)(finish);
}

void GrpcPeerClient::Execute(
    const common::HostId& peer, const connection::StatementCall& call,
    common::SteadyTime now,
    std::function<void(connection::StatementReply)> done) {
  if (this->StubOf(peer) == nullptr) {
    this->loop->Post([done = std::move(done)] {
      done({request::NotRun{request::NotRunReason::kEndpointUnreachable,
                            std::nullopt},
            0});
    });
    return;
  }
  this->SendExecute(peer, call, now, std::move(done));
}

void GrpcPeerClient::SendExecute(
    const common::HostId& peer, const connection::StatementCall& call,
    common::SteadyTime now,
    std::function<void(connection::StatementReply)> done) {
  const auto method = [](peer::v1::Peer::Stub* stub, auto*... arguments) {
    return [=](auto finish) { stub->async()->Execute(arguments..., finish); };
  };
  this->Call<peer::v1::ExecuteRequest, peer::v1::ExecuteReply>(
      peer, method, ToMessage(call, now), call.deadline - now + kDeadlineMargin,
      [done = std::move(done)](const peer::v1::ExecuteReply* reply) {
        if (reply == nullptr) {
          done({request::Unknown{request::UnknownReason::kNoAnswer}, 0});
          return;
        }
        done(FromMessage(*reply));
      });
}

void GrpcPeerClient::Confirm(
    const common::HostId& peer, const common::EndpointId& endpoint,
    common::LogPosition position, common::Duration wait,
    std::function<void(connection::ConfirmReply)> done) {
  const auto method = [](peer::v1::Peer::Stub* stub, auto*... arguments) {
    return [=](auto finish) { stub->async()->Confirm(arguments..., finish); };
  };
  peer::v1::ConfirmRequest request;
  request.set_endpoint(endpoint.Value());
  ToMessage(position, request.mutable_position());
  request.set_wait_ms(common::ToMilliseconds(wait).count());
  this->Call<peer::v1::ConfirmRequest, peer::v1::ConfirmReply>(
      peer, method, std::move(request), wait + kControlTimeout,
      [done = std::move(done)](const peer::v1::ConfirmReply* reply) {
        done(reply == nullptr ? connection::ConfirmReply{}
                              : FromMessage(*reply));
      });
}

void GrpcPeerClient::Heartbeat(
    const common::HostId& peer, const HeartbeatExchange& heartbeat,
    std::function<void(std::optional<HeartbeatExchange>)> done) {
  const auto method = [](peer::v1::Peer::Stub* stub, auto*... arguments) {
    return [=](auto finish) { stub->async()->Heartbeat(arguments..., finish); };
  };
  this->Call<peer::v1::HeartbeatMessage, peer::v1::HeartbeatMessage>(
      peer, method, ToMessage(heartbeat), kControlTimeout,
      [done = std::move(done)](const peer::v1::HeartbeatMessage* reply) {
        if (reply == nullptr) {
          done(std::nullopt);
          return;
        }
        done(FromMessage(*reply));
      });
}

void GrpcPeerClient::PullConfiguration(
    const common::HostId& peer, std::uint64_t have_version,
    std::function<void(std::optional<PeerConfiguration>)> done) {
  const auto method = [](peer::v1::Peer::Stub* stub, auto*... arguments) {
    return [=](auto finish) {
      stub->async()->PullConfiguration(arguments..., finish);
    };
  };
  peer::v1::PullConfigurationRequest request;
  request.set_have_version(have_version);
  this->Call<peer::v1::PullConfigurationRequest,
             peer::v1::ConfigurationDocument>(
      peer, method, std::move(request), kControlTimeout,
      [done = std::move(done)](const peer::v1::ConfigurationDocument* reply) {
        if (reply == nullptr) {
          done(std::nullopt);
          return;
        }
        done(PeerConfiguration{reply->version(), reply->document()});
      });
}

void GrpcPeerClient::PushConfiguration(const common::HostId& peer,
                                       const PeerConfiguration& configuration) {
  const auto method = [](peer::v1::Peer::Stub* stub, auto*... arguments) {
    return [=](auto finish) {
      stub->async()->PushConfiguration(arguments..., finish);
    };
  };
  peer::v1::ConfigurationDocument request;
  request.set_version(configuration.version);
  request.set_document(configuration.document);
  this->Call<peer::v1::ConfigurationDocument, peer::v1::PushConfigurationReply>(
      peer, method, std::move(request), kControlTimeout,
      [](const peer::v1::PushConfigurationReply* /*reply*/) {});
}

void GrpcPeerClient::BorrowRate(
    const common::HostId& peer, const common::WorkspaceId& workspace,
    std::uint64_t wanted_millitokens,
    std::function<void(std::optional<PeerRateLoan>)> done) {
  const auto method = [](peer::v1::Peer::Stub* stub, auto*... arguments) {
    return
        [=](auto finish) { stub->async()->BorrowRate(arguments..., finish); };
  };
  peer::v1::BorrowRateRequest request;
  request.set_workspace(workspace.Value());
  request.set_wanted_millitokens(wanted_millitokens);
  this->Call<peer::v1::BorrowRateRequest, peer::v1::BorrowRateReply>(
      peer, method, std::move(request), kControlTimeout,
      [done = std::move(done)](const peer::v1::BorrowRateReply* reply) {
        if (reply == nullptr) {
          done(std::nullopt);
          return;
        }
        done(PeerRateLoan{reply->rate_millitokens_per_second(),
                          reply->capacity_millitokens(),
                          reply->level_millitokens(),
                          std::chrono::milliseconds(reply->loan_ms())});
      });
}

}  // namespace camphorferry::process
