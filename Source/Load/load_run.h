#ifndef CAMPHORFERRY_LOAD_LOAD_RUN_H_
#define CAMPHORFERRY_LOAD_LOAD_RUN_H_

#include <memory>
#include <vector>

#include "Load/session_worker.h"

namespace camphorferry::load {

/// Runs a load plan from start to the check of the databases' content.
class LoadRun {
 public:
  explicit LoadRun(const LoadPlan& plan);

  /// Runs the load and the check; returns when both are done.
  void Run();

  const Statistics& Results() const { return this->statistics; }
  const LedgerFindings& Findings() const { return this->findings; }

 private:
  void CheckFinished();
  void VerifyNext();

  const LoadPlan& plan;
  connection::EventLoop loop;
  Ledger ledger;
  Statistics statistics;
  LedgerFindings findings;
  LoadContext context;
  std::vector<std::unique_ptr<SessionWorker>> workers;
  std::size_t verified = 0;
  std::unique_ptr<connection::Timer> check;
};

}  // namespace camphorferry::load

#endif  // CAMPHORFERRY_LOAD_LOAD_RUN_H_
