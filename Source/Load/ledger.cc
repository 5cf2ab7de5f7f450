#include "Load/ledger.h"

namespace camphorferry::load {

void Ledger::Record(const std::string& account, std::uint64_t number,
                    WriteEnd end) {
  Account& entry = this->accounts[account];
  entry.writes[number] = end;
  if (end == WriteEnd::kAcknowledged) ++entry.acknowledged;
  if (end == WriteEnd::kUnknown) ++entry.unknown;
}

std::int64_t Ledger::Acknowledged(const std::string& account) const {
  const auto found = this->accounts.find(account);
  return found == this->accounts.end() ? 0 : found->second.acknowledged;
}

std::int64_t Ledger::Possible(const std::string& account) const {
  const auto found = this->accounts.find(account);
  if (found == this->accounts.end()) return 0;
  return found->second.acknowledged + found->second.unknown;
}

std::vector<std::string> Ledger::Accounts() const {
  std::vector<std::string> names;
  for (const auto& [name, account] : this->accounts) names.push_back(name);
  return names;
}

void Ledger::Check(const std::string& account, std::int64_t balance,
                   const std::set<std::uint64_t>& contributions,
                   LedgerFindings* findings) const {
  const auto found = this->accounts.find(account);
  if (found == this->accounts.end()) return;
  for (const auto& [number, end] : found->second.writes) {
    const bool present = contributions.contains(number);
    if (end == WriteEnd::kAcknowledged && !present) {
      ++findings->lost_acknowledged;
    }
    if (end == WriteEnd::kNotRun && present) ++findings->false_not_run;
    if (end == WriteEnd::kUnknown && present) ++findings->settled_unknown;
  }
  // Each contribution may add to the balance once only.
  const auto expected = static_cast<std::int64_t>(contributions.size());
  if (balance > expected) {
    findings->doubled += static_cast<std::uint64_t>(balance - expected);
  }
  if (balance < expected) {
    findings->lost_acknowledged +=
        static_cast<std::uint64_t>(expected - balance);
  }
}

}  // namespace camphorferry::load
