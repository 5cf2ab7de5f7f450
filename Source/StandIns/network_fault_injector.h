#ifndef CAMPHORFERRY_STANDINS_NETWORK_FAULT_INJECTOR_H_
#define CAMPHORFERRY_STANDINS_NETWORK_FAULT_INJECTOR_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "Connection/connection.h"

namespace camphorferry::standins {

/// Simulates network faults of a database's connections: a partition, which
/// affects all of them, and silent connections. Keeps the responders of silent
/// connections, because the destruction of a responder sends a response.
class NetworkFaultInjector {
 public:
  /// Registers the connection of a request. Returns true if this is the first
  /// request on the connection.
  bool RegisterConnection(std::uint64_t connection_id);

  /// While isolated, the database neither processes nor answers requests on any
  /// connection. The end of an isolation closes the connections whose requests
  /// were dropped: their clients have timed out, and connections left open
  /// would count against the connection limit.
  void SetIsolated(bool isolated);
  bool Isolated() const { return this->isolated; }

  /// Stops all responses on the connections that have sent a request so far.
  void SilenceOpenConnections() {
    this->last_silenced_connection = this->newest_connection;
  }

  /// True if requests and responses on the connection are dropped.
  bool IsSilent(std::uint64_t connection_id) const;

  /// Keeps a connection open without a response.
  void HoldUnanswered(std::shared_ptr<connection::HttpResponder> responder);

  /// Sends the response, or drops it if the connection has become silent.
  void Send(std::uint64_t connection_id,
            std::shared_ptr<connection::HttpResponder> responder,
            const connection::HttpResponse& response);

 private:
  bool isolated = false;
  std::uint64_t newest_connection = 0;
  std::uint64_t last_silenced_connection = 0;
  std::vector<std::shared_ptr<connection::HttpResponder>> held_responders;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_NETWORK_FAULT_INJECTOR_H_
