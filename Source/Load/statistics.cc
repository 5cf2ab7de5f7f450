#include "Load/statistics.h"

#include <algorithm>
#include <cstdio>

namespace camphorferry::load {

namespace {

/// Prints figures of one run.
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

double Share(std::uint64_t part, std::uint64_t whole) {
  if (whole == 0) return 0;
  return static_cast<double>(part) / static_cast<double>(whole);
}

/// Figures that compare the service with the workspaces' limits.
void PrintLimits(const LoadPlan& plan, const Statistics& statistics,
                 const FigurePrinter& printer) {
  const double seconds = std::chrono::duration<double>(plan.length).count();
  double worst_share = 1;
  double over_rate = 0;
  std::uint64_t asked_inside = 0;
  std::uint64_t refused_inside = 0;
  for (const WorkspaceLoad& workspace : plan.workspaces) {
    const WorkspaceCounts& counts = statistics.workspaces.at(workspace.name);
    const double due = workspace.limit_rate * seconds + workspace.limit_burst;
    const auto asked = static_cast<double>(counts.asked);
    const double share =
        static_cast<double>(counts.served) / std::min(asked, due);
    worst_share = std::min(worst_share, share);
    over_rate = std::max(
        over_rate,
        AdmittedOverRate(counts, workspace.limit_rate, workspace.limit_burst));
    if (workspace.rate > workspace.limit_rate) continue;
    asked_inside += counts.asked;
    for (const auto& [reason, count] : counts.refused) refused_inside += count;
  }
  printer.Print("worst_workspace_share", worst_share, "ratio",
                plan.workspaces.size());
  printer.Print("admitted_over_rate", over_rate, "count",
                plan.workspaces.size());
  printer.Print("wrongful_refusals", Share(refused_inside, asked_inside),
                "ratio", asked_inside);
}

}  // namespace

double AdmittedOverRate(const WorkspaceCounts& counts, double rate,
                        double burst) {
  // A bucket that drains at the rate overflows by the excess of the worst
  // window that ends now.
  double level = 0;
  double excess = 0;
  common::SteadyTime last;
  for (const common::SteadyTime time : counts.admitted) {
    const std::chrono::duration<double> passed = time - last;
    level = std::max(0.0, level - rate * passed.count()) + 1;
    last = time;
    excess = std::max(excess, level - burst);
  }
  return excess;
}

void PrintFigures(const LoadPlan& plan, const Statistics& statistics,
                  const LedgerFindings& findings, const std::string& profile,
                  const std::string& fault) {
  const FigurePrinter printer(profile, fault);
  const std::uint64_t reads =
      statistics.replica_reads + statistics.primary_reads;
  printer.Print("replica_read_share", Share(statistics.replica_reads, reads),
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
  std::uint64_t asked = 0;
  std::uint64_t served = 0;
  std::uint64_t unknown = 0;
  std::map<std::string, std::uint64_t> refused;
  double worst_share = 1;
  for (const auto& [name, counts] : statistics.workspaces) {
    asked += counts.asked;
    served += counts.served;
    unknown += counts.unknown;
    for (const auto& [reason, count] : counts.refused) refused[reason] += count;
    worst_share = std::min(worst_share, Share(counts.served, counts.asked));
    const std::string label = "served_share." + name;
    printer.Print(label.c_str(), Share(counts.served, counts.asked), "ratio",
                  counts.asked);
  }
  printer.Print("worst_served_of_asked", worst_share, "ratio", asked);
  printer.Print("served", static_cast<double>(served), "count", asked);
  printer.Print("unknown_outcomes", static_cast<double>(unknown), "count",
                asked);
  PrintLimits(plan, statistics, printer);
  for (const auto& [reason, count] : refused) {
    const std::string label = "refused." + reason;
    printer.Print(label.c_str(), static_cast<double>(count), "count", asked);
  }
  for (const auto& [route, gap] : statistics.write_gaps) {
    const std::string label = "write_gap_ms." + route;
    printer.Print(label.c_str(), Milliseconds(gap), "ms", 1);
  }
  printer.Print("lost_acknowledged",
                static_cast<double>(findings.lost_acknowledged), "count",
                statistics.writes.Count());
  printer.Print("doubled_acknowledged", static_cast<double>(findings.doubled),
                "count", statistics.writes.Count());
  printer.Print("false_not_run", static_cast<double>(findings.false_not_run),
                "count", asked);
  printer.Print("unknown_that_ran",
                static_cast<double>(findings.settled_unknown), "count",
                unknown);
  printer.Print("unreadable_accounts",
                static_cast<double>(findings.unreadable_accounts), "count",
                asked);
  printer.Print("stale_own_reads",
                static_cast<double>(statistics.stale_own_reads), "count",
                reads);
  printer.Print("crossed_answers",
                static_cast<double>(statistics.crossed_answers), "count",
                asked);
  printer.Print("over_age_reads",
                static_cast<double>(statistics.over_age_reads), "count", reads);
  printer.Print("cut_requests", static_cast<double>(statistics.cut_requests),
                "count", asked);
}

}  // namespace camphorferry::load
