#ifndef CAMPHORFERRY_LOAD_STATISTICS_H_
#define CAMPHORFERRY_LOAD_STATISTICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Load/histogram.h"
#include "Load/load_plan.h"
#include "Load/write_history.h"

namespace camphorferry::load {

/// Counts of the requests of one workspace.
struct WorkspaceCounts {
  std::uint64_t requested = 0;
  std::uint64_t served = 0;
  std::uint64_t unknown = 0;
  /// Number of refused requests by the reason in the answer.
  std::map<std::string, std::uint64_t> refused;
  /// Times at which the answers to admitted requests arrived.
  std::vector<common::SteadyTime> admitted;
};

/// Measurements of a load run from the clients' point of view.
struct Statistics {
  std::map<std::string, WorkspaceCounts> workspaces;
  Histogram reads;
  Histogram writes;
  std::uint64_t replica_reads = 0;
  std::uint64_t primary_reads = 0;
  /// Reads that did not return the session's own acknowledged writes.
  std::uint64_t stale_own_reads = 0;
  /// Answers with the request id or account of another request, or with a
  /// higher balance than the session has written.
  std::uint64_t crossed_answers = 0;
  /// Reads whose data was older than the maximum age.
  std::uint64_t over_age_reads = 0;
  /// Requests that ended without an answer.
  std::uint64_t cut_requests = 0;
  /// Longest time between two acknowledged writes of any session on a route,
  /// while some write was waiting.
  std::map<std::string, common::Duration> write_gaps;
};

/// Largest number of requests that were admitted above rate x time + burst in
/// any time window, by the times of the answers.
double AdmittedOverRate(const WorkspaceCounts& counts, double rate,
                        double burst);

/// Prints one figure=... line for each measurement.
void PrintFigures(const LoadPlan& plan, const Statistics& statistics,
                  const ConsistencyFindings& findings,
                  const std::string& profile, const std::string& fault);

}  // namespace camphorferry::load

#endif  // CAMPHORFERRY_LOAD_STATISTICS_H_
