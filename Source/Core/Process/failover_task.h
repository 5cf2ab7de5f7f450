#ifndef CAMPHORFERRY_PROCESS_FAILOVER_TASK_H_
#define CAMPHORFERRY_PROCESS_FAILOVER_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Process/event_log.h"
#include "Process/failover_coordinator.h"
#include "Process/primary_directory.h"
#include "Version/version.h"

namespace camphorferry::process {

/// Executes the actions of one service's FailoverCoordinator: polls, fences and
/// promotes the databases and makes them follow the primary.
class FailoverTask {
 public:
  FailoverTask(connection::EventLoop* loop, common::ServiceId service_id,
               const version::Service& declared, const std::string& proposer,
               std::size_t rank, EventLog* events, PrimaryDirectory* directory);

  ~FailoverTask();
  FailoverTask(const FailoverTask&) = delete;
  FailoverTask& operator=(const FailoverTask&) = delete;

  /// Sets this daemon's rank among the service's coordinators.
  void SetRank(std::size_t rank);

  /// Passes a statement reply of the endpoint to the coordinator, or a null
  /// pointer if the statement's connection was lost.
  void ObserveReply(const common::EndpointId& endpoint,
                    const connection::StatementReply* reply);

  /// The primary known to the coordinator; empty if there is none or it is
  /// suspect.
  connection::PrimaryHint Primary() const;

  /// True if some endpoint other than the primary is not suspect, so that it
  /// may confirm a write.
  bool HasNonSuspectReplica() const;

 private:
  using AcceptedResult = connection::ControlResult<connection::ControlAccepted>;

  struct Member {
    connection::SocketAddress address;
    /// Control connection, reused by status polls.
    std::shared_ptr<connection::HttpEndpointLink> status_link;
  };

  void Handle(const FailoverEvent& event);
  void Perform(const SendStatusPoll& action);
  void Perform(const SendFence& action);
  void Perform(const SendPromote& action);
  void Perform(const SendFollow& action);
  void Perform(const AnnouncePrimary& action);
  /// Returns a callback that converts the result of a promote or follow call
  /// into the coordinator's event. It keeps the connection open until then.
  template <typename Reply, typename Failed, typename Action>
  std::function<void(const AcceptedResult&)> ResultHandler(
      const Action& action,
      const std::shared_ptr<connection::HttpEndpointLink>& link);
  std::shared_ptr<connection::HttpEndpointLink> NewLink(
      const common::EndpointId& endpoint);

  connection::EventLoop* loop;
  common::ServiceId service_id;
  EventLog* events;
  PrimaryDirectory* directory;
  FailoverCoordinator coordinator;
  std::map<common::EndpointId, Member> members;
  std::unique_ptr<connection::Timer> tick;
  /// Set to false when the task is destroyed, so that late replies are dropped.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_FAILOVER_TASK_H_
