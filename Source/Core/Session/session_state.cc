#include "Session/session_state.h"

#include <algorithm>

namespace camphorferry::session {

namespace {

/// Maximum number of values and of prepared statements of one session, which
/// limits the memory that a client can use.
constexpr std::size_t kMaxSessionNames = 256;

}  // namespace

bool SessionState::SetValue(const std::string& name, const std::string& value) {
  const auto found = this->values.find(name);
  if (found != this->values.end()) {
    found->second = value;
    return true;
  }
  if (this->values.size() >= kMaxSessionNames) return false;
  this->values.emplace(name, value);
  return true;
}

bool SessionState::Prepare(const std::string& name,
                           const PreparedShape& shape) {
  if (!this->prepared.contains(name) &&
      this->prepared.size() >= kMaxSessionNames) {
    return false;
  }
  this->prepared[name] = shape;
  return true;
}

bool SessionState::Deallocate(const std::string& name) {
  return this->prepared.erase(name) > 0;
}

const PreparedShape* SessionState::Find(const std::string& name) const {
  const auto found = this->prepared.find(name);
  return found == this->prepared.end() ? nullptr : &found->second;
}

void SessionState::Begin(bool read_only, common::SteadyTime now) {
  this->phase = TransactionPhase::kOpen;
  this->transaction = OpenTransaction{read_only, now, now, false, false};
}

void SessionState::FailTransaction() {
  if (this->transaction.has_value()) this->phase = TransactionPhase::kFailed;
}

void SessionState::EndTransaction() {
  this->phase = TransactionPhase::kIdle;
  this->transaction.reset();
}

void SessionState::OnCommitted(const common::LogPosition& committed) {
  this->position = this->position.has_value()
                       ? std::max(*this->position, committed)
                       : committed;
}

}  // namespace camphorferry::session
