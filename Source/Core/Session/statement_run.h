#ifndef CAMPHORFERRY_SESSION_STATEMENT_RUN_H_
#define CAMPHORFERRY_SESSION_STATEMENT_RUN_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Session/directory.h"
#include "Session/operation_access.h"
#include "Session/service_group.h"
#include "Session/statement.h"
#include "Session/statement_attempt.h"
#include "Session/transaction_channel.h"

namespace camphorferry::session {

/// One statement with everything that determines where and how it runs.
struct RunRequest {
  /// What each attempt runs. The run sets the lowest log position and the wait
  /// for a channel. A commit of a transaction that wrote counts as a write.
  AttemptRequest attempt;
  /// Only the primary may run the statement.
  bool needs_primary = false;
  ReadGuarantee guarantee = ReadGuarantee::kLatest;
  common::Duration max_staleness = common::Duration::zero();
  /// Log position of the session's own latest commit.
  std::optional<common::LogPosition> own_position;
  /// A read that has no answer after this time is also sent to a second member.
  common::Duration hedge_after = std::chrono::milliseconds(400);
  /// When the client's statement, or the begin of its transaction, was
  /// received.
  common::SteadyTime received;
  /// No further attempt starts after this time.
  common::SteadyTime deadline;
  /// The same for a statement whose latest attempt found no free channel.
  common::SteadyTime channel_deadline;
  /// For kContinues: the channel of the transaction.
  TransactionChannel channel;
  /// Checks whether the client may still run the statement. Called before each
  /// attempt, and again before anything is sent to an endpoint, since the
  /// configuration may change while the statement waits.
  std::function<std::optional<AccessRefusal>()> check_access = [] {
    return std::nullopt;
  };
  /// What a connection owner needs to check the same.
  std::function<std::optional<AccessClaim>()> claim_access = [] {
    return std::nullopt;
  };
  /// Checks the operation against its workspace's rate again, because it counts
  /// at the time when it reaches an endpoint. Calls back with the time until
  /// the next attempt if it is refused.
  std::function<void(std::function<void(std::optional<common::Duration>)>)>
      readmit;
};

/// Final error of a run.
struct RunFailure {
  StatementError code = StatementError::kBusy;
  std::string text;
};

/// Outcome of a run.
struct RunResult {
  std::variant<EndpointAnswer, RunFailure> outcome;
  /// The channel of a transaction that is open or has failed at the endpoint,
  /// which the receiver must roll back or end; none if there is no such
  /// transaction.
  TransactionChannel channel;
};

/// Runs one statement: waits until reads are known to be fresh enough, chooses
/// a member and has an attempt made there, by this daemon or by the one that
/// owns the connection. Attempts that have not run are retried, at another
/// member if possible; a write that may have run is never retried. Must be
/// owned by a shared pointer.
class StatementRun : public std::enable_shared_from_this<StatementRun> {
 public:
  StatementRun(connection::EventLoop* loop, const WireCodec* codec,
               std::shared_ptr<ServiceGroup> group, RunRequest request,
               std::function<void(RunResult)> done);
  ~StatementRun();
  StatementRun(const StatementRun&) = delete;
  StatementRun& operator=(const StatementRun&) = delete;

  /// Starts the run. Calls back once, unless the run is cancelled.
  void Start();

  /// Ends the run without calling back. Its channel is closed, which rolls back
  /// an open transaction.
  void Cancel();

 private:
  void Attempt();
  void Retry(common::Duration pause, const char* reason);
  void Readmit();
  void OnReadmitted(const std::optional<common::Duration>& retry_after);
  /// Replaces the current attempt by one that this daemon makes itself.
  std::shared_ptr<StatementAttempt> NewOwnAttempt();
  /// Starts an attempt at a member.
  void StartAt(const common::EndpointId& id);
  /// Has the connection owner make the attempt.
  void Forward(const FleetHost& to, std::uint64_t transaction);
  StatementAttempt::Observers NewObservers(std::uint64_t number);
  void StartHedgeTimer();
  /// Records how long the current attempt has taken, and whether it was served.
  void RecordReadTime(bool served);
  /// Sends a read that has waited long for its answer to a second member as
  /// well, unless the group's hedge budget is used up.
  void SendHedge();
  /// The connection owner has not answered.
  void OnOwnerSilent(std::uint64_t number, const OwnerSilent& silence);
  void OnAttemptResult(std::uint64_t number,
                       std::variant<EndpointAnswer, AttemptFailure> outcome,
                       TransactionChannel with_channel);
  /// Handles the result of an attempt that a hedge has followed.
  void OnEarlierResult(
      const std::variant<EndpointAnswer, AttemptFailure>& outcome);
  void OnAnswer(const EndpointAnswer& answer);
  /// Delivers the answer to a commit if the client may be told of it.
  void Acknowledge(const EndpointAnswer& answer);
  void OnFailure(AttemptFailure failure);
  /// The client may not run the statement any more.
  void OnAccessLost(AttemptFailure failure);
  /// The endpoint can't serve the statement in time. Tries those that may, or
  /// refuses it at once.
  void OnOverloaded();
  void OnRefused(const EndpointAnswer& answer);
  /// Ends all attempts without using their results.
  void AbandonAttempts();
  /// Whether the statement can take effect and can't be taken back.
  bool EndsWrite() const;
  void Fail(StatementError code, const std::string& text);
  void Deliver(EndpointAnswer answer);
  std::optional<common::LogPosition> MinReadPosition() const;
  common::SteadyTime StalenessBound() const;
  std::optional<common::EndpointId> ChooseEndpoint();

  connection::EventLoop* loop;
  const WireCodec* codec;
  std::shared_ptr<ServiceGroup> group;
  RunRequest request;
  std::function<void(RunResult)> done;

  common::EndpointId endpoint;
  /// The current attempt, if this daemon makes it itself.
  std::shared_ptr<StatementAttempt> attempt;
  /// Attempts that a hedge has followed and that may still be answered.
  std::vector<std::shared_ptr<StatementAttempt>> earlier;
  /// Number of the current attempt, to tell late results apart.
  std::uint64_t attempt_number = 0;
  /// Channel of a transaction that the current attempt has left open.
  TransactionChannel channel;
  /// The connection owner that makes the current attempt; empty if this daemon
  /// makes it itself.
  common::HostId owner;
  /// Connection owners that were slow, silent or stopping. This daemon makes
  /// further attempts itself instead of them.
  std::set<common::HostId> avoided_owners;
  /// Members that have failed this statement; cleared when no other member is
  /// left.
  std::set<common::EndpointId> tried;
  /// Members that can't serve it in time.
  std::set<common::EndpointId> overloaded;
  common::SteadyTime attempt_started;
  /// End of the primary's log as it was known when the attempt started.
  common::LogPosition log_end_before;
  /// When the operation was last admitted by the rate limiter.
  common::SteadyTime admitted;

  bool sent_once = false;
  bool no_channel = false;
  /// An earlier attempt may have run, so the next one has to be admitted again.
  bool may_have_run = false;
  int attempts = 0;
  const char* last_reason = "";
  std::unique_ptr<connection::Timer> timer;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_STATEMENT_RUN_H_
