#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <vector>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;

constexpr common::SteadyTime kStart{std::chrono::hours(1)};

/// How the daemons of a replay choose.
enum class Choice {
  /// The nearest endpoint, as in fleets without connection owners.
  kNearest,
  /// The endpoint with the shortest expected time.
  kShortest,
  kByLoad
};

struct ReplayResult {
  std::size_t largest_queue = 0;
  /// Share of time in which an endpoint has a free slot while another has a
  /// queue.
  double idle_beside_queue = 0;
};

/// Replays a fleet of 60 daemons and a group of three endpoints with four slots
/// each. Half of the daemons are nearest to the first endpoint. Daemons learn
/// how long a read has taken only after a delay.
class PlacementReplay {
 public:
  PlacementReplay(Choice choice, milliseconds age)
      : choice(choice),
        age(age),
        daemons(kDaemons, std::vector<ResponseTimes>(kEndpoints)),
        endpoints(kEndpoints) {}

  ReplayResult Run() {
    constexpr milliseconds kLength(20000);
    int uneven = 0;
    for (milliseconds at(0); at < kLength; at += milliseconds(1)) {
      const common::SteadyTime now = kStart + at;
      this->Finish(now);
      this->Learn(now);
      for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
        if (this->Draw() < kReadsPerMs) this->Send(daemon, now);
      }
      this->Serve(now);
      uneven += this->IdleBesideQueue() ? 1 : 0;
    }
    this->result.idle_beside_queue =
        static_cast<double>(uneven) / static_cast<double>(kLength.count());
    return this->result;
  }

 private:
  static constexpr std::size_t kDaemons = 60;
  static constexpr std::size_t kEndpoints = 3;
  static constexpr std::size_t kSlots = 4;
  /// 0.6 reads a millisecond for 0.8 that the endpoints can serve.
  static constexpr double kReadsPerMs = 0.01;
  static constexpr milliseconds kServiceTime{15};

  struct Read {
    std::size_t daemon = 0;
    std::size_t endpoint = 0;
    common::SteadyTime sent;
  };
  struct Endpoint {
    std::deque<Read> queue;
    std::multimap<common::SteadyTime, Read> running;
  };

  double Draw() { return this->uniform(this->random); }

  static milliseconds Distance(std::size_t daemon, std::size_t endpoint) {
    const std::size_t nearest = daemon % 4 < 2 ? 0 : daemon % 4 - 1;
    return milliseconds(endpoint == nearest ? 1 : 3);
  }

  std::size_t Choose(std::size_t daemon, common::SteadyTime now) {
    std::vector<ReaderCandidate> candidates;
    for (std::size_t index = 0; index < kEndpoints; ++index) {
      const ResponseTimes& times = this->daemons[daemon][index];
      candidates.push_back({Distance(daemon, index), times.Average(),
                            times.Weight(now), milliseconds(0)});
    }
    if (this->choice == Choice::kByLoad) {
      return ChooseReaderByLoad(candidates, this->Draw());
    }
    if (this->choice == Choice::kNearest) {
      for (ReaderCandidate& candidate : candidates) {
        candidate.response_time.reset();
      }
    }
    const auto expected = ExpectedTimes(candidates);
    return static_cast<std::size_t>(
        std::min_element(expected.begin(), expected.end()) - expected.begin());
  }

  void Send(std::size_t daemon, common::SteadyTime now) {
    const std::size_t target = this->Choose(daemon, now);
    this->endpoints[target].queue.push_back({daemon, target, now});
  }

  void Serve(common::SteadyTime now) {
    for (Endpoint& endpoint : this->endpoints) {
      while (endpoint.running.size() < kSlots && !endpoint.queue.empty()) {
        endpoint.running.emplace(now + kServiceTime, endpoint.queue.front());
        endpoint.queue.pop_front();
      }
      this->result.largest_queue =
          std::max(this->result.largest_queue, endpoint.queue.size());
    }
  }

  void Finish(common::SteadyTime now) {
    for (Endpoint& endpoint : this->endpoints) {
      while (!endpoint.running.empty() &&
             endpoint.running.begin()->first <= now) {
        const Read read = endpoint.running.begin()->second;
        endpoint.running.erase(endpoint.running.begin());
        this->unknown.push_back({now + this->age, now - read.sent, read});
      }
    }
  }

  void Learn(common::SteadyTime now) {
    while (!this->unknown.empty() && this->unknown.front().known_at <= now) {
      const Response& response = this->unknown.front();
      this->daemons[response.read.daemon][response.read.endpoint].Record(
          response.time, now - this->age);
      this->unknown.pop_front();
    }
  }

  bool IdleBesideQueue() const {
    bool idle = false;
    bool queue = false;
    for (const Endpoint& endpoint : this->endpoints) {
      idle = idle || endpoint.running.size() < kSlots;
      queue = queue || !endpoint.queue.empty();
    }
    return idle && queue;
  }

  struct Response {
    common::SteadyTime known_at;
    common::Duration time;
    Read read;
  };

  Choice choice;
  milliseconds age;
  std::vector<std::vector<ResponseTimes>> daemons;
  std::vector<Endpoint> endpoints;
  std::deque<Response> unknown;
  std::mt19937 random{1};
  std::uniform_real_distribution<double> uniform{0, 1};
  ReplayResult result;
};

class ReaderChoiceReplayTest : public testing::TestWithParam<milliseconds> {};

// Guards against daemons that overrun the endpoint that is nearest to most of
// them while others idle.
TEST_P(ReaderChoiceReplayTest, UnevenDaemons_ByLoad_QueuesAreShorter) {
  const auto nearest = PlacementReplay(Choice::kNearest, GetParam()).Run();
  const auto by_load = PlacementReplay(Choice::kByLoad, GetParam()).Run();
  RecordProperty("nearest", static_cast<int>(nearest.largest_queue));
  RecordProperty("by_load", static_cast<int>(by_load.largest_queue));
  EXPECT_LE(by_load.largest_queue * 2, nearest.largest_queue);
  EXPECT_LE(by_load.idle_beside_queue, nearest.idle_beside_queue);
}

// Guards against daemons that all choose the endpoint that looks best, and so
// overrun the endpoints in turns.
TEST_P(ReaderChoiceReplayTest, OldKnowledge_ByLoad_DoesNotHerd) {
  const auto shortest = PlacementReplay(Choice::kShortest, GetParam()).Run();
  const auto by_load = PlacementReplay(Choice::kByLoad, GetParam()).Run();
  EXPECT_LE(by_load.largest_queue, shortest.largest_queue);
  EXPECT_LE(by_load.idle_beside_queue, shortest.idle_beside_queue);
}

INSTANTIATE_TEST_SUITE_P(Ages, ReaderChoiceReplayTest,
                         testing::Values(milliseconds(50), milliseconds(500),
                                         milliseconds(2000)));

class ReaderChoiceTest : public testing::Test {
 protected:
  /// Share of reads that each candidate gets.
  static std::vector<double> Shares(
      const std::vector<ReaderCandidate>& candidates) {
    constexpr int kDraws = 10000;
    std::vector<double> shares(candidates.size());
    for (int draw = 0; draw < kDraws; ++draw) {
      const double random = static_cast<double>(draw) / kDraws;
      shares[ChooseReaderByLoad(candidates, random)] += 1.0 / kDraws;
    }
    return shares;
  }
};

// Guards against reads that cross regions although the endpoint nearby is not
// loaded.
TEST_F(ReaderChoiceTest, NothingLoaded_OtherRegion_GetsHardlyAny) {
  const auto shares = Shares({{milliseconds(1), milliseconds(15), 1, {}},
                              {milliseconds(40), milliseconds(15), 1, {}}});
  EXPECT_LT(shares[1], 0.05);
}

// Guards against reads that stay at a loaded endpoint while another would
// answer sooner in spite of its distance.
TEST_F(ReaderChoiceTest, NearEndpointSlow_OtherRegion_GetsMost) {
  const auto shares = Shares({{milliseconds(1), milliseconds(200), 1, {}},
                              {milliseconds(40), milliseconds(15), 1, {}}});
  EXPECT_GT(shares[1], 0.9);
}

// Guards against an endpoint that is avoided for long for what it once was.
TEST_F(ReaderChoiceTest, SlowLongAgo_Endpoint_GetsItsShareAgain) {
  ResponseTimes slow;
  slow.Record(milliseconds(400), kStart);
  const double weight = slow.Weight(kStart + std::chrono::seconds(8));
  const auto shares = Shares({{milliseconds(1), slow.Average(), weight, {}},
                              {milliseconds(1), milliseconds(15), 1, {}}});
  EXPECT_GT(shares[0], 0.35);
}

// Guards against an endpoint that attracts reads by refusing them at once, as a
// replica does that lags.
TEST_F(ReaderChoiceTest, RefusesAtOnce_Endpoint_GetsHardlyAny) {
  ResponseTimes refusing;
  for (int count = 0; count < 5; ++count) {
    refusing.RecordFailure(milliseconds(1), kStart);
  }
  const auto shares = Shares(
      {{milliseconds(1), refusing.Average(), refusing.Weight(kStart), {}},
       {milliseconds(3), milliseconds(20), 1, {}}});
  EXPECT_LT(shares[0], 0.02);
}

// Guards against flooding an endpoint of which nothing is known yet.
TEST_F(ReaderChoiceTest, NewEndpoint_Reads_GetsNoMoreThanOthers) {
  const auto shares = Shares({{milliseconds(1), std::nullopt, 0, {}},
                              {milliseconds(1), milliseconds(30), 1, {}},
                              {milliseconds(1), milliseconds(30), 1, {}}});
  EXPECT_NEAR(shares[0], 1.0 / 3, 0.01);
}

// Guards against a choice without a result at the ends of the random numbers.
TEST_F(ReaderChoiceTest, OneCandidate_AnyRandomNumber_IsChosen) {
  EXPECT_EQ(ChooseReaderByLoad({{}}, 0), 0U);
  EXPECT_EQ(ChooseReaderByLoad({{}}, 0.999999), 0U);
}

}  // namespace
}  // namespace camphorferry::session
