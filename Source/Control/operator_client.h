#ifndef CAMPHORFERRY_CONTROL_OPERATOR_CLIENT_H_
#define CAMPHORFERRY_CONTROL_OPERATOR_CLIENT_H_

#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Connection/connection.h"

namespace camphorferry::control {

/// Port to a daemon's operators' listener; connection::SendHttpBlocking in the
/// program.
using Transport = std::function<connection::HttpResult(
    const connection::SocketAddress& address,
    const connection::HttpRequest& request, common::Duration timeout)>;

/// A daemon answered.
struct OperatorReply {
  connection::HttpResponse response;
  connection::SocketAddress from;
  /// A daemon that was tried before may have carried out the request.
  bool earlier_may_have_run = false;
};

/// No daemon answered.
struct OperatorSilence {
  /// At least one daemon may have carried out the request.
  bool may_have_run = false;
};

using OperatorResult = std::variant<OperatorReply, OperatorSilence>;

/// Sends requests to the first of several daemons that answers.
class OperatorClient {
 public:
  OperatorClient(std::vector<connection::SocketAddress> operators,
                 common::Duration timeout, Transport transport);

  /// Tries one listener after the other. Only for requests that may be carried
  /// out more than once.
  OperatorResult Send(const connection::HttpRequest& request) const;

  /// Asks every listener; a failure stands for the ones that do not answer.
  std::vector<std::pair<connection::SocketAddress, connection::HttpResult>>
  SendToAll(const connection::HttpRequest& request) const;

 private:
  std::vector<connection::SocketAddress> operators;
  common::Duration timeout;
  Transport transport;
};

}  // namespace camphorferry::control

#endif  // CAMPHORFERRY_CONTROL_OPERATOR_CLIENT_H_
