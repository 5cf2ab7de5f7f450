#ifndef CAMPHORFERRY_CONNECTION_SYSTEM_ADDRESS_H_
#define CAMPHORFERRY_CONNECTION_SYSTEM_ADDRESS_H_

#include <netinet/in.h>

#include "Connection/http_message.h"

namespace camphorferry::connection {

/// Converts an address to the form that socket calls take; IPv4 only.
sockaddr_in ToSockaddrIn(const SocketAddress& address);

/// Port that a socket is bound to, over IPv4 or IPv6.
std::uint16_t LocalPort(int socket);

}  // namespace camphorferry::connection

#endif  // CAMPHORFERRY_CONNECTION_SYSTEM_ADDRESS_H_
