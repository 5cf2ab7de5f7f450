#ifndef CAMPHORFERRY_SESSION_ENDPOINT_CHANNEL_H_
#define CAMPHORFERRY_SESSION_ENDPOINT_CHANNEL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "Connection/connection.h"
#include "Session/channel_state.h"
#include "Session/directory.h"
#include "Session/large_message_queue.h"
#include "Session/message_stream.h"
#include "Session/wire_codec.h"

namespace camphorferry::session {

class EndpointPool;

/// Result of opening a channel: the endpoint's log position, its refusal, or
/// the loss of the connection.
struct ChannelOpened {
  std::optional<common::LogPosition> position;
};
using OpenResult = std::variant<ChannelOpened, EndpointError, ChannelLost>;

/// One connection to an endpoint on behalf of one caller. It carries one
/// command at a time. After a loss or a time-out it is closed for good, so that
/// a late answer is never taken as the answer to a later command. Must be owned
/// by a shared pointer.
class EndpointChannel : public std::enable_shared_from_this<EndpointChannel> {
 public:
  /// Large responses wait for room in the queue, if one is given.
  EndpointChannel(connection::EventLoop* loop, const WireCodec* codec,
                  const GroupMember& member, std::string caller,
                  std::shared_ptr<LargeMessageQueue> large_responses = nullptr);
  EndpointChannel(const EndpointChannel&) = delete;
  EndpointChannel& operator=(const EndpointChannel&) = delete;

  /// Connects and sends the start message with the caller's name.
  void Open(common::Duration timeout, std::function<void(OpenResult)> done);

  /// Sends an encoded command. The channel must be open and idle.
  void Send(std::string_view command, common::Duration timeout,
            std::function<void(ChannelResult)> done);

  /// Passes the answer of the command in progress to another receiver.
  void RedirectAnswer(std::function<void(ChannelResult)> receiver);

  /// Closes the channel without calling back.
  void Close();

  /// Sets the function that is called when the endpoint closes the idle
  /// channel.
  void SetIdleCloseHandler(std::function<void()> closed);

  bool Usable() const { return this->ready && this->stream != nullptr; }
  bool Busy() const { return static_cast<bool>(this->pending); }
  const std::string& Caller() const { return this->caller; }
  const common::EndpointId& Endpoint() const { return this->endpoint; }

  /// Session values and prepared statements that the endpoint has for this
  /// channel.
  ChannelState& State() { return this->state; }

  /// When the channel was last returned to its pool; the oldest is closed
  /// first.
  common::SteadyTime idle_since;

  /// The pool that the channel belongs to; empty once that is gone.
  std::weak_ptr<EndpointPool> owner;

 private:
  void OnMessage(std::string_view line);
  void OnClosed();
  void Finish(ChannelResult result);

  connection::EventLoop* loop;
  const WireCodec* codec;
  connection::SocketAddress address;
  common::ServiceId service;
  common::EndpointId endpoint;
  std::string caller;
  std::shared_ptr<LargeMessageQueue> large_responses;
  std::shared_ptr<MessageStream> stream;
  std::unique_ptr<connection::Timer> timer;
  std::function<void(ChannelResult)> pending;
  std::function<void()> idle_close;
  EndpointAnswer answer;
  ChannelState state;
  bool connected = false;
  bool ready = false;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_ENDPOINT_CHANNEL_H_
