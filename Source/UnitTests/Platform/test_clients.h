#ifndef CAMPHORFERRY_UNIT_TESTS_PLATFORM_TEST_CLIENTS_H_
#define CAMPHORFERRY_UNIT_TESTS_PLATFORM_TEST_CLIENTS_H_

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "Session/session.h"

namespace camphorferry::platform {

/// Client connection that collects the lines of one response.
class TestClient {
 public:
  TestClient(connection::EventLoop* loop, std::uint16_t port)
      : loop(loop),
        stream(std::make_shared<session::MessageStream>(
            loop, connection::SocketAddress{"127.0.0.1", port})) {
    session::StreamEvents events;
    events.message = [this](std::string_view line) {
      this->lines.emplace_back(line);
      const bool startup_refused =
          this->startup_pending && line.starts_with("ERROR");
      if (line.starts_with("READY") || startup_refused) this->loop->Stop();
    };
    events.closed = [this] {
      this->closed = true;
      this->loop->Stop();
    };
    this->stream->Start(std::move(events));
  }

  /// Sends a line and runs the loop until the response is complete, the
  /// connection is closed, or the time limit is reached. Returns the lines
  /// received.
  std::vector<std::string> Ask(
      const std::string& line,
      common::Duration limit = std::chrono::seconds(5)) {
    this->lines.clear();
    this->startup_pending = line.starts_with("STARTUP");
    this->stream->Send(line + "\r\n");
    const auto timer = this->loop->After(limit, [this] { this->loop->Stop(); });
    this->loop->Run();
    return this->lines;
  }

  void Close() { this->stream->Close(); }

  bool closed = false;

 private:
  connection::EventLoop* loop;
  std::shared_ptr<session::MessageStream> stream;
  std::vector<std::string> lines;
  bool startup_pending = false;
};

/// Client that reads responses late, in a thread of its own.
class SlowClient {
 public:
  explicit SlowClient(std::uint16_t port)
      : socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    // A small receive buffer keeps most of a large response at the sender.
    constexpr int kReceiveBufferBytes = 4096;
    setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof(kReceiveBufferBytes));
    const timeval limit{2, 0};
    setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    const sockaddr_in address = connection::ToSockaddrIn({"127.0.0.1", port});
    EXPECT_EQ(connect(this->socket, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
              0);
  }
  ~SlowClient() {
    if (this->reader.joinable()) this->reader.join();
    close(this->socket);
  }
  SlowClient(const SlowClient&) = delete;
  SlowClient& operator=(const SlowClient&) = delete;

  void Send(const std::string& line) const {
    const std::string bytes = line + "\r\n";
    EXPECT_EQ(send(this->socket, bytes.data(), bytes.size(), 0),
              static_cast<ssize_t>(bytes.size()));
  }

  /// After the pause, reads until the connection is closed or has sent nothing
  /// for 2 s.
  void StartReadingAfter(std::chrono::milliseconds pause) {
    this->reader = std::thread([this, pause] {
      std::this_thread::sleep_for(pause);
      std::vector<char> buffer(65536);
      while (true) {
        const ssize_t count =
            recv(this->socket, buffer.data(), buffer.size(), 0);
        if (count <= 0) return;
        this->received.append(buffer.data(), static_cast<std::size_t>(count));
      }
    });
  }

  /// Waits until reading has ended and returns all received bytes.
  const std::string& Received() {
    this->reader.join();
    return this->received;
  }

 private:
  int socket;
  std::thread reader;
  std::string received;
};

}  // namespace camphorferry::platform

#endif  // CAMPHORFERRY_UNIT_TESTS_PLATFORM_TEST_CLIENTS_H_
