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

/// Ownership that this daemon has of a service's endpoints.
struct ServiceOwnership {
  /// Place among the daemons that coordinate the service's failover.
  std::size_t rank = 0;
};

/// Runs statements at the endpoints whose connections this daemon owns, and
/// coordinates failover of their services. Ownership is soft state: a statement
/// for an endpoint that another daemon owns as well is still served.
class EndpointOwner {
 public:
  EndpointOwner(connection::EventLoop* loop, EventLog* events,
                Counters* counters, PrimaryDirectory* directory,
                std::string incarnation, ConfirmRouter confirm_router);

  /// Takes a new configuration; endpoints that are gone get nothing new.
  void SetConfiguration(version::ConfigurationPointer configuration);

  /// Sets for which services this daemon coordinates failover.
  void SetOwnership(
      const std::map<common::ServiceId, ServiceOwnership>& ownership);

  /// Runs a statement and, for a write or a read at the primary, waits until a
  /// replica holds the position.
  void Execute(connection::StatementCall call, EndpointPool::Callback done);

  /// Asks an endpoint whether it holds an entry.
  void Confirm(const common::EndpointId& endpoint, common::LogPosition position,
               common::Duration wait, ConfirmBatcher::Callback done);

  /// True if no statement waits or runs.
  bool Idle() const;

 private:
  EndpointPool* TaskOf(const common::EndpointId& endpoint);
  FailoverTask* FailoverOf(const common::ServiceId& service);
  void ExecuteWrite(connection::StatementCall call, common::SteadyTime until,
                    EndpointPool::Callback done);
  void Run(connection::StatementCall call, EndpointPool::Callback done);
  void Acknowledge(const connection::StatementCall& call,
                   connection::StatementReply reply,
                   EndpointPool::Callback done);
  void Drop(std::unique_ptr<EndpointPool> task);
  void Drop(std::unique_ptr<FailoverTask> task);

  connection::EventLoop* loop;
  EventLog* events;
  Counters* counters;
  PrimaryDirectory* directory;
  std::string incarnation;
  ConfirmRouter confirm_router;
  version::ConfigurationPointer configuration;
  std::map<common::EndpointId, std::unique_ptr<EndpointPool>> tasks;
  std::map<common::ServiceId, std::unique_ptr<FailoverTask>> failovers;
  std::uint64_t next_coordinator = 1;
  std::size_t unfinished = 0;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_ENDPOINT_OWNER_H_
