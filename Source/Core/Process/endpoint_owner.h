#ifndef CAMPHORFERRY_PROCESS_ENDPOINT_OWNER_H_
#define CAMPHORFERRY_PROCESS_ENDPOINT_OWNER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Process/acknowledgement_task.h"
#include "Process/endpoint_pool.h"
#include "Process/failover_task.h"
#include "Process/primary_directory.h"
#include "Version/version.h"

namespace camphorferry::process {

/// This daemon's role in the failover of a service.
struct ServiceOwnership {
  /// Rank among the daemons that coordinate the service's failover.
  std::size_t rank = 0;
};

/// Executes statements at the endpoints whose connections this daemon owns, and
/// coordinates failover of their services. Ownership is not exclusive: daemons
/// may disagree about it for a while, and a statement for an endpoint that
/// another daemon also considers its own is still served.
class EndpointOwner {
 public:
  EndpointOwner(connection::EventLoop* loop, EventLog* events,
                Counters* counters, PrimaryDirectory* directory,
                std::string incarnation, ConfirmRouter confirm_router);

  /// Applies a new configuration. Removed endpoints get no new statements.
  void SetConfiguration(version::ConfigurationPointer configuration);

  /// Sets the services whose failover this daemon coordinates.
  void SetOwnership(
      const std::map<common::ServiceId, ServiceOwnership>& ownership);

  /// Executes a statement and, for a write or a read at the primary, waits
  /// until a replica holds its log position.
  void Execute(connection::StatementCall call, EndpointPool::Callback done);

  /// Asks an endpoint whether it holds a log entry.
  void Confirm(const common::EndpointId& endpoint, common::LogPosition position,
               common::Duration wait, ConfirmBatcher::Callback done);

  /// True if no statement is waiting or running.
  bool Idle() const;

 private:
  EndpointPool* PoolOf(const common::EndpointId& endpoint);
  FailoverTask* FailoverOf(const common::ServiceId& service);
  void ExecuteWrite(connection::StatementCall call,
                    common::SteadyTime promotion_deadline,
                    EndpointPool::Callback done);
  void Run(connection::StatementCall call, EndpointPool::Callback done);
  void AwaitAcknowledgement(const connection::StatementCall& call,
                            connection::StatementReply reply,
                            EndpointPool::Callback done);
  void DestroyLater(std::unique_ptr<EndpointPool> pool);
  void DestroyLater(std::unique_ptr<FailoverTask> task);

  connection::EventLoop* loop;
  EventLog* events;
  Counters* counters;
  PrimaryDirectory* directory;
  std::string incarnation;
  ConfirmRouter confirm_router;
  version::ConfigurationPointer configuration;
  std::map<common::EndpointId, std::unique_ptr<EndpointPool>> pools;
  std::map<common::ServiceId, std::unique_ptr<FailoverTask>> failovers;
  std::uint64_t next_coordinator = 1;
  std::size_t active_statements = 0;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_ENDPOINT_OWNER_H_
