#include "Load/statistics.h"

#include <algorithm>
#include <cstdio>

namespace camphorferry::load {

namespace {

/// Prints the measurements of one run with its profile and fault.
class FigurePrinter {
 public:
  FigurePrinter(std::string profile, std::string fault)
      : profile(std::move(profile)), fault(std::move(fault)) {}

  void Print(const char* name, double value, const char* unit,
             std::uint64_t count) const {
    std::printf("figure=%s profile=%s value=%.4g unit=%s n=%llu fault=%s\n",
                name, this->profile.c_str(), value, unit,
                static_cast<unsigned long long>(count), this->fault.c_str());
  }

 private:
  std::string profile;
  std::string fault;
};

double Milliseconds(common::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double Ratio(std::uint64_t part, std::uint64_t whole) {
  if (whole == 0) return 0;
  return static_cast<double>(part) / static_cast<double>(whole);
}

/// Prints measurements that compare the served requests with the workspaces'
/// limits.
void PrintLimits(const LoadPlan& plan, const Statistics& statistics,
                 const FigurePrinter& printer) {
  const double seconds = std::chrono::duration<double>(plan.length).count();
  double worst_share = 1;
  double over_rate = 0;
  std::uint64_t requests_within_limit = 0;
  std::uint64_t wrongly_refused = 0;
  for (const WorkspaceLoad& workspace : plan.workspaces) {
    const WorkspaceCounts& counts = statistics.workspaces.at(workspace.name);
    const double permitted =
        workspace.limit_rate * seconds + workspace.limit_burst;
    const auto requested = static_cast<double>(counts.requested);
    const double share =
        static_cast<double>(counts.served) / std::min(requested, permitted);
    worst_share = std::min(worst_share, share);
    over_rate = std::max(
        over_rate,
        AdmittedOverRate(counts, workspace.limit_rate, workspace.limit_burst));
    if (workspace.rate > workspace.limit_rate) continue;
    requests_within_limit += counts.requested;
    for (const auto& [reason, count] : counts.refused) wrongly_refused += count;
  }
  printer.Print("worst_workspace_share", worst_share, "ratio",
                plan.workspaces.size());
  printer.Print("admitted_over_rate", over_rate, "count",
                plan.workspaces.size());
  printer.Print("wrongful_refusals",
                Ratio(wrongly_refused, requests_within_limit), "ratio",
                requests_within_limit);
}

}  // namespace

double AdmittedOverRate(const WorkspaceCounts& counts, double rate,
                        double burst) {
  // Leaky bucket: its level above the burst is the excess of the worst window
  // that ends at the current time.
  double level = 0;
  double excess = 0;
  common::SteadyTime last;
  for (const common::SteadyTime time : counts.admitted) {
    const std::chrono::duration<double> elapsed = time - last;
    level = std::max(0.0, level - rate * elapsed.count()) + 1;
    last = time;
    excess = std::max(excess, level - burst);
  }
  return excess;
}

void PrintFigures(const LoadPlan& plan, const Statistics& statistics,
                  const ConsistencyFindings& findings,
                  const std::string& profile, const std::string& fault) {
  const FigurePrinter printer(profile, fault);
  const std::uint64_t reads =
      statistics.replica_reads + statistics.primary_reads;
  printer.Print("replica_read_share", Ratio(statistics.replica_reads, reads),
                "ratio", reads);
  printer.Print("read_latency_ms_p50",
                Milliseconds(statistics.reads.Quantile(0.5)), "ms",
                statistics.reads.Count());
  printer.Print("read_latency_ms_p99",
                Milliseconds(statistics.reads.Quantile(0.99)), "ms",
                statistics.reads.Count());
  printer.Print("write_latency_ms_p50",
                Milliseconds(statistics.writes.Quantile(0.5)), "ms",
                statistics.writes.Count());
  printer.Print("write_latency_ms_p99",
                Milliseconds(statistics.writes.Quantile(0.99)), "ms",
                statistics.writes.Count());
  std::uint64_t requested = 0;
  std::uint64_t served = 0;
  std::uint64_t unknown = 0;
  std::map<std::string, std::uint64_t> refused;
  double worst_share = 1;
  for (const auto& [name, counts] : statistics.workspaces) {
    requested += counts.requested;
    served += counts.served;
    unknown += counts.unknown;
    for (const auto& [reason, count] : counts.refused) refused[reason] += count;
    worst_share = std::min(worst_share, Ratio(counts.served, counts.requested));
    const std::string label = "served_share." + name;
    printer.Print(label.c_str(), Ratio(counts.served, counts.requested),
                  "ratio", counts.requested);
  }
  printer.Print("worst_served_of_asked", worst_share, "ratio", requested);
  printer.Print("served", static_cast<double>(served), "count", requested);
  printer.Print("unknown_outcomes", static_cast<double>(unknown), "count",
                requested);
  PrintLimits(plan, statistics, printer);
  for (const auto& [reason, count] : refused) {
    const std::string label = "refused." + reason;
    printer.Print(label.c_str(), static_cast<double>(count), "count",
                  requested);
  }
  for (const auto& [route, gap] : statistics.write_gaps) {
    const std::string label = "write_gap_ms." + route;
    printer.Print(label.c_str(), Milliseconds(gap), "ms", 1);
  }
  printer.Print("lost_acknowledged",
                static_cast<double>(findings.lost_acknowledged), "count",
                statistics.writes.Count());
  printer.Print("doubled_acknowledged",
                static_cast<double>(findings.duplicated), "count",
                statistics.writes.Count());
  printer.Print("false_not_run", static_cast<double>(findings.false_not_run),
                "count", requested);
  printer.Print("unknown_that_ran",
                static_cast<double>(findings.unknown_that_ran), "count",
                unknown);
  printer.Print("unreadable_accounts",
                static_cast<double>(findings.unreadable_accounts), "count",
                requested);
  printer.Print("stale_own_reads",
                static_cast<double>(statistics.stale_own_reads), "count",
                reads);
  printer.Print("crossed_answers",
                static_cast<double>(statistics.crossed_answers), "count",
                requested);
  printer.Print("over_age_reads",
                static_cast<double>(statistics.over_age_reads), "count", reads);
  printer.Print("cut_requests", static_cast<double>(statistics.cut_requests),
                "count", requested);
}

}  // namespace camphorferry::load
