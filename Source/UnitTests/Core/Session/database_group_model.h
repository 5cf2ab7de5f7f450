#ifndef CAMPHORFERRY_DATABASE_GROUP_MODEL_H_
#define CAMPHORFERRY_DATABASE_GROUP_MODEL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Session/session.h"
#include "promotion_model_context.h"
#include "promotion_model_steps.h"

namespace camphorferry::session {

/// A command of a daemon to a database.
enum class ModelCommand { kStatus, kHold, kResume, kStepDown };

/// A primary's answer to a commit.
struct ModelCommitAnswer {
  int number = 0;
  int primary = 0;
  common::Term term = 0;
  /// End of the primary's log when it acknowledged the commit.
  common::LogPosition log_end;
  /// The replica whose confirmation completed the commit.
  int confirmed_by = 0;
};

using ModelCommitCallback = std::function<void(const ModelCommitAnswer&)>;

/// A daemon that tells a client of a commit.
struct ModelPassing {
  int daemon = 0;
  int process = 0;
  /// The replica that completed the commit is not known to a daemon that takes
  /// the group for settled.
  bool confirmed_unlisted = false;
};

/// What was the case when an order was given.
struct ModelGivenOrder {
  common::SteadyTime at;
  /// Commits whose loss is no fault of the order.
  std::map<int, LossExcuse> excused;
};

/// Describes a status for the trace.
std::string Describe(const EndpointStatus& status);

/// Model of a replicated group, of the platform that promotes its members and
/// of the store entries, after the operator's description of the databases.
///
/// A database that starts, or starts again, takes part at once and is in the
/// store only later, at any time of a promotion.
class DatabaseGroupModel {
 public:
  DatabaseGroupModel(ModelContext* context, ModelFaults faults,
                     bool checks_fence);

  /// Starts a commit at a database, which answers if it still leads.
  void Commit(int index, ModelCommitCallback answer);
  /// One of the databases that lead; none if none does.
  std::optional<int> LeaderAt(int place) const;
  /// A daemon tells a client of a commit.
  void OnPassedOn(const ModelCommitAnswer& answer, const ModelPassing& passing);
  /// Each primary sends its log to the replicas that it reaches.
  void ReplicateAll();
  void SetLink(int one, int other, bool up);
  void Crash(int index);
  void Rebirth(int index);
  void Lapse(int index);
  void Join();
  void Leave(int index);

  /// Executes a command that has arrived. Returns the database's status, or
  /// none if it does not run.
  std::optional<EndpointStatus> Execute(int index, ModelCommand command,
                                        common::Term term);

  /// Handles an order of a daemon that has reached the platform after the given
  /// time. Returns whether it is accepted.
  bool Order(int index, int daemon, std::uint64_t token,
             const ModelGivenOrder& given);

  /// What is to be known of an order that is given now.
  ModelGivenOrder AssessOrder() const;

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
    std::map<int, ModelCommitCallback> unacknowledged;
    /// Newest term that the database was promoted for.
    common::Term led_term = 0;
    std::uint64_t process = 0;
    std::uint64_t incarnation = 1;
    bool being_replaced = false;
    bool lapsed = false;
    bool leaving = false;
    bool was_listed = false;
    /// Since when the store has had no entry.
    std::optional<common::SteadyTime> unlisted_since;
    std::optional<common::SteadyTime> lost_log_at;
  };

  /// A commit that a client was told of.
  struct Acknowledged {
    LogEntry entry;
    std::vector<ModelPassing> passings;
  };

  void Replicate(int from);
  void OnReplicated(int from, int target, common::Term term,
                    const std::vector<LogEntry>& log, bool promotes);
  void OnConfirmed(int index, int by, std::size_t length);
  void Report(ModelGuarantee broken, const std::string& how);
  void CheckToken(int daemon, std::uint64_t token);
  void OnReached(int index);
  void TakeEffect(int index, const ModelGivenOrder& given);
  /// Checks that a promoted database has what was acknowledged.
  void CheckPromoted(int index, const ModelGivenOrder& given);
  static bool Contains(const std::vector<LogEntry>& log, int number);
  /// Whether no promoter can ask a database that has the commit.
  bool CopiesAreGone(int number) const;
  /// Has a new process take part, and its entry written later.
  void Start(int index, std::uint64_t process);
  void WriteEntry(int index);
  /// Writes the entry after the given time.
  void WriteEntryAfter(std::chrono::milliseconds delay, int index);
  void RemoveEntry(int index);
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
  std::vector<Acknowledged> acknowledged;
  common::Term newest_term = 1;
  int leader = 0;
  int next_commit = 1;
  std::uint64_t highest_token = 0;
  /// The daemon whose order had the highest token.
  int highest_token_daemon = -1;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_DATABASE_GROUP_MODEL_H_
