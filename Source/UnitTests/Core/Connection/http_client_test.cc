#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
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

/// A listening socket whose connections nobody reads.
class UnsentBytesTest : public testing::Test {
 protected:
  UnsentBytesTest() : listener(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in address = ToSockaddrIn({"127.0.0.1", 0});
    EXPECT_EQ(bind(this->listener, reinterpret_cast<const sockaddr*>(&address),
                   sizeof(address)),
              0);
    EXPECT_EQ(listen(this->listener, 1), 0);
  }
  ~UnsentBytesTest() override { close(this->listener); }

  /// Gives up a request that the server has not received in full, and returns
  /// how the server sees the connection end: the error number, or 0 if it was
  /// closed without one.
  int EndOfRequest(UnsentBytes unsent) {
    HttpClientConnection client(
        &this->loop, {"127.0.0.1", LocalPort(this->listener)}, unsent);
    HttpRequest request;
    request.method = "POST";
    request.body.assign(std::size_t{1} << 24, 'x');
    client.Send(request, milliseconds(100),
                [this](const HttpResult&) { this->loop.Stop(); });
    this->loop.Run();
    const auto closed =
        this->loop.After(milliseconds(20), [this] { this->loop.Stop(); });
    this->loop.Run();
    const int accepted = accept(this->listener, nullptr, nullptr);
    std::string bytes(std::size_t{1} << 16, '\0');
    ssize_t length = 0;
    do {
      length = recv(accepted, bytes.data(), bytes.size(), 0);
    } while (length > 0);
    const int error = length < 0 ? errno : 0;
    close(accepted);
    return error;
  }

  EventLoop loop;
  int listener;
};

// Guards against a kernel that delivers a request after its daemon has given it
// up, when another daemon has given a later order (issue 36).
TEST_F(UnsentBytesTest, TimeOut_Discard_ResetsTheConnection) {
  EXPECT_EQ(this->EndOfRequest(UnsentBytes::kDiscard), ECONNRESET);
  EXPECT_EQ(this->EndOfRequest(UnsentBytes::kDeliver), 0);
}

}  // namespace
}  // namespace camphorferry::connection
