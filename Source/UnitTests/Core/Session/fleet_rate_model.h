#ifndef CAMPHORFERRY_UNIT_TESTS_SESSION_FLEET_RATE_MODEL_H_
#define CAMPHORFERRY_UNIT_TESTS_SESSION_FLEET_RATE_MODEL_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Session/session.h"

namespace camphorferry::session {

/// One workspace's clients call all daemons of a fleet, while daemons are cut
/// off from each other and restarted. Daemons consist of the product's
/// FleetMembership, AdmissionQueue and WorkspaceLimiter; time and messages
/// between them are simulated. Cuts concern daemons only: clients and databases
/// reach all of them.
class FleetRateModel {
 public:
  struct Options {
    std::vector<common::FailureDomainId> domain_of;
    WorkspaceRate rate{204, 204};
    /// Operations per second that reach each daemon.
    std::vector<double> usual;
    std::uint32_t seed = 1;
  };

  explicit FleetRateModel(Options options);
  ~FleetRateModel();
  FleetRateModel(const FleetRateModel&) = delete;
  FleetRateModel& operator=(const FleetRateModel&) = delete;

  /// Runs until a time after the start.
  void RunUntil(common::Duration end);

  /// Multiplies what the clients send.
  void SetLoad(double factor) { this->load = factor; }

  /// Parts the fleet: daemons with the same number reach each other, those
  /// without one reach nobody.
  void Cut(std::vector<std::optional<int>> parts);
  void Heal();

  /// Replaces a daemon's process. It reads the hosts from the directory if it
  /// reaches it.
  void Restart(std::size_t daemon, bool reaches_directory);

  /// The daemon that owns the rate in a fleet without faults.
  std::size_t OwnerIndex() const;

  /// Operations that may be admitted in a window, tolerance included.
  double Allowed() const;
  /// Most that were admitted in a window, and when that window ended.
  std::size_t MostInWindow() const { return this->most; }
  common::Duration MostAt() const { return this->most_at; }
  /// Who has admitted how many operations of which daemons in the first window
  /// in which the rate was exceeded.
  const std::string& Excess() const { return this->excess; }
  /// Operations that were refused since the last call, and all of that time.
  std::size_t TakeRefused() { return std::exchange(this->refused, 0U); }
  std::size_t TakeOffered() { return std::exchange(this->offered, 0U); }

 private:
  struct Daemon;
  using Reply = std::optional<AdmissionReply>;

  common::SteadyTime Now() const { return this->now; }
  void At(common::Duration delay, std::function<void()> event);
  common::Duration Latency();
  bool Reaches(std::size_t from, std::size_t to) const;
  /// Sends a message, unless the link is cut, and its answer back. Calls back
  /// with whether the answer has arrived.
  void Call(std::size_t from, std::size_t to, common::Duration timeout,
            std::function<void()> at_receiver, std::function<void(bool)> done);

  void Start(std::size_t index, bool reaches_directory);
  void ScheduleOperation(std::size_t index);
  void Tick(std::size_t index, std::uint64_t process);
  void ReportChanges(std::size_t index);
  FleetHost HostOf(std::size_t index) const;

  void OnOperation(std::size_t index);
  void Ask(std::size_t index, std::uint32_t operations);
  void OnReply(std::size_t index, std::uint32_t operations, std::uint32_t alone,
               const std::optional<std::size_t>& owner, const Reply& reply);
  Reply AdmitAt(std::size_t index, const AdmissionRequest& request);
  void CountAdmitted(std::size_t count, std::size_t index,
                     const std::optional<std::size_t>& owner);
  std::string DescribeWindow() const;

  Options options;
  std::mt19937 random;
  common::SteadyTime now;
  std::multimap<common::SteadyTime, std::function<void()>> events;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::optional<int>> parts;
  double load = 1;
  std::uint64_t processes = 0;
  struct Admission {
    common::SteadyTime at;
    std::size_t daemon = 0;
    /// None if the daemon has admitted the operation alone.
    std::optional<std::size_t> owner;
  };

  std::deque<Admission> admitted;
  std::size_t most = 0;
  common::Duration most_at = common::Duration::zero();
  std::string excess;
  std::size_t refused = 0;
  std::size_t offered = 0;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_UNIT_TESTS_SESSION_FLEET_RATE_MODEL_H_
