#include "Session/endpoint_channel.h"

#include <utility>

namespace camphorferry::session {

EndpointChannel::EndpointChannel(connection::EventLoop* loop,
                                 const WireCodec* codec,
                                 const GroupMember& member, std::string caller,
                                 std::shared_ptr<LargeMessageQueue> queue)
    : loop(loop),
      codec(codec),
      address(member.address),
      service(member.service),
      endpoint(member.id),
      caller(std::move(caller)),
      large_responses(std::move(queue)) {}

void EndpointChannel::Open(common::Duration timeout,
                           std::function<void(OpenResult)> done) {
  this->stream = std::make_shared<MessageStream>(this->loop, this->address);
  StreamEvents events;
  events.connected = [this] { this->connected = true; };
  events.message = [this](std::string_view line) { this->OnMessage(line); };
  events.closed = [this] { this->OnClosed(); };
  events.oversized = [this] { this->OnClosed(); };
  this->stream->SetLargeMessages(this->large_responses);
  this->stream->Start(std::move(events));
  this->Send(
      this->codec->EncodeOpen(this->service, this->caller, this->endpoint),
      timeout, [this, done = std::move(done)](ChannelResult result) {
        if (const auto* lost = std::get_if<ChannelLost>(&result)) {
          done(*lost);
          return;
        }
        auto& opened = std::get<EndpointAnswer>(result);
        if (opened.error.has_value()) {
          this->Close();
          done(std::move(*opened.error));
          return;
        }
        this->ready = true;
        done(ChannelOpened{opened.position});
      });
}

void EndpointChannel::Send(std::string_view command, common::Duration timeout,
                           std::function<void(ChannelResult)> done) {
  this->pending = std::move(done);
  this->answer = EndpointAnswer();
  this->timer = this->loop->After(timeout, [this] {
    const auto keep = this->shared_from_this();
    this->Close();
    this->Finish(ChannelLost{true, this->connected});
  });
  if (this->stream == nullptr) {
    this->loop->Post([weak = this->weak_from_this()] {
      if (const auto channel = weak.lock()) channel->Finish(ChannelLost{});
    });
    return;
  }
  this->stream->Send(command);
}

void EndpointChannel::RedirectAnswer(
    std::function<void(ChannelResult)> receiver) {
  if (this->pending) this->pending = std::move(receiver);
}

void EndpointChannel::Close() {
  this->ready = false;
  if (this->stream == nullptr) return;
  this->stream->Close();
  // This may have been called from a callback of the stream, so the stream is
  // destroyed later.
  this->loop->Post([keep = std::move(this->stream)] {});
  this->stream.reset();
}

void EndpointChannel::SetIdleCloseHandler(std::function<void()> closed) {
  this->idle_close = std::move(closed);
}

void EndpointChannel::OnMessage(std::string_view line) {
  const auto keep = this->shared_from_this();
  EndpointMessage message = this->codec->DecodeEndpoint(line);
  if (!this->pending || std::holds_alternative<EndpointUnreadable>(message)) {
    // An unexpected answer could be taken as the answer to the next command.
    this->OnClosed();
    return;
  }
  std::visit(common::Overloaded{
                 [this](EndpointRow& row) {
                   this->answer.rows.push_back(std::move(row.text));
                 },
                 [this](EndpointComplete& complete) {
                   this->answer.signature = std::move(complete.signature);
                 },
                 [this](EndpointError& error) {
                   this->answer.error = std::move(error);
                   // A refused start message is followed by no further message.
                   if (!this->ready) this->Finish(std::move(this->answer));
                 },
                 [this](const EndpointReady& ready_message) {
                   this->answer.phase = ready_message.phase;
                   this->answer.position = ready_message.position;
                   this->Finish(std::move(this->answer));
                 },
                 [](const EndpointUnreadable&) {},
             },
             message);
}

void EndpointChannel::OnClosed() {
  const auto keep = this->shared_from_this();
  this->Close();
  if (this->pending) {
    this->Finish(ChannelLost{false, this->connected});
    return;
  }
  if (this->idle_close) this->idle_close();
}

void EndpointChannel::Finish(ChannelResult result) {
  const auto keep = this->shared_from_this();
  this->timer.reset();
  const auto done = std::exchange(this->pending, nullptr);
  if (done) done(std::move(result));
  if (this->stream != nullptr) this->stream->ReleaseRoom();
}

}  // namespace camphorferry::session
