#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;

class ReaderPlacementTest : public testing::Test {
 protected:
  static ReaderCandidate Candidate(const std::string& id,
                                   milliseconds round_trip) {
    ReaderCandidate candidate;
    candidate.id = common::EndpointId(id);
    candidate.round_trip = round_trip;
    return candidate;
  }

  /// Two members in the region of the daemon and one in another.
  std::vector<ReaderCandidate> candidates = {Candidate("a", milliseconds(1)),
                                             Candidate("b", milliseconds(3)),
                                             Candidate("c", milliseconds(40))};
};

// Guards against a crash without members.
TEST_F(ReaderPlacementTest, NoCandidates_PlaceRead_ReturnsNone) {
  EXPECT_FALSE(PlaceRead("w", {}).has_value());
}

// Guards against opening a channel where one is open already.
TEST_F(ReaderPlacementTest, IdleChannelAtSecondMember_PlaceRead_UsesIt) {
  this->candidates[1].has_idle = true;
  for (int number = 0; number < 20; ++number) {
    EXPECT_EQ(
        PlaceRead("w" + std::to_string(number), this->candidates)->Value(),
        "b");
  }
}

// Guards against placing reads by caller at a member that is slower for them.
TEST_F(ReaderPlacementTest, OneMemberNear_PlaceRead_AvoidsFarAndFailing) {
  this->candidates[1].expected_failure_delay = milliseconds(300);
  for (int number = 0; number < 20; ++number) {
    EXPECT_EQ(
        PlaceRead("w" + std::to_string(number), this->candidates)->Value(),
        "a");
  }
}

/// Replays reads of many workspaces over pools that hold two channels each, and
/// counts the channels that are opened.
class ReaderPlacementReplayTest : public ReaderPlacementTest {
 protected:
  using Policy = std::function<common::EndpointId(
      const std::string&, const std::vector<ReaderCandidate>&)>;

  static constexpr std::size_t kChannelsPerPool = 2;
  static constexpr int kReads = 4000;

  /// Arrivals by workspace: a few large ones and many small ones, as in the
  /// deployments of eight workspaces.
  static std::vector<std::string> Arrivals() {
    std::mt19937 random(7);
    std::discrete_distribution<int> workspace({30, 20, 15, 10, 10, 5, 5, 5});
    std::vector<std::string> arrivals;
    for (int read = 0; read < kReads; ++read) {
      arrivals.push_back("w" + std::to_string(workspace(random)));
    }
    return arrivals;
  }

  /// Number of channels that the policy opens; each read ends before the next.
  int CountOpened(const Policy& policy) {
    // Callers of the idle channels by member, the latest used last.
    std::map<common::EndpointId, std::vector<std::string>> idle;
    int opened = 0;
    for (const std::string& caller : Arrivals()) {
      for (ReaderCandidate& candidate : this->candidates) {
        const auto& open = idle[candidate.id];
        candidate.has_idle = std::count(open.begin(), open.end(), caller) > 0;
        candidate.has_room = open.size() < kChannelsPerPool;
      }
      auto& open = idle[policy(caller, this->candidates)];
      const auto found = std::find(open.begin(), open.end(), caller);
      if (found != open.end()) {
        open.erase(found);
      } else {
        ++opened;
        if (open.size() == kChannelsPerPool) open.erase(open.begin());
      }
      open.push_back(caller);
    }
    return opened;
  }
};

// Guards against workspaces that take each other's channels at the nearest
// member while those at the next one are idle.
TEST_F(ReaderPlacementReplayTest, MoreWorkspacesThanChannels_OpensFewer) {
  // Each candidate's delay alone, with the same penalty for every new channel.
  const int nearest =
      this->CountOpened([](const std::string& /*caller*/,
                           const std::vector<ReaderCandidate>& offered) {
        const auto delay = [](const ReaderCandidate& candidate) {
          return candidate.round_trip +
                 milliseconds(candidate.has_idle ? 0 : 14);
        };
        return std::min_element(offered.begin(), offered.end(),
                                [&](const auto& one, const auto& other) {
                                  return delay(one) < delay(other);
                                })
            ->id;
      });
  const int placed =
      this->CountOpened([](const std::string& caller,
                           const std::vector<ReaderCandidate>& offered) {
        return *PlaceRead(caller, offered);
      });
  std::cout << "channels opened for " << kReads << " reads: nearest " << nearest
            << ", placed " << placed << "\n";
  EXPECT_LT(placed, nearest * 3 / 4);
}

}  // namespace
}  // namespace camphorferry::session
