#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "Connection/connection.h"

namespace camphorferry::connection {
namespace {

/// HTTP server on a thread of its own for blocking clients, such as
/// command-line tools.
class HttpBlockingTest : public testing::Test {
 protected:
  void SetUp() override {
    std::promise<std::uint16_t> port;
    std::future<std::uint16_t> listening = port.get_future();
    this->thread = std::thread([this, &port] {
      const HttpServer server(&this->loop, SocketAddress{"127.0.0.1", 0},
                              HttpServerLimits(),
                              [this](const HttpRequest& request,
                                     std::shared_ptr<HttpResponder> responder) {
                                this->Answer(request, std::move(responder));
                              });
      port.set_value(server.Port());
      this->loop.Run();
    });
    this->address = SocketAddress{"127.0.0.1", listening.get()};
  }

  void TearDown() override {
    // A direct call to Stop would be lost if the loop has not started yet.
    this->loop.Post([this] { this->loop.Stop(); });
    this->thread.join();
  }

  void Answer(const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder) {
    if (request.path == "/silent") {
      this->unanswered.push_back(std::move(responder));
      return;
    }
    HttpResponse response;
    response.body = request.method + " " + request.body;
    responder->Send(response);
  }

  HttpResult Send(const std::string& path, common::Duration timeout) const {
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.body = "body";
    return SendHttpBlocking(this->address, request, timeout);
  }

  EventLoop loop;
  SocketAddress address;
  std::vector<std::shared_ptr<HttpResponder>> unanswered;
  std::thread thread;
};

// Guards against heap corruption by a connection that is closed after its event
// loop was destroyed.
TEST_F(HttpBlockingTest, SendHttpBlocking_ManyRequests_EachIsAnswered) {
  for (int i = 0; i < 50; ++i) {
    const HttpResult result = this->Send("/", std::chrono::seconds(30));
    ASSERT_TRUE(std::holds_alternative<HttpResponse>(result));
    EXPECT_EQ(std::get<HttpResponse>(result).body, "POST body");
  }
}

// Guards against the same heap corruption when a request times out or cannot
// connect.
TEST_F(HttpBlockingTest, SendHttpBlocking_NoResponse_ReportsWhetherItWasSent) {
  const HttpResult silent = this->Send("/silent", std::chrono::milliseconds(1));
  EXPECT_EQ(std::get<HttpFailure>(silent), HttpFailure::kNoAnswer);
  const SocketAddress closed{"127.0.0.1", 1};
  const HttpResult refused =
      SendHttpBlocking(closed, HttpRequest(), std::chrono::seconds(30));
  EXPECT_EQ(std::get<HttpFailure>(refused), HttpFailure::kNotSent);
}

// Guards against heap corruption or a leak when a loop is destroyed while the
// closing of its connections is still queued.
TEST_F(HttpBlockingTest, OpenConnections_LoopDestroyed_AreClosedBefore) {
  for (int i = 0; i < 20; ++i) {
    EventLoop client;
    HttpClientConnection idle(&client, this->address);
    HttpClientConnection waiting(&client, this->address);
    HttpRequest silent;
    silent.path = "/silent";
    waiting.Send(silent, std::chrono::seconds(30), [](const HttpResult&) {});
    idle.Send(HttpRequest(), std::chrono::seconds(30),
              [&client](const HttpResult&) { client.Stop(); });
    client.Run();
    EXPECT_TRUE(waiting.Busy());
    EXPECT_FALSE(idle.Busy());
  }
}

}  // namespace
}  // namespace camphorferry::connection
