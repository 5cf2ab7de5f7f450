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

/// Carries out a failover coordinator's actions for one service: polls, fences,
/// promotes and redirects its databases.
class FailoverTask {
 public:
  FailoverTask(connection::EventLoop* loop, common::ServiceId service,
               const version::Service& declared, const std::string& proposer,
               std::size_t rank, EventLog* events, PrimaryDirectory* directory);

  ~FailoverTask();
  FailoverTask(const FailoverTask&) = delete;
  FailoverTask& operator=(const FailoverTask&) = delete;

  /// Sets this daemon's place among the service's coordinators.
  void SetRank(std::size_t rank);

  /// Takes what an ordinary answer tells about the endpoint, or a null pointer
  /// if a statement's connection was lost.
  void Observe(const common::EndpointId& endpoint,
               const connection::StatementReply* reply);

  /// The primary that this coordinator knows; empty if there is none that it
  /// trusts.
  connection::PrimaryHint Primary() const;

  /// True if some endpoint beside the primary may confirm a write.
  bool MayConfirm() const;

 private:
  using AcceptedResult = connection::ControlResult<connection::ControlAccepted>;

  struct Member {
    connection::SocketAddress address;
    /// Kept between status polls.
    std::shared_ptr<connection::HttpEndpointLink> status_link;
  };

  void Handle(const FailoverEvent& event);
  void Perform(const SendStatusPoll& action);
  void Perform(const SendFence& action);
  void Perform(const SendPromote& action);
  void Perform(const SendFollow& action);
  void Perform(const AnnouncePrimary& action);
  /// Callback that turns the result of a promote or follow call into the
  /// coordinator's event; it keeps the link open until then.
  template <typename Reply, typename Failed, typename Action>
  std::function<void(const AcceptedResult&)> Reporter(
      const Action& action,
      const std::shared_ptr<connection::HttpEndpointLink>& link);
  std::shared_ptr<connection::HttpEndpointLink> NewLink(
      const common::EndpointId& endpoint);

  connection::EventLoop* loop;
  common::ServiceId service;
  EventLog* events;
  PrimaryDirectory* directory;
  FailoverCoordinator coordinator;
  std::map<common::EndpointId, Member> members;
  std::unique_ptr<connection::Timer> tick;
  /// Cleared when the task ends, so that late answers are dropped.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_FAILOVER_TASK_H_
