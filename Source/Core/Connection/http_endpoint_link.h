#ifndef CAMPHORFERRY_CONNECTION_HTTP_ENDPOINT_LINK_H_
#define CAMPHORFERRY_CONNECTION_HTTP_ENDPOINT_LINK_H_

#include "Connection/endpoint_link.h"
#include "Connection/http_client.h"

namespace camphorferry::connection {

/// EndpointLink over HTTP/1.1 with JSON bodies.
class HttpEndpointLink : public EndpointLink {
 public:
  HttpEndpointLink(EventLoop* loop, const SocketAddress& address);

  void Execute(const StatementCall& call, common::Duration timeout,
               std::function<void(StatementReply)> done) override;
  void Confirm(common::LogPosition position, common::Duration wait,
               common::Duration timeout,
               std::function<void(ConfirmReply)> done) override;
  void Status(common::Duration timeout,
              std::function<void(ControlResult<EndpointStatus>)> done) override;
  void Fence(common::Term term, const std::string& proposer,
             common::Duration timeout,
             std::function<void(ControlResult<FenceReply>)> done) override;
  void Promote(
      common::Term term, const std::string& proposer, common::Duration timeout,
      std::function<void(ControlResult<ControlAccepted>)> done) override;
  void Follow(
      common::Term term, const std::string& proposer,
      const std::string& primary_address, common::Duration timeout,
      std::function<void(ControlResult<ControlAccepted>)> done) override;
  bool Busy() const override;
  bool Usable() const override;

 private:
  void Post(const std::string& path, const std::string& body,
            common::Duration timeout, HttpClientConnection::Callback callback);

  HttpClientConnection connection;
};

}  // namespace camphorferry::connection

#endif  // CAMPHORFERRY_CONNECTION_HTTP_ENDPOINT_LINK_H_
