#include "Connection/event_loop.h"

#include <gtest/gtest.h>

#include <memory>

namespace camphorferry::connection {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EventLoopTest : public testing::Test {
 protected:
  std::unique_ptr<EventLoop> loop = std::make_unique<EventLoop>();
};

TEST_F(EventLoopTest, DelayedAction_LoopRuns_RunsOnce) {
  int runs = 0;
  this->loop->RunLater(milliseconds(1), [&runs] { ++runs; });
  this->loop->RunLater(milliseconds(20), [this] { this->loop->Stop(); });
  this->loop->Run();
  EXPECT_EQ(runs, 1);
}

// Guards against leaking delayed actions, and the objects that they own, when
// the loop is destroyed before they are due.
TEST_F(EventLoopTest, DelayedAction_LoopDestroyed_IsFreed) {
  auto owned = std::make_shared<int>(0);
  const std::weak_ptr<int> watched = owned;
  this->loop->RunLater(seconds(60), [owned] {});
  owned.reset();
  this->loop.reset();
  EXPECT_TRUE(watched.expired());
}

// Guards against a leak when the destructor of a discarded action queues
// another action while the loop is being destroyed.
TEST_F(EventLoopTest, ActionQueuedByDiscardedAction_LoopDestroyed_IsFreed) {
  auto owned = std::make_shared<int>(0);
  const std::weak_ptr<int> watched = owned;
  std::shared_ptr<int> queues_another(
      new int(0), [loop = this->loop.get(), owned](const int* value) {
        delete value;
        loop->RunLater(seconds(60), [owned] {});
      });
  this->loop->Post([queues_another] {});
  owned.reset();
  queues_another.reset();
  this->loop.reset();
  EXPECT_TRUE(watched.expired());
}

}  // namespace
}  // namespace camphorferry::connection
