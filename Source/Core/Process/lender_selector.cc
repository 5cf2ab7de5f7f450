#include "Process/lender_selector.h"

#include <chrono>

namespace camphorferry::process {

namespace {

using common::Duration;
using common::HostId;
using common::SteadyTime;

/// A peer that was not asked for this long is removed, so that entries of
/// replaced hosts do not accumulate.
constexpr Duration kIdleLenderExpiry = std::chrono::minutes(5);

}  // namespace

std::optional<HostId> LenderSelector::Select(const std::vector<HostId>& peers,
                                             SteadyTime now) {
  std::erase_if(this->lenders, [now](const auto& entry) {
    return entry.second.last_request + kIdleLenderExpiry < now;
  });
  std::optional<HostId> choice;
  std::optional<SteadyTime> choice_last_request;
  for (const HostId& peer : peers) {
    const auto known = this->lenders.find(peer);
    if (known == this->lenders.end()) {
      choice = peer;
      break;
    }
    const Lender& lender = known->second;
    if (lender.lending_until && now < *lender.lending_until) {
      continue;
    }
    if (!choice || lender.last_request < *choice_last_request) {
      choice = peer;
      choice_last_request = lender.last_request;
    }
  }
  if (choice) {
    this->lenders[*choice].last_request = now;
  }
  return choice;
}

void LenderSelector::OnLoanReply(const HostId& lender, const RateLoan& loan,
                                 SteadyTime now) {
  const auto known = this->lenders.find(lender);
  if (known == this->lenders.end() || loan.Empty()) {
    return;
  }
  // The lender granted the loan before now, so this is a safe upper bound.
  known->second.lending_until = now + GrantorPeriod(kLoanDuration);
}

}  // namespace camphorferry::process
