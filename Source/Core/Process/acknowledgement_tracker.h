#ifndef CAMPHORFERRY_PROCESS_ACKNOWLEDGEMENT_TRACKER_H_
#define CAMPHORFERRY_PROCESS_ACKNOWLEDGEMENT_TRACKER_H_

#include <optional>
#include <variant>
#include <vector>

#include "Common/common.h"

namespace camphorferry::process {

/// A write or read that a primary executed, as reported in its reply.
struct ExecutedStatement {
  common::EndpointId endpoint;
  common::Term term = 0;
  /// Position of the written entry, or the primary's last position for a read
  /// and for a replayed write.
  common::LogPosition position;
};

/// A replica responded to a confirm request.
struct ConfirmReply {
  common::EndpointId endpoint;
  bool held = false;
  common::Term fence = 0;
  common::LogPosition position;
};

/// A confirm request got no response.
struct ConfirmFailed {
  common::EndpointId endpoint;
};

/// Periodic tick.
struct AcknowledgementTick {};

using AcknowledgementEvent =
    std::variant<ConfirmReply, ConfirmFailed, AcknowledgementTick>;

/// The result is durable: send it to the client.
struct Acknowledge {};

/// Ask a replica whether it holds the position.
struct RequestConfirmation {
  common::EndpointId endpoint;
  common::LogPosition position;
  /// The replica waits this long for the entry before it answers.
  common::Duration wait = common::Duration::zero();
};

/// Wait for the next event.
struct AwaitReply {};

/// Report the outcome as unknown. The decision is final.
struct ReportUnknown {
  /// Set if a replica is fenced above the statement's term, which shows that
  /// the primary is being or has been replaced.
  std::optional<common::Term> superseded_by;
};

using AcknowledgementDecision =
    std::variant<Acknowledge, RequestConfirmation, AwaitReply, ReportUnknown>;

/// Safety rules that only tests disable, to verify that the violations are
/// detected.
struct AcknowledgementPolicy {
  /// If false, a statement is acknowledged without a replica's confirmation.
  bool require_replica = true;
};

/// Tracks the replica confirmations of one executed write or primary read and
/// decides when it may be acknowledged to the client.
///
/// A statement may be acknowledged once a replica holds its log position and is
/// not fenced above its term: any fenced majority then includes a database that
/// holds the entry, so a promotion keeps it.
class AcknowledgementTracker {
 public:
  /// The replicas are asked in the given order.
  AcknowledgementTracker(ExecutedStatement statement,
                         const std::vector<common::EndpointId>& replicas,
                         common::SteadyTime deadline,
                         AcknowledgementPolicy policy = {});

  /// Returns the first decision. To be called right after the execution.
  AcknowledgementDecision Start(common::SteadyTime now);

  /// Handles an event and returns the next decision. Acknowledge and
  /// ReportUnknown are final.
  AcknowledgementDecision Handle(const AcknowledgementEvent& event,
                                 common::SteadyTime now);

  /// Highest fence above the statement's term that a replica has reported.
  std::optional<common::Term> SupersededBy() const {
    return this->superseded_by;
  }

 private:
  struct Replica {
    common::EndpointId id;
    bool request_pending = false;
    bool fenced_above = false;
    /// Earliest time of the next request to this replica.
    common::SteadyTime retry_not_before;
  };

  void On(const ConfirmReply& event, common::SteadyTime now);
  void On(const ConfirmFailed& event, common::SteadyTime now);
  void On(const AcknowledgementTick& event, common::SteadyTime now);
  AcknowledgementDecision Decide(common::SteadyTime now);
  AcknowledgementDecision GiveUp();
  Replica* NextReplica(common::SteadyTime now);
  Replica* Find(const common::EndpointId& endpoint);

  ExecutedStatement statement;
  std::vector<Replica> replicas;
  common::SteadyTime deadline;
  AcknowledgementPolicy policy;
  std::optional<common::SteadyTime> last_request;
  std::optional<common::Term> superseded_by;
  bool confirmed = false;
  bool outcome_unknown = false;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_ACKNOWLEDGEMENT_TRACKER_H_
