#ifndef CAMPHORFERRY_PROMOTION_MODEL_CONTEXT_H_
#define CAMPHORFERRY_PROMOTION_MODEL_CONTEXT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Session/session.h"

namespace camphorferry::session {

/// What a model checks.
enum class ModelGuarantee {
  /// A promoted database has every commit that was acknowledged before.
  kNoneLost,
  /// After a promotion no other commit of an older term is acknowledged.
  kOnePrimary,
  /// Orders reach the platform with tokens that never fall, and that no two
  /// daemons share.
  kFencesRise,
  /// kNoneLost and kFencesRise.
  kNoneLostAndFencesRise,
  /// kNoneLost and kOnePrimary.
  kNoneLostNorLate
};

/// Why a lost commit is not a fault of the promotion.
enum class LossExcuse {
  /// Every daemon process that had passed the acknowledgement on was killed
  /// before the order, and every database with a copy did not run, had never
  /// been listed, or had been out of the list for the retention of former
  /// members.
  kWitnessesGone,
  /// The promoted database has started again empty since its last answer.
  kPromotedRestarted,
  /// A settled group: only a database that the passing daemon did not know had
  /// confirmed the commit, and the copies are as in kWitnessesGone.
  kConfirmedUnlisted
};

/// How many lost commits were excused, and how many were acknowledged.
struct LossCounts {
  std::map<LossExcuse, int> excused;
  int acknowledged = 0;
  int promotions = 0;
};

/// Virtual time with tasks that run later.
class VirtualTime {
 public:
  common::SteadyTime Now() const { return this->now; }
  void RunLater(std::chrono::milliseconds delay, std::function<void()> task);
  /// Runs the tasks that are due within the duration.
  void Advance(std::chrono::milliseconds duration);

 private:
  common::SteadyTime now{std::chrono::hours(1)};
  std::uint64_t next_number = 0;
  std::map<std::pair<common::SteadyTime, std::uint64_t>, std::function<void()>>
      tasks;
};

/// What the parts of a model share: time, randomness and the trace.
struct ModelContext {
  ModelContext(ModelGuarantee guarantee, std::uint32_t seed)
      : random(seed), guarantee(guarantee) {}

  /// A random time between two bounds.
  std::chrono::milliseconds Between(int shortest, int longest);
  bool Happens(int percent);
  void Trace(const std::string& line);

  VirtualTime time;
  std::mt19937 random;
  std::vector<std::string> trace;
  ModelGuarantee guarantee;
  /// How the guarantee was broken first; it holds so far if empty.
  std::string violation;
  LossCounts losses;
  /// Number of the current process of each daemon.
  std::vector<int> daemon_processes;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_PROMOTION_MODEL_CONTEXT_H_
