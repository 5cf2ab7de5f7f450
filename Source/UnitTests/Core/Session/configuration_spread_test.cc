#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <vector>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::SteadyTime kStart{std::chrono::hours(1)};
constexpr milliseconds kTick(100);
/// Settling time and bound of a change in a large fleet.
constexpr seconds kSettlingTime(6);
constexpr seconds kChangeBound(6);
/// A daemon that has heard of a newer version waits this long before it asks
/// the other daemon for it, and then for its next turn to ask.
constexpr milliseconds kQueryDelay(1000);
constexpr milliseconds kQueryInterval(500);
/// Pause after a failed call.
constexpr milliseconds kRetryPause(150);

/// Plays, in steps of virtual time, how daemons hear of a change of the
/// configuration after the store has lost the watches of all of them: by their
/// next call of the store, or by an exchange of reports and a query.
class ConfigurationSpreadTest : public testing::Test {
 protected:
  struct Daemon {
    FleetHost host;
    FleetMembership membership;
    common::SteadyTime next_query;
    common::SteadyTime watch_fails_at;
    std::optional<common::SteadyTime> behind_since;
    bool knows = false;
  };

  /// A fleet in six failure domains of two regions, with hosts of three sizes,
  /// that has exchanged reports for a while. Its number decides which of its
  /// daemons watch closely.
  void NewFleet(int fleet) {
    constexpr int kDaemons = 72;
    constexpr int kDomains = 6;
    this->daemons.clear();
    this->now = kStart;
    this->written = false;
    HostLocation location;
    for (int domain = 0; domain < kDomains; ++domain) {
      location.region_of[DomainOf(domain)] =
          common::RegionId(domain < kDomains / 2 ? "one" : "other");
    }
    for (int number = 0; number < kDaemons; ++number) {
      constexpr std::array<std::uint32_t, 3> kMillicores = {120, 250, 500};
      location.host = common::HostId("host" + std::to_string(fleet) + "-" +
                                     std::to_string(number));
      location.domain = DomainOf(number * kDomains / kDaemons);
      location.millicores = kMillicores.at(number % kMillicores.size());
      this->daemons.push_back(
          {{location.host, "10.0.0.1:1", location.domain, location.millicores},
           FleetMembership(location),
           this->now + (number * kTick) % kQueryInterval,
           {},
           {}});
    }
    for (Daemon& daemon : this->daemons) {
      for (const Daemon& other : this->daemons) {
        daemon.membership.Add(other.host, this->now);
      }
    }
    constexpr seconds kCalm(60);
    while (this->now < kStart + kCalm) this->Step();
  }

  static common::FailureDomainId DomainOf(int number) {
    return common::FailureDomainId("domain" + std::to_string(number));
  }

  /// The store loses the first watch that each daemon sends after a change.
  void LoseWatches() {
    for (Daemon& daemon : this->daemons) {
      const WatchLengths lengths = ChooseWatchLengths(
          kSettlingTime, daemon.membership.ConfigurationWatchRole());
      daemon.watch_fails_at = this->now + lengths.first + kStoreCallTimeout;
    }
  }

  void WriteChange() { this->written = true; }

  /// The daemons that don't know of the change after the given time.
  std::size_t UninformedAfter(common::Duration time) {
    const common::SteadyTime end = this->now + time;
    while (this->now < end) this->Step();
    return static_cast<std::size_t>(
        std::count_if(this->daemons.begin(), this->daemons.end(),
                      [](const Daemon& daemon) { return !daemon.knows; }));
  }

 private:
  void Step() {
    this->now += kTick;
    for (Daemon& daemon : this->daemons) this->ExchangeReports(&daemon);
    if (!this->written) return;
    for (Daemon& daemon : this->daemons) {
      if (this->AsksPeer(&daemon) ||
          this->now >= daemon.watch_fails_at + kRetryPause) {
        daemon.knows = true;
      }
    }
  }

  bool AsksPeer(Daemon* daemon) const {
    if (this->now < daemon->next_query) return false;
    daemon->next_query = this->now + kQueryInterval;
    return daemon->behind_since.has_value() &&
           this->now - *daemon->behind_since >= kQueryDelay;
  }

  void ExchangeReports(Daemon* daemon) {
    for (const FleetHost& peer : daemon->membership.TakeDuePeers(this->now)) {
      const auto other = std::find_if(
          this->daemons.begin(), this->daemons.end(),
          [&](const Daemon& each) { return each.host.id == peer.id; });
      daemon->membership.OnReply(peer.id, this->now);
      other->membership.OnReply(daemon->host.id, this->now);
      this->CompareVersions(daemon, *other);
      this->CompareVersions(&*other, *daemon);
    }
  }

  void CompareVersions(Daemon* daemon, const Daemon& other) const {
    if (other.knows && !daemon->knows && !daemon->behind_since.has_value()) {
      daemon->behind_since = this->now;
    }
  }

  common::SteadyTime now = kStart;
  std::vector<Daemon> daemons;
  bool written = false;
};

// Guards against withdrawn keys that daemons of a large fleet accept for
// seconds, because a silent store has lost their watches and the reports of
// those that know take longer to reach all.
TEST_F(ConfigurationSpreadTest, AllWatchesLost_NextChange_IsKnownToAllInTime) {
  constexpr milliseconds kSilence(500);
  constexpr milliseconds kPause(400);
  constexpr int kFleets = 20;
  for (int fleet = 0; fleet < kFleets; ++fleet) {
    this->NewFleet(fleet);
    this->LoseWatches();
    this->UninformedAfter(kSilence + kPause);
    this->WriteChange();
    EXPECT_EQ(this->UninformedAfter(std::max<common::Duration>(
                  kChangeBound, kSettlingTime - kPause)),
              0U)
        << "fleet " << fleet;
  }
}

}  // namespace
}  // namespace camphorferry::session
