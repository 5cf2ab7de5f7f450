#include "tcp_relay.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <string>
#include <utility>
#include <vector>

namespace camphorferry::soak {

namespace {

constexpr int kBacklog = 256;
/// One-way delay of a delayed link, like that of a slow path between two
/// regions.
constexpr std::chrono::milliseconds kLinkDelay(120);

/// Time after which the relay closes a connection whose end could not cross a
/// cut link, as databases do with unresponsive peers.
constexpr std::chrono::milliseconds kUnresponsivePeerTimeout(3000);

}  // namespace

/// One relayed connection.
struct TcpRelay::RelayedConnection {
  TcpRelay* relay = nullptr;
  bufferevent* client = nullptr;
  bufferevent* target = nullptr;
  /// True once bytes have been dropped in this direction: all later bytes must
  /// be dropped too, or the stream would be corrupt.
  bool dropping_forward = false;
  bool dropping_backward = false;
  /// Ends that were reached while the link was held.
  bool held_end_of_client = false;
  bool held_end_of_target = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  ~RelayedConnection() {
    *this->alive = false;
    if (this->client != nullptr) bufferevent_free(this->client);
    if (this->target != nullptr) bufferevent_free(this->target);
  }
};

TcpRelay::TcpRelay(connection::EventLoop* loop,
                   connection::SocketAddress target)
    : TcpRelay(loop, std::move(target), {"127.0.0.1", 0}) {}

TcpRelay::TcpRelay(connection::EventLoop* loop,
                   connection::SocketAddress target,
                   connection::SocketAddress listen)
    : loop(loop), target(std::move(target)), own(std::move(listen)) {
  sockaddr_in address = connection::ToSockaddrIn(this->own);
  this->listener = evconnlistener_new_bind(
      loop->Base(), OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      kBacklog, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (this->listener == nullptr) {
    throw connection::ListenError(this->own);
  }
  this->own.port = connection::LocalPort(evconnlistener_get_fd(this->listener));
}

TcpRelay::~TcpRelay() {
  *this->alive = false;
  this->relayed_connections.clear();
  evconnlistener_free(this->listener);
}

connection::SocketAddress TcpRelay::Address() const { return this->own; }

void TcpRelay::SetState(LinkState changed) {
  const LinkState before = std::exchange(this->state, changed);
  if (changed == LinkState::kDown) this->ResetAll();
  if (before == LinkState::kHeld && changed != before) this->DeliverHeld();
}

void TcpRelay::DeliverHeld() {
  std::vector<RelayedConnection*> waiting;
  for (const auto& [raw, relayed] : this->relayed_connections) {
    waiting.push_back(raw);
  }
  for (RelayedConnection* relayed : waiting) {
    if (relayed->held_end_of_client || relayed->held_end_of_target) {
      this->End(relayed, relayed->held_end_of_client);
    } else {
      this->Forward(relayed, true);
      this->Forward(relayed, false);
    }
  }
}

void TcpRelay::ResetAll() {
  for (const auto& [raw, relayed] : this->relayed_connections) {
    const linger reset{1, 0};
    setsockopt(bufferevent_getfd(relayed->client), SOL_SOCKET, SO_LINGER,
               &reset, sizeof(reset));
  }
  this->relayed_connections.clear();
}

void TcpRelay::OnAccept(evconnlistener* /*listener*/, int socket,
                        sockaddr* /*address*/, int /*length*/, void* context) {
  auto* relay = static_cast<TcpRelay*>(context);
  if (relay->state == LinkState::kDown) {
    evutil_closesocket(socket);
    return;
  }
  ++relay->accepted;
  auto relayed = std::make_unique<RelayedConnection>();
  RelayedConnection* raw = relayed.get();
  raw->relay = relay;
  raw->client = bufferevent_socket_new(relay->loop->Base(), socket,
                                       BEV_OPT_CLOSE_ON_FREE);
  raw->target =
      bufferevent_socket_new(relay->loop->Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  sockaddr_in address = connection::ToSockaddrIn(relay->target);
  relay->relayed_connections[raw] = std::move(relayed);
  for (bufferevent* end : {raw->client, raw->target}) {
    bufferevent_setcb(end, OnReadable, nullptr, OnEvent, raw);
    bufferevent_enable(end, EV_READ | EV_WRITE);
  }
  bufferevent_socket_connect(raw->target, reinterpret_cast<sockaddr*>(&address),
                             sizeof(address));
}

void TcpRelay::OnReadable(bufferevent* from, void* context) {
  auto* relayed = static_cast<RelayedConnection*>(context);
  relayed->relay->Forward(relayed, from == relayed->client);
}

void TcpRelay::Forward(RelayedConnection* relayed, bool forward) {
  if (this->state == LinkState::kHeld) return;
  const bool cut = this->state == LinkState::kSilent ||
                   this->state == (forward ? LinkState::kCutForward
                                           : LinkState::kCutBackward);
  bool& dropping =
      forward ? relayed->dropping_forward : relayed->dropping_backward;
  dropping = dropping || cut;
  bufferevent* from = forward ? relayed->client : relayed->target;
  evbuffer* input = bufferevent_get_input(from);
  if (dropping) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  bufferevent* to = forward ? relayed->target : relayed->client;
  const Replacement& text =
      forward ? this->replaced_forward : this->replaced_backward;
  const bool delayed = this->state == LinkState::kDelayed;
  if (!delayed && text.from.empty()) {
    bufferevent_write_buffer(to, input);
    return;
  }
  const std::string bytes = TakeReplaced(input, text);
  if (!delayed) {
    bufferevent_write(to, bytes.data(), bytes.size());
    return;
  }
  this->loop->RunLater(kLinkDelay, [to, relayed_alive = relayed->alive, bytes] {
    if (*relayed_alive) bufferevent_write(to, bytes.data(), bytes.size());
  });
}

std::string TcpRelay::TakeReplaced(evbuffer* input, const Replacement& text) {
  // The text may have arrived in part. Shorter parts are passed on, since the
  // bytes after them may not come soon.
  constexpr std::size_t kMinPart = 4;
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, bytes.data(), bytes.size());
  for (std::size_t part = text.from.size(); part > kMinPart; --part) {
    if (!bytes.ends_with(text.from.substr(0, part - 1))) continue;
    bytes.resize(bytes.size() - (part - 1));
    break;
  }
  evbuffer_drain(input, bytes.size());
  if (text.from.empty()) return bytes;
  for (std::size_t found = bytes.find(text.from); found != std::string::npos;
       found = bytes.find(text.from, found + text.to.size())) {
    bytes.replace(found, text.from.size(), text.to);
  }
  return bytes;
}

void TcpRelay::OnEvent(bufferevent* from, short what, void* context) {
  if ((what & BEV_EVENT_CONNECTED) != 0) return;
  auto* relayed = static_cast<RelayedConnection*>(context);
  relayed->relay->End(relayed, from == relayed->client);
}

void TcpRelay::End(RelayedConnection* relayed, bool by_client) {
  if (this->state == LinkState::kHeld) {
    (by_client ? relayed->held_end_of_client : relayed->held_end_of_target) =
        true;
    return;
  }
  // Forwards the bytes that arrived before the end of the connection.
  this->Forward(relayed, by_client);
  const bool end_is_dropped =
      by_client ? relayed->dropping_forward : relayed->dropping_backward;
  if (end_is_dropped) {
    // The end of a connection doesn't cross a cut link. The other side notices
    // only by its timeout.
    this->loop->RunLater(kUnresponsivePeerTimeout,
                         [this, relayed, relayed_alive = relayed->alive] {
                           if (*relayed_alive) this->Close(relayed);
                         });
    return;
  }
  bufferevent* other = by_client ? relayed->target : relayed->client;
  if (evbuffer_get_length(bufferevent_get_output(other)) == 0) {
    this->Close(relayed);
    return;
  }
  constexpr std::chrono::milliseconds kFlushDelay(50);
  this->loop->RunLater(kFlushDelay,
                       [this, relayed, relayed_alive = relayed->alive] {
                         if (*relayed_alive) this->Close(relayed);
                       });
}

void TcpRelay::Close(RelayedConnection* relayed) {
  const auto found = this->relayed_connections.find(relayed);
  if (found == this->relayed_connections.end()) return;
  // Deferred, because libevent may still execute a callback of this connection.
  this->loop->Post([deferred = std::shared_ptr<RelayedConnection>(
                        std::move(found->second))] {});
  this->relayed_connections.erase(found);
}

}  // namespace camphorferry::soak
