#include "Session/session_state.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

/// Maximum number of values and of prepared statements of one session, which
/// limits the memory that a client can use.
constexpr std::size_t kMaxSessionNames = 256;
/// Maximum size of all of them together, in bytes: one message of the largest
/// size and as much again.
constexpr std::size_t kMaxSessionBytes = 2 * 1024 * 1024;

}  // namespace

bool SessionState::Replace(std::size_t former, std::size_t changed) {
  const std::size_t total = this->bytes - former + changed;
  if (changed > former && total > kMaxSessionBytes) return false;
  this->bytes = total;
  return true;
}

bool SessionState::SetValue(const std::string& name, const std::string& value) {
  const auto found = this->values.find(name);
  const bool is_new = found == this->values.end();
  if (is_new && this->values.size() >= kMaxSessionNames) return false;
  const std::size_t former = is_new ? 0 : name.size() + found->second.size();
  if (!this->Replace(former, name.size() + value.size())) return false;
  this->values[name] = value;
  return true;
}

bool SessionState::Prepare(const std::string& name,
                           const PreparedShape& shape) {
  const auto found = this->prepared.find(name);
  const bool is_new = found == this->prepared.end();
  if (is_new && this->prepared.size() >= kMaxSessionNames) return false;
  const std::size_t former =
      is_new ? 0 : name.size() + found->second.shape.size();
  if (!this->Replace(former, name.size() + shape.shape.size())) return false;
  this->prepared[name] = shape;
  return true;
}

bool SessionState::Deallocate(const std::string& name) {
  const auto found = this->prepared.find(name);
  if (found == this->prepared.end()) return false;
  this->Replace(name.size() + found->second.shape.size(), 0);
  this->prepared.erase(found);
  return true;
}

const PreparedShape* SessionState::Find(const std::string& name) const {
  const auto found = this->prepared.find(name);
  return found == this->prepared.end() ? nullptr : &found->second;
}

void SessionState::Begin(OperationAccess access, bool read_only,
                         common::SteadyTime now) {
  this->phase = TransactionPhase::kOpen;
  this->transaction =
      OpenTransaction{std::move(access), read_only, now, now, false, false};
}

void SessionState::FailTransaction() {
  if (this->transaction.has_value()) this->phase = TransactionPhase::kFailed;
}

void SessionState::EndTransaction() {
  this->phase = TransactionPhase::kIdle;
  this->transaction.reset();
}

void SessionState::OnCommitted(const common::ServiceId& service,
                               const common::LogPosition& position) {
  common::LogPosition& latest = this->positions[service];
  latest = std::max(latest, position);
}

std::optional<common::LogPosition> SessionState::Position(
    const common::ServiceId& service) const {
  const auto found = this->positions.find(service);
  if (found == this->positions.end()) return std::nullopt;
  return found->second;
}

}  // namespace camphorferry::session
