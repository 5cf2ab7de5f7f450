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

/// What a database does in its group.
enum class DatabaseRole { kPrimary, kReplica };

/// Age of data whose age cannot be known, such as that of a replica which has
/// never had a complete answer from its primary.
inline constexpr common::Duration kUnknownAge = common::Duration::max();

/// Identifies a repeated statement of one workspace.
struct IdempotencyRecordKey {
  std::string workspace;
  std::string key;

  auto operator<=>(const IdempotencyRecordKey&) const = default;
};

/// What a statement needs besides its operations.
struct ExecuteRequest {
  /// Term under which the sender believes the database to be primary; reads
  /// ignore it.
  common::Term term = 0;
  request::Operations operations;
  std::optional<IdempotencyRecordKey> idempotency;
  /// Digest of the operations that belong to the idempotency key.
  std::string digest;
  /// A read is refused as lagging until this position is applied.
  common::LogPosition min_position;
  /// A read is refused as lagging if the data may be older.
  std::optional<common::Duration> max_age;
};

/// A statement's success.
struct ExecuteDone {
  nlohmann::json results;
  /// Position of the written entry, or the applied position of a read. A
  /// replayed result carries the primary's present last position.
  common::LogPosition position;
  common::Term term = 0;
  DatabaseRole role = DatabaseRole::kReplica;
  common::Duration age = common::Duration::zero();
  bool replayed = false;
};

/// A statement that had no effect.
struct ExecuteNotRun {
  request::NotRunReason reason = request::NotRunReason::kNotPrimary;
  common::Term term = 0;
};

using ExecuteResult = std::variant<ExecuteDone, ExecuteNotRun>;

/// One transaction in the log. A term-start entry has no operations.
struct LogEntry {
  common::LogPosition position;
  request::Operations operations;
  std::optional<IdempotencyRecordKey> idempotency;
  std::string digest;
  nlohmann::json results;
};

/// Answer to a fence request.
struct FenceResult {
  bool granted = false;
  common::Term fence = 0;
  std::string proposer;
  /// Last log entry.
  common::LogPosition position;
};

/// Answer to a confirm request.
struct ConfirmResult {
  bool held = false;
  common::Term fence = 0;
  common::LogPosition position;
};

/// State that a database reports.
struct DatabaseStatus {
  common::Term term = 0;
  common::Term fence = 0;
  DatabaseRole role = DatabaseRole::kReplica;
  common::LogPosition position;
  common::Duration age = common::Duration::zero();
};

/// A replica's request for the entries after its last one.
struct ReplicateRequest {
  common::Term term = 0;
  common::LogPosition from;
  std::size_t limit = 0;
};

/// A primary's answer to a replica. Refused if the primary's term is not the
/// requested one or the primary is fenced above it.
struct ReplicateResult {
  bool accepted = false;
  /// False if the primary's log has no entry at the requested position; the
  /// replica then goes back one entry and asks again.
  bool matched = false;
  std::vector<LogEntry> entries;
  /// True if the entries reach the end of the primary's log.
  bool complete = false;
};

/// One member of a database group without sockets, clock or threads. The fence
/// and the log survive a restart, so a stopped database is one that gets no
/// calls.
class DatabaseCore {
 public:
  explicit DatabaseCore(std::string id);

  /// Makes this database the primary of term 1 of a new group.
  void InitializeAsPrimary();

  /// Runs a statement whole or not at all.
  ExecuteResult Execute(const ExecuteRequest& request, common::SteadyTime now);

  /// Whether a read would be refused as lagging now.
  bool IsLagging(const ExecuteRequest& request, common::SteadyTime now) const;

  /// Refuses all writes and replication of lower terms from now on.
  FenceResult Fence(common::Term term, const std::string& proposer);

  /// Becomes primary of the term if exactly this proposer holds the fence.
  bool Promote(common::Term term, const std::string& proposer);

  /// Becomes a replica of the term's primary if the fence allows it.
  bool Follow(common::Term term, const std::string& primary_address);

  /// Address that the database pulls from; empty on a primary.
  const std::string& PrimaryAddress() const { return this->primary_address; }

  /// The pull that a replica would send now.
  ReplicateRequest NextPull() const;

  /// Answers a replica's pull.
  ReplicateResult Replicate(const ReplicateRequest& request) const;

  /// Takes a primary's answer. The time is when the pull was sent: the data is
  /// at least that fresh once a complete answer is applied.
  void ApplyPull(const ReplicateRequest& request, const ReplicateResult& result,
                 common::SteadyTime pull_sent);

  /// Whether the log holds the entry, and the present fence.
  ConfirmResult Confirm(common::LogPosition position) const;

  DatabaseStatus Status(common::SteadyTime now) const;

  const std::string& Id() const { return this->id; }

  /// All tables as JSON.
  nlohmann::json DumpTables() const { return this->records.Dump(); }

  /// Number of entries in the log.
  std::size_t LogLength() const { return this->log.size(); }

 private:
  ExecuteResult Read(const ExecuteRequest& request,
                     common::SteadyTime now) const;
  ExecuteResult Write(const ExecuteRequest& request);
  /// The outcome of an earlier statement with the same idempotency key.
  std::optional<ExecuteResult> Replay(const ExecuteRequest& request) const;
  ExecuteResult Refuse(request::NotRunReason reason) const;
  bool FencedAboveTerm() const { return this->fence > this->term; }
  common::Duration Age(common::SteadyTime now) const;
  common::LogPosition LastPosition() const;
  common::LogPosition NextPosition() const;
  /// True if the log holds the entry; the position before the first entry
  /// counts as held.
  bool Holds(common::LogPosition position) const;
  void Append(LogEntry entry);
  void AppendTermStart();
  /// Keeps the first entries of the log and rebuilds everything else from them.
  void Truncate(std::size_t length);
  /// True if the entries continue the log after the position without a gap.
  static bool Continues(common::LogPosition from,
                        const std::vector<LogEntry>& entries);

  std::string id;
  common::Term term = 0;
  common::Term fence = 0;
  std::string fence_proposer;
  DatabaseRole role = DatabaseRole::kReplica;
  std::string primary_address;
  std::vector<LogEntry> log;
  RecordStore records;
  /// Index of the entry that a key's effect and results are in.
  std::map<IdempotencyRecordKey, common::LogIndex> idempotency;
  /// When the pull was sent whose complete answer was applied last.
  std::optional<common::SteadyTime> fresh_at;
  /// Entry after which the next pull starts. It moves back from the end of the
  /// log until the primary knows the entry; only then is the log truncated.
  std::size_t pull_index = 0;
  /// True while the log may end in entries of a superseded primary, which were
  /// never acknowledged and must not be read. Entries that a replica pulled are
  /// held by two databases, so every later primary has them.
  bool unmatched = false;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_DATABASE_CORE_H_
