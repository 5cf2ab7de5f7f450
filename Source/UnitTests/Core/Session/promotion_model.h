#ifndef CAMPHORFERRY_PROMOTION_MODEL_H_
#define CAMPHORFERRY_PROMOTION_MODEL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Session/session.h"

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
  /// A fourth database joins the group.
  bool joins = false;
  /// The store does not answer some of the daemons.
  bool store_cuts = false;
  /// Daemons hear of changes of the entries up to 3 s late, apart from a daemon
  /// with a plan, which follows them closely.
  bool lagging_watches = false;
  /// A replica compares the term of a hold with the newest term that it knows,
  /// not with the newest term of the group.
  bool holds_compare_own_term = false;
};

/// The database commits, if it leads.
struct CommitStep {
  int database = 0;
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
                 JoinStep, StoreLinkStep, PromotionPathStep, KillStep>;

/// A step and the time that passes before it.
struct TimedStep {
  std::chrono::milliseconds pause{0};
  ModelStep step;
};

std::ostream& operator<<(std::ostream& out, const TimedStep& timed);

/// What a model checks.
enum class ModelGuarantee {
  /// A promoted database has every commit that was acknowledged before.
  kNoneLost,
  /// After a promotion no other commit of an older term is acknowledged.
  kOnePrimary,
  /// Orders reach the platform with tokens that never fall, and that no two
  /// daemons share.
  kFencesRise,
  /// kNoneLost and kFencesRise.
  kNoneLostAndFencesRise
};

/// Virtual time with tasks that run later.
class VirtualTime {
 public:
  common::SteadyTime Now() const { return this->now; }
  void RunLater(std::chrono::milliseconds delay, std::function<void()> task);
  /// Runs the tasks that are due within the duration.
  void Advance(std::chrono::milliseconds duration);

 private:
  common::SteadyTime now{std::chrono::hours(1)};
  std::uint64_t next_number = 0;
  std::map<std::pair<common::SteadyTime, std::uint64_t>, std::function<void()>>
      tasks;
};

/// What the parts of a model share: time, randomness and the trace.
struct ModelContext {
  ModelContext(ModelGuarantee guarantee, std::uint32_t seed)
      : random(seed), guarantee(guarantee) {}

  /// A random time between two bounds.
  std::chrono::milliseconds Between(int shortest, int longest);
  bool Happens(int percent);
  void Trace(const std::string& line);

  VirtualTime time;
  std::mt19937 random;
  std::vector<std::string> trace;
  ModelGuarantee guarantee;
  /// How the guarantee was broken first; it holds so far if empty.
  std::string violation;
};

/// A command of a daemon to a database.
enum class ModelCommand { kStatus, kHold, kResume, kStepDown };

/// Model of a replicated group, of the platform that promotes its members and
/// of the store entries, after the operator's description of the databases.
///
/// A database that starts, or starts again, takes part only while no order is
/// being executed: no daemon can prevent the loss if a hold ends at that time.
class DatabaseGroupModel {
 public:
  DatabaseGroupModel(ModelContext* context, ModelFaults faults,
                     bool checks_fence);

  void Commit(int index);
  /// Each primary sends its log to the replicas that it reaches.
  void ReplicateAll();
  void SetLink(int one, int other, bool up);
  void Crash(int index);
  void Rebirth(int index);
  void Lapse(int index);
  void Join();

  /// Executes a command that has arrived. Returns the database's status, or
  /// none if it does not run.
  std::optional<EndpointStatus> Execute(int index, ModelCommand command,
                                        common::Term term);

  /// Handles an order of a daemon that has reached the platform after the given
  /// time. Returns whether it is accepted.
  bool Order(int index, int daemon, std::uint64_t token,
             std::chrono::milliseconds age);

  /// Announces an order, executed or not, until it has taken effect.
  void BeginOrder() { ++this->open_orders; }
  void EndOrder() { --this->open_orders; }

  int Size() const { return static_cast<int>(this->databases.size()); }
  /// Number of the database's current process.
  std::uint64_t ProcessOf(int index) const {
    return this->databases[index].process;
  }
  static std::string NameOf(int index);
  int IndexOf(const common::EndpointId& id) const;
  /// The entries that the store had at the given time.
  std::vector<GroupMember> EntriesAt(common::SteadyTime time) const;

 private:
  struct LogEntry {
    common::Term term = 0;
    int number = 0;
  };

  struct Database {
    bool alive = true;
    GroupRole role = GroupRole::kReplica;
    common::Term term = 1;
    common::Term held = 0;
    /// Term of the primary that the log was last received from.
    common::Term followed_term = 1;
    std::vector<LogEntry> log;
    /// Commits whose clients wait for the acknowledgement.
    std::set<int> unacknowledged;
    std::uint64_t process = 0;
    std::uint64_t incarnation = 1;
    bool being_replaced = false;
    bool lapsed = false;
  };

  void Replicate(int from);
  void OnReplicated(int from, int target, common::Term term,
                    const std::vector<LogEntry>& log, bool promotes);
  void OnConfirmed(int index, std::size_t length);
  void Report(ModelGuarantee broken, const std::string& how);
  void CheckToken(int daemon, std::uint64_t token);
  void OnReached(int index);
  void TakeEffect(int index);
  void StartWhenNoOrder(int index, std::uint64_t process,
                        const std::function<void()>& start);
  void WriteEntry(int index);
  /// The entries from now on, to be changed.
  std::map<int, GroupMember>& ChangeEntries();
  bool Linked(int one, int other) const;
  bool IsKeptWithout(int index) const;
  EndpointStatus StatusOf(int index) const;
  std::string Describe(int index) const;

  ModelContext* context;
  ModelFaults faults;
  bool checks_fence;
  std::vector<Database> databases;
  std::set<std::pair<int, int>> cut;
  /// The entries after each of their changes.
  std::map<common::SteadyTime, std::map<int, GroupMember>> entries;
  std::vector<LogEntry> acknowledged;
  common::Term newest_term = 1;
  int leader = 0;
  int next_commit = 1;
  int open_orders = 0;
  std::uint64_t highest_token = 0;
  /// The daemon whose order had the highest token.
  int highest_token_daemon = -1;
};

/// The stored lease record.
struct ModelLeaseRecord {
  int holder = -1;
  bool active = false;
  std::uint64_t revision = 1;
  std::optional<PromotionOrderRecord> order;
  /// First revision with this holder, which is its token.
  std::uint64_t held_since = 0;
};

/// A daemon: its belief about the group, its use of the promotion lease as in
/// PromotionLease, and its driving of a PromotionPlan as in PromotionTask.
class DaemonModel {
 public:
  DaemonModel(ModelContext* context, DatabaseGroupModel* group,
              ModelLeaseRecord* store, ModelFaults faults, int number);

  void SetLink(int database, bool up);
  void SetStoreLink(bool up) { this->store_reachable = up; }
  void SetPromotionPath(bool up);
  /// Ends the process and starts another one.
  void Kill();
  void Probe(int database);
  void DemandReplacement();
  void Tick();

 private:
  using StatusCallback = std::function<void(const EndpointStatus&)>;

  /// Takes over the entries that this daemon has heard of.
  void UpdateMembers();
  /// Takes over the entries that the store has now.
  void ListMembers();
  FormerMembers Former() const;
  void Send(const common::EndpointId& id, ModelCommand command,
            common::Term term, StatusCallback done);

  // The promotion task.
  void Begin();
  void Perform(const std::vector<PromotionAction>& actions);
  void SendOrder(const common::EndpointId& id);
  /// Gives an order after the platform has answered.
  void SendProvedOrder(const common::EndpointId& id);
  /// Has a request reach the platform after some time, or when the path is no
  /// longer held.
  void Deliver(std::chrono::milliseconds after, std::function<void()> request);
  /// Longest time after which an order reaches the platform.
  std::chrono::milliseconds LatestArrival(bool answered) const;
  void ResumeAndEnd(const std::vector<common::EndpointId>& held,
                    const PromotionFinished& finished);
  void End(const PromotionFinished& finished);

  // The promotion lease.
  /// Whether a use of the lease was abandoned less than the takeover delay ago.
  bool WasAbandoned() const;
  bool Acquire();
  bool Confirm();
  void Release();
  bool MayOrder() const;
  bool WriteLease(bool active);
  bool RecordOrder(const common::EndpointId& id, common::Term newest);
  void WithdrawOrder();
  void OnOrderAccepted();
  /// The token that this daemon has, or gets when it becomes the holder.
  std::uint64_t OwnToken() const;
  void SettleExecutedOrder();
  std::optional<OpenOrder> OpenOrderOfGroup() const;
  void SetRecord(const ModelLeaseRecord& changed);

  std::string Name() const { return "daemon" + std::to_string(this->number); }

  ModelContext* context;
  DatabaseGroupModel* group;
  ModelLeaseRecord* store;
  ModelFaults faults;
  int number;
  std::set<int> cut;
  bool store_reachable = true;
  bool promotion_path_up = true;
  /// Requests that wait for the path to the promotion API.
  std::vector<std::function<void()>> held_requests;
  /// Number of the daemon's current process.
  int process = 0;

  std::vector<GroupMember> members;
  /// How late changes of the entries are heard of, and until when all are known
  /// from a listing or from a watch that did not lag.
  std::chrono::milliseconds watch_lag{0};
  common::SteadyTime listed_at;
  /// Processes that have disappeared, and until when they count.
  std::map<std::pair<common::EndpointId, std::uint64_t>, common::SteadyTime>
      former_members;
  PrimaryView view;

  bool running = false;
  std::shared_ptr<PromotionPlan> plan;
  common::SteadyTime next_start;
  common::SteadyTime next_renewal;
  common::SteadyTime wanted_until;

  ModelLeaseRecord record;
  std::optional<common::SteadyTime> record_seen_at;
  /// The recorded orders that this daemon has seen last, and since when.
  std::uint64_t seen_order = 0;
  common::SteadyTime order_seen_at;
  std::optional<common::SteadyTime> confirmed_at;
  bool holds_lease = false;
  std::optional<common::SteadyTime> abandoned_at;
  bool lost_lease = false;
};

/// A group and its daemons.
class PromotionModel {
 public:
  PromotionModel(ModelGuarantee guarantee, ModelFaults faults, int daemon_count,
                 bool checks_fence, std::uint32_t seed);

  /// Plays a schedule until it ends or the guarantee is broken. Returns how it
  /// was broken with the trace before, or an empty text.
  std::string Play(const std::vector<TimedStep>& steps);

 private:
  void Perform(const ModelStep& step);

  ModelContext context;
  DatabaseGroupModel group;
  ModelLeaseRecord lease;
  std::vector<std::unique_ptr<DaemonModel>> daemons;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_PROMOTION_MODEL_H_
