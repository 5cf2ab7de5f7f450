#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "Connection/connection.h"

namespace camphorferry::connection {
namespace {

/// Never reached; no test depends on it.
constexpr common::Duration kTimeout = std::chrono::seconds(60);

class HttpServerTest : public testing::Test {
 protected:
  HttpServerTest() { std::signal(SIGPIPE, SIG_IGN); }

  static HttpRequest Request() {
    HttpRequest request;
    request.path = "/";
    return request;
  }

  EventLoop loop;
};

// Guards against a response that reaches the client although the server was
// told to close the connection without one.
TEST_F(HttpServerTest, Client_ServerClosesUnanswered_GetsNoResponse) {
  HttpServer server(&this->loop, {"127.0.0.1", 0}, HttpServerLimits(),
                    [](const HttpRequest& /*request*/,
                       const std::shared_ptr<HttpResponder>& responder) {
                      responder->CloseWithoutResponse();
                    });
  std::optional<HttpResult> received;
  SendHttpOnce(&this->loop, {"127.0.0.1", server.Port()}, Request(), kTimeout,
               [&](HttpResult result) {
                 received = std::move(result);
                 this->loop.Stop();
               });
  this->loop.Run();
  ASSERT_TRUE(received);
  ASSERT_TRUE(std::holds_alternative<HttpFailure>(*received));
  EXPECT_EQ(std::get<HttpFailure>(*received), HttpFailure::kNoAnswer);
  EXPECT_EQ(server.ActiveRequests(), 0U);
}

// Guards against a memory leak for each abandoned request, which the leak check
// of the sanitizer build reports, and against a callback after destruction.
TEST_F(HttpServerTest, PendingRequest_ClientDestroyed_IsFreed) {
  std::vector<std::shared_ptr<HttpResponder>> held;
  std::unique_ptr<HttpClientConnection> client;
  const HttpServer server(&this->loop, {"127.0.0.1", 0}, HttpServerLimits(),
                          [&](const HttpRequest& /*request*/,
                              std::shared_ptr<HttpResponder> responder) {
                            held.push_back(std::move(responder));
                            client.reset();
                            this->loop.Post([this] { this->loop.Stop(); });
                          });
  client = std::make_unique<HttpClientConnection>(
      &this->loop, SocketAddress{"127.0.0.1", server.Port()});
  bool called = false;
  client->Send(Request(), kTimeout,
               [&](const HttpResult& /*result*/) { called = true; });
  this->loop.Run();
  EXPECT_EQ(held.size(), 1U);
  EXPECT_FALSE(called);
}

// Guards against a connection that outlives its event loop because the loop
// ends before the queued close runs.
TEST_F(HttpServerTest, Client_LoopEndsBeforeQueuedClose_IsFreed) {
  auto client = std::make_unique<HttpClientConnection>(
      &this->loop, SocketAddress{"127.0.0.1", 1});
  bool called = false;
  client->Send(Request(), kTimeout,
               [&](const HttpResult& /*result*/) { called = true; });
  client.reset();
  EXPECT_FALSE(called);
}

}  // namespace
}  // namespace camphorferry::connection
