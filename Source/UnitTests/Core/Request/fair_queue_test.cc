#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "Request/request.h"

namespace camphorferry::request {
namespace {

using common::Duration;
using common::SteadyTime;
using common::WorkspaceId;
using std::chrono::milliseconds;
using std::chrono::seconds;

using Queue = FairQueue<int>;

const SteadyTime kStart{seconds(1000)};
constexpr Duration kRequestTimeout = seconds(5);
constexpr double kMinServedShare = 0.98;

WorkspaceId Workspace(int number) {
  return WorkspaceId("w" + std::to_string(number));
}

/// Adapts FairQueue to the simulation.
class FairServer {
 public:
  explicit FairServer(std::size_t slots) : queue(slots) {}

  void Push(int workspace, std::uint32_t weight, SteadyTime now) {
    this->queue.Push(Workspace(workspace), weight, now + kRequestTimeout, 1,
                     workspace, now);
  }

  std::optional<int> Pop(SteadyTime now) {
    for (;;) {
      Queue::PopResult result = this->queue.Pop(now);
      if (std::holds_alternative<Queue::Empty>(result)) return std::nullopt;
      const auto* ready = std::get_if<Queue::Ready>(&result);
      if (ready != nullptr) return ready->item;
    }
  }

  void Completed(Duration service_time) { this->queue.Completed(service_time); }

 private:
  Queue queue;
};

/// Baseline: one queue in order of arrival with the same total limit.
class FifoServer {
 public:
  explicit FifoServer(std::size_t /*slots*/) {}

  void Push(int workspace, std::uint32_t /*weight*/, SteadyTime now) {
    if (this->waiting.size() >= FairQueueLimits{}.total) return;
    this->waiting.emplace_back(workspace, now + kRequestTimeout);
  }

  std::optional<int> Pop(SteadyTime now) {
    while (!this->waiting.empty()) {
      const auto [workspace, deadline] = this->waiting.front();
      this->waiting.pop_front();
      if (deadline > now) return workspace;
    }
    return std::nullopt;
  }

  void Completed(Duration /*service_time*/) {}

 private:
  std::deque<std::pair<int, SteadyTime>> waiting;
};

struct Scenario {
  std::vector<std::uint32_t> weights;
  /// Index of the workspace that sends kHeavyFactor times its fair share.
  int heavy = 0;
  std::size_t slots = 2;
  Duration service = milliseconds(10);
  /// Load of the other workspaces relative to their fair share.
  double load = 1.0;
  unsigned seed = 1;
};

// Number of requests that the slots can serve during a simulation. Requests
// that are still waiting at the end count as not served, so a shorter
// simulation is stricter.
constexpr double kSimulationCapacity = 8000.0;
constexpr double kHeavyFactor = 5.0;

/// Simulates the scenario. Returns served / min(requested, fair share) of the
/// workspace for which this ratio is smallest.
template <typename Server>
double SimulateWorstShare(const Scenario& scenario) {
  std::mt19937 random(scenario.seed);
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  const auto count = static_cast<int>(scenario.weights.size());
  double total_weight = 0;
  for (const std::uint32_t weight : scenario.weights) total_weight += weight;
  const double capacity =
      static_cast<double>(scenario.slots) /
      std::chrono::duration<double>(scenario.service).count();
  const double simulated_seconds = kSimulationCapacity / capacity;
  std::vector<double> fair_share(count);
  std::vector<double> requested(count);
  std::vector<double> served(count);
  std::vector<std::pair<SteadyTime, int>> arrivals;
  for (int i = 0; i < count; ++i) {
    fair_share[i] =
        capacity * scenario.weights[i] / total_weight * simulated_seconds;
    requested[i] = std::floor(
        fair_share[i] * (i == scenario.heavy ? kHeavyFactor : scenario.load));
    for (int k = 0; k < requested[i]; ++k) {
      const std::chrono::duration<double> arrival(
          (k + uniform(random)) * simulated_seconds / requested[i]);
      arrivals.emplace_back(
          kStart + std::chrono::duration_cast<Duration>(arrival), i);
    }
  }
  std::sort(arrivals.begin(), arrivals.end());

  using Running = std::pair<SteadyTime, Duration>;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> running;
  Server server(scenario.slots);
  std::size_t next = 0;
  while (next < arrivals.size()) {
    SteadyTime now = arrivals[next].first;
    if (!running.empty() && running.top().first <= now) {
      now = running.top().first;
      server.Completed(running.top().second);
      running.pop();
    } else {
      const int workspace = arrivals[next++].second;
      server.Push(workspace, scenario.weights[workspace], now);
    }
    while (running.size() < scenario.slots) {
      const std::optional<int> workspace = server.Pop(now);
      if (!workspace.has_value()) break;
      served[*workspace] += 1;
      const Duration service = std::chrono::duration_cast<Duration>(
          scenario.service * (0.5 + uniform(random)));
      running.emplace(now + service, service);
    }
  }
  double worst = 1.0;
  for (int i = 0; i < count; ++i) {
    worst = std::min(worst, served[i] / std::min(requested[i], fair_share[i]));
  }
  return worst;
}

// Guards against a workspace that gets the share of others by sending five
// times its fair share.
TEST(FairShareTest, OneWorkspaceAtFiveTimes_FairQueue_ServesAll) {
  const Scenario scenario{std::vector<std::uint32_t>(8, 1)};
  EXPECT_GE(SimulateWorstShare<FairServer>(scenario), kMinServedShare);
}

// Guards against a fairness check that is so weak that a FIFO queue passes it.
TEST(FairShareTest, OneWorkspaceAtFiveTimes_Fifo_FailsTheSameCheck) {
  const Scenario scenario{std::vector<std::uint32_t>(8, 1)};
  EXPECT_LT(SimulateWorstShare<FifoServer>(scenario), kMinServedShare);
}

// Guards against fairness that depends on weights, slots or load.
RC_GTEST_PROP(FairShareProperty, AnyScenario_FairQueue_ServesAll, ()) {
  Scenario scenario;
  const bool equal = *rc::gen::arbitrary<bool>();
  const int count = *rc::gen::inRange(2, 13);
  for (int i = 0; i < count; ++i) {
    scenario.weights.push_back(equal ? 1 : *rc::gen::inRange<unsigned>(1, 5));
  }
  scenario.heavy = *rc::gen::inRange(0, count);
  scenario.slots = *rc::gen::inRange<std::size_t>(1, 6);
  scenario.service = milliseconds(*rc::gen::inRange(5, 21));
  scenario.load = *rc::gen::inRange(3, 11) / 10.0;
  scenario.seed = *rc::gen::arbitrary<unsigned>();
  const double worst = SimulateWorstShare<FairServer>(scenario);
  RC_LOG() << "worst share " << worst << '\n';
  RC_ASSERT(worst >= kMinServedShare);
}

// Guards against requests that are lost, answered twice, or started after
// their deadline, and against queues that exceed their limits.
RC_GTEST_PROP(FairQueueProperty, AnyUse_EachItem_ComesOutOnce, ()) {
  using Step = std::tuple<int, int, int, int>;
  const auto steps = *rc::gen::container<std::vector<Step>>(
      rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(0, 4),
                     rc::gen::inRange(0, 60), rc::gen::inRange(1, 4)));
  const FairQueueLimits limits{4, 8};
  Queue queue(2, limits);
  std::map<int, std::pair<int, SteadyTime>> waiting;
  SteadyTime now = kStart;
  int next = 0;
  int running = 0;
  const auto check_shed = [&](const Queue::Shed& shed) {
    const bool expired = waiting.at(shed.item).second <= now;
    const bool reported_expired =
        shed.outcome.reason == NotRunReason::kDeadlinePassed;
    RC_ASSERT(expired == reported_expired);
    RC_ASSERT(shed.workspace == Workspace(waiting.at(shed.item).first));
    waiting.erase(shed.item);
  };
  const auto pop = [&] {
    Queue::PopResult result = queue.Pop(now);
    if (const auto* ready = std::get_if<Queue::Ready>(&result)) {
      RC_ASSERT(waiting.at(ready->item).second > now);
      // Requests of one workspace start in the order of their arrival.
      for (const auto& [item, entry] : waiting) {
        if (entry.first != waiting.at(ready->item).first) continue;
        RC_ASSERT(item >= ready->item);
      }
      waiting.erase(ready->item);
      ++running;
    }
    if (const auto* shed = std::get_if<Queue::Shed>(&result)) check_shed(*shed);
    return !std::holds_alternative<Queue::Empty>(result);
  };
  for (const auto& [kind, workspace, amount, cost] : steps) {
    if (kind <= 1) {
      while (const auto shed = queue.PopExpired(now)) check_shed(*shed);
      const SteadyTime deadline = now + milliseconds(amount * 10);
      auto result = queue.Push(Workspace(workspace), workspace + 1, deadline,
                               cost, next, now);
      if (auto* queued = std::get_if<Queue::Queued>(&result)) {
        waiting.emplace(next, std::pair(workspace, deadline));
        if (queued->evicted.has_value()) check_shed(*queued->evicted);
      } else {
        RC_ASSERT(std::get<Queue::Refused>(result).item == next);
      }
      ++next;
    }
    if (kind == 2) pop();
    if (kind == 3) now += milliseconds(amount);
    if (kind == 4 && running > 0) {
      queue.Completed(milliseconds(amount));
      --running;
    }
    RC_ASSERT(queue.Length() == waiting.size());
    RC_ASSERT(queue.Length() <= limits.total);
    RC_ASSERT(queue.TrackedWorkspaces() <= 2 * limits.total);
    for (int i = 0; i < 4; ++i) {
      RC_ASSERT(queue.QueueLength(Workspace(i)) <= limits.per_workspace);
    }
  }
  while (pop()) {
  }
  RC_ASSERT(waiting.empty());
  RC_ASSERT(queue.TrackedWorkspaces() == 0U);
}

// Guards against an order that differs from the definition of start-time fair
// queueing, which assigns a start tag to each request at its arrival. The queue
// stores only one start tag for each workspace.
RC_GTEST_PROP(FairQueueProperty, AnyArrivals_Pop_FollowsSfqDefinition, ()) {
  using Step = std::tuple<bool, int, int>;
  const auto steps = *rc::gen::container<std::vector<Step>>(
      rc::gen::tuple(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 4),
                     rc::gen::inRange(1, 6)));
  Queue queue(1, FairQueueLimits{1000, 1000});
  std::map<std::pair<VirtualTime, int>, int> by_start_tag;
  std::map<int, VirtualTime> finish_tags;
  VirtualTime virtual_time = 0;
  int next = 0;
  for (const auto& [push, workspace, cost] : steps) {
    if (push) {
      const std::uint32_t weight = workspace + 1;
      const VirtualTime start = std::max(virtual_time, finish_tags[workspace]);
      finish_tags[workspace] = start + VirtualCost(cost, weight);
      by_start_tag[{start, next}] = next;
      queue.Push(Workspace(workspace), weight, SteadyTime::max(), cost, next,
                 kStart);
      ++next;
      continue;
    }
    Queue::PopResult result = queue.Pop(kStart);
    if (by_start_tag.empty()) {
      RC_ASSERT(std::holds_alternative<Queue::Empty>(result));
      continue;
    }
    const auto first = by_start_tag.begin();
    RC_ASSERT(std::get<Queue::Ready>(result).item == first->second);
    virtual_time = first->first.first;
    by_start_tag.erase(first);
    if (by_start_tag.empty()) {
      for (const auto& [other, tag] : finish_tags) {
        virtual_time = std::max(virtual_time, tag);
      }
    }
  }
}

class FairQueueTest : public testing::Test {
 protected:
  Queue::PushResult Push(int workspace, int item,
                         Duration timeout = kRequestTimeout,
                         std::uint32_t weight = 1) {
    return this->queue.Push(Workspace(workspace), weight, kStart + timeout, 1,
                            item, kStart);
  }

  void Fill(int workspace, int count) {
    for (int i = 0; i < count; ++i) this->Push(workspace, workspace);
  }

  int PopItem() {
    Queue::PopResult result = this->queue.Pop(kStart);
    const auto* ready = std::get_if<Queue::Ready>(&result);
    return ready == nullptr ? -1 : ready->item;
  }

  /// Lets one request complete with the service time, so that the queue can
  /// estimate waits.
  void RecordServiceTime(Duration service_time) {
    this->Push(0, 0);
    this->PopItem();
    this->queue.Completed(service_time);
  }

  static std::optional<NotRunReason> RefusalReasonOf(
      const Queue::PushResult& result) {
    const auto* refused = std::get_if<Queue::Refused>(&result);
    if (refused == nullptr) return std::nullopt;
    return refused->outcome.reason;
  }

  Queue queue{1};
};

// Guards against one workspace that exhausts the memory of the daemon that owns
// the endpoint.
TEST_F(FairQueueTest, FullWorkspaceQueue_Push_IsRefused) {
  this->Fill(1, 64);
  EXPECT_EQ(RefusalReasonOf(this->Push(1, 1)), NotRunReason::kQueueFull);
  EXPECT_EQ(RefusalReasonOf(this->Push(2, 2)), std::nullopt);
}

// Guards against a workspace with a short queue that is refused because other
// workspaces have filled the queue.
TEST_F(FairQueueTest, FullQueue_PushOfSmallWorkspace_EvictsFromTheLongest) {
  for (int workspace = 1; workspace <= 7; ++workspace) {
    this->Fill(workspace, 63);
  }
  this->Fill(8, 64);
  this->Push(9, 9);
  this->Fill(10, 6);
  ASSERT_EQ(this->queue.Length(), 512U);
  Queue::PushResult result = this->Push(9, 9);
  const auto& evicted = std::get<Queue::Queued>(result).evicted;
  ASSERT_TRUE(evicted.has_value());
  EXPECT_EQ(evicted->workspace, Workspace(8));
  EXPECT_EQ(evicted->outcome.reason, NotRunReason::kQueueFull);
  EXPECT_EQ(this->queue.Length(), 512U);
  // The queue of workspace 8 is now as long as the others, so its own push is
  // refused.
  EXPECT_EQ(RefusalReasonOf(this->Push(8, 8)), NotRunReason::kQueueFull);
}

// Guards against eviction that ignores the weights of the workspaces.
TEST_F(FairQueueTest, FullQueue_Push_EvictsRelativeToTheWeight) {
  Queue weighted(1, FairQueueLimits{8, 9});
  const SteadyTime deadline = kStart + kRequestTimeout;
  for (int i = 0; i < 6; ++i) {
    weighted.Push(Workspace(1), 4, deadline, 1, i, kStart);
  }
  for (int i = 6; i < 9; ++i) {
    weighted.Push(Workspace(2), 1, deadline, 1, i, kStart);
  }
  auto result = weighted.Push(Workspace(3), 1, deadline, 1, 9, kStart);
  const auto& evicted = std::get<Queue::Queued>(result).evicted;
  ASSERT_TRUE(evicted.has_value());
  EXPECT_EQ(evicted->item, 8);
}

// Guards against requests that run after their client has given up.
TEST_F(FairQueueTest, PassedDeadline_Pop_IsShed) {
  this->Push(1, 1, milliseconds(10));
  this->Push(1, 2, milliseconds(20));
  EXPECT_EQ(this->queue.EarliestDeadline(), kStart + milliseconds(10));
  EXPECT_FALSE(this->queue.PopExpired(kStart + milliseconds(9)).has_value());
  Queue::PopResult first = this->queue.Pop(kStart + milliseconds(10));
  EXPECT_EQ(std::get<Queue::Shed>(first).item, 1);
  Queue::PopResult second = this->queue.Pop(kStart + milliseconds(10));
  EXPECT_EQ(std::get<Queue::Ready>(second).item, 2);
  EXPECT_EQ(std::get<Queue::Ready>(second).waited, milliseconds(10));
  EXPECT_EQ(this->queue.EarliestDeadline(), std::nullopt);
}

// Guards against queueing requests that cannot be served in time, and against
// refusing a workspace with a short queue because another one has a long queue.
TEST_F(FairQueueTest, ExpectedWaitBeyondDeadline_Push_IsRefused) {
  this->RecordServiceTime(milliseconds(10));
  EXPECT_EQ(this->queue.ExpectedWait(Workspace(1)), Duration::zero());
  this->Fill(1, 1);
  this->PopItem();
  this->Fill(1, 20);
  EXPECT_EQ(this->queue.ExpectedWait(Workspace(1)), milliseconds(210));
  EXPECT_EQ(RefusalReasonOf(this->Push(1, 1, milliseconds(209))),
            NotRunReason::kDeadlinePassed);
  EXPECT_EQ(RefusalReasonOf(this->Push(1, 1, milliseconds(210))), std::nullopt);
  EXPECT_EQ(this->queue.ExpectedWait(Workspace(2)), milliseconds(20));
  EXPECT_EQ(RefusalReasonOf(this->Push(2, 2, milliseconds(20))), std::nullopt);
}

// Guards against a queue that refuses all requests after one slow statement: if
// nothing is queued or running, no later sample could correct the estimate.
TEST_F(FairQueueTest, SlowStatement_LaterPush_IsAccepted) {
  this->RecordServiceTime(seconds(60));
  EXPECT_EQ(RefusalReasonOf(this->Push(1, 1, milliseconds(10))), std::nullopt);
}

// Guards against a workspace that accumulates credit while it is idle.
TEST_F(FairQueueTest, LongIdleWorkspace_Pop_GetsNoCredit) {
  this->Fill(1, 60);
  for (int i = 0; i < 40; ++i) this->PopItem();
  this->Fill(2, 10);
  int served_count = 0;
  for (int i = 0; i < 10; ++i) served_count += this->PopItem() == 2 ? 1 : 0;
  EXPECT_EQ(served_count, 5);
}

// Guards against a workspace that is always served next because it pushes one
// request after each pop, which empties its queue each time.
TEST_F(FairQueueTest, OneRequestAtATime_Pop_TakesOnlyItsShare) {
  this->Fill(1, 30);
  int served_count = 0;
  for (int i = 0; i < 20; ++i) {
    if (this->queue.QueueLength(Workspace(2)) == 0) this->Push(2, 2);
    served_count += this->PopItem() == 2 ? 1 : 0;
  }
  EXPECT_EQ(served_count, 10);
}

// Guards against memory that grows with the number of workspaces ever seen.
TEST_F(FairQueueTest, ManyWorkspaces_KnownWorkspaces_IsBounded) {
  Queue small(1, FairQueueLimits{4, 8});
  const SteadyTime deadline = kStart + kRequestTimeout;
  for (int i = 0; i < 1000; ++i) {
    small.Push(Workspace(i), 1, deadline, kMaxQueueCost, i, kStart);
    small.Push(Workspace(i + 1), 1, deadline, 1, i, kStart);
    small.Pop(kStart);
    EXPECT_LE(small.TrackedWorkspaces(), 16U);
  }
}

// Guards against a queue that copies requests.
TEST_F(FairQueueTest, MoveOnlyItem_PushAndPop_IsMoved) {
  FairQueue<std::unique_ptr<int>> moving(1);
  moving.Push(Workspace(1), 1, kStart + kRequestTimeout, 1,
              std::make_unique<int>(7), kStart);
  auto result = moving.Pop(kStart);
  using Ready = FairQueue<std::unique_ptr<int>>::Ready;
  EXPECT_EQ(*std::get<Ready>(result).item, 7);
}

}  // namespace
}  // namespace camphorferry::request
