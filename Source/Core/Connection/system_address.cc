#include "Connection/system_address.h"

#include <arpa/inet.h>
#include <sys/socket.h>

namespace camphorferry::connection {

sockaddr_in ToSockaddrIn(const SocketAddress& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

std::uint16_t LocalPort(int socket) {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  getsockname(socket, reinterpret_cast<sockaddr*>(&storage), &length);
  if (storage.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port);
  }
  return ntohs(reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

}  // namespace camphorferry::connection
