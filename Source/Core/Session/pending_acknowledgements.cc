#include "Session/pending_acknowledgements.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorferry::session {

void PendingAcknowledgements::Add(common::LogPosition end,
                                  common::SteadyTime asked,
                                  common::SteadyTime until,
                                  std::function<void(bool confirmed)> done) {
  this->commits.push_back({end, asked, until, std::move(done)});
}

void PendingAcknowledgements::OnConfirmed(common::LogPosition position,
                                          common::SteadyTime round_started,
                                          common::SteadyTime now) {
  this->End(
      [position, round_started, now](const PendingCommit& commit) {
        return commit.end.term == position.term && commit.end <= position &&
               commit.asked <= round_started && commit.until > now;
      },
      true);
}

void PendingAcknowledgements::OnTick(common::SteadyTime now) {
  this->End([now](const PendingCommit& commit) { return commit.until <= now; },
            false);
}

void PendingAcknowledgements::End(
    const std::function<bool(const PendingCommit&)>& selects, bool confirmed) {
  const auto ended = std::stable_partition(
      this->commits.begin(), this->commits.end(),
      [&selects](const PendingCommit& commit) { return !selects(commit); });
  // Callbacks may change the list or destroy this object.
  const std::vector<PendingCommit> removed(
      std::make_move_iterator(ended),
      std::make_move_iterator(this->commits.end()));
  this->commits.erase(ended, this->commits.end());
  const std::shared_ptr<bool> still_alive = this->alive;
  for (const PendingCommit& commit : removed) {
    commit.done(confirmed);
    if (!*still_alive) return;
  }
}

}  // namespace camphorferry::session
