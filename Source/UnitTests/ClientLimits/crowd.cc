#include "crowd.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace camphorferry::client_limits {

namespace {

/// A small receive buffer keeps unread responses at the proxy.
constexpr int kReceiveBufferBytes = 4096;

bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINPROGRESS ||
         errno == ENOTCONN;
}

}  // namespace

Crowd::Crowd(const connection::SocketAddress& proxy, std::size_t clients,
             CrowdBehavior behavior)
    : behavior(std::move(behavior)), clients(clients) {
  const sockaddr_in address = connection::ToSockaddrIn(proxy);
  for (Client& client : this->clients) {
    client.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    setsockopt(client.socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof(kReceiveBufferBytes));
    const int connected =
        connect(client.socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address));
    if (connected != 0 && !WouldBlock()) {
      close(std::exchange(client.socket, -1));
    }
  }
}

Crowd::~Crowd() {
  for (const Client& client : this->clients) {
    if (client.socket >= 0) close(client.socket);
  }
}

bool Crowd::Send(Client* client) const {
  const std::size_t length = std::min(
      this->behavior.piece_bytes, this->behavior.bytes.size() - client->sent);
  if (length == 0) return false;
  const ssize_t count =
      send(client->socket, this->behavior.bytes.data() + client->sent, length,
           MSG_NOSIGNAL);
  if (count > 0) {
    client->sent += static_cast<std::size_t>(count);
    return true;
  }
  if (!WouldBlock()) close(std::exchange(client->socket, -1));
  return false;
}

bool Crowd::Read(Client* client) const {
  if (this->behavior.read_bytes == 0 || client->socket < 0) return false;
  std::vector<char> buffer(this->behavior.read_bytes);
  const ssize_t count = recv(client->socket, buffer.data(), buffer.size(), 0);
  if (count > 0) return true;
  if (count == 0 || !WouldBlock()) close(std::exchange(client->socket, -1));
  return false;
}

bool Crowd::Step() {
  bool progress = false;
  for (Client& client : this->clients) {
    if (client.socket < 0) continue;
    progress = this->Send(&client) || progress;
    progress = this->Read(&client) || progress;
  }
  return progress;
}

}  // namespace camphorferry::client_limits
