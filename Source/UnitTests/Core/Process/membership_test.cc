#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Process/process.h"
#include "peer.pb.h"

namespace camphorferry::process {
namespace {

using common::Duration;
using common::EndpointId;
using common::FailureDomainId;
using common::HostId;
using common::SteadyTime;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime kStart{hours(1)};

FailureDomainId DomainNumber(std::size_t number) {
  return FailureDomainId("region-domain-" + std::to_string(number));
}

/// Simulation of daemons that exchange heartbeats in virtual time.
class HeartbeatFleet {
 public:
  HeartbeatFleet(std::size_t domains, std::size_t per_domain) {
    for (std::size_t number = 0; number < domains * per_domain; ++number) {
      const HostId host("daemon-" + std::to_string(number));
      this->list.push_back({host, DomainNumber(number / per_domain)});
      this->numbers[host] = number;
    }
    for (const ListedHost& entry : this->list) {
      this->memberships.push_back(this->NewMembership(entry, 1));
      this->running.push_back(true);
      this->incarnations.push_back(1);
    }
  }

  Membership NewMembership(const ListedHost& entry,
                           Incarnation incarnation) const {
    Membership membership(entry.host, entry.domain, incarnation, this->now);
    membership.SetOwnState(PeerState::kLive);
    membership.SetHosts(this->list, this->now);
    return membership;
  }

  const HostId& Host(std::size_t number) const {
    return this->list[number].host;
  }

  void Restart(std::size_t number) {
    this->running[number] = true;
    this->memberships[number] =
        this->NewMembership(this->list[number], ++this->incarnations[number]);
  }

  void RunRounds(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      this->now += kHeartbeatInterval;
      for (std::size_t sender = 0; sender < this->memberships.size();
           ++sender) {
        if (!this->running[sender]) {
          continue;
        }
        for (const HostId& target :
             this->memberships[sender].StartHeartbeatRound(this->now)) {
          this->Exchange(sender, this->numbers.at(target));
        }
      }
    }
  }

  /// Number of running daemons that consider another one as live, restricted to
  /// one domain if it is given.
  std::size_t CountSeenAsLive(
      std::size_t number,
      const std::optional<FailureDomainId>& domain = std::nullopt) const {
    std::size_t count = 0;
    for (std::size_t viewer = 0; viewer < this->memberships.size(); ++viewer) {
      const bool other = viewer != number && this->running[viewer] &&
                         (!domain || this->list[viewer].domain == *domain);
      if (other &&
          this->memberships[viewer].IsLive(this->Host(number), this->now)) {
        ++count;
      }
    }
    return count;
  }

  std::vector<ListedHost> list;
  std::vector<Membership> memberships;
  std::vector<bool> running;
  std::vector<Incarnation> incarnations;
  std::map<HostId, std::size_t> numbers;
  /// Two domains that are partitioned from each other.
  std::set<FailureDomainId> cut_pair;
  SteadyTime now = kStart;

 private:
  PeerHeartbeat HeartbeatOf(std::size_t sender, std::size_t receiver) const {
    const ListedHost& entry = this->list[sender];
    return {entry.host, this->incarnations[sender], entry.domain,
            PeerState::kLive,
            this->memberships[sender].Reports(this->list[receiver].domain,
                                              this->now)};
  }

  void Exchange(std::size_t sender, std::size_t receiver) {
    const std::set<FailureDomainId> pair{this->list[sender].domain,
                                         this->list[receiver].domain};
    if (!this->running[receiver] || pair == this->cut_pair) {
      return;
    }
    this->memberships[receiver].OnHeartbeat(this->HeartbeatOf(sender, receiver),
                                            this->now);
    this->memberships[sender].OnHeartbeat(this->HeartbeatOf(receiver, sender),
                                          this->now);
  }
};

class MembershipTest : public testing::Test {
 protected:
  MembershipTest() : membership(HostId("a"), DomainNumber(0), 1, kStart) {
    this->membership.SetOwnState(PeerState::kLive);
    this->membership.SetHosts({{HostId("a"), DomainNumber(0)},
                               {HostId("b"), DomainNumber(0)},
                               {HostId("c"), DomainNumber(0)},
                               {HostId("d"), DomainNumber(1)}},
                              kStart);
    this->membership.StartHeartbeatRound(kStart);
  }

  void ReceiveHeartbeat(const std::string& host, SteadyTime now,
                        PeerState state = PeerState::kLive,
                        Incarnation incarnation = 1,
                        std::vector<PeerReport> reports = {}) {
    this->membership.OnHeartbeat(
        {HostId(host), incarnation, DomainNumber(host == "d" ? 1 : 0), state,
         std::move(reports)},
        now);
  }

  /// Runs heartbeat rounds without any response.
  SteadyTime RunRounds(SteadyTime now, int rounds) {
    for (int round = 0; round < rounds; ++round) {
      now += kHeartbeatInterval;
      this->membership.StartHeartbeatRound(now);
    }
    return now;
  }

  Membership membership;
};

// Guards against requests that are sent to an unresponsive daemon.
TEST_F(MembershipTest, SilentPeer_IsLive_IsFalseUntilHeard) {
  this->ReceiveHeartbeat("b", kStart);
  SteadyTime now = this->RunRounds(kStart, 2);
  const SteadyTime limit = kStart + kHeartbeatTimeout;
  EXPECT_TRUE(this->membership.IsLive(HostId("b"), limit));
  EXPECT_FALSE(this->membership.IsLive(HostId("b"), limit + Duration(1)));
  now = this->RunRounds(now, 2);
  EXPECT_FALSE(this->membership.IsLive(HostId("b"), now));
  this->ReceiveHeartbeat("b", now);
  EXPECT_TRUE(this->membership.IsLive(HostId("b"), now));
}

// Guards against an unresponsive peer that is kept alive by outdated reports.
TEST_F(MembershipTest, ReportOfPeer_IsLive_ConsidersReportAge) {
  const SteadyTime now = this->RunRounds(kStart, 4);
  ASSERT_FALSE(this->membership.IsLive(HostId("c"), now));
  const PeerReport heard{HostId("c"),      1,     DomainNumber(0),
                         PeerState::kLive, false, Duration::zero()};
  PeerReport old = heard;
  old.age = seconds(2);
  this->ReceiveHeartbeat("b", now, PeerState::kLive, 1, {old});
  EXPECT_FALSE(this->membership.IsLive(HostId("c"), now));
  PeerReport later = heard;
  const SteadyTime next = now + milliseconds(300);
  later.age = milliseconds(200);
  this->ReceiveHeartbeat("b", next, PeerState::kLive, 1, {later});
  this->membership.StartHeartbeatRound(next + milliseconds(400));
  EXPECT_TRUE(this->membership.IsLive(HostId("c"), next + milliseconds(800)));
  EXPECT_FALSE(this->membership.IsLive(HostId("c"), next + milliseconds(801)));
}

// Guards against endpoints owned by a daemon that is leaving or has not
// started.
TEST_F(MembershipTest, DrainingOrStartingPeers_OwnerOf_SkipsThem) {
  for (const PeerState state : {PeerState::kStarting, PeerState::kDraining}) {
    this->ReceiveHeartbeat("b", kStart, state);
    this->ReceiveHeartbeat("c", kStart, state);
    for (int number = 0; number < 20; ++number) {
      const EndpointId endpoint("db-" + std::to_string(number));
      EXPECT_EQ(this->membership.OwnerOf(endpoint, DomainNumber(0), kStart),
                HostId("a"));
    }
  }
  this->membership.SetOwnState(PeerState::kDraining);
  EXPECT_EQ(this->membership.OwnerOf(EndpointId("db"), DomainNumber(0), kStart),
            HostId("d"));
}

// Guards against a delayed heartbeat of an earlier run of a peer.
TEST_F(MembershipTest, EarlierIncarnation_OnHeartbeat_IsIgnored) {
  this->ReceiveHeartbeat("b", kStart, PeerState::kDraining, 7);
  this->ReceiveHeartbeat("b", kStart, PeerState::kLive, 6);
  EXPECT_FALSE(this->membership.IsLive(HostId("b"), kStart));
  this->ReceiveHeartbeat("b", kStart, PeerState::kLive, 8);
  EXPECT_TRUE(this->membership.IsLive(HostId("b"), kStart));
}

// Guards against a daemon that considers itself the only live one after a
// pause.
TEST_F(MembershipTest, PausedDaemon_Resume_KeepsPeersLive) {
  this->ReceiveHeartbeat("b", kStart);
  const SteadyTime resumed = kStart + seconds(30);
  EXPECT_TRUE(this->membership.IsLive(HostId("b"), resumed));
  this->membership.StartHeartbeatRound(resumed);
  EXPECT_TRUE(this->membership.IsLive(HostId("b"), resumed));
  EXPECT_TRUE(this->membership.Reports(DomainNumber(0), resumed).empty());
  const SteadyTime later = this->RunRounds(resumed, 3);
  EXPECT_FALSE(this->membership.IsLive(HostId("b"), later));
}

// Guards against daemons with the same view that choose different owners, or
// none.
RC_GTEST_PROP(MembershipOwnerTest, AnyView_Owner_IsFirstInRendezvousOrder, ()) {
  const auto live =
      *rc::gen::container<std::vector<bool>>(12, rc::gen::arbitrary<bool>());
  Membership membership(HostId("self"), DomainNumber(9), 1, kStart);
  std::vector<std::vector<HostId>> expected(3);
  std::vector<HostId> all;
  for (std::size_t number = 0; number < live.size(); ++number) {
    const HostId host("daemon-" + std::to_string(number));
    const std::size_t domain = number % 3;
    membership.OnHeartbeat(
        {host,
         1,
         DomainNumber(domain),
         live[number] ? PeerState::kLive : PeerState::kDraining,
         {}},
        kStart);
    if (live[number]) {
      expected[domain].push_back(host);
      all.push_back(host);
    }
  }
  const EndpointId endpoint("db-" + std::to_string(*rc::gen::inRange(0, 1000)));
  for (std::size_t domain = 0; domain < 3; ++domain) {
    const std::vector<HostId> order = common::RendezvousOrder(
        endpoint.Value(), expected[domain].empty() ? all : expected[domain]);
    const auto owner =
        membership.OwnerOf(endpoint, DomainNumber(domain), kStart);
    RC_ASSERT(owner.has_value() == !order.empty());
    // RC_ASSERT evaluates both sides of ||.
    if (!order.empty()) {
      RC_ASSERT(*owner == order.front());
    }
    const auto watchers = membership.WatchersOf(DomainNumber(domain), kStart);
    RC_ASSERT(watchers.size() ==
              std::min<std::size_t>(2, expected[domain].size()));
  }
}

class HeartbeatFleetTest : public testing::Test {};

// Guards against daemons that consider each other as silent without a fault.
TEST_F(HeartbeatFleetTest, NoFault_RunRounds_AllSeeAllAsLive) {
  for (const std::size_t per_domain : {1, 2, 3, 8, 9, 10, 40}) {
    HeartbeatFleet fleet(3, per_domain);
    fleet.RunRounds(20);
    for (std::size_t number = 0; number < fleet.memberships.size(); ++number) {
      EXPECT_EQ(fleet.CountSeenAsLive(number), fleet.memberships.size() - 1)
          << per_domain << " a domain, daemon " << number;
    }
  }
}

// Guards against a killed or restarted daemon of a large domain that not all
// daemons learn about, in particular if it is the domain's relay.
TEST_F(HeartbeatFleetTest, LargeDomain_KilledAndRestarted_AllDaemonsLearnIt) {
  HeartbeatFleet fleet(2, 155);
  fleet.RunRounds(5);
  const HostId relay = *fleet.memberships[0].RelayOf(
      DomainNumber(0), DomainNumber(1), fleet.now);
  const std::size_t killed = fleet.numbers.at(relay);
  fleet.running[killed] = false;
  int rounds = 0;
  while (fleet.CountSeenAsLive(killed) > 0 && rounds < 50) {
    fleet.RunRounds(1);
    ++rounds;
  }
  std::cout << "killed: skipped everywhere after " << rounds << " rounds\n";
  EXPECT_LE(rounds, 10);
  // The daemon stays silent for the others while the host list still contains
  // it.
  for (int round = 0; round < 45; ++round) {
    fleet.RunRounds(1);
    ASSERT_EQ(fleet.CountSeenAsLive(killed), 0) << "round " << round;
  }
  fleet.Restart(killed);
  fleet.RunRounds(10);
  EXPECT_EQ(fleet.CountSeenAsLive(killed), fleet.memberships.size() - 1);
}

// Guards against a partition between two domains that makes a third one
// consider daemons as silent that it reaches, and against effects that outlast
// the partition.
TEST_F(HeartbeatFleetTest, TwoDomainsPartitioned_ThirdDomain_IsNotAffected) {
  HeartbeatFleet fleet(3, 10);
  fleet.RunRounds(5);
  fleet.cut_pair = {DomainNumber(0), DomainNumber(1)};
  for (int round = 0; round < 100; ++round) {
    fleet.RunRounds(1);
    for (std::size_t number = 0; number < 20; ++number) {
      ASSERT_EQ(fleet.CountSeenAsLive(number, DomainNumber(2)), 10);
      ASSERT_EQ(fleet.CountSeenAsLive(number, fleet.list[number].domain), 9);
    }
  }
  fleet.cut_pair.clear();
  fleet.RunRounds(45);
  for (std::size_t number = 0; number < 30; ++number) {
    EXPECT_EQ(fleet.CountSeenAsLive(number), 29);
  }
}

/// Number of messages that a daemon sends per round, requests and responses
/// together.
struct Traffic {
  double mean = 0;
  std::size_t largest = 0;
};

/// Measures the traffic of the daemons of the first domain.
Traffic MeasureTraffic(std::size_t domains, std::size_t per_domain) {
  std::vector<ListedHost> list;
  for (std::size_t number = 0; number < domains * per_domain; ++number) {
    list.push_back({HostId("daemon-" + std::to_string(number)),
                    DomainNumber(number / per_domain)});
  }
  std::map<HostId, std::size_t> messages;
  for (std::size_t number = 0; number < per_domain; ++number) {
    const HostId& self = list[number].host;
    Membership membership(self, DomainNumber(0), 1, kStart);
    membership.SetOwnState(PeerState::kLive);
    membership.SetHosts(list, kStart);
    for (const HostId& target : membership.StartHeartbeatRound(kStart)) {
      const bool same_domain = std::any_of(
          list.begin(), list.begin() + static_cast<std::ptrdiff_t>(per_domain),
          [&](const ListedHost& entry) { return entry.host == target; });
      if (same_domain) {
        ++messages[self];
        ++messages[target];
      }
    }
    // Whichever domain initiates, the relay of this one sends one message.
    for (std::size_t other = 1; other < domains; ++other) {
      if (membership.RelayOf(DomainNumber(0), DomainNumber(other), kStart) ==
          self) {
        ++messages[self];
      }
    }
  }
  Traffic traffic;
  for (const auto& [host, count] : messages) {
    traffic.mean +=
        static_cast<double>(count) / static_cast<double>(per_domain);
    traffic.largest = std::max(traffic.largest, count);
  }
  return traffic;
}

/// Size in bytes of a heartbeat without reports, without gRPC's framing.
std::size_t HeartbeatBytes() {
  peer::v1::HeartbeatMessage message;
  message.set_host("daemon-3400");
  message.set_incarnation(0xFFFF'FFFF'FFFF'FFFF);
  message.set_failure_domain("region-domain-21");
  message.set_state(peer::v1::PEER_STATE_LIVE);
  message.set_configuration_version(17'000 * 365);
  message.set_hybrid_time(0x0006'5000'0000'0000);
  return message.ByteSizeLong();
}

// Guards against heartbeat traffic that grows with the fleet beyond what a
// daemon may use for control traffic.
TEST_F(HeartbeatFleetTest, SmallAndLargeFleet_Traffic_IsBounded) {
  constexpr double kBytesPerSecondBound = 2000;
  const double rounds =
      Duration(seconds(1)).count() /
      static_cast<double>(Duration(kHeartbeatInterval).count());
  for (const auto& [domains, per_domain] :
       std::vector<std::pair<std::size_t, std::size_t>>{
           {1, 8}, {3, 3}, {22, 155}}) {
    const Traffic traffic = MeasureTraffic(domains, per_domain);
    const double mean = traffic.mean * rounds;
    const double largest = static_cast<double>(traffic.largest) * rounds;
    const double bytes = largest * static_cast<double>(HeartbeatBytes());
    std::cout << domains << " domains of " << per_domain << ": " << mean
              << " messages/s sent by a daemon on average, " << largest
              << " at most, " << mean * static_cast<double>(HeartbeatBytes())
              << " and " << bytes << " bytes/s\n";
    EXPECT_LE(bytes, kBytesPerSecondBound);
  }
}

}  // namespace
}  // namespace camphorferry::process
