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

/// Pulls the primary's log into a replica, one request at a time.
class ReplicationPuller {
 public:
  /// Calls the action after each applied answer.
  ReplicationPuller(connection::EventLoop* loop, DatabaseCore* core,
                    const AnswerGate* gate, std::function<void()> applied);

  /// Gives up the present pull and asks the present primary at once. Without
  /// this a replica of an isolated primary would wait for the time-out of its
  /// pull before it turns to the new primary.
  void Restart();

  /// Delay between the receipt of entries and their effect. A change also ends
  /// a wait that began under the earlier delay.
  void SetDelay(common::Duration delay);
  common::Duration Delay() const { return this->delay; }

 private:
  void Schedule(common::Duration pause);
  void Pull();
  void Receive(const ReplicateRequest& pull, common::SteadyTime sent,
               const connection::HttpResult& result);
  void Apply(const ReplicateRequest& pull, common::SteadyTime sent,
             const ReplicateResult& result);
  connection::HttpClientConnection* ConnectionTo(const std::string& address);

  connection::EventLoop* loop;
  DatabaseCore* core;
  const AnswerGate* gate;
  std::function<void()> applied;
  common::Duration delay = common::Duration::zero();
  std::string connected_to;
  std::unique_ptr<connection::HttpClientConnection> connection;
  std::unique_ptr<connection::Timer> timer;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_REPLICATION_PULLER_H_
