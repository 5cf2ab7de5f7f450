#ifndef CAMPHORFERRY_LOAD_LOAD_RUN_H_
#define CAMPHORFERRY_LOAD_LOAD_RUN_H_

#include <memory>
#include <vector>

#include "Load/session_worker.h"

namespace camphorferry::load {

/// Runs the sessions of a load plan and then checks the databases' content.
class LoadRun {
 public:
  explicit LoadRun(const LoadPlan& plan);

  /// Runs the load and then the check; blocks until both are done.
  void Run();

  const Statistics& Results() const { return this->statistics; }
  const ConsistencyFindings& Findings() const { return this->findings; }

 private:
  void VerifyWhenFinished();
  void VerifyNext();

  const LoadPlan& plan;
  connection::EventLoop loop;
  WriteHistory write_history;
  Statistics statistics;
  ConsistencyFindings findings;
  LoadContext context;
  std::vector<std::unique_ptr<SessionWorker>> workers;
  std::size_t verified_workers = 0;
  std::unique_ptr<connection::Timer> finish_timer;
};

}  // namespace camphorferry::load

#endif  // CAMPHORFERRY_LOAD_LOAD_RUN_H_
