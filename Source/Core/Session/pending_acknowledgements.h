#ifndef CAMPHORFERRY_SESSION_PENDING_ACKNOWLEDGEMENTS_H_
#define CAMPHORFERRY_SESSION_PENDING_ACKNOWLEDGEMENTS_H_

#include <functional>
#include <memory>
#include <vector>

#include "Common/common.h"

namespace camphorferry::session {

/// Commits of a group of which clients are told once a listed replica is known
/// to have them. A callback may call any method and may destroy the object,
/// which drops the callbacks that have not been called.
class PendingAcknowledgements {
 public:
  PendingAcknowledgements() = default;
  ~PendingAcknowledgements() { *this->alive = false; }
  PendingAcknowledgements(const PendingAcknowledgements&) = delete;
  PendingAcknowledgements& operator=(const PendingAcknowledgements&) = delete;

  /// Adds a commit that ends at the given position, the time from which a
  /// replica has to be asked for it, and the time at which waiting for it ends.
  /// Calls back once with whether a replica has it.
  void Add(common::LogPosition end, common::SteadyTime asked,
           common::SteadyTime until, std::function<void(bool confirmed)> done);

  /// A replica of the position's term has reached the position, as it has
  /// answered in a round of status questions that was started at the given
  /// time. Confirms the commits of that term that lie up to the position and
  /// were added for this round or an earlier one. An answer that arrives when a
  /// commit's time is over does not confirm it.
  void OnConfirmed(common::LogPosition position,
                   common::SteadyTime round_started, common::SteadyTime now);

  /// Ends the commits whose time is over, unconfirmed.
  void OnTick(common::SteadyTime now);

  /// Whether no commit waits.
  bool Empty() const { return this->commits.empty(); }

 private:
  struct PendingCommit {
    common::LogPosition end;
    common::SteadyTime asked;
    common::SteadyTime until;
    std::function<void(bool confirmed)> done;
  };

  /// Removes the commits that the function selects and calls them back.
  void End(const std::function<bool(const PendingCommit&)>& selects,
           bool confirmed);

  /// In the order in which they were added.
  std::vector<PendingCommit> commits;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PENDING_ACKNOWLEDGEMENTS_H_
