#ifndef CAMPHORFERRY_STANDINS_DATABASE_CORE_H_
#define CAMPHORFERRY_STANDINS_DATABASE_CORE_H_

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/common.h"
#include "Request/request.h"
#include "StandIns/record_store.h"

namespace camphorferry::standins {

/// Role of a database in its replication group.
enum class DatabaseRole { kPrimary, kReplica };

/// Age of data of unknown age, for example at a replica that has not yet
/// received a complete response from its primary.
inline constexpr common::Duration kUnknownAge = common::Duration::max();

/// Idempotency key of a statement; keys are scoped to a workspace.
struct IdempotencyRecordKey {
  std::string workspace;
  std::string key;

  auto operator<=>(const IdempotencyRecordKey&) const = default;
};

/// A statement with the conditions under which it may run.
struct ExecuteRequest {
  /// Term in which the sender believes the database to be the primary. Checked
  /// for writes only.
  common::Term term = 0;
  request::Operations operations;
  std::optional<IdempotencyRecordKey> idempotency;
  /// Digest of the operations, which detects the reuse of an idempotency key
  /// for another statement.
  std::string digest;
  /// A read is rejected as lagging until the database has applied this
  /// position.
  common::LogPosition min_position;
  /// A read is rejected as lagging if the data may be older than this.
  std::optional<common::Duration> max_age;
};

/// Result of a statement that succeeded.
struct ExecuteDone {
  nlohmann::json results;
  /// Position of the written entry, or the applied position at which a read
  /// ran. A replayed result has the current last position of the primary.
  common::LogPosition position;
  common::Term term = 0;
  DatabaseRole role = DatabaseRole::kReplica;
  common::Duration age = common::Duration::zero();
  bool replayed = false;
};

/// Result of a statement that was rejected without any effect.
struct ExecuteNotRun {
  request::NotRunReason reason = request::NotRunReason::kNotPrimary;
  common::Term term = 0;
};

using ExecuteResult = std::variant<ExecuteDone, ExecuteNotRun>;

/// One transaction in the replication log. The entry that marks the start of a
/// term has no operations.
struct LogEntry {
  common::LogPosition position;
  request::Operations operations;
  std::optional<IdempotencyRecordKey> idempotency;
  std::string digest;
  nlohmann::json results;
};

/// Response to a fence request.
struct FenceResult {
  bool granted = false;
  common::Term fence = 0;
  std::string proposer;
  /// Last log entry.
  common::LogPosition position;
};

/// Response to a confirm request.
struct ConfirmResult {
  bool held = false;
  common::Term fence = 0;
  common::LogPosition position;
};

/// State that a database reports to status requests.
struct DatabaseStatus {
  common::Term term = 0;
  common::Term fence = 0;
  DatabaseRole role = DatabaseRole::kReplica;
  common::LogPosition position;
  common::Duration age = common::Duration::zero();
};

/// A replica's request for the log entries after a position.
struct ReplicateRequest {
  common::Term term = 0;
  common::LogPosition from;
  std::size_t limit = 0;
};

/// A primary's response to a replica. Not accepted if the primary's term
/// differs from the requested one or if the primary is fenced at a higher term.
struct ReplicateResult {
  bool accepted = false;
  /// False if the primary's log has no entry at the requested position. The
  /// replica then steps back by one entry and repeats the request.
  bool matched = false;
  std::vector<LogEntry> entries;
  /// True if the entries reach the end of the primary's log.
  bool complete = false;
};

/// State machine of one member of a replicated database group, without sockets,
/// clock or threads. The fence and the log are durable, so a database that is
/// stopped and restarted is simulated by making no calls in between.
class DatabaseCore {
 public:
  explicit DatabaseCore(std::string id);

  /// Makes this database the primary of a new group, in term 1.
  void InitializeAsPrimary();

  /// Executes a statement atomically.
  ExecuteResult Execute(const ExecuteRequest& request, common::SteadyTime now);

  /// True if a read would be rejected as lagging now.
  bool IsLagging(const ExecuteRequest& request, common::SteadyTime now) const;

  /// Fences the database at the term: from now on it rejects all writes and
  /// replication of lower terms.
  FenceResult Fence(common::Term term, const std::string& proposer);

  /// Makes this database the primary of the term if the database is fenced at
  /// exactly this term by this proposer.
  bool Promote(common::Term term, const std::string& proposer);

  /// Makes this database a replica of the term's primary, unless it is fenced
  /// at a higher term or is itself the primary of the term.
  bool Follow(common::Term term, const std::string& primary_address);

  /// Address of the primary from which this replica pulls; empty on a primary.
  const std::string& PrimaryAddress() const { return this->primary_address; }

  /// The replication request that a replica sends next.
  ReplicateRequest NextPull() const;

  /// Serves a replica's replication request.
  ReplicateResult Replicate(const ReplicateRequest& request) const;

  /// Applies a primary's response. The pull_sent argument is the time at which
  /// the request was sent: after a complete response, the data is at least as
  /// recent as that time.
  void ApplyPull(const ReplicateRequest& request, const ReplicateResult& result,
                 common::SteadyTime pull_sent);

  /// Reports whether this replica's log has the entry, and the current fence.
  ConfirmResult Confirm(common::LogPosition position) const;

  DatabaseStatus Status(common::SteadyTime now) const;

  const std::string& Id() const { return this->id; }

  /// All tables as a JSON object.
  nlohmann::json DumpTables() const { return this->records.Dump(); }

  /// Number of entries in the log.
  std::size_t LogLength() const { return this->log.size(); }

 private:
  ExecuteResult Read(const ExecuteRequest& request,
                     common::SteadyTime now) const;
  ExecuteResult Write(const ExecuteRequest& request);
  /// The result of an earlier statement with the same idempotency key, if any.
  std::optional<ExecuteResult> FindReplay(const ExecuteRequest& request) const;
  ExecuteResult Reject(request::NotRunReason reason) const;
  bool IsFencedAtHigherTerm() const { return this->fence > this->term; }
  common::Duration Age(common::SteadyTime now) const;
  common::LogPosition LastPosition() const;
  common::LogPosition NextPosition() const;
  /// True if the log has the entry. The position before the first entry counts
  /// as present.
  bool HasEntry(common::LogPosition position) const;
  void Append(LogEntry entry);
  void AppendTermStart();
  /// Truncates the log to the given number of entries and rebuilds the records
  /// and the idempotency index from them.
  void Truncate(std::size_t length);
  /// True if the entries follow the position without a gap and with
  /// non-decreasing terms.
  static bool IsContiguous(common::LogPosition from,
                           const std::vector<LogEntry>& entries);

  std::string id;
  common::Term term = 0;
  common::Term fence = 0;
  std::string fence_proposer;
  DatabaseRole role = DatabaseRole::kReplica;
  std::string primary_address;
  std::vector<LogEntry> log;
  RecordStore records;
  /// Log index of the entry with the effect and the results of each key.
  std::map<IdempotencyRecordKey, common::LogIndex> idempotency;
  /// Send time of the request whose complete response was applied last.
  std::optional<common::SteadyTime> last_complete_pull;
  /// Number of log entries before the start of the next pull. It steps back
  /// from the end of the log until the primary has the entry there; only then
  /// is the log truncated.
  std::size_t pull_index = 0;
  /// True while the log may end with entries that this database wrote as a
  /// primary and that were never replicated or acknowledged; reads must not see
  /// them. Entries that a replica has pulled are on two databases, so every
  /// later primary has them.
  bool may_have_diverged = false;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_DATABASE_CORE_H_
