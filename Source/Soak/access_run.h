#ifndef CAMPHORFERRY_SOAK_ACCESS_RUN_H_
#define CAMPHORFERRY_SOAK_ACCESS_RUN_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "access_checker.h"
#include "fake_database.h"
#include "fake_store.h"
#include "relayed_fleet.h"

namespace camphorferry::soak {

/// Settings of a run.
struct AccessRunSettings {
  std::string program;
  /// Folder for the settings and logs of the processes.
  std::string folder;
  std::uint64_t seed = 1;
  std::size_t proxies = 4;
  common::Duration length = std::chrono::seconds(25);
};

struct AccessRunResult {
  std::vector<std::string> violations;
  std::size_t versions = 0;
  std::size_t executions = 0;
  std::size_t changed_callers = 0;
  std::size_t key_refusals = 0;
};

class AccessClient;

/// Plays real proxy processes while the operator withdraws, moves and gives
/// back the keys of connected clients, several at once, and while proxies are
/// killed, stopped, suspended or cut off from the store or from each other for
/// less than a change may take. Each statement that a database executes is
/// compared with the versions that may be in force.
class AccessRun {
 public:
  explicit AccessRun(AccessRunSettings settings);
  ~AccessRun();
  AccessRun(const AccessRun&) = delete;
  AccessRun& operator=(const AccessRun&) = delete;

  AccessRunResult Run();

 private:
  void StartDatabases();
  void StartClients();
  /// Publishes the next version, with the present holders of the keys.
  void Publish();
  void ChangeKeys();
  void ScheduleChange();
  void ScheduleFault();
  void BeginFault();
  /// Cuts a proxy off from the store, or from the other proxies.
  void CutLinks(std::size_t proxy, common::Duration length);
  void Disturb(std::size_t proxy, common::Duration length);
  void RestartEnded();
  std::chrono::milliseconds Between(int least, int most);

  AccessRunSettings settings;
  connection::EventLoop loop;
  std::mt19937_64 random;
  platform::FakeStore store;
  std::vector<std::unique_ptr<platform::FakeDatabase>> databases;
  RelayedFleet fleet;
  AccessChecker checker;
  std::vector<std::unique_ptr<AccessClient>> clients;
  KeyHolders holders;
  std::uint64_t version = 0;
  bool databases_busy = false;
  /// Proxies some of whose links are cut.
  std::vector<bool> cut;
  /// How often each process has been started again.
  std::vector<std::size_t> starts;
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_ACCESS_RUN_H_
