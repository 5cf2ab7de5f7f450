#ifndef CAMPHORFERRY_LOAD_STATISTICS_H_
#define CAMPHORFERRY_LOAD_STATISTICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Load/histogram.h"
#include "Load/ledger.h"
#include "Load/load_plan.h"

namespace camphorferry::load {

/// Counts of one workspace.
struct WorkspaceCounts {
  std::uint64_t asked = 0;
  std::uint64_t served = 0;
  std::uint64_t unknown = 0;
  /// By the reason in the answer.
  std::map<std::string, std::uint64_t> refused;
  /// When answers to requests that were admitted came.
  std::vector<common::SteadyTime> admitted;
};

/// What the load tool saw.
struct Statistics {
  std::map<std::string, WorkspaceCounts> workspaces;
  Histogram reads;
  Histogram writes;
  std::uint64_t replica_reads = 0;
  std::uint64_t primary_reads = 0;
  std::uint64_t stale_own_reads = 0;
  std::uint64_t crossed_answers = 0;
  std::uint64_t over_age_reads = 0;
  /// Requests whose connection ended without an answer.
  std::uint64_t cut_requests = 0;
  /// Longest time between two acknowledged writes of any session on a route,
  /// while some write was waiting.
  std::map<std::string, common::Duration> write_gaps;
};

/// Largest number of requests admitted above rate x time + burst in any window,
/// by the times of the answers.
double AdmittedOverRate(const WorkspaceCounts& counts, double rate,
                        double burst);

/// Prints one figure=... line for each figure.
void PrintFigures(const LoadPlan& plan, const Statistics& statistics,
                  const LedgerFindings& findings, const std::string& profile,
                  const std::string& fault);

}  // namespace camphorferry::load

#endif  // CAMPHORFERRY_LOAD_STATISTICS_H_
