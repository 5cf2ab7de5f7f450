#ifndef CAMPHORFERRY_STANDINS_DATABASE_CORE_H_
#define CAMPHORFERRY_STANDINS_DATABASE_CORE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Common/common.h"
#include "Request/request.h"

namespace camphorferry::standins {

/// What a database does in its group.
enum class DatabaseRole { kPrimary, kReplica };

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

 private:
  std::string id;
  common::Term term = 0;
  common::Term fence = 0;
  std::string fence_proposer;
  DatabaseRole role = DatabaseRole::kReplica;
  std::string primary_address;
  std::vector<LogEntry> log;
  std::map<std::pair<std::string, std::string>, nlohmann::json> records;
  std::map<IdempotencyRecordKey, LogEntry> idempotency;
  std::optional<common::SteadyTime> fresh_at;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_DATABASE_CORE_H_
