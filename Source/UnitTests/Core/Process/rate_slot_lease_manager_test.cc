#include <gtest/gtest.h>

#include <deque>
#include <set>
#include <string>
#include <vector>

#include "Process/process.h"

namespace camphorferry::process {
namespace {

using common::Duration;
using common::HostId;
using common::SteadyTime;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr SteadyTime kStart{hours(1)};
constexpr RateSlotLeaseManager::SlotRange kEightSlots{.first = 16, .count = 8};

HostId HostNumber(int number) {
  return HostId("host-" + std::to_string(number));
}

class RateSlotLeaseManagerTest : public testing::Test {
 protected:
  enum class Answer { kArrives, kLost, kLostWithoutEffect };

  RateSlotLeaseManager& AddDaemon(int number, Incarnation incarnation = 1) {
    this->hosts.insert(HostNumber(number));
    this->daemons.emplace_back(HostNumber(number), incarnation, kEightSlots);
    for (RateSlotLeaseManager& daemon : this->daemons) {
      daemon.SetHosts(this->hosts);
    }
    return this->daemons.back();
  }

  /// Ticks a daemon and performs its store calls at once; returns its other
  /// actions.
  SlotActions TickAndPerformCalls(RateSlotLeaseManager& daemon, SteadyTime now,
                                  Answer answer = Answer::kArrives) {
    SlotActions slot_actions;
    SlotActions actions = daemon.Tick(now);
    while (!actions.empty()) {
      SlotActions next;
      for (const SlotAction& action : actions) {
        if (std::holds_alternative<ReadSlots>(action)) {
          next = daemon.OnRead(this->version, this->content, now, now);
        } else if (const auto* update = std::get_if<UpdateSlots>(&action)) {
          next = this->Update(daemon, *update, now, answer);
        } else {
          slot_actions.push_back(action);
        }
      }
      actions = next;
    }
    return slot_actions;
  }

  SlotActions Update(RateSlotLeaseManager& daemon, const UpdateSlots& update,
                     SteadyTime now, Answer answer) {
    if (update.if_version != this->version) {
      return daemon.OnUpdateConflicted(now);
    }
    if (answer != Answer::kLostWithoutEffect) {
      ++this->version;
      this->content = update.content;
      ++this->updates;
    }
    if (answer != Answer::kArrives) {
      return daemon.OnUpdateAnswerLost(now);
    }
    return daemon.OnUpdated(this->version, now);
  }

  /// Ticks all daemons once a second.
  SteadyTime TickAll(SteadyTime from, Duration time) {
    for (SteadyTime now = from; now < from + time; now += seconds(1)) {
      for (RateSlotLeaseManager& daemon : this->daemons) {
        this->TickAndPerformCalls(daemon, now);
      }
    }
    return from + time;
  }

  std::vector<std::size_t> HeldSlotCounts(SteadyTime now) const {
    std::vector<std::size_t> slot_counts;
    for (const RateSlotLeaseManager& daemon : this->daemons) {
      slot_counts.push_back(daemon.HeldSlots(now).size());
    }
    return slot_counts;
  }

  std::deque<RateSlotLeaseManager> daemons;
  std::set<HostId> hosts;
  ObjectVersion version = 0;
  std::string content;
  int updates = 0;
};

// Guards against holders that are lost because the document is parsed wrongly.
TEST_F(RateSlotLeaseManagerTest, Document_RoundTrip_IsUnchanged) {
  const SlotDocument document{SlotRecord{HostNumber(1), 7, 8, 9}, std::nullopt};
  EXPECT_EQ(ParseSlotDocument(FormatSlotDocument(document)), document);
  EXPECT_THROW(ParseSlotDocument("{"), BadSlotDocumentError);
  EXPECT_THROW(ParseSlotDocument(R"({"slots":[{"holder":"h"}]})"),
               BadSlotDocumentError);
}

// Guards against slots that no daemon holds while all daemons are live, also if
// the slots do not divide evenly.
TEST_F(RateSlotLeaseManagerTest, AllDaemonsLive_AfterStart_AllSlotsAreHeld) {
  for (int number = 0; number < 3; ++number) {
    this->AddDaemon(number);
  }
  const SteadyTime now = this->TickAll(kStart, minutes(3));
  const std::vector<std::size_t> slot_counts = this->HeldSlotCounts(now);
  EXPECT_EQ(std::multiset<std::size_t>(slot_counts.begin(), slot_counts.end()),
            (std::multiset<std::size_t>{2, 3, 3}));
}

// Guards against a daemon that keeps the slots of those that started later.
TEST_F(RateSlotLeaseManagerTest, OneHoldsAll_OthersStart_EachGetsOne) {
  RateSlotLeaseManager& first = this->AddDaemon(0);
  this->TickAll(kStart, seconds(1));
  EXPECT_EQ(first.HeldSlots(kStart).size(), 8);
  for (int number = 1; number < 8; ++number) {
    this->AddDaemon(number);
  }
  const SteadyTime now = this->TickAll(kStart + seconds(1), minutes(3));
  EXPECT_EQ(this->HeldSlotCounts(now), std::vector<std::size_t>(8, 1));
}

// Guards against a lease counted from the response, and against a missed
// renewal.
TEST_F(RateSlotLeaseManagerTest, Holder_Renewal_IsEveryTenMinutesFromSendTime) {
  RateSlotLeaseManager& daemon = this->AddDaemon(0);
  ASSERT_EQ(daemon.Tick(kStart).size(), 1);
  const SteadyTime read = kStart + seconds(1);
  const SlotActions actions = daemon.OnRead(0, "", kStart, read);
  ASSERT_EQ(actions.size(), 1);
  this->content = std::get<UpdateSlots>(actions[0]).content;
  this->version = 1;
  const SlotActions used = daemon.OnUpdated(1, read + seconds(20));
  ASSERT_EQ(used.size(), 8);
  EXPECT_EQ(std::get<UseSlot>(used[0]).slot, 16);
  EXPECT_EQ(std::get<UseSlot>(used[0]).lease_end,
            read + HolderPeriod(kSlotLeaseDuration));

  const SteadyTime due = read + kSlotRenewalInterval;
  EXPECT_TRUE(this->TickAndPerformCalls(daemon, due - Duration(1)).empty());
  const SlotActions extended = this->TickAndPerformCalls(daemon, due);
  ASSERT_EQ(extended.size(), 8);
  EXPECT_EQ(std::get<ExtendSlot>(extended[0]).lease_end,
            due + HolderPeriod(kSlotLeaseDuration));
}

// Guards against a killed holder's slot that is acquired before its lease has
// expired.
TEST_F(RateSlotLeaseManagerTest,
       HolderKilled_OtherDaemon_AcquiresOnlyAfterLease) {
  this->TickAndPerformCalls(this->AddDaemon(0), kStart);
  this->daemons.pop_front();
  this->hosts.clear();
  RateSlotLeaseManager& other = this->AddDaemon(1);
  const SteadyTime free = kStart + GrantorPeriod(kSlotLeaseDuration);
  SteadyTime now = this->TickAll(kStart, GrantorPeriod(kSlotLeaseDuration));
  EXPECT_EQ(now, free);
  EXPECT_TRUE(other.HeldSlots(now).empty());
  now = this->TickAll(now, minutes(2));
  EXPECT_EQ(other.HeldSlots(now).size(), 8);
}

// Guards against a daemon that counts the time of its own pause, in which the
// holder renewed.
TEST_F(RateSlotLeaseManagerTest,
       OtherDaemonPaused_HolderRenewed_AcquiresNothing) {
  RateSlotLeaseManager& holder = this->AddDaemon(0);
  this->TickAndPerformCalls(holder, kStart);
  RateSlotLeaseManager& other = this->AddDaemon(1);
  holder.SetHosts({HostNumber(0)});
  this->TickAndPerformCalls(other, kStart);
  this->TickAndPerformCalls(holder, kStart + minutes(80));
  this->TickAndPerformCalls(other, kStart + minutes(100));
  EXPECT_TRUE(other.HeldSlots(kStart + minutes(100)).empty());
  EXPECT_EQ(holder.HeldSlots(kStart + minutes(100)).size(), 8);
  // The renewed record has been unchanged for long enough at this read.
  this->TickAndPerformCalls(other, kStart + minutes(191));
  EXPECT_FALSE(other.HeldSlots(kStart + minutes(191)).empty());
}

// Guards against the use of a slot whose acquisition did not take effect, and
// against a slot that is lost because the response was.
TEST_F(RateSlotLeaseManagerTest, UpdateAnswerLost_Slots_AreUsedOnlyAfterRead) {
  RateSlotLeaseManager& daemon = this->AddDaemon(0);
  EXPECT_TRUE(
      this->TickAndPerformCalls(daemon, kStart, Answer::kLostWithoutEffect)
          .empty());
  EXPECT_EQ(this->updates, 0);
  const SteadyTime sent = kStart + seconds(1);
  EXPECT_TRUE(this->TickAndPerformCalls(daemon, sent, Answer::kLost).empty());
  EXPECT_EQ(this->updates, 1);
  EXPECT_TRUE(daemon.HeldSlots(sent).empty());
  const SlotActions actions =
      this->TickAndPerformCalls(daemon, sent + seconds(2));
  ASSERT_EQ(actions.size(), 8);
  EXPECT_EQ(std::get<UseSlot>(actions[0]).lease_end,
            sent + HolderPeriod(kSlotLeaseDuration));
}

// Guards against a slot that is released while loans from it run, and against
// waiting for the lease to expire after a graceful stop.
TEST_F(RateSlotLeaseManagerTest,
       Drain_Slots_AreUnusedAtOnceAndReleasedAfterLoans) {
  RateSlotLeaseManager& holder = this->AddDaemon(0);
  this->TickAndPerformCalls(holder, kStart);
  const SlotActions stopped = holder.Drain(kStart + minutes(1));
  ASSERT_EQ(stopped.size(), 8);
  EXPECT_TRUE(std::holds_alternative<StopSlot>(stopped[0]));
  const SteadyTime released =
      kStart + minutes(1) + GrantorPeriod(kLoanDuration);
  this->TickAndPerformCalls(holder, kStart + minutes(1));
  this->TickAndPerformCalls(holder, released - Duration(1));
  EXPECT_FALSE(holder.Drained());
  this->TickAndPerformCalls(holder, released);
  EXPECT_TRUE(holder.Drained());
  this->hosts.clear();
  RateSlotLeaseManager& other = this->AddDaemon(1);
  this->TickAndPerformCalls(other, released);
  EXPECT_EQ(other.HeldSlots(released).size(), 8);
}

// Guards against a daemon that floods the store with calls, or stops calling,
// after conflicts and failures.
TEST_F(RateSlotLeaseManagerTest, StoreFails_Retries_SlowDownAndContinue) {
  RateSlotLeaseManager& daemon = this->AddDaemon(0);
  int reads = 0;
  for (SteadyTime now = kStart; now < kStart + hours(1);
       now += milliseconds(100)) {
    if (!daemon.Tick(now).empty()) {
      ++reads;
      daemon.OnReadFailed(now);
    }
  }
  EXPECT_GE(reads, 80);
  EXPECT_LE(reads, 260);
}

}  // namespace
}  // namespace camphorferry::process
