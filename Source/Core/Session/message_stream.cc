#include "Session/message_stream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <memory>
#include <utility>

namespace camphorferry::session {

namespace {

/// How long a closing stream waits for the peer to read its last bytes. A peer
/// that does not read must not occupy memory for longer.
constexpr std::chrono::milliseconds kCloseTimeout(1000);

}  // namespace

MessageStream::MessageStream(connection::EventLoop* loop, int socket)
    : loop(loop) {
  evutil_make_socket_nonblocking(socket);
  this->handle =
      bufferevent_socket_new(loop->Base(), socket, BEV_OPT_CLOSE_ON_FREE);
  this->Configure();
}

MessageStream::MessageStream(connection::EventLoop* loop,
                             const connection::SocketAddress& address)
    : loop(loop) {
  this->handle =
      bufferevent_socket_new(loop->Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  sockaddr_in target = connection::ToSockaddrIn(address);
  // A connect that fails immediately is reported by an event as well.
  bufferevent_socket_connect(this->handle, reinterpret_cast<sockaddr*>(&target),
                             sizeof(target));
  this->Configure();
}

MessageStream::~MessageStream() { this->Close(); }

void MessageStream::Configure() {
  const int socket = bufferevent_getfd(this->handle);
  const int on = 1;
  if (socket >= 0) {
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
}

void MessageStream::Start(StreamEvents stream_events) {
  if (this->handle == nullptr) return;
  this->events = std::make_shared<StreamEvents>(std::move(stream_events));
  bufferevent_setcb(this->handle, OnReadable, OnWritten, OnEvent, this);
  // One byte above the limit lets Deliver detect an oversized message.
  constexpr std::size_t kTerminatorBytes = 2;
  bufferevent_setwatermark(this->handle, EV_READ, 0,
                           kMaxMessageBytes + kTerminatorBytes + 1);
  bufferevent_enable(this->handle, EV_READ | EV_WRITE);
}

void MessageStream::Send(std::string_view bytes) {
  if (this->handle == nullptr || this->closing) return;
  bufferevent_write(this->handle, bytes.data(), bytes.size());
}

void MessageStream::SetPaused(bool now_paused) {
  this->paused = now_paused;
  if (!now_paused && !this->delivering && this->handle != nullptr &&
      evbuffer_get_length(bufferevent_get_input(this->handle)) > 0) {
    this->loop->Post([weak = this->weak_from_this()] {
      if (const auto stream = weak.lock()) stream->Deliver();
    });
  }
}

void MessageStream::Close() {
  if (this->handle == nullptr) return;
  bufferevent_free(std::exchange(this->handle, nullptr));
  this->events.reset();
  this->close_timer.reset();
  this->when_sent = nullptr;
  if (this->self != nullptr) {
    // This may be the last reference, so the event loop drops it.
    this->loop->Post([keep = std::move(this->self)] {});
  }
}

void MessageStream::CloseWhenSent(std::function<void()> done) {
  if (this->closing) return;
  const bool sent =
      this->handle == nullptr ||
      evbuffer_get_length(bufferevent_get_output(this->handle)) == 0;
  if (sent) {
    this->Close();
    done();
    return;
  }
  this->closing = true;
  this->when_sent = std::move(done);
  bufferevent_disable(this->handle, EV_READ);
  this->self = this->shared_from_this();
  this->close_timer =
      this->loop->After(kCloseTimeout, [this] { this->FinishClose(); });
}

void MessageStream::FinishClose() {
  const auto keep = this->shared_from_this();
  const auto done = std::exchange(this->when_sent, nullptr);
  this->Close();
  if (done) done();
}

bool MessageStream::MustWaitForPeer() {
  this->waits_for_peer =
      evbuffer_get_length(bufferevent_get_output(this->handle)) >
      kMaxMessageBytes;
  return this->waits_for_peer;
}

void MessageStream::Deliver() {
  const auto keep = this->shared_from_this();
  if (this->delivering) return;
  this->delivering = true;
  while (this->handle != nullptr && !this->paused && !this->closing &&
         !this->MustWaitForPeer()) {
    evbuffer* input = bufferevent_get_input(this->handle);
    std::size_t length = 0;
    const std::unique_ptr<char, decltype(&free)> line(
        evbuffer_readln(input, &length, EVBUFFER_EOL_CRLF_STRICT), &free);
    const auto current = this->events;
    if (line == nullptr) {
      if (evbuffer_get_length(input) > kMaxMessageBytes) {
        this->paused = true;
        current->oversized();
      }
      break;
    }
    current->message(std::string_view(line.get(), length));
  }
  this->delivering = false;
  if (this->peer_closed && this->handle != nullptr && !this->closing) {
    const auto current = this->events;
    this->Close();
    current->closed();
  }
}

void MessageStream::OnReadable(bufferevent* /*handle*/, void* context) {
  static_cast<MessageStream*>(context)->Deliver();
}

void MessageStream::OnWritten(bufferevent* /*handle*/, void* context) {
  auto* stream = static_cast<MessageStream*>(context);
  if (stream->closing) {
    stream->FinishClose();
  } else if (std::exchange(stream->waits_for_peer, false)) {
    stream->Deliver();
  }
}

void MessageStream::OnEvent(bufferevent* /*handle*/, short what,
                            void* context) {
  const auto keep = static_cast<MessageStream*>(context)->shared_from_this();
  const auto current = keep->events;
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    keep->Configure();
    current->connected();
    return;
  }
  if (keep->closing) {
    keep->FinishClose();
    return;
  }
  // Messages that arrived before the end of the connection are delivered first.
  keep->peer_closed = true;
  if (!keep->paused) {
    keep->Deliver();
    return;
  }
  keep->Close();
  current->closed();
}

}  // namespace camphorferry::session
