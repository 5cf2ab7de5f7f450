#include "Process/lender_selector.h"

#include <chrono>

namespace camphorferry::process {

namespace {

using common::Duration;
using common::HostId;
using common::SteadyTime;

/// A peer not asked for this long is forgotten, so that replaced hosts do not
/// pile up.
constexpr Duration kForgetAfter = std::chrono::minutes(5);

}  // namespace

std::optional<HostId> LenderSelector::Next(const std::vector<HostId>& peers,
                                           SteadyTime now) {
  std::erase_if(this->lenders, [now](const auto& entry) {
    return entry.second.asked + kForgetAfter < now;
  });
  std::optional<HostId> choice;
  std::optional<SteadyTime> choice_asked;
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
    if (!choice || lender.asked < *choice_asked) {
      choice = peer;
      choice_asked = lender.asked;
    }
  }
  if (choice) {
    this->lenders[*choice].asked = now;
  }
  return choice;
}

void LenderSelector::OnAnswer(const HostId& lender, const RateLoan& loan,
                              SteadyTime now) {
  const auto known = this->lenders.find(lender);
  if (known == this->lenders.end() || loan.Empty()) {
    return;
  }
  // The lender granted it before now.
  known->second.lending_until = now + GrantorPeriod(kLoanDuration);
}

}  // namespace camphorferry::process
