#ifndef CAMPHORFERRY_CONTROL_OPERATOR_CLIENT_H_
#define CAMPHORFERRY_CONTROL_OPERATOR_CLIENT_H_

#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Connection/connection.h"

namespace camphorferry::control {

/// Sends a request to the operators' listener of a daemon and returns the
/// result. The program uses connection::SendHttpBlocking; tests use a fake.
using Transport = std::function<connection::HttpResult(
    const connection::SocketAddress& address,
    const connection::HttpRequest& request, common::Duration timeout)>;

/// A daemon answered.
struct OperatorReply {
  connection::HttpResponse response;
  connection::SocketAddress from;
  /// A daemon that was tried before may have executed the request.
  bool earlier_may_have_run = false;
};

/// No daemon answered.
struct OperatorNoAnswer {
  /// At least one daemon may have executed the request.
  bool may_have_run = false;
};

using OperatorResult = std::variant<OperatorReply, OperatorNoAnswer>;

/// HTTP client with failover between the operators' listeners of several
/// daemons.
class OperatorClient {
 public:
  OperatorClient(std::vector<connection::SocketAddress> operators,
                 common::Duration timeout, Transport transport);

  /// Sends the request to one listener after the other until one answers. Only
  /// for requests that may be executed more than once.
  OperatorResult Send(const connection::HttpRequest& request) const;

  /// Sends the request to every listener and returns the result of each; an
  /// HttpFailure for those that do not answer.
  std::vector<std::pair<connection::SocketAddress, connection::HttpResult>>
  SendToAll(const connection::HttpRequest& request) const;

 private:
  std::vector<connection::SocketAddress> operators;
  common::Duration timeout;
  Transport transport;
};

}  // namespace camphorferry::control

#endif  // CAMPHORFERRY_CONTROL_OPERATOR_CLIENT_H_
