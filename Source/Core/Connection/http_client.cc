#include "Connection/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <utility>

namespace camphorferry::connection {

namespace {

/// TCP keep-alive settings: a connection to a peer that acknowledges nothing
/// for three seconds is closed, also while a request waits for minutes at a
/// server.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveMaxProbes = 2;

/// Longest pause within a response, which a server sends without a wait.
constexpr std::chrono::milliseconds kMaxResponsePause(1000);
/// Longest time in which a response may arrive, however slowly.
constexpr std::chrono::seconds kMaxResponseTime(30);

/// Makes the kernel detect a peer that disappeared without closing the
/// connection. Errors are ignored because every request has a timeout as well.
void EnableTcpKeepAlive(evhttp_connection* connection) {
  const int socket =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  if (socket < 0) return;
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds,
             sizeof(kKeepAliveIdleSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds,
             sizeof(kKeepAliveIntervalSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveMaxProbes,
             sizeof(kKeepAliveMaxProbes));
}

/// Makes the kernel discard what the peer has not acknowledged when the socket
/// is closed or the timeout has passed.
void DiscardUnsentBytes(evhttp_connection* connection,
                        common::Duration timeout) {
  const int socket =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  if (socket < 0) return;
  const linger reset{1, 0};
  const auto limit =
      static_cast<unsigned>(common::ToMilliseconds(timeout).count());
  if (setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)) != 0 ||
      setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
                 sizeof(limit)) != 0) {
    common::Log(common::Subsystem::kConnection, common::LogLevel::kWarning,
                "socket_option_failed", {{"error", errno}});
  }
}

evhttp_cmd_type MethodType(const std::string& method) {
  if (method == "POST") return EVHTTP_REQ_POST;
  if (method == "PUT") return EVHTTP_REQ_PUT;
  if (method == "DELETE") return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_GET;
}

std::string EncodeTarget(const HttpRequest& request) {
  std::string target = request.path;
  char separator = '?';
  for (const auto& [name, value] : request.query) {
    target.push_back(separator);
    separator = '&';
    char* encoded = evhttp_uriencode(value.data(),
                                     static_cast<ev_ssize_t>(value.size()), 0);
    target += name + "=" + encoded;
    free(encoded);
  }
  return target;
}

HttpResponse ConvertResponse(evhttp_request* request) {
  HttpResponse response;
  response.status = evhttp_request_get_response_code(request);
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  for (const evkeyval* entry = headers->tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    std::string name = entry->key;
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) {
                     return static_cast<char>(std::tolower(letter));
                   });
    response.headers[name] = entry->value;
  }
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  response.body.resize(evbuffer_get_length(buffer));
  evbuffer_remove(buffer, response.body.data(), response.body.size());
  const auto connection = response.headers.find("connection");
  response.close =
      connection != response.headers.end() && connection->second == "close";
  return response;
}

}  // namespace

struct HttpClientConnection::State
    : std::enable_shared_from_this<HttpClientConnection::State> {
  State(EventLoop* loop, SocketAddress address, UnsentBytes unsent)
      : loop(loop), address(std::move(address)), unsent(unsent) {}
  ~State() { this->Close(); }

  /// Completes the pending request with a response, a failure or a timeout.
  /// Does nothing if it was already completed.
  void Finish(HttpResult result) {
    if (!this->callback) return;
    const Callback finished = std::exchange(this->callback, nullptr);
    this->timeout.reset();
    finished(std::move(result));
  }

  /// Frees the libevent connection. Must not be called from within a libevent
  /// callback of this connection.
  void Close() {
    this->usable = false;
    if (this->connection == nullptr) return;
    evhttp_connection* closing = std::exchange(this->connection, nullptr);
    evhttp_connection_free(closing);
    // Libevent frees a pending request without calling its callback.
    delete std::exchange(this->context, nullptr);
  }

  /// Fails the request if nothing has arrived since the last check.
  void CheckProgress(common::Duration pause) {
    const bool progress = std::exchange(this->received, false);
    if (progress && common::SteadyNow() < this->give_up_at) {
      this->StartTimeout(pause);
      return;
    }
    this->CloseLater();
    this->Finish(HttpFailure::kNoAnswer);
  }

  void StartTimeout(common::Duration pause) {
    this->timeout =
        this->loop->After(pause, [weak = this->weak_from_this(), pause] {
          const std::shared_ptr<State> state = weak.lock();
          if (state != nullptr) state->CheckProgress(pause);
        });
  }

  static void OnInput(evbuffer* /*buffer*/, const evbuffer_cb_info* info,
                      void* context) {
    if (info->n_added > 0) static_cast<State*>(context)->OnReceived();
  }

  void OnReceived() {
    this->received = true;
    if (std::exchange(this->response_begun, true)) return;
    if (!this->callback) return;
    // The rest must not take as long as a long poll may take to begin.
    this->StartTimeout(this->response_pause);
  }

  void CloseLater() {
    this->usable = false;
    // The connection is closed when the posted action is destroyed, because a
    // loop that is destroyed discards its queued actions without running them.
    const std::shared_ptr<void> closer(
        nullptr, [self = this->shared_from_this()](void*) { self->Close(); });
    this->loop->Post([closer] {});
  }

  EventLoop* loop;
  SocketAddress address;
  UnsentBytes unsent;
  evhttp_connection* connection = nullptr;
  Callback callback;
  /// Owned by the pending request; keeps this object alive until libevent has
  /// called back.
  std::shared_ptr<State>* context = nullptr;
  std::unique_ptr<Timer> timeout;
  /// Longest pause after the response has begun.
  common::Duration response_pause = common::Duration::zero();
  bool response_begun = false;
  /// Bytes have arrived since the timeout was started.
  bool received = false;
  common::SteadyTime give_up_at;
  bool usable = true;
};

HttpClientConnection::HttpClientConnection(EventLoop* loop,
                                           SocketAddress address,
                                           UnsentBytes unsent)
    : state(std::make_shared<State>(loop, std::move(address), unsent)) {
  this->state->connection = evhttp_connection_base_new(
      loop->Base(), nullptr, this->state->address.ip.c_str(),
      this->state->address.port);
  evbuffer_add_cb(bufferevent_get_input(evhttp_connection_get_bufferevent(
                      this->state->connection)),
                  State::OnInput, this->state.get());
}

HttpClientConnection::~HttpClientConnection() {
  this->state->callback = nullptr;
  this->state->timeout.reset();
  this->state->CloseLater();
}

void HttpClientConnection::Send(const HttpRequest& request,
                                common::Duration timeout, Callback callback) {
  this->state->callback = std::move(callback);
  // The context outlives this object because libevent may still call back
  // while the connection is being closed.
  auto* context = new std::shared_ptr<State>(this->state);
  this->state->context = context;
  evhttp_request* outgoing = evhttp_request_new(
      [](evhttp_request* answered, void* raw) {
        const std::unique_ptr<std::shared_ptr<State>> owner(
            static_cast<std::shared_ptr<State>*>(raw));
        State& state = **owner;
        state.context = nullptr;
        if (answered == nullptr) {
          state.CloseLater();
          state.Finish(HttpFailure::kNoAnswer);
          return;
        }
        if (evhttp_request_get_response_code(answered) == 0) {
          // Libevent reports a failed connect as a response with status 0.
          state.CloseLater();
          state.Finish(HttpFailure::kNotSent);
          return;
        }
        HttpResponse response = ConvertResponse(answered);
        if (response.close) state.CloseLater();
        state.Finish(std::move(response));
      },
      context);
  evkeyvalq* headers = evhttp_request_get_output_headers(outgoing);
  evhttp_add_header(headers, "Host", this->state->address.ip.c_str());
  for (const auto& [name, value] : request.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer* body = evhttp_request_get_output_buffer(outgoing);
  evbuffer_add(body, request.body.data(), request.body.size());
  this->state->received = false;
  this->state->response_begun = false;
  this->state->response_pause =
      std::min<common::Duration>(timeout, kMaxResponsePause);
  this->state->give_up_at = common::SteadyNow() + timeout + kMaxResponseTime;
  this->state->StartTimeout(timeout);
  evhttp_make_request(this->state->connection, outgoing,
                      MethodType(request.method),
                      EncodeTarget(request).c_str());
  // Libevent creates the socket only when the first request is made.
  if (this->state->connection == nullptr) return;
  EnableTcpKeepAlive(this->state->connection);
  if (this->state->unsent == UnsentBytes::kDiscard) {
    DiscardUnsentBytes(this->state->connection, timeout);
  }
}

bool HttpClientConnection::Busy() const {
  return static_cast<bool>(this->state->callback);
}

bool HttpClientConnection::Usable() const { return this->state->usable; }

void SendHttpOnce(EventLoop* loop, const SocketAddress& address,
                  const HttpRequest& request, common::Duration timeout,
                  HttpClientConnection::Callback callback) {
  auto connection = std::make_shared<HttpClientConnection>(loop, address);
  HttpClientConnection* sender = connection.get();
  sender->Send(
      request, timeout,
      [connection = std::move(connection), callback = std::move(callback)](
          HttpResult result) { callback(std::move(result)); });
}

HttpResult SendHttpBlocking(const SocketAddress& address,
                            const HttpRequest& request,
                            common::Duration timeout) {
  EventLoop loop;
  HttpResult outcome = HttpFailure::kNotSent;
  {
    HttpClientConnection connection(&loop, address);
    connection.Send(request, timeout, [&](HttpResult result) {
      outcome = std::move(result);
      loop.Stop();
    });
    loop.Run();
  }
  return outcome;
}

}  // namespace camphorferry::connection
