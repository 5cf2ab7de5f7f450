#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <gtest/gtest.h>
#include <netinet/in.h>

#include <algorithm>
#include <optional>
#include <string>

#include "Connection/connection.h"

namespace camphorferry::connection {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBodySize = 4000;
constexpr milliseconds kPieceInterval(40);
constexpr milliseconds kTimeout(150);

/// A client of a server behind a slow link, which sends its response in pieces.
class HttpClientTest : public testing::Test {
 protected:
  HttpClientTest() {
    sockaddr_in address = ToSockaddrIn({"127.0.0.1", 0});
    this->listener = evconnlistener_new_bind(
        this->loop.Base(), OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }

  ~HttpClientTest() override {
    if (this->connection != nullptr) bufferevent_free(this->connection);
    evconnlistener_free(this->listener);
  }

  static void OnAccept(evconnlistener* /*listener*/, int socket,
                       sockaddr* /*address*/, int /*length*/, void* context) {
    auto* test = static_cast<HttpClientTest*>(context);
    test->connection = bufferevent_socket_new(test->loop.Base(), socket,
                                              BEV_OPT_CLOSE_ON_FREE);
    test->Send("HTTP/1.1 200 OK\r\nContent-Length: " +
               std::to_string(kBodySize) + "\r\n\r\n");
    test->piece_timer =
        test->loop.Every(kPieceInterval, [test] { test->SendPiece(); });
  }

  void Send(const std::string& text) const {
    bufferevent_write(this->connection, text.data(), text.size());
  }

  void SendPiece() {
    if (this->sent >= this->stalls_at) return;
    const std::size_t length =
        std::min(this->piece_size, kBodySize - this->sent);
    this->Send(std::string(length, 'x'));
    this->sent += length;
  }

  HttpResult Get() {
    std::optional<HttpResult> result;
    SendHttpOnce(
        &this->loop,
        {"127.0.0.1", LocalPort(evconnlistener_get_fd(this->listener))},
        HttpRequest(), this->timeout, [&](HttpResult received) {
          result = std::move(received);
          this->loop.Stop();
        });
    const auto limit = this->loop.After(std::chrono::seconds(5),
                                        [this] { this->loop.Stop(); });
    this->loop.Run();
    return result.value_or(HttpFailure::kNotSent);
  }

  EventLoop loop;
  evconnlistener* listener = nullptr;
  bufferevent* connection = nullptr;
  std::unique_ptr<Timer> piece_timer;
  milliseconds timeout = kTimeout;
  std::size_t piece_size = 400;
  std::size_t sent = 0;
  /// Bytes after which the server sends no more.
  std::size_t stalls_at = kBodySize;
};

// Guards against giving up a transfer that makes progress, so that a large
// configuration can't be read over a slow link.
TEST_F(HttpClientTest, ResponseSlowerThanTimeout_Get_ReturnsWholeBody) {
  const HttpResult result = this->Get();
  const auto* response = std::get_if<HttpResponse>(&result);
  ASSERT_NE(response, nullptr);
  EXPECT_EQ(response->body.size(), kBodySize);
}

// Guards against waiting for a server that has stopped to send.
TEST_F(HttpClientTest, ResponseStalls_Get_Fails) {
  this->stalls_at = 1200;
  const HttpResult result = this->Get();
  ASSERT_TRUE(std::holds_alternative<HttpFailure>(result));
  EXPECT_EQ(std::get<HttpFailure>(result), HttpFailure::kNoAnswer);
}

// Guards against a long poll whose response stops midway and is waited for as
// long as for the response to begin.
TEST_F(HttpClientTest, ResponseOfLongPollStalls_Get_FailsSoon) {
  this->timeout = milliseconds(4000);
  this->stalls_at = 1200;
  const common::SteadyTime start = common::SteadyNow();
  const HttpResult result = this->Get();
  ASSERT_TRUE(std::holds_alternative<HttpFailure>(result));
  EXPECT_EQ(std::get<HttpFailure>(result), HttpFailure::kNoAnswer);
  EXPECT_LT(common::SteadyNow() - start, milliseconds(3000));
}

}  // namespace
}  // namespace camphorferry::connection
