#ifndef CAMPHORFERRY_SESSION_STATEMENT_RUN_H_
#define CAMPHORFERRY_SESSION_STATEMENT_RUN_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "Session/directory.h"
#include "Session/service_group.h"
#include "Session/statement.h"

namespace camphorferry::session {

/// How a statement relates to a transaction.
enum class TransactionUse {
  /// The statement stands alone.
  kNone,
  /// The statement is the first of a transaction; the run opens it.
  kOpens,
  /// The statement runs in a transaction that is open on a given channel.
  kContinues
};

/// One statement with everything that decides where and how it runs.
struct RunRequest {
  Statement statement;
  /// Shape behind the name that kExecute uses.
  std::optional<PreparedShape> shape;
  TransactionUse use = TransactionUse::kNone;
  /// For kOpens: the transaction promises not to write.
  bool read_only = false;
  /// The statement may change data, by itself or by ending a transaction that
  /// wrote.
  bool writes = false;
  /// Only the primary may run it.
  bool needs_primary = false;
  ReadGuarantee guarantee = ReadGuarantee::kLatest;
  common::Duration max_staleness = common::Duration::zero();
  /// Latest commit of the session itself.
  std::optional<common::LogPosition> own_position;
  SessionValues values;
  /// Name of the caller towards the endpoint.
  std::string caller;
  std::uint32_t priority = 0;
  common::Duration statement_timeout = std::chrono::seconds(1);
  /// A read without an answer for so long is sent to a second member.
  common::Duration hedge_after = std::chrono::milliseconds(400);
  /// When the client's statement, or the begin of its transaction, was read.
  common::SteadyTime received;
  /// No further attempt starts after this time.
  common::SteadyTime deadline;
  /// The same for a statement whose latest attempt found no free channel.
  common::SteadyTime channel_deadline;
  /// For kContinues.
  std::shared_ptr<EndpointChannel> channel;
  /// Admits the operation anew, since its rate counts when it reaches an
  /// endpoint; calls back with the time until then if it is refused.
  std::function<void(std::function<void(std::optional<common::Duration>)>)>
      readmit;
};

/// A final refusal.
struct RunFailure {
  Refusal code = Refusal::kBusy;
  std::string text;
};

/// Outcome of a run.
struct RunResult {
  std::variant<EndpointAnswer, RunFailure> outcome;
  /// The channel of a transaction that is open or has failed at the endpoint;
  /// the receiver gives it back. Null when nothing is pinned.
  std::shared_ptr<EndpointChannel> channel;
};

/// Runs one statement: waits until reads are known to be fresh enough, gets a
/// channel, brings it to the session's state, opens a transaction if asked to,
/// and sends the statement. What has not run is tried again, elsewhere where
/// possible; a write that may have run never is. Must be owned by a shared
/// pointer.
class StatementRun : public std::enable_shared_from_this<StatementRun> {
 public:
  StatementRun(connection::EventLoop* loop, const WireCodec* codec,
               std::shared_ptr<ServiceGroup> group, RunRequest request,
               std::function<void(RunResult)> done);
  ~StatementRun();
  StatementRun(const StatementRun&) = delete;
  StatementRun& operator=(const StatementRun&) = delete;

  /// Starts the run; calls back once, unless it is cancelled.
  void Start();

  /// Gives the run up without a call back; an open channel is closed, which
  /// rolls its transaction back.
  void Cancel();

 private:
  void Attempt();
  void Retry(common::Duration pause, const char* reason);
  void Readmit();
  void OnReadmitted(const std::optional<common::Duration>& retry_after);
  void AcquireFor(const common::EndpointId& id);
  void OnGrant(const ChannelGrant& grant);
  void Prepare();
  void OnPrepared(const ChannelPreparation& preparation,
                  const ChannelResult& result);
  void Begin();
  void OnBegun(const ChannelResult& result);
  void SendStatement();
  /// Sends a read that has waited long for its answer to a second member,
  /// unless the budget of the group is spent.
  void SendHedge();
  /// An answer of a member that the read has also been sent to.
  void OnEarlierAnswer(const ChannelResult& result);
  void OnAnswer(const ChannelResult& result);
  void OnLost(bool silent);
  void OnRefused(const EndpointAnswer& answer);
  void CancelChannelRequest();
  void ReleaseChannel();
  void Fail(Refusal code, const std::string& text);
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
  std::optional<ChannelRequestId> pool_request;
  std::shared_ptr<EndpointChannel> channel;
  /// Members that have failed this statement since the last pause.
  std::set<common::EndpointId> tried;
  std::optional<common::LogPosition> min_position;
  /// When the operation was admitted last.
  common::SteadyTime admitted;

  bool sent_once = false;
  /// The present attempt has sent the statement itself.
  bool statement_sent = false;
  bool no_channel = false;
  /// An earlier attempt counts towards the rate already.
  bool may_have_run = false;
  int attempts = 0;
  const char* last_reason = "";
  std::unique_ptr<connection::Timer> timer;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_STATEMENT_RUN_H_
