#include "Session/refusal_probe.h"

#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace camphorferry::session {

namespace {

/// Limit of the attempt: several round trips between regions (40 ms).
constexpr std::chrono::microseconds kProbeLimit =
    std::chrono::milliseconds(300);

}  // namespace

RefusalProbe::RefusalProbe(connection::EventLoop* loop,
                           const std::string& address,
                           std::function<void(bool refused)> done)
    : done(std::move(done)) {
  this->error = this->Connect(address);
  this->handle = event_new(loop->Base(), this->socket, EV_WRITE, OnEvent, this);
  if (this->error == EINPROGRESS) {
    this->error = 0;
    const timeval limit{0, kProbeLimit.count()};
    event_add(this->handle, &limit);
  } else {
    event_active(this->handle, EV_WRITE, 0);
  }
}

RefusalProbe::~RefusalProbe() {
  event_free(this->handle);
  if (this->socket >= 0) close(this->socket);
}

int RefusalProbe::Connect(const std::string& address) {
  // Every kernel refuses connections to port 0.
  if (!common::IsIpAndPort(address)) return EINVAL;
  const connection::SocketAddress parsed =
      connection::ParseSocketAddress(address);
  if (parsed.port == 0) return EINVAL;
  const sockaddr_in target = connection::ToSockaddrIn(parsed);
  this->socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (this->socket < 0) return errno;
  const int result = connect(
      this->socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  return result == 0 ? 0 : errno;
}

void RefusalProbe::OnEvent(int socket, short events, void* context) {
  auto* probe = static_cast<RefusalProbe*>(context);
  int error = probe->error;
  if (error == 0 && (events & EV_WRITE) != 0) {
    socklen_t length = sizeof(error);
    getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length);
  }
  // The callback may destroy the probe and with it the stored callback, so a
  // copy is called.
  const std::function<void(bool refused)> finished = probe->done;
  finished(error == ECONNREFUSED);
}

}  // namespace camphorferry::session
