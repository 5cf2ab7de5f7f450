#include "guarantee_checker.h"

#include <algorithm>

namespace camphorferry::soak {

namespace {

/// Window of the rates.
constexpr std::chrono::seconds kRateWindow(5);
/// The contract's lossSlackMs: a statement that is cut so soon may not have
/// reached the proxy.
constexpr std::chrono::milliseconds kLossSlack(200);
/// Commits before a read that are looked for in the database's log. Logs grow
/// in order, so that the newest ones stand for all before them.
constexpr std::size_t kLookedBack = 8;

}  // namespace

void PromiseChecker::SetWindowLimit(const std::string& workspace,
                                    std::size_t operations) {
  this->window_limits[workspace] = operations;
}

void PromiseChecker::Break(const std::string& promise,
                           const std::string& detail) {
  this->broken.push_back(promise + " " + detail);
}

void PromiseChecker::OnSent(const SentStatement& statement) {
  this->sent[statement.id] = statement;
}

void PromiseChecker::OnRun(const StatementAtDatabase& run,
                           common::SteadyTime now) {
  ++this->runs;
  this->ran.insert(run.id);
  const auto found = this->sent.find(run.id);
  if (found == this->sent.end()) {
    this->Break("unasked", "id=" + run.id);
    return;
  }
  const SentStatement& statement = found->second;
  if (run.caller != statement.workspace) {
    this->Break("wrong_workspace", "id=" + run.id + " caller=" + run.caller);
  }
  if (run.values != statement.values) {
    this->Break("wrong_values", "id=" + run.id);
  }
  if (statement.key_gone) this->Break("withdrawn_key", "id=" + run.id);
  if (!statement.commits) this->CheckFreshness(statement, run);
  if (statement.starts_operation) this->CheckWindow(statement, now);
}

void PromiseChecker::CheckFreshness(const SentStatement& statement,
                                    const StatementAtDatabase& run) {
  const bool latest = statement.guarantee == session::ReadGuarantee::kLatest;
  const common::SteadyTime bound =
      latest ? statement.fresh_as_of
             : statement.fresh_as_of - statement.max_staleness;
  const auto& known = this->commits[statement.service];
  std::size_t checked = 0;
  for (auto it = known.rbegin(); it != known.rend(); ++it) {
    const bool own =
        statement.guarantee == session::ReadGuarantee::kReadYourWrites &&
        it->session == statement.session && it->told < statement.fresh_as_of;
    if (it->told >= bound && !own) continue;
    if (!run.held->contains(it->id)) {
      this->Break("stale_read", "id=" + run.id + " lacks=" + it->id);
      return;
    }
    if (++checked >= kLookedBack) return;
  }
}

void PromiseChecker::CheckWindow(const SentStatement& statement,
                                 common::SteadyTime now) {
  const auto limit = this->window_limits.find(statement.workspace);
  if (limit == this->window_limits.end()) return;
  auto& window = this->windows[statement.workspace];
  window.push_back(now);
  while (now - window.front() > kRateWindow) window.pop_front();
  if (window.size() > limit->second) {
    this->Break("over_rate", "workspace=" + statement.workspace +
                                 " in_window=" + std::to_string(window.size()));
    window.clear();
  }
}

void PromiseChecker::OnTold(const std::string& id, ToldOutcome outcome,
                            common::SteadyTime now) {
  const auto found = this->sent.find(id);
  if (found == this->sent.end()) {
    this->Break("crossed_answer", "id=" + id);
    return;
  }
  this->told[id] = outcome;
  if (outcome != ToldOutcome::kDone || !found->second.commits) return;
  ++this->acknowledged;
  this->commits[found->second.service].push_back(
      {id, found->second.session, now});
}

void PromiseChecker::OnCut(const std::string& id, bool planned_stop_only,
                           common::SteadyTime now) {
  this->told[id] = ToldOutcome::kUnknown;
  if (!planned_stop_only) return;
  const common::Duration age = now - this->sent.at(id).sent;
  const bool has_run = this->ran.contains(id);
  const std::string detail =
      "id=" + id +
      " age_ms=" + std::to_string(common::ToMilliseconds(age).count()) +
      " has_run=" + (has_run ? "yes" : "no");
  common::Log(common::Subsystem::kProcess, common::LogLevel::kInfo,
              "cut_beside_stop", {{"detail", detail}});
  if (has_run || age > kLossSlack) this->Break("cut_by_stop", detail);
}

void PromiseChecker::Finish(const std::string& service,
                            const std::vector<std::string>& committed) {
  std::map<std::string, std::size_t> counts;
  for (const std::string& id : committed) ++counts[id];
  for (const auto& [id, count] : counts) {
    if (count > 1) this->Break("doubled", "id=" + id);
    const auto outcome = this->told.find(id);
    if (outcome != this->told.end() &&
        outcome->second == ToldOutcome::kNotKept) {
      this->Break("kept_though_refused", "id=" + id);
    }
  }
  for (const AcknowledgedCommit& commit : this->commits[service]) {
    if (!counts.contains(commit.id)) this->Break("lost", "id=" + commit.id);
  }
}

}  // namespace camphorferry::soak
