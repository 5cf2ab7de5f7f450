#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <optional>
#include <ostream>
#include <string>

#include "UnitTests/Core/Process/failover_simulation.h"

namespace camphorferry::process {
namespace {

using std::chrono::milliseconds;

/// After the faults end, this long covers detection, the rank delays of three
/// coordinators, a lost race with its backoff, and the repair of a replica.
constexpr common::Duration kSettleLimit = std::chrono::seconds(10);

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

/// The databases and daemons are their own model: the oracle lives in the
/// world, since messages in flight decide what may be observed.
struct Model {};

/// One fault or client action, followed by some time.
class Step : public rc::state::Command<Model, FailoverSimulation> {
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

  void run(const Model&, FailoverSimulation& world) const override {
    this->Apply(world);
    const bool long_step = this->kind == StepKind::kRun;
    world.Run(milliseconds(long_step ? this->time : this->time / 10));
    if (!world.Violation().empty()) RC_FAIL(world.Violation());
  }

  void show(std::ostream& os) const override {
    os << "Step " << static_cast<int>(this->kind) << " first=" << this->first
       << " second=" << this->second << " message=" << this->message
       << " time=" << this->time;
  }

 private:
  void Apply(FailoverSimulation& world) const {
    switch (this->kind) {
      case StepKind::kRun:
        return;
      case StepKind::kWrite:
        return world.Write(this->first);
      case StepKind::kRead:
        return world.Read(this->first);
      case StepKind::kDrop:
        return world.Drop(this->message);
      case StepKind::kDuplicate:
        return world.Duplicate(this->message, milliseconds(this->time));
      case StepKind::kDelay:
        return world.Delay(this->message, milliseconds(this->time * 4));
      case StepKind::kPauseDaemon:
        return world.Pause(this->first);
      case StepKind::kResumeDaemon:
        return world.Resume(this->first);
      case StepKind::kRestartDaemon:
        return world.RestartDaemon(this->first);
      case StepKind::kSetRank:
        return world.SetRank(this->first, this->second);
      case StepKind::kCutLink:
      case StepKind::kRestoreLink:
        return world.CutLink(this->first, this->second,
                             this->kind == StepKind::kCutLink);
      case StepKind::kCutDatabase:
      case StepKind::kRestoreDatabase:
        return world.CutDatabase(this->first,
                                 this->kind == StepKind::kCutDatabase);
      case StepKind::kStopDatabase:
      case StepKind::kStartDatabase:
        return world.StopDatabase(this->first,
                                  this->kind == StepKind::kStopDatabase);
      case StepKind::kStopPrimary:
        return world.StopDatabase(world.CurrentPrimary().value_or(this->first),
                                  true);
      case StepKind::kStopReplication:
      case StepKind::kStartReplication:
        return world.StopReplication(this->first,
                                     this->kind == StepKind::kStopReplication);
      case StepKind::kHeal:
        return world.Heal(std::nullopt);
    }
  }

  StepKind kind;
  int first;
  int second;
  int message;
  int time;
};

FailoverSimulation::Options AnyOptions() {
  FailoverSimulation::Options options;
  options.start_with_primary = *rc::gen::arbitrary<bool>();
  options.seed = *rc::gen::inRange(1U, 1000U);
  return options;
}

// Guards against lost or duplicated acknowledged writes, stale reads of them,
// two primaries of one term, acknowledgements by a superseded primary, and a
// group that stays without a working primary although two databases can be
// reached.
RC_GTEST_PROP(FailoverStatefulTest, AnyFaults_Settle_KeepsAcknowledgedWrites,
              ()) {
  FailoverSimulation world(AnyOptions());
  rc::state::check(Model{}, world, rc::state::gen::execOneOfWithArgs<Step>());
  const int choice = *rc::gen::inRange(0, 4);
  world.Heal(choice < FailoverSimulation::kDatabases
                 ? std::make_optional(choice)
                 : std::nullopt);
  const common::SteadyTime start = world.Now();
  RC_ASSERT(world.Settle(kSettleLimit));
  world.CheckWrites();
  if (!world.Violation().empty()) RC_FAIL(world.Violation());
  RC_CLASSIFY(world.HighestPromoted() > 2, "several failovers");
  RC_CLASSIFY(world.Acknowledged() > 5, "many writes");
  RC_CLASSIFY(world.Now() - start > std::chrono::seconds(3), "slow to settle");
}

class FailoverScenarioTest : public testing::Test {
 protected:
  /// Acknowledges writes while only one replica is up to date, kills the
  /// primary and returns what the oracle says after the failover.
  static std::string KillPrimary(FailoverSimulation::Options options,
                                 bool replicate) {
    FailoverSimulation world(options);
    world.Run(milliseconds(500));
    world.StopReplication(1, true);
    world.StopReplication(2, !replicate);
    world.Run(milliseconds(200));
    for (int i = 0; i < 5; ++i) {
      world.Write(i % FailoverSimulation::kDaemons);
      world.Run(milliseconds(100));
    }
    world.StopDatabase(0, true);
    world.Run(std::chrono::seconds(3));
    world.Heal(std::nullopt);
    EXPECT_TRUE(world.Settle(kSettleLimit));
    world.CheckWrites();
    return world.Violation();
  }

  /// Number of latency patterns in which the oracle reports a lost write.
  static int CountLosses(FailoverSimulation::Options options, bool replicate) {
    int losses = 0;
    for (options.seed = 1; options.seed <= 20; ++options.seed) {
      const std::string violation = KillPrimary(options, replicate);
      if (violation.starts_with("lost write")) ++losses;
    }
    return losses;
  }
};

// Guards against an oracle that misses the loss of writes that only the dead
// primary had.
TEST_F(FailoverScenarioTest, PrimaryAloneAcknowledges_Kill_LosesWrites) {
  FailoverSimulation::Options options;
  EXPECT_EQ(CountLosses(options, false), 0);
  options.acknowledgement.require_replica = false;
  EXPECT_EQ(CountLosses(options, false), 20);
}

// Guards against an oracle that misses the promotion of a database that
// lacks acknowledged writes.
TEST_F(FailoverScenarioTest, AnyFencedPromoted_Kill_LosesWrites) {
  FailoverSimulation::Options options;
  EXPECT_EQ(CountLosses(options, true), 0);
  options.failover.promote_most_advanced = false;
  EXPECT_GT(CountLosses(options, true), 0);
}

// Guards against a second failure that finds no coordinator ready.
TEST_F(FailoverScenarioTest, PrimaryKilledTwice_Settle_PromotesTwice) {
  FailoverSimulation world({});
  for (common::Term term = 2; term <= 3; ++term) {
    world.Run(std::chrono::seconds(1));
    world.StopDatabase(*world.CurrentPrimary(), true);
    world.Run(std::chrono::seconds(2));
    EXPECT_EQ(world.HighestPromoted(), term);
    world.Heal(std::nullopt);
    EXPECT_TRUE(world.Settle(kSettleLimit));
  }
}

// Guards against daemons that each reach other databases and replace each
// other's primary several times a second, which leaves no time for writes.
TEST_F(FailoverScenarioTest, DisjointLinkCuts_LongRun_ChangesAreRare) {
  FailoverSimulation world({});
  for (int i = 0; i < FailoverSimulation::kDaemons; ++i)
    world.CutLink(i, i, true);
  world.Run(std::chrono::seconds(60));
  EXPECT_LE(world.HighestPromoted(), 30U);
}

}  // namespace
}  // namespace camphorferry::process
