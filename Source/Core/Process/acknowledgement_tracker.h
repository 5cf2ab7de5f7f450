#ifndef CAMPHORFERRY_PROCESS_ACKNOWLEDGEMENT_TRACKER_H_
#define CAMPHORFERRY_PROCESS_ACKNOWLEDGEMENT_TRACKER_H_

#include <optional>
#include <variant>
#include <vector>

#include "Common/common.h"

namespace camphorferry::process {

/// What a primary reported about a write or a read that it executed.
struct ExecutedStatement {
  common::EndpointId endpoint;
  common::Term term = 0;
  /// Position of the written entry, or the primary's last position for a read
  /// and for a replayed write.
  common::LogPosition position;
};

/// A replica answered a confirm request.
struct ConfirmReply {
  common::EndpointId endpoint;
  bool held = false;
  common::Term fence = 0;
  common::LogPosition position;
};

/// A confirm request got no answer.
struct ConfirmFailed {
  common::EndpointId endpoint;
};

/// Time has passed.
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

/// Report the outcome as unknown; a later answer changes nothing.
struct ReportUnknown {
  /// Set if a replica was fenced above the execution's term, which shows that
  /// the primary is being or has been replaced.
  std::optional<common::Term> superseded_by;
};

using AcknowledgementDecision =
    std::variant<Acknowledge, RequestConfirmation, AwaitReply, ReportUnknown>;

/// Rules that only tests change, to show that they notice the consequences.
struct AcknowledgementPolicy {
  /// If false, the primary's answer alone is acknowledged.
  bool require_replica = true;
};

/// Decides whether one executed write or primary read may be acknowledged. It
/// may once a replica holds the position and is not fenced above the term: any
/// fenced majority then includes a database that holds the entry.
class AcknowledgementTracker {
 public:
  /// The replicas are asked in the given order.
  AcknowledgementTracker(ExecutedStatement execution,
                         const std::vector<common::EndpointId>& replicas,
                         common::SteadyTime deadline,
                         AcknowledgementPolicy policy = {});

  /// The first decision, to be taken right after the execution.
  AcknowledgementDecision Start(common::SteadyTime now);

  /// Takes an event and decides what to do next. After Acknowledge or
  /// ReportUnknown the decision stays the same.
  AcknowledgementDecision Handle(const AcknowledgementEvent& event,
                                 common::SteadyTime now);

  /// Highest fence above the execution's term that a replica has reported.
  std::optional<common::Term> SupersededBy() const {
    return this->superseded_by;
  }

 private:
  struct Replica {
    common::EndpointId id;
    bool asked = false;
    bool fenced_above = false;
    /// A replica is asked again only after a pause.
    common::SteadyTime not_before;
  };

  void On(const ConfirmReply& event, common::SteadyTime now);
  void On(const ConfirmFailed& event, common::SteadyTime now);
  void On(const AcknowledgementTick& event, common::SteadyTime now);
  AcknowledgementDecision Decide(common::SteadyTime now);
  AcknowledgementDecision Unknown();
  Replica* NextReplica(common::SteadyTime now);
  Replica* Find(const common::EndpointId& endpoint);

  ExecutedStatement execution;
  std::vector<Replica> replicas;
  common::SteadyTime deadline;
  AcknowledgementPolicy policy;
  std::optional<common::SteadyTime> asked_at;
  std::optional<common::Term> superseded_by;
  bool confirmed = false;
  bool given_up = false;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_ACKNOWLEDGEMENT_TRACKER_H_
