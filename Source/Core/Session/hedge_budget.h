#ifndef CAMPHORFERRY_SESSION_HEDGE_BUDGET_H_
#define CAMPHORFERRY_SESSION_HEDGE_BUDGET_H_

#include <algorithm>

namespace camphorferry::session {

/// Bounds how many reads are sent a second time while their first answer is
/// outstanding. Without a bound, a group whose members are all slow would get
/// twice the load when it can bear it least.
class HedgeBudget {
 public:
  /// Counts a read that was sent for the first time.
  void OnRead() {
    this->tokens = std::min(this->tokens + kTokensPerRead, kMaxTokens);
  }

  /// Whether one more read may be repeated now; it is counted.
  bool TryTake() {
    if (this->tokens < 1) return false;
    this->tokens -= 1;
    return true;
  }

 private:
  /// Part of all reads that may be repeated in the long run.
  static constexpr double kTokensPerRead = 0.1;
  /// Repetitions that may come at once: the reads that a daemon has sent to an
  /// endpoint in the moment in which it falls silent.
  static constexpr double kMaxTokens = 10;

  double tokens = kMaxTokens;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_HEDGE_BUDGET_H_
