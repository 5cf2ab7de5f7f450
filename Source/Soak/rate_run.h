#ifndef CAMPHORFERRY_SOAK_RATE_RUN_H_
#define CAMPHORFERRY_SOAK_RATE_RUN_H_

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fake_database.h"
#include "fake_store.h"
#include "relayed_fleet.h"

namespace camphorferry::soak {

/// Settings of a run.
struct RateRunSettings {
  std::string program;
  /// Folder for the settings and logs of the processes.
  std::string folder;
  std::uint64_t seed = 1;
  std::size_t proxies = 8;
};

struct RateRunResult {
  /// Operations that may reach the databases within one window.
  std::size_t limit = 0;
  std::size_t most_in_window = 0;
  /// When the fullest window ended, from the start of the load.
  common::Duration most_at = common::Duration::zero();
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  /// Refused before the first cut, when the load is within the rate.
  std::size_t refused_whole = 0;
  /// Pairs of daemons that have not called each other over their relay, which
  /// no cut can part.
  std::size_t pairs_without_relay = 0;
  /// What was done, for the reader.
  std::string play;
};

class LoadConnection;

/// Plays real proxy processes in several failure domains while some of them are
/// cut off from all others and from the store, but not from clients and
/// databases. One workspace sends many times its usual load. Counts what
/// arrives at the databases in each rate window.
class RateRun {
 public:
  explicit RateRun(RateRunSettings settings);
  ~RateRun();
  RateRun(const RateRun&) = delete;
  RateRun& operator=(const RateRun&) = delete;

  RateRunResult Run();

 private:
  /// A cut and the load around it. Times are from the start of the load.
  struct Cut {
    common::Duration at;
    common::Duration length;
    common::Duration hot_at;
    common::Duration hot_length;
    LinkState link = LinkState::kHeld;
    /// The part of each daemon; those without one reach nobody.
    std::vector<std::optional<int>> parts;
    /// The daemon that is killed and started again in the middle.
    std::optional<std::size_t> killed;
  };

  void StartDatabases();
  void PutConfiguration();
  void StartLoad();
  std::vector<Cut> MakeCuts();
  Cut MakeCut(common::Duration at);
  void Schedule(const Cut& cut);
  void Begin(const Cut& cut);
  void SendDue();
  void OnExecuted();

  RateRunSettings settings;
  connection::EventLoop loop;
  std::mt19937_64 random;
  platform::FakeStore store;
  std::vector<std::unique_ptr<platform::FakeDatabase>> databases;
  RelayedFleet fleet;
  std::vector<std::vector<std::unique_ptr<LoadConnection>>> clients;
  common::SteadyTime load_started;
  double load = 1;
  /// Operations that are due and have not been sent, by daemon.
  std::vector<double> due;
  common::SteadyTime due_counted;
  bool cut_begun = false;
  std::deque<common::SteadyTime> arrivals;
  RateRunResult result;
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_RATE_RUN_H_
