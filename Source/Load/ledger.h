#ifndef CAMPHORFERRY_LOAD_LEDGER_H_
#define CAMPHORFERRY_LOAD_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Common/common.h"

namespace camphorferry::load {

/// How one write ended as the client saw it.
enum class WriteEnd { kAcknowledged, kNotRun, kUnknown };

/// What the final check of the databases' content found.
struct LedgerFindings {
  std::uint64_t lost_acknowledged = 0;
  std::uint64_t doubled = 0;
  std::uint64_t false_not_run = 0;
  std::uint64_t settled_unknown = 0;
  std::uint64_t unreadable_accounts = 0;
};

/// The client's own account of its writes. Each write puts one contribution
/// with a unique number and adds 1 to the account's balance in the same
/// transaction, so that a lost or doubled write shows.
class Ledger {
 public:
  /// Records how a write of an account ended.
  void Record(const std::string& account, std::uint64_t number, WriteEnd end);

  /// Balance that a session must read at least after its writes.
  std::int64_t Acknowledged(const std::string& account) const;

  /// Balance that a session can read at most.
  std::int64_t Possible(const std::string& account) const;

  /// Accounts that were written to.
  std::vector<std::string> Accounts() const;

  /// Compares an account's content with what the client was told.
  void Check(const std::string& account, std::int64_t balance,
             const std::set<std::uint64_t>& contributions,
             LedgerFindings* findings) const;

 private:
  struct Account {
    std::map<std::uint64_t, WriteEnd> writes;
    std::int64_t acknowledged = 0;
    std::int64_t unknown = 0;
  };

  std::map<std::string, Account> accounts;
};

}  // namespace camphorferry::load

#endif  // CAMPHORFERRY_LOAD_LEDGER_H_
