#ifndef CAMPHORFERRY_SESSION_ADMISSION_TASK_H_
#define CAMPHORFERRY_SESSION_ADMISSION_TASK_H_

#include <functional>
#include <map>
#include <vector>

#include "Session/admission_queue.h"
#include "Session/fleet_task.h"
#include "Session/proxy_metrics.h"
#include "Session/workspace_limiter.h"

namespace camphorferry::session {

/// Has operations of this daemon's clients admitted by the owner of their
/// workspace's rate, or decides alone where the owner gives no answer.
class AdmissionTask {
 public:
  using Callback = std::function<void(AdmissionDecision)>;

  AdmissionTask(WorkspaceLimiter* limiter, ProxyMetrics* metrics);

  /// Sets the way to the rate owners, which must outlive this task.
  void SetFleet(FleetTask* fleet_task) { this->fleet = fleet_task; }

  /// Checks one operation of a workspace. Calls back once, possibly before this
  /// returns.
  void Admit(const common::WorkspaceId& workspace, Callback done);

 private:
  struct Workspace {
    AdmissionQueue queue;
    /// Operations that wait for the next request.
    std::vector<Callback> waiting;
    /// The owner that has replied last.
    common::HostId owner;
  };

  /// Asks the rate owner for all waiting operations.
  void Ask(const common::WorkspaceId& workspace);
  void OnReply(const common::WorkspaceId& workspace,
               const std::vector<Callback>& asked, std::uint32_t alone,
               const std::optional<OwnerReply>& reply);
  /// Decides about operations without an answer of the rate owner.
  void AdmitAlone(const common::WorkspaceId& workspace,
                  const std::vector<Callback>& operations);
  void Count(const char* result);

  WorkspaceLimiter* limiter;
  ProxyMetrics* metrics;
  FleetTask* fleet = nullptr;
  std::map<common::WorkspaceId, Workspace> workspaces;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_ADMISSION_TASK_H_
