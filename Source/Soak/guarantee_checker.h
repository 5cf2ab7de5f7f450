#ifndef CAMPHORFERRY_SOAK_GUARANTEE_CHECKER_H_
#define CAMPHORFERRY_SOAK_GUARANTEE_CHECKER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Session/directory.h"
#include "Session/statement.h"

namespace camphorferry::soak {

/// Outcome of a statement as reported to its client.
enum class ClientOutcome { kDone, kNotApplied, kUnknown };

/// A statement that a client has sent.
struct SentStatement {
  std::string id;
  std::string service;
  std::string session;
  std::string workspace;
  session::ReadGuarantee guarantee = session::ReadGuarantee::kLatest;
  common::Duration max_staleness = common::Duration::zero();
  bool commits = false;
  /// True if the statement counts against the rate limit of the workspace.
  bool starts_operation = false;
  session::SessionValues values;
  common::SteadyTime sent;
  /// A read must see all commits that were acknowledged before this time, which
  /// is the send time of the statement or the start of its transaction.
  common::SteadyTime fresh_as_of;
  /// True if the client's key was withdrawn so long ago that every proxy must
  /// reject it.
  bool key_revoked = false;
};

/// A statement that a database has executed.
struct ExecutedStatement {
  std::string id;
  std::string caller;
  std::map<std::string, std::string> values;
  /// Identifiers of the commits in the database's log at the time.
  const std::set<std::string>* held_commits = nullptr;
};

/// Checks the guarantees to clients: compares the outcomes that clients
/// received with the statements that databases executed. Collects violations as
/// text. Has no clock and no I/O; all times are arguments.
class GuaranteeChecker {
 public:
  /// Sets the number of operations of a workspace that may reach databases
  /// within one window: its rate limit with the tolerance.
  void SetWindowLimit(const std::string& workspace, std::size_t operations);

  void OnSent(const SentStatement& statement);
  void OnExecuted(const ExecutedStatement& run, common::SteadyTime now);
  void OnOutcome(const std::string& id, ClientOutcome outcome,
                 common::SteadyTime now);
  /// Called when a connection ends between a statement and its response. If
  /// planned operations were the only disturbance, this is a violation, unless
  /// the statement may not have reached the proxy yet and has not been
  /// executed.
  void OnConnectionLost(const std::string& id, bool only_planned_operations,
                        common::SteadyTime now);

  /// Called when a promotion takes effect. The log of the promoted database
  /// must have all commits that were acknowledged.
  void OnPromoted(const std::string& service, const std::string& endpoint,
                  const std::set<std::string>& held_commits);

  /// Compares all reported outcomes with the log of a service's primary at the
  /// end of the run.
  void CheckFinalLog(const std::string& service,
                     const std::vector<std::string>& committed);

  const std::vector<std::string>& Violations() const {
    return this->violations;
  }
  std::size_t Acknowledged() const { return this->acknowledged; }
  std::size_t Executions() const { return this->executions; }

 private:
  struct AcknowledgedCommit {
    std::string id;
    std::string session;
    common::SteadyTime acknowledged_at;
  };

  void Report(const std::string& violation, const std::string& detail);
  void CheckFreshness(const SentStatement& sent, const ExecutedStatement& run);
  void CheckRateLimit(const SentStatement& sent, common::SteadyTime now);

  std::map<std::string, SentStatement> sent;
  std::set<std::string> executed;
  std::map<std::string, ClientOutcome> outcomes;
  /// By service, in the order of the acknowledgements.
  std::map<std::string, std::vector<AcknowledgedCommit>> commits;
  std::map<std::string, std::size_t> window_limits;
  std::map<std::string, std::deque<common::SteadyTime>> recent_operations;
  std::vector<std::string> violations;
  std::size_t acknowledged = 0;
  std::size_t executions = 0;
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_GUARANTEE_CHECKER_H_
