#include "tcp_relay.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <string>
#include <utility>

namespace camphorferry::soak {

namespace {

constexpr int kBacklog = 256;
/// Delay of a delayed link; a slow path between two regions.
constexpr std::chrono::milliseconds kDelay(120);

/// Databases drop a connection whose far end is dark after this time.
constexpr std::chrono::milliseconds kDarkDropped(3000);

}  // namespace

/// One relayed connection.
struct LinkRelay::Pair {
  LinkRelay* relay = nullptr;
  bufferevent* caller = nullptr;
  bufferevent* target = nullptr;
  /// Bytes were lost in a direction, so nothing may follow them.
  bool mute_forward = false;
  bool mute_backward = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  ~Pair() {
    *this->alive = false;
    if (this->caller != nullptr) bufferevent_free(this->caller);
    if (this->target != nullptr) bufferevent_free(this->target);
  }
};

LinkRelay::LinkRelay(connection::EventLoop* loop,
                     connection::SocketAddress target)
    : loop(loop), target(std::move(target)) {
  sockaddr_in address = connection::ToSystemAddress({"127.0.0.1", 0});
  this->listener = evconnlistener_new_bind(
      loop->Base(), OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      kBacklog, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (this->listener == nullptr) {
    throw connection::ListenError({"127.0.0.1", 0});
  }
  this->port = connection::LocalPort(evconnlistener_get_fd(this->listener));
}

LinkRelay::~LinkRelay() {
  *this->alive = false;
  this->pairs.clear();
  evconnlistener_free(this->listener);
}

connection::SocketAddress LinkRelay::Address() const {
  return {"127.0.0.1", this->port};
}

void LinkRelay::SetState(LinkState changed) {
  this->state = changed;
  if (changed == LinkState::kDown) this->ResetAll();
}

void LinkRelay::ResetAll() {
  for (const auto& [raw, pair] : this->pairs) {
    const linger reset{1, 0};
    setsockopt(bufferevent_getfd(pair->caller), SOL_SOCKET, SO_LINGER, &reset,
               sizeof(reset));
  }
  this->pairs.clear();
}

void LinkRelay::OnAccept(evconnlistener* /*listener*/, int socket,
                         sockaddr* /*address*/, int /*length*/, void* context) {
  auto* relay = static_cast<LinkRelay*>(context);
  if (relay->state == LinkState::kDown) {
    evutil_closesocket(socket);
    return;
  }
  auto pair = std::make_unique<Pair>();
  Pair* raw = pair.get();
  raw->relay = relay;
  raw->caller = bufferevent_socket_new(relay->loop->Base(), socket,
                                       BEV_OPT_CLOSE_ON_FREE);
  raw->target =
      bufferevent_socket_new(relay->loop->Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  sockaddr_in address = connection::ToSystemAddress(relay->target);
  relay->pairs[raw] = std::move(pair);
  for (bufferevent* end : {raw->caller, raw->target}) {
    bufferevent_setcb(end, OnReadable, nullptr, OnEvent, raw);
    bufferevent_enable(end, EV_READ | EV_WRITE);
  }
  bufferevent_socket_connect(raw->target, reinterpret_cast<sockaddr*>(&address),
                             sizeof(address));
}

void LinkRelay::OnReadable(bufferevent* from, void* context) {
  auto* pair = static_cast<Pair*>(context);
  pair->relay->Pass(pair, from == pair->caller);
}

void LinkRelay::Pass(Pair* pair, bool forward) {
  const bool cut = this->state == LinkState::kSilent ||
                   this->state == (forward ? LinkState::kCutForward
                                           : LinkState::kCutBackward);
  bool& mute = forward ? pair->mute_forward : pair->mute_backward;
  mute = mute || cut;
  bufferevent* from = forward ? pair->caller : pair->target;
  evbuffer* input = bufferevent_get_input(from);
  if (mute) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  if (this->state != LinkState::kDelayed) {
    bufferevent_write_buffer(forward ? pair->target : pair->caller, input);
    return;
  }
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  this->loop->RunLater(
      kDelay, [pair, pair_alive = pair->alive, forward, bytes] {
        if (!*pair_alive) return;
        bufferevent_write(forward ? pair->target : pair->caller, bytes.data(),
                          bytes.size());
      });
}

void LinkRelay::OnEvent(bufferevent* from, short what, void* context) {
  if ((what & BEV_EVENT_CONNECTED) != 0) return;
  auto* pair = static_cast<Pair*>(context);
  LinkRelay* relay = pair->relay;
  // What arrived before the end is passed on first.
  relay->Pass(pair, from == pair->caller);
  const bool unnoticed =
      from == pair->caller ? pair->mute_forward : pair->mute_backward;
  if (unnoticed) {
    // The end of a connection does not cross a cut link; the other side drops
    // it after a while.
    relay->loop->RunLater(kDarkDropped,
                          [relay, pair, pair_alive = pair->alive] {
                            if (*pair_alive) relay->Drop(pair);
                          });
    return;
  }
  bufferevent* other = from == pair->caller ? pair->target : pair->caller;
  if (evbuffer_get_length(bufferevent_get_output(other)) == 0) {
    relay->Drop(pair);
    return;
  }
  constexpr std::chrono::milliseconds kFlush(50);
  relay->loop->RunLater(kFlush, [relay, pair, pair_alive = pair->alive] {
    if (*pair_alive) relay->Drop(pair);
  });
}

void LinkRelay::Drop(Pair* pair) {
  const auto found = this->pairs.find(pair);
  if (found == this->pairs.end()) return;
  // Libevent may still be inside a callback of the pair.
  this->loop->Post([keep = std::shared_ptr<Pair>(std::move(found->second))] {});
  this->pairs.erase(found);
}

}  // namespace camphorferry::soak
