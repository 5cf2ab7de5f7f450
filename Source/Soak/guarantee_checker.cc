#include "guarantee_checker.h"

#include <algorithm>

namespace camphorferry::soak {

namespace {

/// Sliding window in which rate limits are checked.
constexpr std::chrono::seconds kRateWindow(5);
/// The contract's lossSlackMs: a statement whose connection ends within this
/// time after it was sent may not have reached the proxy.
constexpr std::chrono::milliseconds kLossSlack(200);
/// Number of commits before a read that are looked up in the database's log.
/// Logs are replicated in order, so the newest commits imply all earlier ones.
constexpr std::size_t kMaxCheckedCommits = 8;

}  // namespace

void GuaranteeChecker::SetWindowLimit(const std::string& workspace,
                                      std::size_t operations) {
  this->window_limits[workspace] = operations;
}

void GuaranteeChecker::Report(const std::string& violation,
                              const std::string& detail) {
  this->violations.push_back(violation + " " + detail);
}

void GuaranteeChecker::OnSent(const SentStatement& statement) {
  this->sent[statement.id] = statement;
}

void GuaranteeChecker::OnExecuted(const ExecutedStatement& run,
                                  common::SteadyTime now) {
  ++this->executions;
  this->executed.insert(run.id);
  const auto found = this->sent.find(run.id);
  if (found == this->sent.end()) {
    this->Report("unasked", "id=" + run.id);
    return;
  }
  const SentStatement& statement = found->second;
  if (run.caller != statement.workspace) {
    this->Report("wrong_workspace", "id=" + run.id + " caller=" + run.caller);
  }
  if (run.values != statement.values) {
    this->Report("wrong_values", "id=" + run.id);
  }
  if (statement.key_revoked) this->Report("withdrawn_key", "id=" + run.id);
  if (!statement.commits) this->CheckFreshness(statement, run);
  if (statement.starts_operation) this->CheckRateLimit(statement, now);
}

void GuaranteeChecker::CheckFreshness(const SentStatement& statement,
                                      const ExecutedStatement& run) {
  const bool latest = statement.guarantee == session::ReadGuarantee::kLatest;
  const common::SteadyTime bound =
      latest ? statement.fresh_as_of
             : statement.fresh_as_of - statement.max_staleness;
  const auto& acknowledged_commits = this->commits[statement.service];
  std::size_t checked = 0;
  for (auto it = acknowledged_commits.rbegin();
       it != acknowledged_commits.rend(); ++it) {
    const bool own =
        statement.guarantee == session::ReadGuarantee::kReadYourWrites &&
        it->session == statement.session &&
        it->acknowledged_at < statement.fresh_as_of;
    if (it->acknowledged_at >= bound && !own) continue;
    if (!run.held_commits->contains(it->id)) {
      this->Report("stale_read", "id=" + run.id + " lacks=" + it->id);
      return;
    }
    if (++checked >= kMaxCheckedCommits) return;
  }
}

void GuaranteeChecker::CheckRateLimit(const SentStatement& statement,
                                      common::SteadyTime now) {
  const auto limit = this->window_limits.find(statement.workspace);
  if (limit == this->window_limits.end()) return;
  auto& window = this->recent_operations[statement.workspace];
  window.push_back(now);
  while (now - window.front() > kRateWindow) window.pop_front();
  if (window.size() > limit->second) {
    this->Report("over_rate",
                 "workspace=" + statement.workspace +
                     " in_window=" + std::to_string(window.size()));
    window.clear();
  }
}

void GuaranteeChecker::OnOutcome(const std::string& id, ClientOutcome outcome,
                                 common::SteadyTime now) {
  const auto found = this->sent.find(id);
  if (found == this->sent.end()) {
    this->Report("crossed_answer", "id=" + id);
    return;
  }
  this->outcomes[id] = outcome;
  if (outcome != ClientOutcome::kDone || !found->second.commits) return;
  ++this->acknowledged;
  this->commits[found->second.service].push_back(
      {id, found->second.session, now});
}

void GuaranteeChecker::OnConnectionLost(const std::string& id,
                                        bool only_planned_operations,
                                        common::SteadyTime now) {
  this->outcomes[id] = ClientOutcome::kUnknown;
  if (!only_planned_operations) return;
  const common::Duration age = now - this->sent.at(id).sent;
  const bool has_run = this->executed.contains(id);
  const std::string detail =
      "id=" + id +
      " age_ms=" + std::to_string(common::ToMilliseconds(age).count()) +
      " has_run=" + (has_run ? "yes" : "no");
  common::Log(common::Subsystem::kProcess, common::LogLevel::kInfo,
              "cut_beside_stop", {{"detail", detail}});
  if (has_run || age > kLossSlack) this->Report("cut_by_stop", detail);
}

void GuaranteeChecker::OnPromoted(const std::string& service,
                                  const std::string& endpoint,
                                  const std::set<std::string>& held_commits) {
  std::size_t missing = 0;
  std::string first_missing;
  for (const AcknowledgedCommit& commit : this->commits[service]) {
    if (held_commits.contains(commit.id)) continue;
    if (missing++ == 0) first_missing = commit.id;
  }
  if (missing == 0) return;
  this->Report("promotion_lacks_commit",
               "endpoint=" + endpoint + " lacks=" + first_missing +
                   " missing=" + std::to_string(missing));
}

void GuaranteeChecker::CheckFinalLog(
    const std::string& service, const std::vector<std::string>& committed) {
  std::map<std::string, std::size_t> counts;
  for (const std::string& id : committed) ++counts[id];
  for (const auto& [id, count] : counts) {
    if (count > 1) this->Report("doubled", "id=" + id);
    const auto outcome = this->outcomes.find(id);
    if (outcome != this->outcomes.end() &&
        outcome->second == ClientOutcome::kNotApplied) {
      this->Report("kept_though_refused", "id=" + id);
    }
  }
  for (const AcknowledgedCommit& commit : this->commits[service]) {
    if (!counts.contains(commit.id)) this->Report("lost", "id=" + commit.id);
  }
}

}  // namespace camphorferry::soak
