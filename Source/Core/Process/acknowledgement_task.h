#ifndef CAMPHORFERRY_PROCESS_ACKNOWLEDGEMENT_TASK_H_
#define CAMPHORFERRY_PROCESS_ACKNOWLEDGEMENT_TASK_H_

#include <functional>
#include <memory>
#include <vector>

#include "Process/acknowledgement_tracker.h"
#include "Process/confirm_batcher.h"

namespace camphorferry::process {

/// Sends a confirm request to the owner of an endpoint's connections, which may
/// be this daemon or another one.
using ConfirmRouter = std::function<void(
    const common::EndpointId& endpoint, common::LogPosition position,
    common::Duration wait, ConfirmBatcher::Callback done)>;

/// Waits until one executed statement may be acknowledged: sends the confirm
/// requests that the AcknowledgementTracker decides on.
class AcknowledgementTask
    : public std::enable_shared_from_this<AcknowledgementTask> {
 public:
  /// Receives true if the statement may be acknowledged, false if its outcome
  /// is unknown.
  using Callback = std::function<void(bool acknowledged)>;

  AcknowledgementTask(connection::EventLoop* loop,
                      const ExecutedStatement& statement,
                      const std::vector<common::EndpointId>& replicas,
                      common::SteadyTime deadline, ConfirmRouter router,
                      Callback done);

  /// Starts the confirm requests. The task keeps itself alive until it ends.
  void Start();

 private:
  void Perform(const AcknowledgementDecision& decision);
  void Handle(const AcknowledgementEvent& event);
  void Finish(bool acknowledged);

  connection::EventLoop* loop;
  AcknowledgementTracker tracker;
  ConfirmRouter router;
  Callback done;
  std::unique_ptr<connection::Timer> tick;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_ACKNOWLEDGEMENT_TASK_H_
