#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <optional>
#include <ostream>
#include <string>

#include "UnitTests/Core/Process/failover_simulator.h"

namespace camphorferry::process {
namespace {

using std::chrono::milliseconds;

/// Covers, after the faults end, detection, the rank delays of three
/// coordinators, an overtaken round with its backoff, and the repair of a
/// replica.
constexpr common::Duration kConvergenceTimeout = std::chrono::seconds(10);

enum class StepKind {
  kRun,
  kWrite,
  kRead,
  kDrop,
  kDuplicate,
  kDelay,
  kPauseDaemon,
  kResumeDaemon,
  kRestartDaemon,
  kSetRank,
  kCutLink,
  kRestoreLink,
  kCutDatabase,
  kRestoreDatabase,
  kStopDatabase,
  kStartDatabase,
  kStopPrimary,
  kStopReplication,
  kStartReplication,
  kHeal,
};

/// Empty: the simulation itself checks the invariants, since messages in flight
/// determine what may be observed.
struct Model {};

/// One fault or client action, followed by some simulated time.
class Step : public rc::state::Command<Model, FailoverSimulator> {
 public:
  Step()
      : kind(*rc::gen::weightedElement<StepKind>({
            {14, StepKind::kRun},
            {10, StepKind::kWrite},
            {3, StepKind::kRead},
            {4, StepKind::kDrop},
            {3, StepKind::kDuplicate},
            {4, StepKind::kDelay},
            {2, StepKind::kPauseDaemon},
            {3, StepKind::kResumeDaemon},
            {1, StepKind::kRestartDaemon},
            {1, StepKind::kSetRank},
            {2, StepKind::kCutLink},
            {2, StepKind::kRestoreLink},
            {2, StepKind::kCutDatabase},
            {3, StepKind::kRestoreDatabase},
            {1, StepKind::kStopDatabase},
            {4, StepKind::kStartDatabase},
            {4, StepKind::kStopPrimary},
            {1, StepKind::kStopReplication},
            {2, StepKind::kStartReplication},
            {4, StepKind::kHeal},
        })),
        first(*rc::gen::inRange(0, 3)),
        second(*rc::gen::inRange(0, 3)),
        message(*rc::gen::inRange(0, 20)),
        time(*rc::gen::inRange(10, 1000)) {}

  void run(const Model&, FailoverSimulator& simulator) const override {
    this->Apply(simulator);
    const bool full_length = this->kind == StepKind::kRun;
    simulator.Run(milliseconds(full_length ? this->time : this->time / 10));
    if (!simulator.Violation().empty()) RC_FAIL(simulator.Violation());
  }

  void show(std::ostream& os) const override {
    os << "Step " << static_cast<int>(this->kind) << " first=" << this->first
       << " second=" << this->second << " message=" << this->message
       << " time=" << this->time;
  }

 private:
  void Apply(FailoverSimulator& simulator) const {
    switch (this->kind) {
      case StepKind::kRun:
        return;
      case StepKind::kWrite:
        return simulator.Write(this->first);
      case StepKind::kRead:
        return simulator.Read(this->first);
      case StepKind::kDrop:
        return simulator.Drop(this->message);
      case StepKind::kDuplicate:
        return simulator.Duplicate(this->message, milliseconds(this->time));
      case StepKind::kDelay:
        return simulator.Delay(this->message, milliseconds(this->time * 4));
      case StepKind::kPauseDaemon:
        return simulator.Pause(this->first);
      case StepKind::kResumeDaemon:
        return simulator.Resume(this->first);
      case StepKind::kRestartDaemon:
        return simulator.RestartDaemon(this->first);
      case StepKind::kSetRank:
        return simulator.SetRank(this->first, this->second);
      case StepKind::kCutLink:
      case StepKind::kRestoreLink:
        return simulator.CutLink(this->first, this->second,
                                 this->kind == StepKind::kCutLink);
      case StepKind::kCutDatabase:
      case StepKind::kRestoreDatabase:
        return simulator.CutDatabase(this->first,
                                     this->kind == StepKind::kCutDatabase);
      case StepKind::kStopDatabase:
      case StepKind::kStartDatabase:
        return simulator.StopDatabase(this->first,
                                      this->kind == StepKind::kStopDatabase);
      case StepKind::kStopPrimary:
        return simulator.StopDatabase(
            simulator.CurrentPrimary().value_or(this->first), true);
      case StepKind::kStopReplication:
      case StepKind::kStartReplication:
        return simulator.StopReplication(
            this->first, this->kind == StepKind::kStopReplication);
      case StepKind::kHeal:
        return simulator.Heal(std::nullopt);
    }
  }

  StepKind kind;
  int first;
  int second;
  int message;
  int time;
};

FailoverSimulator::Options AnyOptions() {
  FailoverSimulator::Options options;
  options.start_with_primary = *rc::gen::arbitrary<bool>();
  options.seed = *rc::gen::inRange(1U, 1000U);
  return options;
}

// Guards against lost or duplicated acknowledged writes, stale reads of them,
// two primaries of one term, acknowledgements by a superseded primary, and a
// group that stays without a working primary although two databases are
// reachable.
RC_GTEST_PROP(FailoverStatefulTest, AnyFaults_Settle_KeepsAcknowledgedWrites,
              ()) {
  FailoverSimulator simulator(AnyOptions());
  rc::state::check(Model{}, simulator,
                   rc::state::gen::execOneOfWithArgs<Step>());
  const int disconnected = *rc::gen::inRange(0, 4);
  simulator.Heal(disconnected < FailoverSimulator::kDatabases
                     ? std::make_optional(disconnected)
                     : std::nullopt);
  const common::SteadyTime start = simulator.Now();
  RC_ASSERT(simulator.WaitForConvergence(kConvergenceTimeout));
  simulator.CheckWrites();
  if (!simulator.Violation().empty()) RC_FAIL(simulator.Violation());
  RC_CLASSIFY(simulator.HighestPromoted() > 2, "several failovers");
  RC_CLASSIFY(simulator.Acknowledged() > 5, "many writes");
  RC_CLASSIFY(simulator.Now() - start > std::chrono::seconds(3),
              "slow to settle");
}

class FailoverScenarioTest : public testing::Test {
 protected:
  /// Writes while at most one replica replicates, kills the primary and returns
  /// the violation found after the failover.
  static std::string KillPrimary(FailoverSimulator::Options options,
                                 bool replicate) {
    FailoverSimulator simulator(options);
    simulator.Run(milliseconds(500));
    simulator.StopReplication(1, true);
    simulator.StopReplication(2, !replicate);
    simulator.Run(milliseconds(200));
    for (int i = 0; i < 5; ++i) {
      simulator.Write(i % FailoverSimulator::kDaemons);
      simulator.Run(milliseconds(100));
    }
    simulator.StopDatabase(0, true);
    simulator.Run(std::chrono::seconds(3));
    simulator.Heal(std::nullopt);
    EXPECT_TRUE(simulator.WaitForConvergence(kConvergenceTimeout));
    simulator.CheckWrites();
    return simulator.Violation();
  }

  /// Number of latency patterns in which the simulation reports a lost write.
  static int CountLosses(FailoverSimulator::Options options, bool replicate) {
    int losses = 0;
    for (options.seed = 1; options.seed <= 20; ++options.seed) {
      const std::string violation = KillPrimary(options, replicate);
      if (violation.starts_with("lost write")) ++losses;
    }
    return losses;
  }
};

// Checks that the simulation detects the loss of writes that only the failed
// primary held.
TEST_F(FailoverScenarioTest, PrimaryAloneAcknowledges_Kill_LosesWrites) {
  FailoverSimulator::Options options;
  EXPECT_EQ(CountLosses(options, false), 0);
  options.acknowledgement.require_replica = false;
  EXPECT_EQ(CountLosses(options, false), 20);
}

// Checks that the simulation detects the promotion of a database that lacks
// acknowledged writes.
TEST_F(FailoverScenarioTest, AnyFencedPromoted_Kill_LosesWrites) {
  FailoverSimulator::Options options;
  EXPECT_EQ(CountLosses(options, true), 0);
  options.failover.promote_most_advanced = false;
  EXPECT_GT(CountLosses(options, true), 0);
}

// Guards against a coordinator that does not handle a second failure after a
// failover.
TEST_F(FailoverScenarioTest, PrimaryKilledTwice_Settle_PromotesTwice) {
  FailoverSimulator simulator({});
  for (common::Term term = 2; term <= 3; ++term) {
    simulator.Run(std::chrono::seconds(1));
    simulator.StopDatabase(*simulator.CurrentPrimary(), true);
    simulator.Run(std::chrono::seconds(2));
    EXPECT_EQ(simulator.HighestPromoted(), term);
    simulator.Heal(std::nullopt);
    EXPECT_TRUE(simulator.WaitForConvergence(kConvergenceTimeout));
  }
}

// Guards against daemons that reach different databases and replace each
// other's primary several times per second, which leaves no time for writes.
TEST_F(FailoverScenarioTest, DisjointLinkCuts_LongRun_ChangesAreRare) {
  FailoverSimulator sim({});
  for (int i = 0; i < FailoverSimulator::kDaemons; ++i) sim.CutLink(i, i, true);
  sim.Run(std::chrono::seconds(60));
  EXPECT_LE(sim.HighestPromoted(), 30U);
}

}  // namespace
}  // namespace camphorferry::process
