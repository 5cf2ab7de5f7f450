#ifndef CAMPHORFERRY_SESSION_STATEMENT_ATTEMPT_H_
#define CAMPHORFERRY_SESSION_STATEMENT_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "Session/endpoint_pool.h"
#include "Session/operation_access.h"
#include "Session/statement.h"

namespace camphorferry::session {

/// How a statement relates to a transaction.
enum class TransactionUse {
  /// The statement is not part of a transaction.
  kNone,
  /// The statement is the first of a transaction, and the attempt opens the
  /// transaction.
  kOpens,
  /// The statement runs in a transaction that is open on a given channel.
  kContinues
};

/// One statement with everything that is needed to run it at one endpoint.
struct AttemptRequest {
  Statement statement;
  /// The prepared statement that kExecute names.
  std::optional<PreparedShape> shape;
  TransactionUse use = TransactionUse::kNone;
  /// For kOpens: the transaction is read-only.
  bool read_only = false;
  /// The statement may change data.
  bool writes = false;
  /// Log position that the endpoint must have reached for a read or for the
  /// begin of a transaction.
  std::optional<common::LogPosition> min_position;
  SessionValues values;
  /// Name of the caller that is sent to the endpoint.
  std::string caller;
  std::uint32_t priority = 0;
  /// How long the attempt waits for a channel.
  common::Duration channel_wait = std::chrono::milliseconds(250);
  /// Since when the operation has been waiting, and until when it may wait for
  /// a channel, over all attempts; none if requests for channels are served in
  /// order of arrival.
  std::optional<common::SteadyTime> waiting_since;
  std::optional<common::SteadyTime> channel_deadline;
  common::Duration statement_timeout = std::chrono::seconds(1);
};

/// Pause before a busy statement is sent again.
inline constexpr std::chrono::milliseconds kBusyRetryPause(10);

/// Bytes of a statement with its values and its prepared statement.
std::size_t SizeOf(const AttemptRequest& request);

/// Why an attempt has no answer of the endpoint.
enum class AttemptFailure {
  // Nothing has run.
  kNoFreeChannel,
  /// The statement would get a channel after its deadline.
  kOverloaded,
  kUnreachable,
  kWrongEndpoint,
  kPreparationFailed,
  /// A command that prepares the channel had no answer.
  kPreparationUnanswered,
  /// The daemon that owns the connection is shutting down.
  kStopping,
  /// The transaction has ended at the connection owner.
  kNoTransaction,
  /// No workspace has the client's key any more.
  kUnauthorized,
  /// The client is another caller now than when its operation started.
  kOtherCaller,
  /// The statement has reached the connection owner too late.
  kExpired,
  // The statement, or the begin of its transaction, may have run.
  kConnectionLost,
  kNoAnswer,
  /// The endpoint has answered without its signature, so there is no proof that
  /// it ran the statement.
  kNoSignature
};

/// Name as used in logs and metrics.
const char* ToString(AttemptFailure failure);

/// The failure of an attempt whose client may not run the statement any more;
/// none without a refusal.
std::optional<AttemptFailure> FailureOf(
    const std::optional<AccessRefusal>& refusal);

/// Whether a statement may have run although its attempt has failed.
bool MayHaveRun(AttemptFailure failure);

/// Whether an endpoint has answered with success and its signature.
bool IsSigned(const EndpointAnswer& answer);

/// Outcome of an attempt.
struct AttemptResult {
  std::variant<EndpointAnswer, AttemptFailure> outcome;
  /// The channel of a transaction that is open or has failed at the endpoint,
  /// which the receiver must give back; null if there is no such transaction.
  std::shared_ptr<EndpointChannel> channel;
};

/// Runs a statement once at one endpoint: gets a channel, sets the session's
/// state on it, opens a transaction if requested, and sends the statement.
/// Inside a transaction, a statement that the endpoint refuses as busy is sent
/// again. Must be owned by a shared pointer.
class StatementAttempt : public std::enable_shared_from_this<StatementAttempt> {
 public:
  /// Events of an attempt.
  struct Observers {
    /// Asked right before each command that runs something of the client's.
    /// If there is a failure, the command is not sent.
    std::function<std::optional<AttemptFailure>()> barred = [] {
      return std::nullopt;
    };
    /// The statement itself has been sent.
    std::function<void()> sent = [] {};
    /// The attempt has ended. Called once, unless it is cancelled before.
    std::function<void(AttemptResult)> done;
  };

  StatementAttempt(connection::EventLoop* loop, const WireCodec* codec,
                   AttemptRequest request, Observers observers);
  StatementAttempt(const StatementAttempt&) = delete;
  StatementAttempt& operator=(const StatementAttempt&) = delete;

  /// Runs the statement on a channel of the pool. May call back before this
  /// returns.
  void Start(const std::shared_ptr<EndpointPool>& from_pool);

  /// Runs the statement in the transaction that is open on the channel.
  void Continue(std::shared_ptr<EndpointChannel> with_channel);

  /// Ends the attempt without calling back. Its channel is closed, which rolls
  /// back an open transaction.
  void Cancel();

  /// Ends the attempt without calling back. A single statement that was sent is
  /// still answered, so that its channel can be used again.
  void Abandon();

 private:
  void OnGrant(const ChannelGrant& grant);
  /// Ends the attempt if the client may not run its statement any more.
  bool EndIfBarred();
  void Prepare();
  void OnPrepared(const ChannelPreparation& preparation,
                  const ChannelResult& result);
  void Begin();
  void OnBegun(const ChannelResult& result);
  void SendStatement();
  void OnAnswer(const ChannelResult& result);
  void OnRefused(const EndpointAnswer& answer);
  /// Sends a refused statement of a transaction again after a pause. Returns
  /// false if it must not be repeated.
  bool TryRepeat(const EndpointAnswer& answer);
  void CancelChannelRequest();
  void ReleaseChannel();
  void CloseChannel();
  void Finish(std::variant<EndpointAnswer, AttemptFailure> outcome);

  connection::EventLoop* loop;
  const WireCodec* codec;
  AttemptRequest request;
  Observers observers;
  std::weak_ptr<EndpointPool> pool;
  std::optional<ChannelRequestId> pool_request;
  std::shared_ptr<EndpointChannel> channel;
  /// This attempt has opened a transaction.
  bool begun = false;
  bool statement_sent = false;
  int repetitions = 0;
  std::unique_ptr<connection::Timer> timer;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_STATEMENT_ATTEMPT_H_
