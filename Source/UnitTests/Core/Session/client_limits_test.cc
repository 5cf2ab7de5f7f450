#include <gtest/gtest.h>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::SteadyTime kNow{std::chrono::hours(1)};
constexpr std::size_t kMiB = 1024 * 1024;

class ClientLimitsDecisionTest : public testing::Test {
 protected:
  static SessionUsage Opened(const std::string& workspace, seconds idle_for,
                             std::size_t bytes = 0) {
    return {true, true, common::WorkspaceId(workspace), kNow - idle_for, bytes};
  }
  static SessionUsage Unopened(seconds age) {
    return {false, true, common::WorkspaceId(), kNow - age, 0};
  }
};

// Guards against limits that the clients of the smallest host in use would
// meet: 3,000 sessions, and a message of 1 MiB.
TEST_F(ClientLimitsDecisionTest, SmallestHost_Limits_AdmitItsClients) {
  const ClientLimits limits = ChooseClientLimits({160 * kMiB, 4300});
  EXPECT_GE(limits.max_sessions, 3236U);
  EXPECT_LT(limits.max_sessions, 4300U - 200U);
  EXPECT_GE(limits.large_messages, 2U);
  EXPECT_GE(limits.large_responses, 2U);
}

// Guards against limits whose sum exceeds the memory of the host.
TEST_F(ClientLimitsDecisionTest, AnyHost_Limits_FitIntoHalfOfTheMemory) {
  for (const std::size_t megabytes : {64U, 160U, 260U, 512U}) {
    const ClientLimits limits = ChooseClientLimits({megabytes * kMiB, 4300});
    EXPECT_LE(limits.max_buffered_bytes + limits.large_messages * 6 * kMiB +
                  limits.large_responses * 4 * kMiB,
              megabytes * kMiB / 2);
  }
}

// Guards against hosts so small that no large message is ever read.
TEST_F(ClientLimitsDecisionTest, TinyHost_Limits_AdmitOneOfEach) {
  const ClientLimits limits = ChooseClientLimits({kMiB, 100});
  EXPECT_EQ(limits.large_messages, 1U);
  EXPECT_EQ(limits.large_responses, 1U);
  EXPECT_GE(limits.max_sessions, 100U);
}

// Guards against clients that hold a connection without a first message, or
// with half a message, or without reading.
TEST_F(ClientLimitsDecisionTest, StalledClient_EachTime_IsLimited) {
  const ClientLimits limits;
  EXPECT_EQ(CheckTimes(limits, {kNow - seconds(10), {}, {}}, kNow),
            LimitCause::kFirstMessage);
  EXPECT_EQ(CheckTimes(limits, {{}, kNow - seconds(20), {}}, kNow),
            LimitCause::kMessage);
  EXPECT_EQ(CheckTimes(limits, {{}, {}, kNow - seconds(30)}, kNow),
            LimitCause::kUnread);
}

// Guards against closing clients inside the limits: they wait for 2 s for their
// first response, and a message of 1 MiB takes 4 s on the slowest link.
TEST_F(ClientLimitsDecisionTest, OrdinaryClient_EachTime_IsNotLimited) {
  const ClientLimits limits;
  const SessionTimes times{kNow - seconds(2), kNow - seconds(4),
                           kNow - seconds(4)};
  EXPECT_EQ(CheckTimes(limits, times, kNow), std::nullopt);
  EXPECT_EQ(CheckTimes(limits, {}, kNow), std::nullopt);
}

// Guards against a crowd of silent connections that keeps others out.
TEST_F(ClientLimitsDecisionTest, Full_SilentConnections_OldestIsReplaced) {
  EXPECT_EQ(
      ChooseSessionToReplace({Opened("w", seconds(60)), Unopened(seconds(1)),
                              Unopened(seconds(3))}),
      2U);
}

// Guards against a workspace that keeps the sessions of others out with idle
// ones of its own.
TEST_F(ClientLimitsDecisionTest, Full_OneWorkspaceHasMost_ItsIdleIsReplaced) {
  EXPECT_EQ(ChooseSessionToReplace(
                {Opened("small", seconds(60)), Opened("large", seconds(5)),
                 Opened("large", seconds(9)), Opened("large", seconds(7))}),
            2U);
}

// Guards against interrupting a statement or a transaction for a new session.
TEST_F(ClientLimitsDecisionTest, Full_AllBusy_NoneIsReplaced) {
  SessionUsage busy = Opened("w", seconds(9));
  busy.idle = false;
  EXPECT_EQ(ChooseSessionToReplace({busy, busy}), std::nullopt);
  EXPECT_EQ(ChooseSessionToReplace({}), std::nullopt);
}

// Guards against closing clients that keep little when the memory is short.
TEST_F(ClientLimitsDecisionTest, MemoryShort_LargestHolders_AreClosed) {
  const std::vector<SessionUsage> sessions = {
      Opened("w", seconds(1), 10), Opened("w", seconds(1), 700),
      Opened("w", seconds(1), 20), Opened("w", seconds(1), 500)};
  EXPECT_EQ(ChooseSessionsToClose(sessions, 600),
            (std::vector<std::size_t>{1}));
  EXPECT_EQ(ChooseSessionsToClose(sessions, 100),
            (std::vector<std::size_t>{1, 3}));
  EXPECT_TRUE(ChooseSessionsToClose(sessions, 1230).empty());
}

class LargeMessageQueueTest : public testing::Test {
 protected:
  void Request(int holder) {
    this->queue.Request(&this->holders.at(static_cast<std::size_t>(holder)),
                        [this, holder] { this->granted.push_back(holder); });
  }
  void Release(int holder) {
    this->queue.Release(&this->holders.at(static_cast<std::size_t>(holder)));
  }

  LargeMessageQueue queue{2};
  std::array<char, 8> holders{};
  std::vector<int> granted;
};

// Guards against reading more large messages at a time than fit into memory.
TEST_F(LargeMessageQueueTest, ManyRequests_OnlyTheLimit_IsGranted) {
  for (int holder = 0; holder < 5; ++holder) this->Request(holder);
  EXPECT_EQ(this->granted, (std::vector<int>{0, 1}));
  EXPECT_EQ(this->queue.Waiting(), 3U);
}

// Guards against waiting messages that are never read, or out of order.
TEST_F(LargeMessageQueueTest, MessagesEnd_Others_FollowInOrder) {
  for (int holder = 0; holder < 5; ++holder) this->Request(holder);
  this->Release(1);
  this->Release(0);
  this->Release(2);
  EXPECT_EQ(this->granted, (std::vector<int>{0, 1, 2, 3, 4}));
}

// Guards against room that stays taken by connections that have ended while
// they waited.
TEST_F(LargeMessageQueueTest, WaitingConnectionEnds_Next_IsGranted) {
  for (int holder = 0; holder < 4; ++holder) this->Request(holder);
  this->Release(2);
  this->Release(0);
  EXPECT_EQ(this->granted, (std::vector<int>{0, 1, 3}));
  this->Release(2);
  EXPECT_EQ(this->queue.InProgress(), 2U);
}

}  // namespace
}  // namespace camphorferry::session
