#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Process/process.h"

namespace camphorferry::process {
namespace {

using common::EndpointId;
using common::LogPosition;
using common::Term;
using request::EndpointRole;
using std::chrono::milliseconds;

/// Answers the coordinator's polls from a table and records its other actions.
class FailoverCoordinatorTest : public testing::Test {
 protected:
  FailoverCoordinatorTest() { this->Create(0); }

  void Create(std::size_t rank) {
    this->coordinator.emplace(std::vector<EndpointId>{a, b, c}, "p1", rank);
  }

  void SetStatus(const EndpointId& id, Term term, Term fence, EndpointRole role,
                 LogPosition position) {
    this->statuses[id] = EndpointStatus{term, fence, role, position};
  }

  /// Sets up a healthy group whose primary is a, with term 1.
  void SetUpHealthyGroup() {
    this->SetStatus(a, 1, 1, EndpointRole::kPrimary, {1, 9});
    this->SetStatus(b, 1, 1, EndpointRole::kReplica, {1, 8});
    this->SetStatus(c, 1, 1, EndpointRole::kReplica, {1, 7});
  }

  void Send(const FailoverEvent& event) {
    this->PerformActions(this->coordinator->Handle(event, this->now));
  }

  void PerformActions(const std::vector<FailoverAction>& actions) {
    for (const FailoverAction& action : actions) {
      std::visit([this](const auto& typed) { this->Collect(typed); }, action);
    }
  }

  void Collect(const SendStatusPoll& poll) {
    if (this->silent.count(poll.endpoint) != 0) return;
    if (this->down.count(poll.endpoint) != 0) {
      this->Send(
          StatusFailed{poll.endpoint, poll.request, FailureKind::kRefused});
      return;
    }
    this->Send(StatusReceived{poll.endpoint, poll.request,
                              this->statuses[poll.endpoint]});
  }
  void Collect(const SendFence& fence) { this->fences.push_back(fence); }
  void Collect(const SendPromote& promote) {
    this->promotes.push_back(promote);
  }
  void Collect(const SendFollow& follow) { this->follows.push_back(follow); }
  void Collect(const AnnouncePrimary& primary) {
    this->announced.push_back(primary);
  }

  void Run(milliseconds length) {
    for (milliseconds passed{0}; passed < length; passed += kStep) {
      this->Send(FailoverTick{});
      this->now += kStep;
    }
  }

  /// Runs until a condition holds or kRunLimit has passed; returns the time
  /// taken.
  template <typename Condition>
  milliseconds RunUntil(Condition condition) {
    milliseconds passed{0};
    while (!condition() && passed < kRunLimit) {
      this->Run(kStep);
      passed += kStep;
    }
    return passed;
  }

  /// Returns the grant of an endpoint for the last fence request sent to it.
  FenceReply Granted(const EndpointId& id, LogPosition position) {
    FenceReply reply{id, 0, true, 0, "p1", position};
    for (const SendFence& fence : this->fences) {
      if (fence.endpoint != id) continue;
      reply.request = fence.request;
      reply.fence = fence.term;
    }
    this->statuses[id].fence = reply.fence;
    return reply;
  }

  /// Kills the primary of a healthy group and runs until the fence requests are
  /// sent.
  void KillPrimaryAndAwaitFences() {
    this->SetUpHealthyGroup();
    this->Run(kStabilizationTime);
    this->down.insert(a);
    this->RunUntil([this] { return !this->fences.empty(); });
  }

  static constexpr milliseconds kStep{10};
  static constexpr milliseconds kStabilizationTime{1000};
  static constexpr milliseconds kRunLimit{10000};

  const EndpointId a{"a"};
  const EndpointId b{"b"};
  const EndpointId c{"c"};
  common::SteadyTime now{std::chrono::hours(1)};
  std::map<EndpointId, EndpointStatus> statuses;
  /// Endpoints that refuse connections at once.
  std::set<EndpointId> down;
  /// Endpoints that do not respond.
  std::set<EndpointId> silent;
  std::optional<FailoverCoordinator> coordinator;
  std::vector<SendFence> fences;
  std::vector<SendPromote> promotes;
  std::vector<SendFollow> follows;
  std::vector<AnnouncePrimary> announced;
};

// Guards against failovers without a failure.
TEST_F(FailoverCoordinatorTest, HealthyGroup_LongRun_StartsNoFailover) {
  this->SetUpHealthyGroup();
  this->Run(milliseconds(5000));
  EXPECT_TRUE(this->fences.empty());
  EXPECT_TRUE(this->follows.empty());
  ASSERT_EQ(this->announced.size(), 1U);
  EXPECT_EQ(this->coordinator->Primary(), (KnownPrimary{this->a, 1}));
}

// Guards against a group that stays without a primary because no primary was
// ever observed.
TEST_F(FailoverCoordinatorTest, OnlyReplicas_Start_FencesAllAtFirstTerm) {
  for (const EndpointId& id : {this->a, this->b, this->c}) {
    this->SetStatus(id, 0, 0, EndpointRole::kReplica, {});
  }
  this->Run(milliseconds(50));
  ASSERT_EQ(this->fences.size(), 3U);
  EXPECT_EQ(this->fences.front().term, 1U);
}

// Guards against detection that takes longer than the failover gap allows.
// Polls are refused at once after a kill and time out after a network
// isolation.
TEST_F(FailoverCoordinatorTest, PrimaryLost_Detection_TakesThreeMissedPolls) {
  this->SetUpHealthyGroup();
  this->Run(kStabilizationTime);
  this->down.insert(this->a);
  this->Send(StatusFailed{this->a, std::nullopt, FailureKind::kRefused});
  const auto fenced = [this] { return !this->fences.empty(); };
  EXPECT_LE(this->RunUntil(fenced), milliseconds(150));

  this->Create(0);
  this->fences.clear();
  this->down.clear();
  this->Run(kStabilizationTime);
  this->silent.insert(this->a);
  EXPECT_LE(this->RunUntil(fenced), milliseconds(1000));
}

// Guards against daemons that all start a round at the same moment.
TEST_F(FailoverCoordinatorTest, HigherRank_PrimaryKilled_WaitsLonger) {
  this->Create(2);
  this->SetUpHealthyGroup();
  this->Run(kStabilizationTime);
  this->down.insert(this->a);
  const milliseconds waited =
      this->RunUntil([this] { return !this->fences.empty(); });
  EXPECT_GE(waited, milliseconds(600));
  EXPECT_LE(waited, milliseconds(1000));
}

// Guards against the loss of acknowledged writes by a promotion that ignores a
// granted log or counts a grant for another proposer or term.
TEST_F(FailoverCoordinatorTest, Majority_Granted_PromotesMostAdvanced) {
  this->KillPrimaryAndAwaitFences();
  FenceReply foreign = this->Granted(this->b, {1, 8});
  foreign.proposer = "p2";
  this->Send(foreign);
  EXPECT_TRUE(this->promotes.empty());

  this->fences.clear();
  this->RunUntil([this] { return !this->fences.empty(); });
  FenceReply stale = this->Granted(this->b, {1, 8});
  stale.request -= 3;
  --stale.fence;
  this->Send(stale);
  this->Send(this->Granted(this->c, {1, 9}));
  EXPECT_TRUE(this->promotes.empty());
  this->Send(this->Granted(this->b, {1, 8}));
  ASSERT_EQ(this->promotes.size(), 1U);
  EXPECT_EQ(this->promotes.front().endpoint, this->c);
  EXPECT_EQ(this->promotes.front().term, this->fences.front().term);
}

// Guards against two primaries of one term after the reply to a promote request
// was lost.
TEST_F(FailoverCoordinatorTest, PromoteReplyLost_NotApplied_UsesHigherTerm) {
  this->KillPrimaryAndAwaitFences();
  this->Send(this->Granted(this->c, {1, 7}));
  this->Send(this->Granted(this->b, {1, 8}));
  ASSERT_EQ(this->promotes.size(), 1U);
  const Term first = this->promotes.front().term;
  this->fences.clear();
  this->Send(
      PromoteFailed{this->promotes[0].endpoint, this->promotes[0].request});
  this->RunUntil([this] { return !this->fences.empty(); });
  ASSERT_FALSE(this->fences.empty());
  EXPECT_GT(this->fences.front().term, first);
}

// Guards against a second promotion when the first one took effect and only its
// reply was lost.
TEST_F(FailoverCoordinatorTest, PromoteReplyLost_Applied_LearnsFromStatus) {
  this->KillPrimaryAndAwaitFences();
  this->Send(this->Granted(this->c, {1, 7}));
  this->Send(this->Granted(this->b, {1, 8}));
  ASSERT_EQ(this->promotes.size(), 1U);
  const SendPromote sent = this->promotes.front();
  this->SetStatus(this->b, sent.term, sent.term, EndpointRole::kPrimary,
                  {sent.term, 9});
  this->fences.clear();
  this->Send(PromoteFailed{sent.endpoint, sent.request});
  this->Run(milliseconds(500));
  EXPECT_TRUE(this->fences.empty());
  EXPECT_EQ(this->coordinator->Primary(), (KnownPrimary{this->b, sent.term}));
  ASSERT_FALSE(this->follows.empty());
  EXPECT_EQ(this->follows.front().endpoint, this->c);
  EXPECT_EQ(this->follows.front().primary, this->b);
}

// Guards against a restarted former primary that stays outside the group when
// the first follow request is lost.
TEST_F(FailoverCoordinatorTest, OldPrimaryReturns_FollowLost_IsRepeated) {
  this->SetUpHealthyGroup();
  this->SetStatus(this->b, 2, 2, EndpointRole::kPrimary, {2, 9});
  this->SetStatus(this->c, 2, 2, EndpointRole::kReplica, {2, 9});
  this->Run(milliseconds(50));
  ASSERT_EQ(this->follows.size(), 1U);
  EXPECT_EQ(this->follows[0].endpoint, this->a);
  this->Send(FollowFailed{this->a, this->follows[0].request});
  this->Run(milliseconds(400));
  ASSERT_EQ(this->follows.size(), 2U);
  this->SetStatus(this->a, 2, 2, EndpointRole::kReplica, {2, 9});
  this->Send(FollowReply{this->a, this->follows[1].request, 2, true});
  this->Run(kStabilizationTime);
  EXPECT_EQ(this->follows.size(), 2U);
}

// Guards against a coordinator that, after a pause, acts on outdated knowledge,
// such as a majority that was overtaken.
TEST_F(FailoverCoordinatorTest, PausedRound_LateGrants_PromoteNothing) {
  this->KillPrimaryAndAwaitFences();
  this->Send(this->Granted(this->c, {1, 7}));
  this->now += std::chrono::seconds(2);
  this->Send(this->Granted(this->b, {1, 8}));
  EXPECT_TRUE(this->promotes.empty());
}

// Guards against two daemons that overtake each other indefinitely: a higher
// fence makes this one back off for a bounded time.
TEST_F(FailoverCoordinatorTest, FencedByOther_Retry_IsDelayedWithHigherTerm) {
  this->KillPrimaryAndAwaitFences();
  FenceReply denied = this->Granted(this->b, {1, 8});
  denied.granted = false;
  denied.fence = 7;
  denied.proposer = "p2";
  this->statuses[this->b].fence = 7;
  this->Send(denied);
  this->fences.clear();
  const milliseconds waited =
      this->RunUntil([this] { return !this->fences.empty(); });
  EXPECT_GE(waited, milliseconds(400));
  EXPECT_LE(waited, milliseconds(1000));
  EXPECT_GT(this->fences.front().term, 7U);
}

// Guards against a group that cannot confirm writes although its primary
// responds, because an abandoned round has fenced a replica above the primary's
// term.
TEST_F(FailoverCoordinatorTest, ReplicaFencedAbove_Persists_IsRepaired) {
  this->SetUpHealthyGroup();
  this->Run(kStabilizationTime);
  this->SetStatus(this->b, 1, 5, EndpointRole::kReplica, {1, 8});
  const milliseconds waited =
      this->RunUntil([this] { return !this->fences.empty(); });
  EXPECT_GE(waited, milliseconds(1000));
  EXPECT_LE(waited, milliseconds(2000));
}

// Guards against fencing the only reachable database, which would exclude it
// from the group that the others may still form.
TEST_F(FailoverCoordinatorTest, OneReachable_PrimaryLost_FencesNothing) {
  this->SetUpHealthyGroup();
  this->Run(kStabilizationTime);
  this->down = {this->a, this->b};
  this->Run(milliseconds(5000));
  EXPECT_TRUE(this->fences.empty());
  EXPECT_TRUE(this->coordinator->IsSuspect(this->a));
}

}  // namespace
}  // namespace camphorferry::process
