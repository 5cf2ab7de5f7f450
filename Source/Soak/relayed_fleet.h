#ifndef CAMPHORFERRY_SOAK_RELAYED_FLEET_H_
#define CAMPHORFERRY_SOAK_RELAYED_FLEET_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "proxy_process.h"
#include "tcp_relay.h"

namespace camphorferry::soak {

/// Numbers of proxies that a fleet can have. The addresses of their relays must
/// have the same number of digits.
inline constexpr std::size_t kMinRelayedProxies = 4;
inline constexpr std::size_t kMaxRelayedProxies = 50;

/// Proxy processes in several failure domains. Each of them reaches the store
/// and each other proxy over a relay of its own, so that single links can be
/// cut.
class RelayedFleet {
 public:
  /// Writes the settings of the proxies to the folder. Throws
  /// connection::ListenError.
  RelayedFleet(connection::EventLoop* loop, const std::string& program,
               const std::string& folder, std::size_t count,
               const connection::SocketAddress& store);

  /// Starts all processes; throws ProcessStartError.
  void Start();

  /// Starts the processes again that have ended. Throws ProcessStartError.
  void RestartEnded();

  std::size_t Size() const { return this->proxies.size(); }
  ProxyProcess& Proxy(std::size_t index) { return *this->proxies[index]; }

  /// Sets the condition of the link from a proxy to the store.
  void SetStoreLink(std::size_t index, LinkState state);
  /// Sets the condition of the links from one proxy to another.
  void SetPeerLink(std::size_t from, std::size_t to, LinkState state);
  /// Opens all links.
  void OpenLinks();

  /// Pairs of proxies that have not called each other over their relay, which
  /// no cut can part.
  std::size_t PairsWithoutRelay() const;

  /// The failure domain of a proxy. There are kDomains of them, in turn.
  static common::FailureDomainId DomainOf(std::size_t index);
  static constexpr std::size_t kDomains = 3;

 private:
  std::vector<std::unique_ptr<TcpRelay>> store_relays;
  /// By the proxy that calls and the one that is called.
  std::vector<std::vector<std::unique_ptr<TcpRelay>>> peer_relays;
  std::vector<std::unique_ptr<ProxyProcess>> proxies;
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_RELAYED_FLEET_H_
