#ifndef CAMPHORFERRY_SESSION_CLOSING_TASK_H_
#define CAMPHORFERRY_SESSION_CLOSING_TASK_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "Session/closing_poll.h"
#include "Session/group_context.h"

namespace camphorferry::session {

/// Closes and opens the terms of one service: writes the lease record, and
/// tells all daemons.
class ClosingTask {
 public:
  ClosingTask(GroupContext context, common::ServiceId service);
  ~ClosingTask();
  ClosingTask(const ClosingTask&) = delete;
  ClosingTask& operator=(const ClosingTask&) = delete;

  /// Closes the terms below the given one at all daemons, which takes up to
  /// 3 s if a daemon does not answer. Calls back once, with none if the store
  /// does not answer or the lease was lost, unless another call follows before.
  void Close(common::Term below,
             std::function<void(const std::optional<TermsClosed>&)> done);

  /// Opens the terms from the given one on.
  void Open(common::Term below);

  /// Ends the closing in progress without calling back.
  void Cancel();

 private:
  struct Closing {
    CloseTermRequest request;
    std::optional<ClosingPoll> poll;
    common::SteadyTime started;
    common::SteadyTime written;
    std::function<void(const std::optional<TermsClosed>&)> done;
    std::unique_ptr<connection::Timer> timer;
  };

  /// Lists the hosts after the entry was written, and asks them.
  void AskAll(const std::shared_ptr<Closing>& closing);
  void Ask(const std::shared_ptr<Closing>& closing, const FleetHost& host);
  /// Ends the closing if it is complete.
  void Check(const std::shared_ptr<Closing>& closing);
  void End(const std::shared_ptr<Closing>& closing,
           const std::optional<TermsClosed>& result);

  GroupContext context;
  common::ServiceId service;
  /// The daemons that were asked last.
  std::vector<FleetHost> hosts;
  std::shared_ptr<Closing> current;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_CLOSING_TASK_H_
