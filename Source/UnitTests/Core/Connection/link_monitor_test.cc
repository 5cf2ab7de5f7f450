#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Connection/connection.h"

namespace camphorferry::connection {
namespace {

using std::chrono::milliseconds;
using Actions = std::vector<LinkAction>;

class LinkMonitorTest : public testing::Test {
 protected:
  Actions After(milliseconds passed, const LinkEvent& event) {
    this->now += passed;
    return this->monitor.Handle(event, this->now);
  }

  common::SteadyTime now{std::chrono::hours(1)};
  LinkMonitor monitor;
};

// Guards against requests that wait on a silent connection while new ones
// work, and against idle connections that silently fail the next requests.
TEST_F(LinkMonitorTest, SilentLink_ProbeAnswered_ClosesItAndIdleOnes) {
  this->After(milliseconds(0), LinkSent{1, "idle"});
  this->After(milliseconds(1), LinkAnswered{1, "idle"});
  this->After(milliseconds(1), LinkSent{2, "silent"});
  this->After(milliseconds(1), LinkSent{3, "works"});
  this->After(milliseconds(1), LinkAnswered{3, "works"});
  EXPECT_EQ(this->After(milliseconds(490), LinkTick{}), Actions{});
  EXPECT_EQ(this->After(milliseconds(10), LinkTick{}), Actions{OpenProbe{1}});
  EXPECT_EQ(this->After(milliseconds(5), LinkTick{}), Actions{});
  EXPECT_EQ(this->After(milliseconds(5), ProbeAnswered{1}),
            (Actions{CloseLink{2}, CloseLink{1}}));
  EXPECT_FALSE(this->monitor.MayUse(2));
  EXPECT_TRUE(this->monitor.MayUse(3));
}

// Guards against unknown outcomes at an endpoint that is healthy but slow: its
// statements were closed as silent while the probe was answered.
TEST_F(LinkMonitorTest, SlowAnswers_NextStatement_GetsMoreTime) {
  this->After(milliseconds(0), LinkSent{1, "slow"});
  this->After(milliseconds(450), LinkAnswered{1, "slow"});
  this->After(milliseconds(1), LinkSent{1, "slower"});
  EXPECT_EQ(this->After(milliseconds(700), LinkTick{}), Actions{});
  this->After(milliseconds(1), LinkAnswered{1, "slower"});
  EXPECT_TRUE(this->monitor.MayUse(1));
}

// Guards against a limit that stays high after the endpoint is fast again, so
// that a silent link is found late.
TEST_F(LinkMonitorTest, FastAnswersAfterSlow_SilentLink_IsProbedInTime) {
  this->After(milliseconds(0), LinkSent{1, "slow"});
  this->After(milliseconds(450), LinkAnswered{1, "slow"});
  for (int i = 0; i < 20; ++i) {
    this->After(milliseconds(1), LinkSent{1, std::to_string(i)});
    this->After(milliseconds(1), LinkAnswered{1, std::to_string(i)});
  }
  this->After(milliseconds(1), LinkSent{1, "silent"});
  EXPECT_EQ(this->After(milliseconds(500), LinkTick{}), Actions{OpenProbe{1}});
}

// Guards against closing a link whose slow answer came before the probe's.
TEST_F(LinkMonitorTest, AnswerBeforeProbe_ProbeAnswered_KeepsLink) {
  this->After(milliseconds(0), LinkSent{1, "slow"});
  this->After(milliseconds(500), LinkTick{});
  this->After(milliseconds(5), LinkAnswered{1, "slow"});
  EXPECT_EQ(this->After(milliseconds(5), ProbeAnswered{1}), Actions{});
  EXPECT_TRUE(this->monitor.MayUse(1));
}

// Guards against requests sent to an endpoint that is down, and against one
// that stays marked after it came back.
TEST_F(LinkMonitorTest, ProbeFails_Endpoint_IsDownUntilItAnswers) {
  this->After(milliseconds(0), LinkSent{1, "r"});
  this->After(milliseconds(500), LinkTick{});
  EXPECT_EQ(this->After(milliseconds(12), ProbeFailed{1}),
            Actions{MarkEndpointDown{}});
  this->After(milliseconds(0), LinkClosed{1});
  EXPECT_EQ(this->After(milliseconds(499), LinkTick{}), Actions{});
  EXPECT_EQ(this->After(milliseconds(1), LinkTick{}), Actions{OpenProbe{2}});
  this->After(milliseconds(500), LinkTick{});
  EXPECT_TRUE(this->monitor.IsDown());
  EXPECT_EQ(this->After(milliseconds(500), LinkTick{}), Actions{OpenProbe{3}});
  this->After(milliseconds(5), ProbeAnswered{3});
  EXPECT_FALSE(this->monitor.IsDown());
}

// Guards against a response that reaches the wrong request: whatever happens,
// a link with an outstanding answer carries no other request.
RC_GTEST_FIXTURE_PROP(LinkMonitorTest, AnyEvents_MayUse_NeverWithOpenAnswer,
                      ()) {
  std::map<LinkId, std::string> outstanding;
  std::set<LinkId> mismatched;
  const int steps = *rc::gen::inRange(0, 100);
  for (int step = 0; step < steps; ++step) {
    const LinkId link = *rc::gen::inRange<LinkId>(1, 4);
    const auto passed = milliseconds(*rc::gen::inRange(0, 400));
    const std::string id = std::to_string(step);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        if (!this->monitor.MayUse(link)) {
          RC_ASSERT_THROWS_AS(this->After(passed, LinkSent{link, id}),
                              LinkNotUsableError);
          break;
        }
        RC_ASSERT(outstanding.count(link) == 0 && mismatched.count(link) == 0);
        this->After(passed, LinkSent{link, id});
        outstanding[link] = id;
        break;
      case 1:
        if (outstanding.count(link) == 0) break;
        this->After(passed, LinkAnswered{link, outstanding[link]});
        outstanding.erase(link);
        break;
      case 2:
        if (outstanding.count(link) == 0) break;
        this->After(passed, LinkAnswered{link, "other"});
        mismatched.insert(link);
        break;
      case 3:
        this->After(passed, LinkAbandoned{link});
        break;
      case 4:
        this->After(passed, ProbeAnswered{*rc::gen::inRange<LinkId>(1, 9)});
        break;
      default:
        this->After(passed, LinkTick{});
    }
  }
}

}  // namespace
}  // namespace camphorferry::connection
