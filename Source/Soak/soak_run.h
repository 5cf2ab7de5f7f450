#ifndef CAMPHORFERRY_SOAK_SOAK_RUN_H_
#define CAMPHORFERRY_SOAK_SOAK_RUN_H_

#include <memory>
#include <string>
#include <vector>

#include "database_group.h"
#include "fake_store.h"
#include "fault_schedule.h"
#include "guarantee_checker.h"
#include "proxy_process.h"
#include "soak_client.h"

namespace camphorferry::soak {

/// What a run needs.
struct SoakSettings {
  std::string program;
  /// Settings and logs of the processes are written here.
  std::string folder;
  std::uint64_t seed = 1;
  common::Duration length = std::chrono::seconds(25);
  int proxies = 4;
  int services = 2;
  int clients = 24;
};

/// Result of a run.
struct SoakResult {
  std::vector<std::string> broken;
  std::size_t acknowledged = 0;
  std::size_t runs = 0;
};

/// One run: starts real proxies before stand-ins for store and databases, lets
/// clients work, carries out the faults of the seed, and checks all promises.
class SoakRun {
 public:
  explicit SoakRun(SoakSettings settings);

  /// Runs to the end and returns what was found.
  SoakResult Run();

 private:
  void Configure();
  void StartProxies();
  void StartClients();
  void Begin(const Fault& fault);
  void End(const Fault& fault);
  void SignalProxy(const Fault& fault, int number);
  void KeepRunning();
  void CheckResources();
  void CheckServiceAtTheEnd();
  bool OnlyPlannedStops(common::SteadyTime since) const;
  DatabaseGroup* GroupOf(const Fault& fault);

  SoakSettings settings;
  connection::EventLoop loop;
  PromiseChecker checker;
  std::unique_ptr<platform::FakeStore> store;
  std::vector<std::unique_ptr<DatabaseGroup>> groups;
  std::vector<std::unique_ptr<LinkRelay>> store_links;
  std::vector<std::unique_ptr<ProxyProcess>> proxies;
  std::vector<std::unique_ptr<SoakClient>> clients;
  SoakWorld world;
  std::vector<std::string> broken;
  std::uint64_t configuration_version = 1;
  /// The key of the second workspace is withdrawn for part of a run.
  bool key_withdrawn = false;
  common::SteadyTime key_changed;
  int unplanned_open = 0;
  common::SteadyTime unplanned_until;
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_SOAK_RUN_H_
