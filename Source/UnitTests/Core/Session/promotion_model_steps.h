#ifndef CAMPHORFERRY_PROMOTION_MODEL_STEPS_H_
#define CAMPHORFERRY_PROMOTION_MODEL_STEPS_H_

#include <chrono>
#include <iosfwd>
#include <variant>

namespace camphorferry::session {

/// Faults of a schedule besides cut links and lost messages.
struct ModelFaults {
  /// Commands arrive up to 800 ms late.
  bool late_commands = false;
  /// The platform executes unanswered orders up to 3 s late.
  bool late_orders = false;
  /// Unanswered orders reach the platform up to 8.9 s late.
  bool held_orders = false;
  /// Orders take effect up to 9.5 s after they were given, accepted or not.
  bool slow_promotions = false;
  /// Databases crash and come back with their logs.
  bool crashes = false;
  /// Databases start again under their identifiers with empty logs.
  bool rebirths = false;
  /// Paths from daemons to the platform's promotion API are interrupted, for
  /// any time, and then deliver what was sent meanwhile.
  bool held_paths = false;
  /// Daemons are killed and start again.
  bool kills = false;
  /// Store entries of live databases expire and return.
  bool lapses = false;
  /// Databases join the group.
  bool joins = false;
  /// Databases announce their end, and end with their logs.
  bool leaves = false;
  /// Daemons are suspended for some seconds.
  bool freezes = false;
  /// The network between daemons is cut.
  bool peer_cuts = false;
  /// The store does not answer some of the daemons.
  bool store_cuts = false;
  /// Daemons hear of changes of the entries up to 3 s late, apart from a daemon
  /// with a plan, which follows them closely.
  bool lagging_watches = false;
  /// A replica compares the term of a hold with the newest term that it knows,
  /// not with the newest term of the group.
  bool holds_compare_own_term = false;
};

/// A client of the daemon commits at one of the databases that lead.
struct CommitStep {
  /// Place among these databases.
  int leader = 0;
  int daemon = 0;
};

/// The network between two databases, in both directions.
struct DatabaseLinkStep {
  int one = 0;
  int other = 0;
  bool up = false;
};

/// The network between a daemon and a database, in both directions.
struct DaemonLinkStep {
  int daemon = 0;
  int database = 0;
  bool up = false;
};

/// The network between a database and all others.
struct IsolateStep {
  int database = 0;
  bool up = false;
};

/// The daemon asks the database for its status.
struct ProbeStep {
  int daemon = 0;
  int database = 0;
};

/// The daemon's monitor demands another primary for some seconds.
struct ReplaceStep {
  int daemon = 0;
};

struct CrashStep {
  int database = 0;
};

struct RebirthStep {
  int database = 0;
};

struct LapseStep {
  int database = 0;
};

struct JoinStep {};

/// The database announces its end.
struct LeaveStep {
  int database = 0;
};

/// The host of the daemon is suspended.
struct FreezeStep {
  int daemon = 0;
};

/// The network between two daemons, in both directions.
struct PeerLinkStep {
  int one = 0;
  int other = 0;
  bool up = false;
};

struct StoreLinkStep {
  int daemon = 0;
  bool up = false;
};

/// The path from a daemon to the promotion API.
struct PromotionPathStep {
  int daemon = 0;
  bool up = false;
};

struct KillStep {
  int daemon = 0;
};

using ModelStep =
    std::variant<CommitStep, DatabaseLinkStep, DaemonLinkStep, IsolateStep,
                 ProbeStep, ReplaceStep, CrashStep, RebirthStep, LapseStep,
                 JoinStep, LeaveStep, FreezeStep, PeerLinkStep, StoreLinkStep,
                 PromotionPathStep, KillStep>;

/// A step and the time that passes before it.
struct TimedStep {
  std::chrono::milliseconds pause{0};
  ModelStep step;
};

std::ostream& operator<<(std::ostream& out, const TimedStep& timed);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_PROMOTION_MODEL_STEPS_H_
