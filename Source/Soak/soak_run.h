#ifndef CAMPHORFERRY_SOAK_SOAK_RUN_H_
#define CAMPHORFERRY_SOAK_SOAK_RUN_H_

#include <memory>
#include <string>
#include <vector>

#include "database_group.h"
#include "fake_store.h"
#include "fault_schedule.h"
#include "fault_tracker.h"
#include "guarantee_checker.h"
#include "proxy_process.h"
#include "soak_client.h"

namespace camphorferry::soak {

/// The faults that a run injects.
enum class SoakSchedule {
  kMixed,
  /// Many promotions by changing holders of the lease, some of whose orders
  /// arrive late.
  kPromotions
};

/// Settings of a run.
struct SoakSettings {
  std::string program;
  /// Folder for the settings and logs of the processes.
  std::string folder;
  std::uint64_t seed = 1;
  common::Duration length = std::chrono::seconds(25);
  int proxies = 4;
  int services = 2;
  int clients = 24;
  SoakSchedule schedule = SoakSchedule::kMixed;
};

/// Result of a run.
struct SoakResult {
  std::vector<std::string> violations;
  std::size_t acknowledged = 0;
  std::size_t executions = 0;
  std::size_t promotion_calls = 0;
};

/// One run: starts proxy processes with a simulated store and simulated
/// databases, generates load, injects the faults of the seed and checks all
/// guarantees.
class SoakRun {
 public:
  explicit SoakRun(SoakSettings settings);

  /// Executes the run and returns the result.
  SoakResult Run();

 private:
  void PutConfiguration();
  void StartProxies();
  void StartClients();
  void BeginFault(const Fault& fault);
  void EndFault(const Fault& fault);
  void Execute(const FaultAction& action);
  void RestartExitedProxies();
  void CheckResources();
  void CheckFinalState();
  /// Checks that promotion calls arrive with rising fencing tokens. Those of
  /// one service always do; those of all services if none is delivered late.
  void CheckFencingTokens();
  bool OnlyPlannedOperations(common::SteadyTime since) const;

  SoakSettings settings;
  FaultTracker fault_tracker;
  connection::EventLoop loop;
  GuaranteeChecker checker;
  std::unique_ptr<platform::FakeStore> store;
  std::vector<std::unique_ptr<DatabaseGroup>> groups;
  std::vector<std::unique_ptr<TcpRelay>> store_relays;
  std::vector<std::unique_ptr<TcpRelay>> promotion_relays;
  std::vector<std::unique_ptr<ProxyProcess>> proxies;
  std::vector<std::unique_ptr<SoakClient>> clients;
  SoakContext context;
  std::vector<std::string> violations;
  std::uint64_t configuration_version = 1;
  /// True while the key of the second workspace is withdrawn.
  bool key_withdrawn = false;
  common::SteadyTime key_changed_at;
  int active_faults = 0;
  common::SteadyTime last_fault_ended_at;
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_SOAK_RUN_H_
