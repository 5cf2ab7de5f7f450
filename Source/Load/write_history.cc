#include "Load/write_history.h"

namespace camphorferry::load {

void WriteHistory::Record(const std::string& account, std::uint64_t number,
                          WriteOutcome outcome) {
  Account& entry = this->accounts[account];
  entry.writes[number] = outcome;
  if (outcome == WriteOutcome::kAcknowledged) ++entry.acknowledged;
  if (outcome == WriteOutcome::kUnknown) ++entry.unknown;
}

std::int64_t WriteHistory::MinBalance(const std::string& account) const {
  const auto found = this->accounts.find(account);
  return found == this->accounts.end() ? 0 : found->second.acknowledged;
}

std::int64_t WriteHistory::MaxBalance(const std::string& account) const {
  const auto found = this->accounts.find(account);
  if (found == this->accounts.end()) return 0;
  return found->second.acknowledged + found->second.unknown;
}

std::vector<std::string> WriteHistory::Accounts() const {
  std::vector<std::string> names;
  for (const auto& [name, account] : this->accounts) names.push_back(name);
  return names;
}

void WriteHistory::Check(const std::string& account, std::int64_t balance,
                         const std::set<std::uint64_t>& contributions,
                         ConsistencyFindings* findings) const {
  const auto found = this->accounts.find(account);
  if (found == this->accounts.end()) return;
  for (const auto& [number, outcome] : found->second.writes) {
    const bool ran = contributions.contains(number);
    if (outcome == WriteOutcome::kAcknowledged && !ran) {
      ++findings->lost_acknowledged;
    }
    if (outcome == WriteOutcome::kNotRun && ran) ++findings->false_not_run;
    if (outcome == WriteOutcome::kUnknown && ran) ++findings->unknown_that_ran;
  }
  // Each contribution must have added 1 to the balance exactly once.
  const auto expected = static_cast<std::int64_t>(contributions.size());
  if (balance > expected) {
    findings->duplicated += static_cast<std::uint64_t>(balance - expected);
  }
  if (balance < expected) {
    findings->lost_acknowledged +=
        static_cast<std::uint64_t>(expected - balance);
  }
}

}  // namespace camphorferry::load
