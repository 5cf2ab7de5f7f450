#include "fault_tracker.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <utility>
#include <vector>

namespace camphorferry::soak {
namespace {

using platform::StoreState;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kProxies = 4;
constexpr std::size_t kServices = 2;

/// Guards against faults of a soak that end early, with which a run would
/// disturb the system less than its schedule says.
class FaultTrackerTest : public testing::Test {
 protected:
  /// A fault on the target with this index.
  static Fault Make(FaultKind kind, std::size_t target = 0,
                    milliseconds at = milliseconds(0)) {
    Fault fault;
    fault.kind = kind;
    fault.at = at;
    fault.target_selector = target;
    return fault;
  }

  FaultTracker tracker{kProxies, kServices};
};

TEST_F(FaultTrackerTest, SingleFault_BeginAndEnd_SetAndResetTheState) {
  const Fault fault = Make(FaultKind::kDatabaseLinksDelayed, 1);
  EXPECT_EQ(this->tracker.Begin(fault),
            FaultAction(SetDatabaseLinks{1, LinkState::kDelayed}));
  EXPECT_EQ(this->tracker.End(fault),
            FaultAction(SetDatabaseLinks{1, LinkState::kOpen}));
}

TEST_F(FaultTrackerTest, FaultWithoutState_End_DoesNothing) {
  const Fault fault = Make(FaultKind::kKillProxy, 3);
  EXPECT_EQ(this->tracker.Begin(fault), FaultAction(SignalProxy{3, SIGKILL}));
  EXPECT_EQ(this->tracker.End(fault), std::nullopt);
}

TEST_F(FaultTrackerTest, OverlapOfOneKind_FirstEnds_StateRemains) {
  const std::vector<std::pair<FaultKind, FaultAction>> kinds = {
      {FaultKind::kFreezeProxy, SignalProxy{0, SIGCONT}},
      {FaultKind::kCrashPrimary, RestoreDatabases{0}},
      {FaultKind::kDatabaseLinksSilent, SetDatabaseLinks{0, LinkState::kOpen}},
      {FaultKind::kReplicasLag, SetReplicasLag{0, false}},
      {FaultKind::kDatabaseAnswersLost, SetResponsesLost{0, false}},
      {FaultKind::kStoreBusy, SetStoreState{StoreState::kUp}},
      {FaultKind::kProxyCutFromStore, SetStoreLink{0, LinkState::kOpen}},
      {FaultKind::kSlowPromotions, SetPromotionsSlow{false}},
      {FaultKind::kPromotionPathHeld, SetPromotionLink{0, LinkState::kOpen}},
      {FaultKind::kSilentPrimary, RestoreDatabases{0}}};
  for (const auto& [kind, reversal] : kinds) {
    const Fault first = Make(kind);
    const Fault second = Make(kind, 0, milliseconds(500));
    this->tracker.Begin(first);
    this->tracker.Begin(second);
    EXPECT_EQ(this->tracker.End(first), std::nullopt) << ToString(kind);
    EXPECT_EQ(this->tracker.End(second), reversal) << ToString(kind);
  }
}

TEST_F(FaultTrackerTest, OverlapOfOtherKind_SecondEnds_FirstIsInEffectAgain) {
  const Fault busy = Make(FaultKind::kStoreBusy);
  const Fault slow = Make(FaultKind::kStoreSlow, 0, milliseconds(500));
  this->tracker.Begin(busy);
  this->tracker.Begin(slow);
  EXPECT_EQ(this->tracker.End(slow),
            FaultAction(SetStoreState{StoreState::kBusy}));
  EXPECT_EQ(this->tracker.End(busy),
            FaultAction(SetStoreState{StoreState::kUp}));
}

TEST_F(FaultTrackerTest, OverlapOfOtherKind_FirstEnds_SecondStaysInEffect) {
  const Fault silent = Make(FaultKind::kDatabaseLinksSilent);
  const Fault cut =
      Make(FaultKind::kDatabaseLinksCutForward, 0, milliseconds(500));
  this->tracker.Begin(silent);
  this->tracker.Begin(cut);
  EXPECT_EQ(this->tracker.End(silent),
            FaultAction(SetDatabaseLinks{0, LinkState::kCutForward}));
  EXPECT_EQ(this->tracker.End(cut),
            FaultAction(SetDatabaseLinks{0, LinkState::kOpen}));
}

TEST_F(FaultTrackerTest, FaultOfAnotherTarget_End_ResetsTheState) {
  const Fault first = Make(FaultKind::kReplicasLag, 0);
  const Fault second = Make(FaultKind::kReplicasLag, 1, milliseconds(500));
  this->tracker.Begin(first);
  this->tracker.Begin(second);
  EXPECT_EQ(this->tracker.End(first), FaultAction(SetReplicasLag{0, false}));
  EXPECT_EQ(this->tracker.End(second), FaultAction(SetReplicasLag{1, false}));
}

// Replays whole schedules. The replicas of the first service must catch up
// exactly when the last of their faults ends.
TEST_F(FaultTrackerTest, Schedules_Replayed_ResetTheStateWithTheLastFault) {
  struct Event {
    common::Duration at;
    bool begins;
    Fault fault;
  };
  constexpr std::uint64_t kSeeds = 100;
  int overlaps = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::vector<Event> events;
    for (const Fault& fault : MakeSchedule(seed, seconds(25))) {
      events.push_back({fault.at, true, fault});
      events.push_back({fault.at + fault.duration, false, fault});
    }
    std::stable_sort(
        events.begin(), events.end(),
        [](const Event& a, const Event& b) { return a.at < b.at; });
    FaultTracker replayed(kProxies, kServices);
    std::size_t lagging = 0;
    for (const Event& event : events) {
      const bool counts = event.fault.kind == FaultKind::kReplicasLag &&
                          event.fault.target_selector % kServices == 0;
      if (event.begins) {
        replayed.Begin(event.fault);
        if (counts) ++lagging;
        continue;
      }
      const std::optional<FaultAction> action = replayed.End(event.fault);
      if (!counts) continue;
      --lagging;
      if (lagging > 0) ++overlaps;
      EXPECT_EQ(action == FaultAction(SetReplicasLag{0, false}), lagging == 0)
          << "seed " << seed;
    }
  }
  EXPECT_GT(overlaps, 0);
}

}  // namespace
}  // namespace camphorferry::soak
