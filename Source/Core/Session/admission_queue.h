#ifndef CAMPHORFERRY_SESSION_ADMISSION_QUEUE_H_
#define CAMPHORFERRY_SESSION_ADMISSION_QUEUE_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "Session/admission.h"

namespace camphorferry::session {

/// Operations of one workspace at one daemon that are to be admitted by the
/// owner of its rate. Answers a workspace that sends many times its rate
/// through all daemons: its rate owner is one host, which must not be asked for
/// each operation. Few requests are in progress at a time and each
/// contains all operations that wait; after a refusal, operations are refused
/// without asking until the time that the owner has named.
class AdmissionQueue {
 public:
  /// The operation waits for a later request.
  struct Wait {};
  /// A request for all waiting operations is to be sent.
  struct Ask {
    std::uint32_t operations = 0;
  };
  /// The operation is refused. A client that returns after this time finds its
  /// turn among those that were refused before.
  struct Refuse {
    common::Duration retry_after;
  };
  using Step = std::variant<Wait, Ask, Refuse>;

  /// What becomes of an operation that has arrived.
  Step OnOperation(common::SteadyTime now);

  /// A request has ended, without a reply of the owner if there is none.
  void OnReply(const std::optional<AdmissionReply>& reply,
               common::SteadyTime now);

  /// What becomes of the operations that wait, after a request has ended: all
  /// are asked for, or all are refused, or they go on waiting.
  Step OnWaiting(common::SteadyTime now);

  /// The time after which the client of a refused operation should return.
  common::Duration NextRetry(common::SteadyTime now);

 private:
  /// Takes all waiting operations into a request.
  Ask TakeWaiting();

  std::uint32_t waiting = 0;
  std::uint32_t requests = 0;
  /// Until when operations are refused without asking.
  common::SteadyTime refuse_until;
  /// Interval at which this daemon may expect an operation to be admitted.
  common::Duration turn_interval = common::Duration::zero();
  /// Operations that were refused since the owner's last reply.
  std::int64_t refused = 0;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_ADMISSION_QUEUE_H_
