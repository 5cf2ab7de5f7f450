#ifndef CAMPHORFERRY_PROCESS_LENDER_SELECTOR_H_
#define CAMPHORFERRY_PROCESS_LENDER_SELECTOR_H_

#include <map>
#include <optional>
#include <vector>

#include "Common/common.h"
#include "Process/local_rate_limiter.h"

namespace camphorferry::process {

/// Chooses the peer that one workspace's next loan is asked from.
class LenderSelector {
 public:
  /// Of the peers whose loan is not running, the one that was not asked for the
  /// longest time, earlier ones in the list first. Empty if all are lending.
  std::optional<common::HostId> Next(const std::vector<common::HostId>& peers,
                                     common::SteadyTime now);

  /// A peer has answered.
  void OnAnswer(const common::HostId& lender, const RateLoan& loan,
                common::SteadyTime now);

 private:
  struct Lender {
    common::SteadyTime asked;
    /// When a loan that it gave is back at the lender.
    std::optional<common::SteadyTime> lending_until;
  };

  std::map<common::HostId, Lender> lenders;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_LENDER_SELECTOR_H_
