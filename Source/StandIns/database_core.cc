#include "StandIns/database_core.h"

#include <algorithm>
#include <utility>

namespace camphorferry::standins {

namespace {

/// Keeps the response to one pull well below the size of a large HTTP body.
constexpr std::size_t kMaxEntriesPerPull = 256;

}  // namespace

DatabaseCore::DatabaseCore(std::string id) : id(std::move(id)) {}

void DatabaseCore::InitializeAsPrimary() {
  this->term = 1;
  this->fence = 1;
  this->role = DatabaseRole::kPrimary;
  this->AppendTermStart();
}

ExecuteResult DatabaseCore::Execute(const ExecuteRequest& request,
                                    common::SteadyTime now) {
  if (request::IsReadOnly(request.operations)) return this->Read(request, now);
  return this->Write(request);
}

ExecuteResult DatabaseCore::Read(const ExecuteRequest& request,
                                 common::SteadyTime now) const {
  if (this->IsLagging(request, now)) {
    return this->Reject(request::NotRunReason::kLagging);
  }
  return ExecuteDone{.results = this->records.Read(request.operations),
                     .position = this->LastPosition(),
                     .term = this->term,
                     .role = this->role,
                     .age = this->Age(now)};
}

bool DatabaseCore::IsLagging(const ExecuteRequest& request,
                             common::SteadyTime now) const {
  if (this->may_have_diverged) return true;
  if (this->LastPosition() < request.min_position) return true;
  if (!request.max_age) return false;
  const common::Duration age = this->Age(now);
  return age == kUnknownAge || age > *request.max_age;
}

ExecuteResult DatabaseCore::Write(const ExecuteRequest& request) {
  if (this->role != DatabaseRole::kPrimary) {
    return this->Reject(request::NotRunReason::kNotPrimary);
  }
  if (request.term != this->term || this->IsFencedAtHigherTerm()) {
    return this->Reject(request::NotRunReason::kStaleTerm);
  }
  // Checked before execution, since a repeated insert would conflict with the
  // record of its first execution.
  if (auto replayed = this->FindReplay(request)) return *std::move(replayed);
  std::optional<nlohmann::json> results =
      this->records.Apply(request.operations);
  if (!results) return this->Reject(request::NotRunReason::kConflict);
  LogEntry entry{.position = this->NextPosition(),
                 .operations = request.operations,
                 .idempotency = request.idempotency,
                 .digest = request.digest,
                 .results = *results};
  if (entry.idempotency) {
    this->idempotency[*entry.idempotency] = entry.position.index;
  }
  this->log.push_back(std::move(entry));
  return ExecuteDone{.results = *std::move(results),
                     .position = this->LastPosition(),
                     .term = this->term,
                     .role = this->role};
}

std::optional<ExecuteResult> DatabaseCore::FindReplay(
    const ExecuteRequest& request) const {
  if (!request.idempotency) return std::nullopt;
  const auto found = this->idempotency.find(*request.idempotency);
  if (found == this->idempotency.end()) return std::nullopt;
  const LogEntry& entry = this->log[found->second - 1];
  if (entry.digest != request.digest) {
    return this->Reject(request::NotRunReason::kIdempotencyMismatch);
  }
  // A confirmation of the last position also covers the original entry, even if
  // that one belongs to an earlier term.
  return ExecuteDone{.results = entry.results,
                     .position = this->LastPosition(),
                     .term = this->term,
                     .role = this->role,
                     .replayed = true};
}

FenceResult DatabaseCore::Fence(common::Term term,
                                const std::string& proposer) {
  const bool repeated = term == this->fence && !proposer.empty() &&
                        proposer == this->fence_proposer;
  const bool granted = term > this->fence || repeated;
  if (granted) {
    this->fence = term;
    this->fence_proposer = proposer;
  }
  return FenceResult{.granted = granted,
                     .fence = this->fence,
                     .proposer = this->fence_proposer,
                     .position = this->LastPosition()};
}

bool DatabaseCore::Promote(common::Term term, const std::string& proposer) {
  if (proposer.empty() || this->fence != term ||
      this->fence_proposer != proposer) {
    return false;
  }
  if (this->term == term) {
    // Either a repeated request, or the database already follows another
    // primary of this term. A term has only one primary.
    return this->role == DatabaseRole::kPrimary;
  }
  this->term = term;
  this->role = DatabaseRole::kPrimary;
  this->primary_address.clear();
  this->last_complete_pull.reset();
  this->may_have_diverged = false;
  this->AppendTermStart();
  return true;
}

bool DatabaseCore::Follow(common::Term term,
                          const std::string& primary_address) {
  if (this->fence > term) return false;
  const bool was_primary = this->role == DatabaseRole::kPrimary;
  if (was_primary && this->term == term) return false;
  if (this->fence < term) this->fence_proposer.clear();
  this->fence = term;
  this->term = term;
  this->role = DatabaseRole::kReplica;
  this->primary_address = primary_address;
  this->pull_index = this->log.size();
  if (was_primary) this->may_have_diverged = true;
  return true;
}

ReplicateRequest DatabaseCore::NextPull() const {
  common::LogPosition from;
  if (this->pull_index > 0) from = this->log[this->pull_index - 1].position;
  return ReplicateRequest{
      .term = this->term, .from = from, .limit = kMaxEntriesPerPull};
}

ReplicateResult DatabaseCore::Replicate(const ReplicateRequest& request) const {
  ReplicateResult result;
  result.accepted = this->role == DatabaseRole::kPrimary &&
                    request.term == this->term && !this->IsFencedAtHigherTerm();
  if (!result.accepted) return result;
  result.matched = this->HasEntry(request.from);
  if (!result.matched) return result;
  const std::size_t first = request.from.index;
  const std::size_t count = std::min(request.limit, this->log.size() - first);
  for (std::size_t index = first; index < first + count; ++index) {
    result.entries.push_back(this->log[index]);
  }
  result.complete = first + count == this->log.size();
  return result;
}

void DatabaseCore::ApplyPull(const ReplicateRequest& request,
                             const ReplicateResult& result,
                             common::SteadyTime pull_sent) {
  if (!result.accepted || this->role != DatabaseRole::kReplica) return;
  if (request.term != this->term || this->IsFencedAtHigherTerm()) return;
  // A response to an older pull doesn't apply to the current log.
  if (request.from != this->NextPull().from) return;
  if (!result.matched) {
    if (this->pull_index > 0) --this->pull_index;
    return;
  }
  if (!IsContiguous(request.from, result.entries)) return;
  if (this->pull_index < this->log.size()) this->Truncate(this->pull_index);
  for (const LogEntry& entry : result.entries) this->Append(entry);
  this->pull_index = this->log.size();
  this->may_have_diverged = false;
  if (result.complete) this->last_complete_pull = pull_sent;
}

ConfirmResult DatabaseCore::Confirm(common::LogPosition position) const {
  // A primary doesn't confirm its own entry, because a write that only one
  // database has would then be acknowledged.
  const bool held = this->role == DatabaseRole::kReplica &&
                    position.index > 0 && this->HasEntry(position);
  return ConfirmResult{
      .held = held, .fence = this->fence, .position = this->LastPosition()};
}

DatabaseStatus DatabaseCore::Status(common::SteadyTime now) const {
  return DatabaseStatus{.term = this->term,
                        .fence = this->fence,
                        .role = this->role,
                        .position = this->LastPosition(),
                        .age = this->Age(now)};
}

ExecuteResult DatabaseCore::Reject(request::NotRunReason reason) const {
  return ExecuteNotRun{.reason = reason, .term = this->term};
}

common::Duration DatabaseCore::Age(common::SteadyTime now) const {
  if (this->role == DatabaseRole::kPrimary) {
    // A primary of a later term may have written since the fence.
    return this->IsFencedAtHigherTerm() ? kUnknownAge
                                        : common::Duration::zero();
  }
  if (!this->last_complete_pull) return kUnknownAge;
  return now - *this->last_complete_pull;
}

common::LogPosition DatabaseCore::LastPosition() const {
  return this->log.empty() ? common::LogPosition() : this->log.back().position;
}

common::LogPosition DatabaseCore::NextPosition() const {
  return {.term = this->term, .index = this->log.size() + 1};
}

bool DatabaseCore::HasEntry(common::LogPosition position) const {
  if (position.index == 0) return position.term == 0;
  if (position.index > this->log.size()) return false;
  return this->log[position.index - 1].position == position;
}

void DatabaseCore::Append(LogEntry entry) {
  this->records.Apply(entry.operations);
  if (entry.idempotency) {
    this->idempotency[*entry.idempotency] = entry.position.index;
  }
  this->log.push_back(std::move(entry));
}

void DatabaseCore::AppendTermStart() {
  LogEntry entry;
  entry.position = this->NextPosition();
  this->Append(std::move(entry));
}

void DatabaseCore::Truncate(std::size_t length) {
  std::vector<LogEntry> kept = std::move(this->log);
  kept.resize(length);
  this->log.clear();
  this->records.Clear();
  this->idempotency.clear();
  for (LogEntry& entry : kept) this->Append(std::move(entry));
}

bool DatabaseCore::IsContiguous(common::LogPosition from,
                                const std::vector<LogEntry>& entries) {
  common::LogPosition previous = from;
  for (const LogEntry& entry : entries) {
    if (entry.position.index != previous.index + 1) return false;
    if (entry.position.term < previous.term) return false;
    previous = entry.position;
  }
  return true;
}

}  // namespace camphorferry::standins
