#ifndef CAMPHORFERRY_UNIT_TESTS_CLIENT_LIMITS_CROWD_H_
#define CAMPHORFERRY_UNIT_TESTS_CLIENT_LIMITS_CROWD_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "Session/session.h"

namespace camphorferry::client_limits {

/// How the clients of a crowd behave.
struct CrowdBehavior {
  /// What each client sends, byte for byte.
  std::string bytes;
  /// Bytes that a client sends at a time, in turn with the others.
  std::size_t piece_bytes = 64 * 1024;
  /// Bytes that a client reads at a time; 0 if it reads nothing.
  std::size_t read_bytes = 64 * 1024;
};

/// Clients that are connected to one proxy at the same time and all behave
/// alike. They stay connected until the crowd is destroyed or the proxy closes
/// the connections.
class Crowd {
 public:
  Crowd(const connection::SocketAddress& proxy, std::size_t clients,
        CrowdBehavior behavior);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Lets each client send and read once, without waiting. Returns whether any
  /// of them could.
  bool Step();

 private:
  struct Client {
    int socket = -1;
    std::size_t sent = 0;
  };

  bool Send(Client* client) const;
  bool Read(Client* client) const;

  CrowdBehavior behavior;
  std::vector<Client> clients;
};

}  // namespace camphorferry::client_limits

#endif  // CAMPHORFERRY_UNIT_TESTS_CLIENT_LIMITS_CROWD_H_
