#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string_view>
#include <utility>

#include "Session/closing_conversions.h"
#include "Session/fleet_messages.h"
#include "Session/fleet_transport.h"
#include "Session/peer_clocks.h"
#include "Session/refusal_probe.h"
#include "Session/statement_messages.h"
#include "fleet.grpc.pb.h"

namespace camphorferry::session {

namespace {

/// Key of the metadata that states when a call expires, by its receiver's
/// clock.
constexpr char kExpiryKey[] = "expires";

/// When a call expires; none if its caller does not state it.
std::optional<ProcessTime> ExpiryOf(
    const grpc::CallbackServerContext& context) {
  const auto found = context.client_metadata().find(kExpiryKey);
  if (found == context.client_metadata().end()) return std::nullopt;
  return ParseProcessTime({found->second.data(), found->second.size()});
}

/// A number that earlier processes of this host do not have.
std::uint64_t NewProcessNumber() {
  return static_cast<std::uint64_t>(common::WallNow().time_since_epoch() /
                                    std::chrono::microseconds(1));
}

/// Largest number of peers with an open channel. Each channel takes about 70 KB
/// at both ends together.
constexpr std::size_t kMaxChannels = 80;

/// Whether a failed call may have reached the peer. gRPC fails a call that it
/// could not send, for want of a connection, with this message.
bool MayHaveBeenSent(const grpc::Status& status) {
  constexpr std::string_view kNotConnected = "failed to connect to all";
  // A peer of an earlier version does not know the call.
  if (status.error_code() == grpc::StatusCode::UNIMPLEMENTED) return false;
  return status.error_code() != grpc::StatusCode::UNAVAILABLE ||
         status.error_message().find(kNotConnected) == std::string::npos;
}

std::shared_ptr<grpc::Channel> NewChannel(const std::string& address) {
  // A peer that has restarted is reconnected within two exchanges.
  constexpr int kReconnectMs = 500;
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  // An answer may have several rows of 1 MiB.
  constexpr int kMaxReplyBytes = 16 * 1024 * 1024;
  arguments.SetInt(GRPC_ARG_MAX_RECEIVE_MESSAGE_LENGTH, kMaxReplyBytes);
  // Messages are far smaller than the flow-control windows, and each bandwidth
  // probe costs two frames.
  arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  // The kernel gives up a connection whose data is not acknowledged for this
  // long: longer than a few retransmissions between regions (40 ms), shorter
  // than clients are willing to wait. A keep-alive time is needed to switch it
  // on, and pings are of no use.
  constexpr int kUnacknowledgedMs = 800;
  constexpr int kNoPingsMs = 600'000;
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kNoPingsMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kUnacknowledgedMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kReconnectMs);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kReconnectMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kReconnectMs);
  return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(),
                                   arguments);
}

/// Serves peers' calls. gRPC's threads only post to the event loop. Calls that
/// the loop has not served when it ends are finished by Stop, because the gRPC
/// server waits for every call.
class FleetService : public fleet::v1::Fleet::CallbackService {
 public:
  /// The clocks must outlive the service.
  FleetService(connection::EventLoop* loop, FleetHandlers handlers,
               const OwnClock* own_clock, PeerClocks* peer_clocks)
      : loop(loop),
        handlers(std::move(handlers)),
        own_clock(own_clock),
        peer_clocks(peer_clocks) {}

  grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context,
                                     const fleet::v1::Report* request,
                                     fleet::v1::Report* reply) override {
    return this->ServeAtOnce(context, [this, request, reply] {
      const common::SteadyTime now = common::SteadyNow();
      this->peer_clocks->OnStated(request->peer_address(),
                                  FromMessage(request->clock()), now);
      *reply = ToMessage(this->handlers.exchange(FromMessage(*request)));
      *reply->mutable_clock() = ToMessage(this->own_clock->At(now));
    });
  }

  grpc::ServerUnaryReactor* Admit(grpc::CallbackServerContext* context,
                                  const fleet::v1::AdmissionRequest* request,
                                  fleet::v1::AdmissionReply* reply) override {
    return this->ServeAtOnce(context, [this, request, reply] {
      *reply = ToMessage(this->handlers.admit(FromMessage(*request)));
    });
  }

  grpc::ServerUnaryReactor* ReadDirectory(
      grpc::CallbackServerContext* context,
      const fleet::v1::DirectoryRequest* request,
      fleet::v1::DirectoryReply* reply) override {
    return this->ServeAtOnce(context, [this, request, reply] {
      *reply = ToMessage(this->handlers.read_directory(FromMessage(*request)));
    });
  }

  grpc::ServerUnaryReactor* RelayCommand(
      grpc::CallbackServerContext* context,
      const fleet::v1::RelayRequest* request,
      fleet::v1::RelayReply* reply) override {
    return this->Serve(context, [this, request, reply](const Finish& finish) {
      this->handlers.relay_command(
          FromMessage(*request),
          [reply, finish](const std::optional<EndpointStatus>& status) {
            finish([&] { *reply = ToMessage(status); });
          });
    });
  }

  grpc::ServerUnaryReactor* RunStatement(
      grpc::CallbackServerContext* context,
      const fleet::v1::StatementRequest* request,
      fleet::v1::StatementReply* reply) override {
    // Its handler refuses it if it has expired, in words that say that it has
    // not run.
    const auto serve = [this, context, request, reply](const Finish& finish) {
      // A paused daemon gets many calls at once that nobody waits for any more.
      if (context->IsCancelled()) {
        finish([] {});
        return;
      }
      ForwardedStatement statement = FromMessage(*request);
      statement.expires_at = this->LocalExpiryOf(*context);
      this->handlers.run_statement(
          statement, [this, context, reply, finish,
                      host = request->host()](const ForwardedResult& result) {
            finish([&] {
              *reply = ToMessage(result);
              // The caller will never know the number of the transaction.
              if (!context->IsCancelled() || result.transaction == 0) return;
              this->loop->Post([this, host, number = result.transaction] {
                this->handlers.end_transaction({common::HostId(host), number});
              });
            });
          });
    };
    return this->Start(context, serve);
  }

  grpc::ServerUnaryReactor* EndTransaction(
      grpc::CallbackServerContext* context,
      const fleet::v1::EndTransactionRequest* request,
      fleet::v1::EndTransactionReply* /*reply*/) override {
    return this->Serve(context, [this, request](const Finish& finish) {
      // May finish the call of the transaction's statement, so it must not run
      // while this call is being finished.
      this->handlers.end_transaction(FromMessage(*request));
      finish([] {});
    });
  }

  grpc::ServerUnaryReactor* ProveLeadership(
      grpc::CallbackServerContext* context,
      const fleet::v1::ProofRequest* request,
      fleet::v1::ProofReply* reply) override {
    return this->Serve(context, [this, request, reply](const Finish& finish) {
      this->handlers.prove_leadership(
          common::ServiceId(request->service()),
          [reply, finish](const std::optional<common::LogPosition>& position) {
            finish([&] { *reply = ToMessage(position); });
          });
    });
  }

  grpc::ServerUnaryReactor* CloseTerm(
      grpc::CallbackServerContext* context,
      const fleet::v1::CloseTermRequest* request,
      fleet::v1::CloseTermReply* reply) override {
    // An empty reply would say that the terms are closed.
    if (!this->handlers.close_term) {
      return fleet::v1::Fleet::CallbackService::CloseTerm(context, request,
                                                          reply);
    }
    return this->ServeAtOnce(context, [this, request, reply] {
      *reply = ToMessage(this->handlers.close_term(FromMessage(*request)));
    });
  }

  /// Refuses calls in progress and later ones.
  void Stop() {
    const std::scoped_lock lock(this->open_calls->mutex);
    this->open_calls->stopped = true;
    for (grpc::ServerUnaryReactor* reactor : this->open_calls->reactors) {
      reactor->Finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, ""));
    }
    this->open_calls->reactors.clear();
  }

 private:
  struct OpenCalls {
    std::mutex mutex;
    bool stopped = false;
    std::set<grpc::ServerUnaryReactor*> reactors;
  };

  /// Finishes a call with the reply that the given function writes, or without
  /// one if it is empty. Does nothing if the call has been refused meanwhile.
  using Finish = std::function<void(const std::function<void()>& write_reply)>;

  /// Has the event loop write the reply.
  grpc::ServerUnaryReactor* ServeAtOnce(grpc::CallbackServerContext* context,
                                        std::function<void()> write_reply) {
    return this->Serve(
        context, [write_reply = std::move(write_reply)](const Finish& finish) {
          finish(write_reply);
        });
  }

  /// When a call expires, by this process's clock; none if its caller does not
  /// state it.
  std::optional<common::SteadyTime> LocalExpiryOf(
      const grpc::CallbackServerContext& context) const {
    const std::optional<ProcessTime> stated = ExpiryOf(context);
    if (!stated.has_value()) return std::nullopt;
    return this->own_clock->FromPeer(*stated);
  }

  /// Has the event loop start the work of a call, which may finish it later,
  /// unless the call has expired.
  grpc::ServerUnaryReactor* Serve(grpc::CallbackServerContext* context,
                                  std::function<void(const Finish&)> start) {
    return this->Start(
        context, [expires_at = this->LocalExpiryOf(*context),
                  start = std::move(start)](const Finish& finish) {
          const common::SteadyTime now = common::SteadyNow();
          if (!expires_at.has_value() || now <= *expires_at) {
            start(finish);
            return;
          }
          common::Log(
              common::Subsystem::kConnection, common::LogLevel::kInfo,
              "peer_call_expired",
              {{"late_ms", common::ToMilliseconds(now - *expires_at).count()}});
          finish(nullptr);
        });
  }

  /// Has the event loop start the work of a call.
  grpc::ServerUnaryReactor* Start(grpc::CallbackServerContext* context,
                                  std::function<void(const Finish&)> start) {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    {
      const std::scoped_lock lock(this->open_calls->mutex);
      if (this->open_calls->stopped) {
        reactor->Finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, ""));
        return reactor;
      }
      this->open_calls->reactors.insert(reactor);
    }
    this->loop->Post(
        [calls = this->open_calls, reactor, start = std::move(start)] {
          {
            // The request is freed with a call that was refused.
            const std::scoped_lock lock(calls->mutex);
            if (calls->stopped) return;
          }
          start([calls, reactor](const std::function<void()>& write_reply) {
            const std::scoped_lock lock(calls->mutex);
            if (calls->stopped || calls->reactors.erase(reactor) == 0) return;
            if (write_reply == nullptr) {
              reactor->Finish(
                  grpc::Status(grpc::StatusCode::DEADLINE_EXCEEDED, ""));
              return;
            }
            write_reply();
            reactor->Finish(grpc::Status::OK);
          });
        });
    return reactor;
  }

  connection::EventLoop* loop;
  FleetHandlers handlers;
  const OwnClock* own_clock;
  PeerClocks* peer_clocks;
  std::shared_ptr<OpenCalls> open_calls = std::make_shared<OpenCalls>();
};

class GrpcFleetTransport : public FleetTransport {
 public:
  GrpcFleetTransport(connection::EventLoop* loop,
                     const connection::SocketAddress& listen,
                     FleetHandlers handlers)
      : loop(loop),
        service(loop, std::move(handlers), &this->own_clock,
                &this->peer_clocks) {
    grpc::ServerBuilder builder;
    // With a shared port, two daemons would answer each other's calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    int chosen_port = 0;
    builder.AddListeningPort(connection::ToString(listen),
                             grpc::InsecureServerCredentials(), &chosen_port);
    builder.RegisterService(&this->service);
    this->server = builder.BuildAndStart();
    if (this->server == nullptr || chosen_port == 0) {
      throw FleetListenError(listen);
    }
    this->port = static_cast<std::uint16_t>(chosen_port);
  }

  ~GrpcFleetTransport() override {
    *this->alive = false;
    this->service.Stop();
    this->server->Shutdown(common::WallNow());
    // gRPC's threads must not use the event loop after this.
    std::unique_lock lock(this->calls_mutex);
    for (grpc::ClientContext* context : this->calls) context->TryCancel();
    this->calls_ended.wait(lock, [this] { return this->calls.empty(); });
  }

  void Exchange(const std::string& address, const FleetReport& report,
                common::Duration timeout,
                std::function<void(std::optional<FleetReport>)> done) override {
    fleet::v1::Report message = ToMessage(report);
    *message.mutable_clock() =
        ToMessage(this->own_clock.At(common::SteadyNow()));
    this->CallWithStatus<fleet::v1::Report, fleet::v1::Report>(
        address, std::move(message), std::nullopt, timeout,
        [this, address, done = std::move(done)](
            const grpc::Status& status, const fleet::v1::Report& reply) {
          if (!status.ok()) {
            done(std::nullopt);
            return;
          }
          this->peer_clocks.OnStated(address, FromMessage(reply.clock()),
                                     common::SteadyNow());
          done(FromMessage(reply));
        },
        [](auto* calls, auto* state, auto ended) {
          calls->Exchange(&state->context, &state->request, &state->reply,
                          std::move(ended));
        });
  }

  void Admit(const std::string& address, const AdmissionRequest& request,
             common::Duration timeout,
             std::function<void(std::optional<AdmissionReply>)> done) override {
    this->Call<fleet::v1::AdmissionRequest, fleet::v1::AdmissionReply>(
        address, ToMessage(request), timeout, std::move(done),
        [](auto* calls, auto* state, auto ended) {
          calls->Admit(&state->context, &state->request, &state->reply,
                       std::move(ended));
        });
  }

  void ReadDirectory(
      const std::string& address, const DirectoryQuery& query,
      common::Duration timeout,
      std::function<void(std::optional<SharedDirectory>)> done) override {
    this->Call<fleet::v1::DirectoryRequest, fleet::v1::DirectoryReply>(
        address, ToMessage(query), timeout, std::move(done),
        [](auto* calls, auto* state, auto ended) {
          calls->ReadDirectory(&state->context, &state->request, &state->reply,
                               std::move(ended));
        });
  }

  void RelayCommand(const std::string& address, const CommandRelay& request,
                    common::Duration timeout, RelayCallback done) override {
    this->Call<fleet::v1::RelayRequest, fleet::v1::RelayReply>(
        address, ToMessage(request), timeout,
        std::function<void(std::optional<std::optional<EndpointStatus>>)>(
            [done = std::move(done)](const auto& reply) {
              done(reply.value_or(std::nullopt));
            }),
        [](auto* calls, auto* state, auto ended) {
          calls->RelayCommand(&state->context, &state->request, &state->reply,
                              std::move(ended));
        });
  }

  void RunStatement(
      const std::string& address, const ForwardedStatement& request,
      common::Duration timeout,
      std::function<void(const ForwardingResult&)> done) override {
    this->CallWithStatus<fleet::v1::StatementRequest,
                         fleet::v1::StatementReply>(
        address, ToMessage(request), this->Expiry(address, timeout), timeout,
        [done = std::move(done)](const grpc::Status& status,
                                 const fleet::v1::StatementReply& reply) {
          if (status.ok()) {
            done(FromMessage(reply));
          } else {
            done(OwnerSilent{MayHaveBeenSent(status)});
          }
        },
        [](auto* calls, auto* state, auto ended) {
          calls->RunStatement(&state->context, &state->request, &state->reply,
                              std::move(ended));
        });
  }

  void EndTransaction(const std::string& address, const TransactionEnd& request,
                      common::Duration timeout) override {
    this->CallWithStatus<fleet::v1::EndTransactionRequest,
                         fleet::v1::EndTransactionReply>(
        address, ToMessage(request), std::nullopt, timeout,
        [](const grpc::Status& /*status*/,
           const fleet::v1::EndTransactionReply& /*reply*/) {},
        [](auto* calls, auto* state, auto ended) {
          calls->EndTransaction(&state->context, &state->request, &state->reply,
                                std::move(ended));
        });
  }

  void ProveLeadership(const std::string& address,
                       const common::ServiceId& service,
                       common::Duration timeout, ProofCallback done) override {
    fleet::v1::ProofRequest request;
    request.set_service(service.Value());
    this->CallWithStatus<fleet::v1::ProofRequest, fleet::v1::ProofReply>(
        address, std::move(request), this->Expiry(address, timeout), timeout,
        [done = std::move(done)](const grpc::Status& status,
                                 const fleet::v1::ProofReply& reply) {
          done(status.ok() ? FromMessage(reply) : std::nullopt);
        },
        [](auto* calls, auto* state, auto ended) {
          calls->ProveLeadership(&state->context, &state->request,
                                 &state->reply, std::move(ended));
        });
  }

  void CloseTerm(const std::string& address, const CloseTermRequest& request,
                 common::Duration timeout,
                 std::function<void(const ClosingAnswer&)> done) override {
    this->CallWithStatus<fleet::v1::CloseTermRequest,
                         fleet::v1::CloseTermReply>(
        address, ToMessage(request), this->Expiry(address, timeout), timeout,
        [this, address, done = std::move(done)](
            const grpc::Status& status,
            const fleet::v1::CloseTermReply& reply) {
          if (status.ok()) {
            done(FromMessage(reply));
          } else {
            this->ProbeRefusal(address, done);
          }
        },
        [](auto* calls, auto* state, auto ended) {
          calls->CloseTerm(&state->context, &state->request, &state->reply,
                           std::move(ended));
        });
  }

  std::uint16_t Port() const override { return this->port; }

  void Disconnect(const std::string& address) override {
    this->channels.erase(address);
    this->peer_clocks.Forget(address);
  }

 private:
  struct PeerChannel {
    std::unique_ptr<fleet::v1::Fleet::Stub> stub;
    /// Rises with each use of any channel.
    std::uint64_t last_use = 0;
  };

  /// Closes the channel that has not been used for longest, if there are too
  /// many. A call in progress keeps its channel open.
  void CloseExcessChannels() {
    if (this->channels.size() <= kMaxChannels) return;
    this->channels.erase(
        std::min_element(this->channels.begin(), this->channels.end(),
                         [](const auto& one, const auto& other) {
                           return one.second.last_use < other.second.last_use;
                         }));
  }

  /// Finds out whether an address that gave no answer refuses connections. The
  /// status of a call does not tell: a channel that waits before it reconnects
  /// fails calls with the error of an earlier attempt.
  void ProbeRefusal(const std::string& address,
                    std::function<void(const ClosingAnswer&)> done) {
    const auto place = this->probes.emplace(this->probes.end());
    *place = std::make_unique<RefusalProbe>(
        this->loop, address,
        [this, place, done = std::move(done)](bool refused) {
          this->probes.erase(place);
          if (refused) {
            done(HostRefuses{});
          } else {
            done(HostSilent{});
          }
        });
  }

  /// When a call to a peer expires, by the peer's clock; none if the peer has
  /// not stated its time.
  std::optional<ProcessTime> Expiry(const std::string& address,
                                    common::Duration timeout) const {
    return this->peer_clocks.At(address, common::SteadyNow() + timeout);
  }

  /// Starts a call. The result is delivered by the event loop.
  template <typename Request, typename Reply, typename Result, typename Start>
  void Call(const std::string& address, Request request,
            common::Duration timeout,
            std::function<void(std::optional<Result>)> done, Start start) {
    this->CallWithStatus<Request, Reply>(
        address, std::move(request), this->Expiry(address, timeout), timeout,
        [done = std::move(done)](const grpc::Status& status,
                                 const Reply& reply) {
          done(status.ok() ? std::optional<Result>(FromMessage(reply))
                           : std::nullopt);
        },
        std::move(start));
  }

  /// Starts a call, which is not served after its expiry. The event loop
  /// delivers its status and the reply, which is valid only if the status is
  /// good.
  template <typename Request, typename Reply, typename Done, typename Start>
  void CallWithStatus(const std::string& address, Request request,
                      const std::optional<ProcessTime>& expiry,
                      common::Duration timeout, Done done, Start start) {
    PeerChannel& peer = this->channels[address];
    peer.last_use = ++this->uses;
    if (peer.stub == nullptr) {
      peer.stub = fleet::v1::Fleet::NewStub(NewChannel(address));
      this->CloseExcessChannels();
    }
    struct CallState {
      grpc::ClientContext context;
      Request request;
      Reply reply;
    };
    auto state = std::make_shared<CallState>();
    state->request = std::move(request);
    state->context.set_deadline(
        common::WallNow() +
        std::chrono::duration_cast<common::WallTime::duration>(timeout));
    if (expiry.has_value()) {
      state->context.AddMetadata(kExpiryKey, ToText(*expiry));
    }
    {
      const std::scoped_lock lock(this->calls_mutex);
      this->calls.insert(&state->context);
    }
    CallState* started = state.get();
    start(peer.stub->async(), started,
          [this, still_alive = this->alive, state = std::move(state),
           done = std::move(done)](const grpc::Status& status) mutable {
            grpc::ClientContext* ended = &state->context;
            // The event loop may release the context at once, so it must not be
            // listed any more when the lock is released.
            const std::scoped_lock lock(this->calls_mutex);
            // The context may hold the last reference to its channel. gRPC
            // joins its threads when the last channel is released, so this
            // thread must not release it.
            this->loop->Post([still_alive = std::move(still_alive),
                              state = std::move(state), done = std::move(done),
                              status] {
              if (*still_alive) done(status, state->reply);
            });
            this->calls.erase(ended);
            if (this->calls.empty()) this->calls_ended.notify_all();
          });
  }

  connection::EventLoop* loop;
  OwnClock own_clock{NewProcessNumber()};
  PeerClocks peer_clocks;
  FleetService service;
  std::unique_ptr<grpc::Server> server;
  std::uint16_t port = 0;
  std::map<std::string, PeerChannel> channels;
  std::uint64_t uses = 0;
  std::list<std::unique_ptr<RefusalProbe>> probes;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  std::mutex calls_mutex;
  std::condition_variable calls_ended;
  /// Outgoing calls that have not ended.
  std::set<grpc::ClientContext*> calls;
};

}  // namespace

FleetListenError::FleetListenError(const connection::SocketAddress& address)
    : Error("cannot listen for peers on " + connection::ToString(address)) {}

std::unique_ptr<FleetTransport> NewGrpcFleetTransport(
    connection::EventLoop* loop, const connection::SocketAddress& listen,
    FleetHandlers handlers) {
  return std::make_unique<GrpcFleetTransport>(loop, listen,
                                              std::move(handlers));
}

}  // namespace camphorferry::session
