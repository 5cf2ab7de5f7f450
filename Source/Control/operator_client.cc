#include "Control/operator_client.h"

#include <utility>

namespace camphorferry::control {

OperatorClient::OperatorClient(std::vector<connection::SocketAddress> operators,
                               common::Duration timeout, Transport transport)
    : operators(std::move(operators)),
      timeout(timeout),
      transport(std::move(transport)) {}

OperatorResult OperatorClient::Send(
    const connection::HttpRequest& request) const {
  bool may_have_run = false;
  for (const connection::SocketAddress& address : this->operators) {
    connection::HttpResult result =
        this->transport(address, request, this->timeout);
    if (auto* response = std::get_if<connection::HttpResponse>(&result)) {
      return OperatorReply{std::move(*response), address, may_have_run};
    }
    may_have_run |= std::get<connection::HttpFailure>(result) ==
                    connection::HttpFailure::kNoAnswer;
  }
  return OperatorNoAnswer{may_have_run};
}

std::vector<std::pair<connection::SocketAddress, connection::HttpResult>>
OperatorClient::SendToAll(const connection::HttpRequest& request) const {
  std::vector<std::pair<connection::SocketAddress, connection::HttpResult>>
      results;
  for (const connection::SocketAddress& address : this->operators) {
    results.emplace_back(address,
                         this->transport(address, request, this->timeout));
  }
  return results;
}

}  // namespace camphorferry::control
