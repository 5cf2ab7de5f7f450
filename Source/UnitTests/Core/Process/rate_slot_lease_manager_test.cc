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

  /// Ticks a daemon and carries out its calls at once; returns what it said
  /// about slots.
  SlotActions Poll(RateSlotLeaseManager& daemon, SteadyTime now,
                   Answer answer = Answer::kArrives) {
    SlotActions said;
    SlotActions actions = daemon.Tick(now);
    while (!actions.empty()) {
      SlotActions next;
      for (const SlotAction& action : actions) {
        if (std::holds_alternative<ReadSlots>(action)) {
          next = daemon.OnRead(this->version, this->content, now, now);
        } else if (const auto* update = std::get_if<UpdateSlots>(&action)) {
          next = this->Update(daemon, *update, now, answer);
        } else {
          said.push_back(action);
        }
      }
      actions = next;
    }
    return said;
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

  /// Polls all daemons once a second.
  SteadyTime PollAll(SteadyTime from, Duration time) {
    for (SteadyTime now = from; now < from + time; now += seconds(1)) {
      for (RateSlotLeaseManager& daemon : this->daemons) {
        this->Poll(daemon, now);
      }
    }
    return from + time;
  }

  std::vector<std::size_t> HeldNumbers(SteadyTime now) const {
    std::vector<std::size_t> numbers;
    for (const RateSlotLeaseManager& daemon : this->daemons) {
      numbers.push_back(daemon.HeldSlots(now).size());
    }
    return numbers;
  }

  std::deque<RateSlotLeaseManager> daemons;
  std::set<HostId> hosts;
  ObjectVersion version = 0;
  std::string content;
  int updates = 0;
};

// Guards against holders that are forgotten because the document is misread.
TEST_F(RateSlotLeaseManagerTest, Document_RoundTrip_IsUnchanged) {
  const SlotDocument document{SlotRecord{HostNumber(1), 7, 8, 9}, std::nullopt};
  EXPECT_EQ(ParseSlotDocument(FormatSlotDocument(document)), document);
  EXPECT_THROW(ParseSlotDocument("{"), BadSlotDocumentError);
  EXPECT_THROW(ParseSlotDocument(R"({"slots":[{"holder":"h"}]})"),
               BadSlotDocumentError);
}

// Guards against slots that nobody holds while all daemons live, also when
// they do not divide evenly.
TEST_F(RateSlotLeaseManagerTest, AllDaemonsLive_AfterStart_AllSlotsAreHeld) {
  for (int number = 0; number < 3; ++number) {
    this->AddDaemon(number);
  }
  const SteadyTime now = this->PollAll(kStart, minutes(3));
  const std::vector<std::size_t> numbers = this->HeldNumbers(now);
  EXPECT_EQ(std::multiset<std::size_t>(numbers.begin(), numbers.end()),
            (std::multiset<std::size_t>{2, 3, 3}));
}

// Guards against a daemon that keeps the slots of those that started later.
TEST_F(RateSlotLeaseManagerTest, OneHoldsAll_OthersStart_EachGetsOne) {
  RateSlotLeaseManager& first = this->AddDaemon(0);
  this->PollAll(kStart, seconds(1));
  EXPECT_EQ(first.HeldSlots(kStart).size(), 8);
  for (int number = 1; number < 8; ++number) {
    this->AddDaemon(number);
  }
  const SteadyTime now = this->PollAll(kStart + seconds(1), minutes(3));
  EXPECT_EQ(this->HeldNumbers(now), std::vector<std::size_t>(8, 1));
}

// Guards against a lease counted from the answer, and against a lost renewal.
TEST_F(RateSlotLeaseManagerTest,
       Holder_Renewal_IsEveryTenMinutesFromBeforeTheCall) {
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
  EXPECT_TRUE(this->Poll(daemon, due - Duration(1)).empty());
  const SlotActions extended = this->Poll(daemon, due);
  ASSERT_EQ(extended.size(), 8);
  EXPECT_EQ(std::get<ExtendSlot>(extended[0]).lease_end,
            due + HolderPeriod(kSlotLeaseDuration));
}

// Guards against a killed holder's slot that is taken while its lease runs.
TEST_F(RateSlotLeaseManagerTest,
       HolderKilled_OtherDaemon_TakesOnlyAfterTheLease) {
  this->Poll(this->AddDaemon(0), kStart);
  this->daemons.pop_front();
  this->hosts.clear();
  RateSlotLeaseManager& taker = this->AddDaemon(1);
  const SteadyTime free = kStart + GrantorPeriod(kSlotLeaseDuration);
  SteadyTime now = this->PollAll(kStart, GrantorPeriod(kSlotLeaseDuration));
  EXPECT_EQ(now, free);
  EXPECT_TRUE(taker.HeldSlots(now).empty());
  now = this->PollAll(now, minutes(2));
  EXPECT_EQ(taker.HeldSlots(now).size(), 8);
}

// Guards against a taker that counts the time of a pause in which the holder
// renewed.
TEST_F(RateSlotLeaseManagerTest, TakerPaused_HolderRenewed_DoesNotTake) {
  RateSlotLeaseManager& holder = this->AddDaemon(0);
  this->Poll(holder, kStart);
  RateSlotLeaseManager& taker = this->AddDaemon(1);
  holder.SetHosts({HostNumber(0)});
  this->Poll(taker, kStart);
  this->Poll(holder, kStart + minutes(80));
  this->Poll(taker, kStart + minutes(100));
  EXPECT_TRUE(taker.HeldSlots(kStart + minutes(100)).empty());
  EXPECT_EQ(holder.HeldSlots(kStart + minutes(100)).size(), 8);
  // The second record in turn is unchanged for long enough at this read.
  this->Poll(taker, kStart + minutes(191));
  EXPECT_FALSE(taker.HeldSlots(kStart + minutes(191)).empty());
}

// Guards against the use of a slot whose taking did not take effect, and
// against a slot that is lost because the answer was.
TEST_F(RateSlotLeaseManagerTest, AnswerLost_Slots_AreUsedOnlyAfterARead) {
  RateSlotLeaseManager& daemon = this->AddDaemon(0);
  EXPECT_TRUE(this->Poll(daemon, kStart, Answer::kLostWithoutEffect).empty());
  EXPECT_EQ(this->updates, 0);
  const SteadyTime sent = kStart + seconds(1);
  EXPECT_TRUE(this->Poll(daemon, sent, Answer::kLost).empty());
  EXPECT_EQ(this->updates, 1);
  EXPECT_TRUE(daemon.HeldSlots(sent).empty());
  const SlotActions actions = this->Poll(daemon, sent + seconds(2));
  ASSERT_EQ(actions.size(), 8);
  EXPECT_EQ(std::get<UseSlot>(actions[0]).lease_end,
            sent + HolderPeriod(kSlotLeaseDuration));
}

// Guards against a slot released while loans from it run, and against a wait
// for the lease after a graceful stop.
TEST_F(RateSlotLeaseManagerTest,
       Drain_Slots_AreStoppedAtOnceAndFreeAfterTheLoans) {
  RateSlotLeaseManager& holder = this->AddDaemon(0);
  this->Poll(holder, kStart);
  const SlotActions stopped = holder.Drain(kStart + minutes(1));
  ASSERT_EQ(stopped.size(), 8);
  EXPECT_TRUE(std::holds_alternative<StopSlot>(stopped[0]));
  const SteadyTime released =
      kStart + minutes(1) + GrantorPeriod(kLoanDuration);
  this->Poll(holder, kStart + minutes(1));
  this->Poll(holder, released - Duration(1));
  EXPECT_FALSE(holder.Drained());
  this->Poll(holder, released);
  EXPECT_TRUE(holder.Drained());
  this->hosts.clear();
  RateSlotLeaseManager& taker = this->AddDaemon(1);
  this->Poll(taker, released);
  EXPECT_EQ(taker.HeldSlots(released).size(), 8);
}

// Guards against a daemon that fills the store with calls, or stops calling,
// after conflicts and failures.
TEST_F(RateSlotLeaseManagerTest, StoreFails_Retries_BecomeRareAndGoOn) {
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
