#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::SteadyTime kStart{std::chrono::hours(1)};

class WaitQueueTest : public testing::Test {
 protected:
  static WaitingRequest Request(
      std::uint64_t id, const std::string& workspace, milliseconds since,
      std::uint32_t priority = 1,
      std::optional<common::SteadyTime> deadline = std::nullopt) {
    return {id, workspace, priority, kStart + since, deadline};
  }

  void Add(const WaitingRequest& request) { this->queue.Add(request, kStart); }

  /// Serves one request each interval, so that the queue knows its rate.
  void ServeEvery(milliseconds interval, int count) {
    for (int served = 0; served < count; ++served) {
      this->now += interval;
      this->queue.OnServed(*this->queue.Next(std::nullopt), this->now);
    }
  }

  WaitQueue queue;
  common::SteadyTime now = kStart;
};

// Guards against a workspace that waits behind all requests of one that floods.
TEST_F(WaitQueueTest, OneFloods_Other_WaitsForOneRoundOnly) {
  for (std::uint64_t id = 0; id < 100; ++id) {
    this->Add(Request(id, "flood", milliseconds(0)));
  }
  this->Add(Request(200, "calm", milliseconds(50)));
  this->Add(Request(201, "calm", milliseconds(51)));
  const auto order = this->queue.Order();
  EXPECT_EQ(order[1], 200U);
  EXPECT_EQ(order[3], 201U);
}

// Guards against a workspace that keeps its lead over others for what it did
// not use before.
TEST_F(WaitQueueTest, LateWorkspace_Rounds_BeginAtTheCurrentOne) {
  for (std::uint64_t id = 0; id < 20; ++id) {
    this->Add(Request(id, "flood", milliseconds(0)));
  }
  this->ServeEvery(milliseconds(1), 10);
  for (std::uint64_t id = 100; id < 105; ++id) {
    this->Add(Request(id, "late", milliseconds(10)));
  }
  const auto order = this->queue.Order();
  const auto late = std::count_if(order.begin(), order.begin() + 4,
                                  [](std::uint64_t id) { return id >= 100; });
  EXPECT_EQ(late, 2);
}

// Guards against a retry that starts at the end of the queue.
TEST_F(WaitQueueTest, RetryOfOlderOperation_Order_IsBeforeYounger) {
  for (std::uint64_t id = 0; id < 5; ++id) {
    this->Add(Request(id, "w", milliseconds(100)));
  }
  this->Add(Request(9, "w", milliseconds(20)));
  EXPECT_EQ(this->queue.Order(),
            (std::vector<std::uint64_t>{9, 0, 1, 2, 3, 4}));
}

// Guards against serving a route of low priority first.
TEST_F(WaitQueueTest, Priorities_Order_IsByPriorityFirst) {
  this->Add(Request(1, "w", milliseconds(0), 2));
  this->Add(Request(2, "v", milliseconds(5), 0));
  this->Add(Request(3, "w", milliseconds(9), 0));
  EXPECT_EQ(this->queue.Order(), (std::vector<std::uint64_t>{2, 3, 1}));
}

// Guards against rounds that stay skipped after requests have been cancelled.
TEST_F(WaitQueueTest, CancelledRequests_Order_ClosesTheGap) {
  for (std::uint64_t id = 0; id < 4; ++id) {
    this->Add(Request(id, "a", milliseconds(0)));
  }
  for (std::uint64_t id = 10; id < 12; ++id) {
    this->Add(Request(id, "b", milliseconds(1)));
  }
  this->queue.Remove(0);
  this->queue.Remove(1);
  EXPECT_EQ(this->queue.Order(), (std::vector<std::uint64_t>{2, 10, 3, 11}));
}

// Guards against requests that wait until their deadline although the queue
// ahead can't be served before it.
TEST_F(WaitQueueTest, QueueTooLong_NewRequest_WouldBeLate) {
  for (std::uint64_t id = 0; id < 60; ++id) {
    this->Add(Request(id, "w" + std::to_string(id), milliseconds(0)));
  }
  this->ServeEvery(milliseconds(10), 20);
  const auto request = [&](milliseconds wait) {
    return Request(99, "new", milliseconds(0), 1, this->now + wait);
  };
  EXPECT_TRUE(this->queue.WouldBeLate(request(milliseconds(300)), this->now));
  EXPECT_FALSE(this->queue.WouldBeLate(request(milliseconds(500)), this->now));
}

// Guards against refusing an urgent request for the queue of others.
TEST_F(WaitQueueTest, QueueOfLowPriority_UrgentRequest_IsNotLate) {
  for (std::uint64_t id = 0; id < 60; ++id) {
    this->Add(Request(id, "w", milliseconds(0), 2));
  }
  this->ServeEvery(milliseconds(10), 5);
  EXPECT_FALSE(this->queue.WouldBeLate(
      Request(99, "w", milliseconds(0), 0, this->now + milliseconds(50)),
      this->now));
}

// Guards against refusals that rest on a rate of long ago, or on none.
TEST_F(WaitQueueTest, NoRecentRate_NewRequest_IsNotLate) {
  for (std::uint64_t id = 0; id < 60; ++id) {
    this->Add(Request(id, "w", milliseconds(0)));
  }
  const auto request =
      Request(99, "v", milliseconds(0), 1, this->now + milliseconds(1));
  EXPECT_FALSE(this->queue.WouldBeLate(request, kStart));
  this->ServeEvery(milliseconds(10), 5);
  this->now += seconds(3);
  EXPECT_FALSE(this->queue.WouldBeLate(
      Request(99, "v", milliseconds(0), 1, this->now + milliseconds(1)),
      this->now));
}

// Guards against a paused process that runs statements whose clients have gone.
TEST_F(WaitQueueTest, DeadlinesPassed_TakeExpired_ReturnsThem) {
  this->Add(Request(1, "w", milliseconds(0), 1, kStart + milliseconds(100)));
  this->Add(Request(2, "w", milliseconds(0), 1, kStart + seconds(100)));
  this->Add(Request(3, "w", milliseconds(0)));
  EXPECT_EQ(this->queue.TakeExpired(kStart + seconds(10)),
            (std::vector<std::uint64_t>{1}));
  EXPECT_EQ(this->queue.Order(), (std::vector<std::uint64_t>{2, 3}));
}

// Guards against a change for requests without a waiting time.
TEST_F(WaitQueueTest, NoWaitingTimes_Order_IsOfArrival) {
  for (std::uint64_t id = 0; id < 5; ++id) {
    this->queue.Add({id, id % 2 == 0 ? "a" : "b", 1, std::nullopt, {}},
                    kStart + milliseconds(id));
  }
  EXPECT_EQ(this->queue.Order(), (std::vector<std::uint64_t>{0, 1, 2, 3, 4}));
}

// Guards against calm workspaces that pay for one that sends eight times as
// much as each of them, at an endpoint that serves three quarters of the
// demand.
TEST_F(WaitQueueTest, Overload_CalmWorkspaces_AreAllServed) {
  constexpr std::uint64_t kCalm = 8;
  // Requests of the flooding workspace have odd identifiers.
  std::uint64_t calm_asked = 0;
  std::uint64_t calm_served = 0;
  std::uint64_t flood_served = 0;
  std::uint64_t number = 0;
  for (int ms = 0; ms < 10000; ++ms) {
    const common::SteadyTime at = kStart + milliseconds(ms);
    const auto arrive = [&](std::uint64_t id, const std::string& workspace) {
      const WaitingRequest request{id, workspace, 1, at,
                                   at + milliseconds(400)};
      if (!this->queue.WouldBeLate(request, at)) this->queue.Add(request, at);
    };
    if (ms % 15 == 0) {
      ++number;
      ++calm_asked;
      arrive(2 * number, "calm" + std::to_string(number % kCalm));
      arrive(2 * number + 1, "flood");
    }
    this->queue.TakeExpired(at);
    const auto next = this->queue.Next(std::nullopt);
    if (ms % 10 != 0 || !next.has_value()) continue;
    ++(*next % 2 == 0 ? calm_served : flood_served);
    this->queue.OnServed(*next, at);
  }
  EXPECT_GE(static_cast<double>(calm_served),
            static_cast<double>(calm_asked) * 0.95);
  // The endpoint does not idle for that.
  EXPECT_GE(calm_served + flood_served, 950U);
}

}  // namespace
}  // namespace camphorferry::session
