#ifndef CAMPHORFERRY_LOAD_WRITE_HISTORY_H_
#define CAMPHORFERRY_LOAD_WRITE_HISTORY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Common/common.h"

namespace camphorferry::load {

/// Outcome of a write from the client's point of view.
enum class WriteOutcome { kAcknowledged, kNotRun, kUnknown };

/// Consistency violations found by the final check of the databases' content.
struct ConsistencyFindings {
  /// Acknowledged writes whose effect is missing.
  std::uint64_t lost_acknowledged = 0;
  /// Additions to balances beyond one for each contribution.
  std::uint64_t duplicated = 0;
  /// Writes that were reported as not run but have had an effect.
  std::uint64_t false_not_run = 0;
  /// Writes with an unknown outcome that have had an effect. Not a violation.
  std::uint64_t unknown_that_ran = 0;
  /// Accounts that could not be read for the check.
  std::uint64_t unreadable_accounts = 0;
};

/// Records the outcomes of all writes as the client saw them, so that they can
/// be compared with the databases' content. Each write inserts one contribution
/// with a unique number and adds 1 to the account's balance in the same
/// transaction, so that lost and duplicated writes can be detected.
class WriteHistory {
 public:
  /// Records the outcome of a write to an account.
  void Record(const std::string& account, std::uint64_t number,
              WriteOutcome outcome);

  /// Minimum balance that the session must read: the number of acknowledged
  /// writes.
  std::int64_t MinBalance(const std::string& account) const;

  /// Maximum balance that the session can read: acknowledged writes and those
  /// with an unknown outcome.
  std::int64_t MaxBalance(const std::string& account) const;

  /// Accounts for which a write was recorded.
  std::vector<std::string> Accounts() const;

  /// Compares an account's content in the database with the recorded outcomes
  /// and adds violations to the findings.
  void Check(const std::string& account, std::int64_t balance,
             const std::set<std::uint64_t>& contributions,
             ConsistencyFindings* findings) const;

 private:
  struct Account {
    std::map<std::uint64_t, WriteOutcome> writes;
    std::int64_t acknowledged = 0;
    std::int64_t unknown = 0;
  };

  std::map<std::string, Account> accounts;
};

}  // namespace camphorferry::load

#endif  // CAMPHORFERRY_LOAD_WRITE_HISTORY_H_
