#ifndef CAMPHORFERRY_SESSION_HEDGE_BUDGET_H_
#define CAMPHORFERRY_SESSION_HEDGE_BUDGET_H_

#include <algorithm>

namespace camphorferry::session {

/// Token bucket that limits hedged reads: reads that are sent to a second
/// member while the first answer is outstanding. Without a limit, a group whose
/// members are all slow would get twice the load when it can handle it least.
class HedgeBudget {
 public:
  /// Counts a read that was sent for the first time.
  void OnRead() {
    this->tokens = std::min(this->tokens + kTokensPerRead, kMaxTokens);
  }

  /// Takes a token for one more hedged read; returns false if there is none.
  bool TryTake() {
    if (this->tokens < 1) return false;
    this->tokens -= 1;
    return true;
  }

 private:
  /// Fraction of all reads that may be hedged in the long run.
  static constexpr double kTokensPerRead = 0.1;
  /// Hedged reads that may be sent at once: those that a daemon has in progress
  /// at an endpoint at the moment when it stops answering.
  static constexpr double kMaxTokens = 10;

  double tokens = kMaxTokens;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_HEDGE_BUDGET_H_
