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
/// Output is queued in pieces of this size, in bytes. Libevent frees a piece
/// only after all of it is sent.
constexpr std::size_t kOutputPieceBytes = 16 * 1024;
/// One byte above the limit lets an oversized message be detected.
constexpr std::size_t kTerminatorBytes = 2;
constexpr std::size_t kMaxInputBytes = kMaxMessageBytes + kTerminatorBytes + 1;

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
  this->SetReadLimit();
  if (this->meter != nullptr) {
    for (evbuffer* buffer : {bufferevent_get_input(this->handle),
                             bufferevent_get_output(this->handle)}) {
      this->meter->bytes += evbuffer_get_length(buffer);
      evbuffer_add_cb(buffer, OnBufferChanged, this->meter.get());
    }
  }
  bufferevent_enable(this->handle, EV_READ | EV_WRITE);
}

void MessageStream::SetMeter(std::shared_ptr<BufferMeter> shared) {
  this->meter = std::move(shared);
}

void MessageStream::OnBufferChanged(evbuffer* /*buffer*/,
                                    const evbuffer_cb_info* info,
                                    void* context) {
  auto* shared = static_cast<BufferMeter*>(context);
  shared->bytes += info->n_added;
  shared->bytes -= info->n_deleted;
}

std::size_t MessageStream::BufferedBytes() const {
  if (this->handle == nullptr) return 0;
  return evbuffer_get_length(bufferevent_get_input(this->handle)) +
         evbuffer_get_length(bufferevent_get_output(this->handle));
}

void MessageStream::SetLargeMessages(std::shared_ptr<LargeMessageQueue> queue) {
  this->large_messages = std::move(queue);
}

void MessageStream::SetReadLimit() {
  const bool large = this->large_messages == nullptr || this->has_room;
  bufferevent_setwatermark(this->handle, EV_READ, 0,
                           large ? kMaxInputBytes : kSmallMessageBytes);
}

void MessageStream::OnRoom() {
  this->has_room = true;
  this->incomplete_since = common::SteadyNow();
  this->SetReadLimit();
}

void MessageStream::ReleaseRoom() {
  if (!std::exchange(this->room_requested, false)) return;
  this->has_room = false;
  this->incomplete_since.reset();
  if (this->handle != nullptr) this->SetReadLimit();
  this->large_messages->Release(this);
}

void MessageStream::Send(std::string_view bytes) {
  if (this->handle == nullptr || this->closing) return;
  if (!this->unread_since.has_value()) {
    this->unread_since = common::SteadyNow();
  }
  while (!bytes.empty()) {
    const std::string_view piece = bytes.substr(0, kOutputPieceBytes);
    bufferevent_write(this->handle, piece.data(), piece.size());
    bytes.remove_prefix(piece.size());
  }
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
  if (this->meter != nullptr && this->events != nullptr) {
    this->meter->bytes -= this->BufferedBytes();
    for (evbuffer* buffer : {bufferevent_get_input(this->handle),
                             bufferevent_get_output(this->handle)}) {
      evbuffer_remove_cb(buffer, OnBufferChanged, this->meter.get());
    }
  }
  bufferevent_free(std::exchange(this->handle, nullptr));
  this->ReleaseRoom();
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
      if (this->CheckIncomplete(evbuffer_get_length(input))) {
        this->paused = true;
        current->oversized();
      }
      break;
    }
    this->incomplete_since.reset();
    current->message(std::string_view(line.get(), length));
  }
  this->delivering = false;
  if (this->peer_closed && this->handle != nullptr && !this->closing) {
    const auto current = this->events;
    this->Close();
    current->closed();
  }
}

bool MessageStream::CheckIncomplete(std::size_t received) {
  if (received > kMaxMessageBytes) return true;
  if (received == 0) return false;
  if (!this->incomplete_since.has_value()) {
    this->incomplete_since = common::SteadyNow();
  }
  if (received >= kSmallMessageBytes && this->large_messages != nullptr &&
      !std::exchange(this->room_requested, true)) {
    this->large_messages->Request(this, [this] { this->OnRoom(); });
  }
  // While it waits for room, the peer is not to blame for the rest.
  if (this->room_requested && !this->has_room) this->incomplete_since.reset();
  return false;
}

void MessageStream::OnReadable(bufferevent* /*handle*/, void* context) {
  static_cast<MessageStream*>(context)->Deliver();
}

void MessageStream::OnWritten(bufferevent* /*handle*/, void* context) {
  auto* stream = static_cast<MessageStream*>(context);
  stream->unread_since.reset();
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
