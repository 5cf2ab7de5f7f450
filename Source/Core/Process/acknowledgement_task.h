#ifndef CAMPHORFERRY_PROCESS_ACKNOWLEDGEMENT_TASK_H_
#define CAMPHORFERRY_PROCESS_ACKNOWLEDGEMENT_TASK_H_

#include <functional>
#include <memory>
#include <vector>

#include "Process/acknowledgement_tracker.h"
#include "Process/confirm_batcher.h"

namespace camphorferry::process {

/// Asks the owner of an endpoint's connections whether the endpoint holds an
/// entry; the owner may be this daemon or another.
using ConfirmRouter = std::function<void(
    const common::EndpointId& endpoint, common::LogPosition position,
    common::Duration wait, ConfirmBatcher::Callback done)>;

/// Carries out the acknowledgement rule for one executed statement.
class AcknowledgementTask
    : public std::enable_shared_from_this<AcknowledgementTask> {
 public:
  /// Receives true if the statement may be acknowledged.
  using Callback = std::function<void(bool acknowledged)>;

  AcknowledgementTask(connection::EventLoop* loop,
                      const ExecutedStatement& execution,
                      const std::vector<common::EndpointId>& replicas,
                      common::SteadyTime deadline, ConfirmRouter router,
                      Callback done);

  /// Starts asking; the task keeps itself alive until its end.
  void Start();

 private:
  void Perform(const AcknowledgementDecision& decision);
  void Handle(const AcknowledgementEvent& event);
  void Finish(bool acknowledged);

  connection::EventLoop* loop;
  AcknowledgementTracker rule;
  ConfirmRouter router;
  Callback done;
  std::unique_ptr<connection::Timer> tick;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_ACKNOWLEDGEMENT_TASK_H_
