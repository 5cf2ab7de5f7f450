#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "Connection/connection.h"

namespace camphorferry::connection {
namespace {

/// A server on a thread of its own, as a command line tool meets it.
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
    // A posted stop is kept even if the loop has not started yet.
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

// Guards against a connection that is closed after its loop is gone, which
// corrupts the heap of a tool between two requests.
TEST_F(HttpBlockingTest, ManyRequests_Send_EachIsAnswered) {
  for (int i = 0; i < 50; ++i) {
    const HttpResult result = this->Send("/", std::chrono::seconds(30));
    ASSERT_TRUE(std::holds_alternative<HttpResponse>(result));
    EXPECT_EQ(std::get<HttpResponse>(result).body, "POST body");
  }
}

// Guards against the same fault on the ways without an answer.
TEST_F(HttpBlockingTest, NoAnswer_Send_ReportsWhetherItWasSent) {
  const HttpResult silent = this->Send("/silent", std::chrono::milliseconds(1));
  EXPECT_EQ(std::get<HttpFailure>(silent), HttpFailure::kNoAnswer);
  const SocketAddress closed{"127.0.0.1", 1};
  const HttpResult refused =
      SendHttpBlocking(closed, HttpRequest(), std::chrono::seconds(30));
  EXPECT_EQ(std::get<HttpFailure>(refused), HttpFailure::kNotSent);
}

// Guards against a process that ends with open connections and corrupts its
// heap, or leaks them, since their close was posted and never run.
TEST_F(HttpBlockingTest, OpenConnections_LoopEnds_AreClosedBefore) {
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
