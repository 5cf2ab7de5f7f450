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

/// What a client was told about one statement.
enum class ToldOutcome { kDone, kNotKept, kUnknown };

/// A statement as its client sent it.
struct SentStatement {
  std::string id;
  std::string service;
  std::string session;
  std::string workspace;
  session::ReadGuarantee guarantee = session::ReadGuarantee::kLatest;
  common::Duration max_staleness = common::Duration::zero();
  bool commits = false;
  /// Counts towards the workspace's rate.
  bool starts_operation = false;
  session::SessionValues values;
  common::SteadyTime sent;
  /// A read must see what was acknowledged before this: the time of the
  /// statement, or of the begin of its transaction.
  common::SteadyTime fresh_as_of;
  /// The client's key was withdrawn longer ago than the bound of a change.
  bool key_gone = false;
};

/// A statement as a database ran it.
struct StatementAtDatabase {
  std::string id;
  std::string caller;
  std::map<std::string, std::string> values;
  /// Identifiers of the commits that the database held.
  const std::set<std::string>* held = nullptr;
};

/// Compares what clients were told with what databases ran. Takes the times as
/// arguments and does no I/O. Broken promises are collected as text.
class PromiseChecker {
 public:
  /// Declares the rate of a workspace with its tolerance: operations that may
  /// reach databases in one window.
  void SetWindowLimit(const std::string& workspace, std::size_t operations);

  void OnSent(const SentStatement& statement);
  void OnRun(const StatementAtDatabase& run, common::SteadyTime now);
  void OnTold(const std::string& id, ToldOutcome outcome,
              common::SteadyTime now);
  /// A connection ended after the statement was sent and before its answer.
  /// Beside planned stops alone that must not happen, unless the statement may
  /// still have been on its way and has not run.
  void OnCut(const std::string& id, bool planned_stop_only,
             common::SteadyTime now);

  /// Compares everything that was told with the log of a service's primary at
  /// the end.
  void Finish(const std::string& service,
              const std::vector<std::string>& committed);

  const std::vector<std::string>& Broken() const { return this->broken; }
  std::size_t Acknowledged() const { return this->acknowledged; }
  std::size_t Runs() const { return this->runs; }

 private:
  struct AcknowledgedCommit {
    std::string id;
    std::string session;
    common::SteadyTime told;
  };

  void Break(const std::string& promise, const std::string& detail);
  void CheckFreshness(const SentStatement& sent,
                      const StatementAtDatabase& run);
  void CheckWindow(const SentStatement& sent, common::SteadyTime now);

  std::map<std::string, SentStatement> sent;
  std::set<std::string> ran;
  std::map<std::string, ToldOutcome> told;
  /// By service, in the order in which clients were told.
  std::map<std::string, std::vector<AcknowledgedCommit>> commits;
  std::map<std::string, std::size_t> window_limits;
  std::map<std::string, std::deque<common::SteadyTime>> windows;
  std::vector<std::string> broken;
  std::size_t acknowledged = 0;
  std::size_t runs = 0;
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_GUARANTEE_CHECKER_H_
