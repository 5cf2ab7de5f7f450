#ifndef CAMPHORFERRY_PROCESS_LENDER_SELECTOR_H_
#define CAMPHORFERRY_PROCESS_LENDER_SELECTOR_H_

#include <map>
#include <optional>
#include <vector>

#include "Common/common.h"
#include "Process/local_rate_limiter.h"

namespace camphorferry::process {

/// Selects the peer to ask for a workspace's next rate loan.
class LenderSelector {
 public:
  /// Selects the least recently asked of the peers without a running loan to
  /// this daemon; among peers never asked, the first in the list. Empty if all
  /// peers are lending.
  std::optional<common::HostId> Select(const std::vector<common::HostId>& peers,
                                       common::SteadyTime now);

  /// Records a peer's reply to a loan request.
  void OnLoanReply(const common::HostId& lender, const RateLoan& loan,
                   common::SteadyTime now);

 private:
  struct Lender {
    common::SteadyTime last_request;
    /// When the loan that it granted has ended at the lender.
    std::optional<common::SteadyTime> lending_until;
  };

  std::map<common::HostId, Lender> lenders;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_LENDER_SELECTOR_H_
