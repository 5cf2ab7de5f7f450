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
  Actions After(milliseconds elapsed, const LinkEvent& event) {
    this->now += elapsed;
    return this->monitor.Handle(event, this->now);
  }

  common::SteadyTime now{std::chrono::hours(1)};
  LinkMonitor monitor;
};

// Guards against requests that wait on an unresponsive connection while new
// connections work, and against idle connections that fail the same way and
// leave the next requests unanswered.
TEST_F(LinkMonitorTest, UnresponsiveLink_ProbeAnswered_ClosesItAndIdleLinks) {
  this->After(milliseconds(0), LinkRequestSent{1, "idle"});
  this->After(milliseconds(1), LinkResponseReceived{1, "idle"});
  this->After(milliseconds(1), LinkRequestSent{2, "silent"});
  this->After(milliseconds(1), LinkRequestSent{3, "works"});
  this->After(milliseconds(1), LinkResponseReceived{3, "works"});
  EXPECT_EQ(this->After(milliseconds(490), LinkTick{}), Actions{});
  EXPECT_EQ(this->After(milliseconds(10), LinkTick{}), Actions{OpenProbe{1}});
  EXPECT_EQ(this->After(milliseconds(5), LinkTick{}), Actions{});
  EXPECT_EQ(this->After(milliseconds(5), ProbeAnswered{1}),
            (Actions{CloseLink{2}, CloseLink{1}}));
  EXPECT_FALSE(this->monitor.CanSend(2));
  EXPECT_TRUE(this->monitor.CanSend(3));
}

// Guards against unknown outcomes at an endpoint that is healthy but slow: the
// connections of its statements were closed as unresponsive because the probe
// was answered.
TEST_F(LinkMonitorTest, NextStatement_AfterSlowResponses_GetsMoreTime) {
  this->After(milliseconds(0), LinkRequestSent{1, "slow"});
  this->After(milliseconds(450), LinkResponseReceived{1, "slow"});
  this->After(milliseconds(1), LinkRequestSent{1, "slower"});
  EXPECT_EQ(this->After(milliseconds(700), LinkTick{}), Actions{});
  this->After(milliseconds(1), LinkResponseReceived{1, "slower"});
  EXPECT_TRUE(this->monitor.CanSend(1));
}

// Guards against a time limit that stays high after the endpoint is fast again,
// which delays the detection of an unresponsive link.
TEST_F(LinkMonitorTest,
       UnresponsiveLink_FastResponsesAfterSlow_IsProbedInTime) {
  this->After(milliseconds(0), LinkRequestSent{1, "slow"});
  this->After(milliseconds(450), LinkResponseReceived{1, "slow"});
  for (int i = 0; i < 20; ++i) {
    this->After(milliseconds(1), LinkRequestSent{1, std::to_string(i)});
    this->After(milliseconds(1), LinkResponseReceived{1, std::to_string(i)});
  }
  this->After(milliseconds(1), LinkRequestSent{1, "silent"});
  EXPECT_EQ(this->After(milliseconds(500), LinkTick{}), Actions{OpenProbe{1}});
}

// Guards against closing a link whose slow response arrived before the probe's.
TEST_F(LinkMonitorTest, Link_ResponseBeforeProbeAnswer_IsKept) {
  this->After(milliseconds(0), LinkRequestSent{1, "slow"});
  this->After(milliseconds(500), LinkTick{});
  this->After(milliseconds(5), LinkResponseReceived{1, "slow"});
  EXPECT_EQ(this->After(milliseconds(5), ProbeAnswered{1}), Actions{});
  EXPECT_TRUE(this->monitor.CanSend(1));
}

// Guards against requests to an endpoint that is down, and against an endpoint
// that stays marked as down after its recovery.
TEST_F(LinkMonitorTest, Endpoint_ProbeFails_IsDownUntilItResponds) {
  this->After(milliseconds(0), LinkRequestSent{1, "r"});
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

// Guards against a response that is matched to the wrong request: whatever the
// sequence of events, a link with a pending request accepts no other request.
RC_GTEST_FIXTURE_PROP(LinkMonitorTest,
                      CanSend_AnyEvents_NeverTrueWithPendingRequest, ()) {
  std::map<LinkId, std::string> pending;
  std::set<LinkId> mismatched;
  const int steps = *rc::gen::inRange(0, 100);
  for (int step = 0; step < steps; ++step) {
    const LinkId link = *rc::gen::inRange<LinkId>(1, 4);
    const auto elapsed = milliseconds(*rc::gen::inRange(0, 400));
    const std::string id = std::to_string(step);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        if (!this->monitor.CanSend(link)) {
          RC_ASSERT_THROWS_AS(this->After(elapsed, LinkRequestSent{link, id}),
                              LinkNotUsableError);
          break;
        }
        RC_ASSERT(pending.count(link) == 0 && mismatched.count(link) == 0);
        this->After(elapsed, LinkRequestSent{link, id});
        pending[link] = id;
        break;
      case 1:
        if (pending.count(link) == 0) break;
        this->After(elapsed, LinkResponseReceived{link, pending[link]});
        pending.erase(link);
        break;
      case 2:
        if (pending.count(link) == 0) break;
        this->After(elapsed, LinkResponseReceived{link, "other"});
        mismatched.insert(link);
        break;
      case 3:
        this->After(elapsed, LinkRequestAbandoned{link});
        break;
      case 4:
        this->After(elapsed, ProbeAnswered{*rc::gen::inRange<LinkId>(1, 9)});
        break;
      default:
        this->After(elapsed, LinkTick{});
    }
  }
}

}  // namespace
}  // namespace camphorferry::connection
