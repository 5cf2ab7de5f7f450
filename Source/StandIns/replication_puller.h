#ifndef CAMPHORFERRY_STANDINS_REPLICATION_PULLER_H_
#define CAMPHORFERRY_STANDINS_REPLICATION_PULLER_H_

#include <functional>
#include <memory>
#include <string>

#include "Common/common.h"
#include "Connection/connection.h"
#include "StandIns/database_core.h"
#include "StandIns/network_fault_injector.h"

namespace camphorferry::standins {

/// Pulls log entries from the primary into a replica, one request at a time.
class ReplicationPuller {
 public:
  /// Calls the callback after each applied response.
  ReplicationPuller(connection::EventLoop* loop, DatabaseCore* core,
                    const NetworkFaultInjector* network_faults,
                    std::function<void()> on_applied);

  /// Cancels the pending pull and immediately pulls from the current primary.
  /// Without this, a replica of an isolated primary would wait for the timeout
  /// of its pull before it connects to the new primary.
  void Restart();

  /// Sets the simulated replication lag: the delay between the receipt of
  /// entries and their application. A change also cancels a pending delay.
  void SetDelay(common::Duration delay);
  common::Duration Delay() const { return this->delay; }

 private:
  void Schedule(common::Duration pause);
  void Pull();
  void OnResponse(const ReplicateRequest& pull, common::SteadyTime sent,
                  const connection::HttpResult& result);
  void Apply(const ReplicateRequest& pull, common::SteadyTime sent,
             const ReplicateResult& result);
  connection::HttpClientConnection* ConnectionForAddress(
      const std::string& address);

  connection::EventLoop* loop;
  DatabaseCore* core;
  const NetworkFaultInjector* network_faults;
  std::function<void()> on_applied;
  common::Duration delay = common::Duration::zero();
  std::string connected_address;
  std::unique_ptr<connection::HttpClientConnection> connection;
  std::unique_ptr<connection::Timer> timer;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_REPLICATION_PULLER_H_
