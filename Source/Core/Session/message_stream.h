#ifndef CAMPHORFERRY_SESSION_MESSAGE_STREAM_H_
#define CAMPHORFERRY_SESSION_MESSAGE_STREAM_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "Connection/connection.h"
#include "Session/large_message_queue.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace camphorferry::session {

/// Maximum size of a message in either direction, in bytes without its
/// terminator, as given by the protocol between clients, daemon and endpoints.
inline constexpr std::size_t kMaxMessageBytes = 1024 * 1024;

/// Messages up to this size, in bytes, are received without asking for room.
/// Above the size of usual statements and rows.
inline constexpr std::size_t kSmallMessageBytes = 8 * 1024;

/// Bytes that several streams keep together.
struct BufferMeter {
  std::size_t bytes = 0;
};

/// Events that a stream reports to its owner.
struct StreamEvents {
  /// An outgoing connection is established.
  std::function<void()> connected = [] {};
  /// A complete message without its terminator; valid during the call.
  std::function<void(std::string_view)> message = [](std::string_view) {};
  /// The peer has closed the connection, or the connection failed or could not
  /// be established. The stream is closed and reports nothing more.
  std::function<void()> closed = [] {};
  /// A message exceeds the size limit. The stream delivers nothing more.
  std::function<void()> oversized = [] {};
};

/// TCP connection that carries messages of one line each. Must be owned by a
/// shared pointer.
class MessageStream : public std::enable_shared_from_this<MessageStream> {
 public:
  /// Takes over an accepted connection.
  MessageStream(connection::EventLoop* loop, int socket);
  /// Opens a connection. The result is reported by an event.
  MessageStream(connection::EventLoop* loop,
                const connection::SocketAddress& address);
  ~MessageStream();
  MessageStream(const MessageStream&) = delete;
  MessageStream& operator=(const MessageStream&) = delete;

  /// Starts to read. Events come from the event loop only.
  void Start(StreamEvents events);

  /// Queues bytes for sending. Does nothing once the stream is closed.
  void Send(std::string_view bytes);

  /// Stops or resumes the delivery of messages.
  void SetPaused(bool paused);

  /// Lets messages that are larger than a small one wait for room in a queue,
  /// from Start on. Without a queue they are received at once.
  void SetLargeMessages(std::shared_ptr<LargeMessageQueue> queue);

  /// The last large message has been processed, so others may take its room.
  /// Does nothing if there is none.
  void ReleaseRoom();

  /// Adds what this stream keeps to a meter, from Start on.
  void SetMeter(std::shared_ptr<BufferMeter> shared);

  /// Bytes that are received and not delivered, or queued and not sent.
  std::size_t BufferedBytes() const;

  /// When the message began of which a part is received; none if there is no
  /// such message, or if its rest is not being read.
  const std::optional<common::SteadyTime>& IncompleteSince() const {
    return this->incomplete_since;
  }

  /// Since when bytes have been queued that the peer has not read; none if
  /// there are none.
  const std::optional<common::SteadyTime>& UnreadSince() const {
    return this->unread_since;
  }

  /// Closes the connection immediately. No event follows.
  void Close();

  /// Closes the connection after all queued bytes are passed to the kernel, or
  /// after a second, and then calls back, possibly before this returns. The
  /// callback is not called after Close.
  void CloseWhenSent(std::function<void()> done);

 private:
  static void OnReadable(bufferevent* handle, void* context);
  static void OnWritten(bufferevent* handle, void* context);
  static void OnEvent(bufferevent* handle, short what, void* context);
  static void OnBufferChanged(evbuffer* buffer, const evbuffer_cb_info* info,
                              void* context);
  void Configure();
  void Deliver();
  void SetReadLimit();
  /// There is room for the large message that has begun.
  void OnRoom();
  /// Handles the part of a message that is received; returns whether the size
  /// limit is exceeded.
  bool CheckIncomplete(std::size_t received);
  /// Whether the peer has left so much unread that its next message has to
  /// wait.
  bool MustWaitForPeer();
  void FinishClose();

  connection::EventLoop* loop;
  bufferevent* handle = nullptr;
  std::shared_ptr<StreamEvents> events;
  bool paused = false;
  bool delivering = false;
  bool closing = false;
  bool peer_closed = false;
  bool waits_for_peer = false;
  std::shared_ptr<LargeMessageQueue> large_messages;
  /// A large message waits for room or has it.
  bool room_requested = false;
  bool has_room = false;
  std::shared_ptr<BufferMeter> meter;
  std::optional<common::SteadyTime> incomplete_since;
  std::optional<common::SteadyTime> unread_since;
  /// Keeps the stream alive until its last bytes are sent.
  std::shared_ptr<MessageStream> self;
  std::function<void()> when_sent;
  std::unique_ptr<connection::Timer> close_timer;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_MESSAGE_STREAM_H_
