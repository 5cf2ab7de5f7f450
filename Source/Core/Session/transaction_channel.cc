#include "Session/transaction_channel.h"

#include <utility>

#include "Session/endpoint_pool.h"

namespace camphorferry::session {

bool IsUsable(const TransactionChannel& channel) {
  return std::visit(common::Overloaded{
                        [](std::monostate) { return false; },
                        [](const std::shared_ptr<EndpointChannel>& own) {
                          return own->Usable();
                        },
                        [](const ForwardedTransaction&) { return true; },
                    },
                    channel);
}

common::EndpointId EndpointOf(const TransactionChannel& channel) {
  return std::visit(common::Overloaded{
                        [](std::monostate) { return common::EndpointId(); },
                        [](const std::shared_ptr<EndpointChannel>& own) {
                          return own->Endpoint();
                        },
                        [](const ForwardedTransaction& forwarded) {
                          return forwarded.endpoint;
                        },
                    },
                    channel);
}

void RollBack(TransactionChannel* channel) {
  const TransactionChannel ended = std::exchange(*channel, std::monostate());
  std::visit(
      common::Overloaded{
          [](std::monostate) {},
          [](const std::shared_ptr<EndpointChannel>& own) {
            RollBackAndReturnToPool(own);
          },
          [](const ForwardedTransaction& forwarded) { forwarded.roll_back(); },
      },
      ended);
}

}  // namespace camphorferry::session
