#include "promotion_model.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace camphorferry::session {

namespace {

using std::chrono::milliseconds;

/// Interval at which a primary sends its log to the replicas that lack some.
constexpr milliseconds kReplicationInterval(200);
/// How much of the trace a report shows.
constexpr std::size_t kTraceLines = 160;

}  // namespace

PromotionModel::PromotionModel(ModelGuarantee guarantee, ModelFaults faults,
                               int daemon_count, bool checks_fence,
                               std::uint32_t seed)
    : context(guarantee, seed), group(&this->context, faults, checks_fence) {
  this->context.daemon_processes.resize(daemon_count);
  for (int number = 0; number < daemon_count; ++number) {
    this->fleet.daemons.push_back(std::make_unique<DaemonModel>(
        &this->context, &this->group, &this->lease, &this->fleet, faults,
        number));
  }
}

std::string PromotionModel::Play(const std::vector<TimedStep>& steps) {
  std::function<void()> tick = [&] {
    for (const auto& daemon : this->fleet.daemons) {
      if (!daemon->IsFrozen()) daemon->Tick();
    }
    this->context.time.RunLater(kPromotionTickInterval, tick);
  };
  tick();
  std::function<void()> replicate = [&] {
    this->group.ReplicateAll();
    this->context.time.RunLater(kReplicationInterval, replicate);
  };
  replicate();
  for (const TimedStep& timed : steps) {
    this->context.time.Advance(timed.pause);
    if (!this->context.violation.empty()) break;
    this->Perform(timed.step);
  }
  if (this->context.violation.empty()) {
    this->context.time.Advance(std::chrono::seconds(5));
  }
  if (this->context.violation.empty()) return "";
  std::ostringstream report;
  report << this->context.violation << "\n";
  const auto& trace = this->context.trace;
  const std::size_t first =
      trace.size() > kTraceLines ? trace.size() - kTraceLines : 0;
  for (std::size_t line = first; line < trace.size(); ++line) {
    report << trace[line] << "\n";
  }
  return report.str();
}

void PromotionModel::SetPeerLink(int one, int other, bool up) {
  const int count = static_cast<int>(this->fleet.daemons.size());
  const std::pair<int, int> link = std::minmax(one % count, other % count);
  if (link.first == link.second) return;
  if (up) {
    this->fleet.cut.erase(link);
  } else {
    this->fleet.cut.insert(link);
  }
  this->context.Trace(std::string(up ? "joined" : "cut") + ": daemon" +
                      std::to_string(link.first) + "-daemon" +
                      std::to_string(link.second));
}

void PromotionModel::Perform(const ModelStep& step) {
  const auto daemon = [this](int number) -> DaemonModel& {
    return *this->fleet.daemons[number % this->fleet.daemons.size()];
  };
  std::visit(
      common::Overloaded{
          [&](const CommitStep& commit) {
            daemon(commit.daemon).Commit(commit.leader);
          },
          [&](const LeaveStep& leave) { this->group.Leave(leave.database); },
          [&](const FreezeStep& freeze) { daemon(freeze.daemon).Freeze(); },
          [&](const PeerLinkStep& link) {
            this->SetPeerLink(link.one, link.other, link.up);
          },
          [&](const DatabaseLinkStep& link) {
            this->group.SetLink(link.one, link.other, link.up);
          },
          [&](const DaemonLinkStep& link) {
            daemon(link.daemon).SetLink(link.database, link.up);
          },
          [&](const IsolateStep& isolate) {
            for (int other = 0; other < this->group.Size(); ++other) {
              this->group.SetLink(isolate.database, other, isolate.up);
            }
            for (const auto& each : this->fleet.daemons) {
              each->SetLink(isolate.database, isolate.up);
            }
          },
          [&](const ProbeStep& probe) {
            daemon(probe.daemon).Probe(probe.database);
          },
          [&](const ReplaceStep& replace) {
            daemon(replace.daemon).DemandReplacement();
          },
          [&](const CrashStep& crash) { this->group.Crash(crash.database); },
          [&](const RebirthStep& rebirth) {
            this->group.Rebirth(rebirth.database);
          },
          [&](const LapseStep& lapse) { this->group.Lapse(lapse.database); },
          [&](const JoinStep& /*join*/) { this->group.Join(); },
          [&](const StoreLinkStep& link) {
            daemon(link.daemon).SetStoreLink(link.up);
          },
          [&](const PromotionPathStep& path) {
            daemon(path.daemon).SetPromotionPath(path.up);
          },
          [&](const KillStep& kill) { daemon(kill.daemon).Kill(); },
      },
      step);
}

}  // namespace camphorferry::session
