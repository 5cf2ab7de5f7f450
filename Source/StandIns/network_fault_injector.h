#ifndef CAMPHORFERRY_STANDINS_NETWORK_FAULT_INJECTOR_H_
#define CAMPHORFERRY_STANDINS_NETWORK_FAULT_INJECTOR_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "Connection/connection.h"

namespace camphorferry::standins {

/// Decides which connections of a database still get answers. Responders of
/// silent connections are kept, because dropping one would send an answer.
class AnswerGate {
 public:
  /// Notes a request's connection; true if it is the connection's first one.
  bool NoteConnection(std::uint64_t connection_id);

  /// While isolated, no request on any connection is seen or answered.
  /// The end of an isolation closes the connections whose requests were lost,
  /// since their clients have given up on them; kept ones would use up the
  /// connection limit.
  void SetIsolated(bool isolated);
  bool Isolated() const { return this->isolated; }

  /// Connections that have sent a request so far get no answer again.
  void SilenceOpen() { this->silent_up_to = this->newest_connection; }

  /// True if requests and answers on the connection are lost.
  bool IsSilent(std::uint64_t connection_id) const;

  /// Keeps a connection open without an answer.
  void Hold(std::shared_ptr<connection::HttpResponder> responder);

  /// Sends the answer, or loses it if the connection is silent by now.
  void Send(std::uint64_t connection_id,
            std::shared_ptr<connection::HttpResponder> responder,
            const connection::HttpResponse& response);

 private:
  bool isolated = false;
  std::uint64_t newest_connection = 0;
  std::uint64_t silent_up_to = 0;
  std::vector<std::shared_ptr<connection::HttpResponder>> held;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_NETWORK_FAULT_INJECTOR_H_
