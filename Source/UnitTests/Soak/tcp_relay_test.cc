#include "tcp_relay.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

namespace camphorferry::soak {
namespace {

using std::chrono::milliseconds;

/// A server behind a relay.
class TcpRelayTest : public testing::Test {
 protected:
  TcpRelayTest() {
    this->server = std::make_unique<connection::HttpServer>(
        &this->loop, connection::SocketAddress{"127.0.0.1", 0},
        connection::HttpServerLimits{},
        [this](const connection::HttpRequest& request,
               const std::shared_ptr<connection::HttpResponder>& responder) {
          this->received += request.body;
          responder->Send({});
        });
    this->relay = std::make_unique<TcpRelay>(
        &this->loop,
        connection::SocketAddress{"127.0.0.1", this->server->Port()});
  }

  void RunFor(common::Duration time) {
    const auto timer = this->loop.After(time, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  connection::EventLoop loop;
  std::unique_ptr<connection::HttpServer> server;
  std::unique_ptr<TcpRelay> relay;
  std::string received;
};

// Guards against a soak whose paths drop what a real one delivers late (issue
// 36).
TEST_F(TcpRelayTest, Held_SenderGivesUp_RequestArrivesLater) {
  this->relay->SetState(LinkState::kHeld);
  connection::HttpRequest request;
  request.method = "POST";
  request.path = "/";
  request.body = "late";
  std::optional<connection::HttpResult> result;
  connection::SendHttpOnce(
      &this->loop, this->relay->Address(), request, milliseconds(50),
      [&](const connection::HttpResult& given) { result = given; });
  this->RunFor(milliseconds(200));
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(std::get<connection::HttpFailure>(*result),
            connection::HttpFailure::kNoAnswer);
  EXPECT_EQ(this->received, "");
  this->relay->SetState(LinkState::kOpen);
  this->RunFor(milliseconds(200));
  EXPECT_EQ(this->received, "late");
}

}  // namespace
}  // namespace camphorferry::soak
