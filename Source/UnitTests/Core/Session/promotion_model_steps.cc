#include "promotion_model_steps.h"

#include <ostream>

#include "Session/session.h"

namespace camphorferry::session {

std::ostream& operator<<(std::ostream& out, const TimedStep& timed) {
  out << "+" << timed.pause.count() << " ms ";
  std::visit(
      common::Overloaded{
          [&](const CommitStep& step) {
            out << "daemon " << step.daemon << " commits at leader "
                << step.leader;
          },
          [&](const LeaveStep& step) { out << step.database << " leaves"; },
          [&](const FreezeStep& step) {
            out << "daemon " << step.daemon << " is suspended";
          },
          [&](const PeerLinkStep& step) {
            out << (step.up ? "join" : "cut") << " daemons " << step.one << "-"
                << step.other;
          },
          [&](const DatabaseLinkStep& step) {
            out << (step.up ? "join " : "cut ") << step.one << "-"
                << step.other;
          },
          [&](const DaemonLinkStep& step) {
            out << (step.up ? "join" : "cut") << " daemon " << step.daemon
                << "-" << step.database;
          },
          [&](const IsolateStep& step) {
            out << (step.up ? "join " : "cut ") << step.database << " with all";
          },
          [&](const ProbeStep& step) {
            out << "daemon " << step.daemon << " probes " << step.database;
          },
          [&](const ReplaceStep& step) {
            out << "daemon " << step.daemon << " replaces";
          },
          [&](const CrashStep& step) { out << "crash of " << step.database; },
          [&](const RebirthStep& step) {
            out << "rebirth of " << step.database;
          },
          [&](const LapseStep& step) { out << "lapse of " << step.database; },
          [&](const JoinStep& /*step*/) { out << "a database joins"; },
          [&](const StoreLinkStep& step) {
            out << (step.up ? "join" : "cut") << " daemon " << step.daemon
                << "-store";
          },
          [&](const PromotionPathStep& step) {
            out << (step.up ? "join" : "hold") << " daemon " << step.daemon
                << "-platform";
          },
          [&](const KillStep& step) {
            out << "kill of daemon " << step.daemon;
          },
      },
      timed.step);
  return out;
}

}  // namespace camphorferry::session
