#ifndef CAMPHORFERRY_SESSION_CLIENT_SESSION_H_
#define CAMPHORFERRY_SESSION_CLIENT_SESSION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Session/client_limits.h"
#include "Session/directory.h"
#include "Session/message_stream.h"
#include "Session/operation_access.h"
#include "Session/service_group.h"
#include "Session/session_state.h"
#include "Session/statement_run.h"
#include "Session/wire_codec.h"
#include "Session/workspace_limiter.h"

namespace camphorferry::session {

class ClientSession;

/// What a session needs from its process.
class SessionDelegate {
 public:
  virtual ~SessionDelegate() = default;

  /// The configuration in force; null before the first one has been received.
  virtual std::shared_ptr<const DirectoryConfiguration> Configuration()
      const = 0;

  /// The database group of a service; null if no member of it is known.
  virtual std::shared_ptr<ServiceGroup> GroupOf(
      const common::ServiceId& service) = 0;

  /// Checks one operation of a workspace against its rate. Calls back once,
  /// possibly before this returns.
  virtual void Admit(const common::WorkspaceId& workspace,
                     std::function<void(AdmissionDecision)> done) = 0;

  /// Counts an answered statement; without a code it was successful.
  virtual void CountAnswer(const DatabaseRoute& route,
                           std::optional<StatementError> code,
                           common::Duration age) = 0;

  /// The meter of what all sessions keep.
  virtual std::shared_ptr<BufferMeter> Meter() = 0;

  /// Room for large messages of clients.
  virtual std::shared_ptr<LargeMessageQueue> LargeMessages() = 0;

  /// The meter may have risen above the limit.
  virtual void CheckMeter() = 0;

  /// Whether sessions have to be closed as soon as they are idle.
  virtual bool ClosesSessions() const = 0;

  /// The session has ended and its last bytes are sent. The session is
  /// destroyed after this call.
  virtual void OnSessionEnded(ClientSession* session) = 0;
};

/// One client connection. Reads statements one after another, answers those
/// that concern only the session itself and has the others run by a
/// StatementRun. Must be owned by a shared pointer.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(connection::EventLoop* loop, const WireCodec* codec,
                SessionDelegate* delegate, int socket);
  ~ClientSession();
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;

  /// Starts to read from the client.
  void Start();

  /// A configuration has come into force. Continues a session that waits for
  /// the first one, and ends a transaction that its client may not continue.
  void OnConfiguration();

  /// Closes the session if no statement is in progress and no transaction is
  /// open. Returns whether it was closed.
  bool CloseIfIdle();

  /// Ends a transaction that has been idle for the limit.
  void EndIdleTransaction(common::SteadyTime now, common::Duration limit);

  /// Rolls back an open transaction so that the session can be closed.
  void AbortTransaction(const char* reason);

  /// What the limits of clients apply to.
  SessionTimes Times() const;
  SessionUsage Usage() const;

  /// Closes the session at once, whatever is in progress, because it exceeds a
  /// limit.
  void Abort(LimitCause cause);

 private:
  void OnMessage(std::string_view line);
  void HandleMessage(std::string_view line);
  void Open(const OpenSession& open);
  void FinishOpen();
  void Handle(const Statement& statement);
  void HandleSetting(const Statement& statement);
  void HandleBegin(const Statement& statement);
  void HandleEnd(const Statement& statement);
  void HandleData(const Statement& statement);
  /// Runs a statement of an operation that was given this access.
  void Run(const OperationAccess& given, const Statement& statement,
           const PreparedShape* shape, AccessKind kind);
  void OnResult(const RunResult& result, const DatabaseRoute& route, bool wrote,
                bool ended);
  /// Continues an operation that was admitted.
  using Proceed = std::function<void(const OperationAccess& given)>;
  /// Checks route, key and rate at the start of an operation, and either
  /// proceeds or answers with an error.
  void Admit(Proceed proceed);
  /// Asks for the rate of a workspace.
  void AskRate(const OperationAccess& asked, Proceed proceed);
  void OnAdmission(const AdmissionDecision& decision,
                   const OperationAccess& asked, const Proceed& proceed);
  /// What the configuration in force gives to an operation that starts now;
  /// answers with an error if the operation may not start.
  std::optional<OperationAccess> StartAccess();
  /// Why the configuration in force does not let the open transaction continue;
  /// nothing if it does, or if none is open.
  std::optional<AccessRefusal> CheckTransaction() const;
  /// Rolls the open transaction back at once if its client may not continue it.
  void EndRefusedTransaction();
  void LogRefusal(const AccessRefusal& refusal) const;
  /// Who the client is: the caller of the open transaction, or else the one
  /// that the configuration in force names. Empty if it is anonymous.
  common::WorkspaceId Caller() const;
  /// The route of the open transaction, or else that of the session in the
  /// configuration in force; null if there is none.
  const DatabaseRoute* RouteInUse() const;

  /// Sends bytes to the client.
  void Send(std::string_view bytes);
  /// A statement waits for its admission or runs.
  bool StatementInProgress() const;
  /// No statement is in progress and no transaction is open.
  bool IsIdle() const;
  /// Releases the room of a large message unless its statement is in progress.
  void ReleaseRoomIfDone();
  /// The size of the session's state has changed.
  void MeterState(std::size_t former_bytes);
  void ReplyDone();
  void ReplyError(StatementError code, const std::string& text);
  void RejectSession(StatementError code, const std::string& text);
  void CloseIfStopping();
  void FailTransaction(bool at_commit);
  void RollBackTransaction();
  void End();

  connection::EventLoop* loop;
  const WireCodec* codec;
  SessionDelegate* delegate;
  std::shared_ptr<MessageStream> stream;
  std::unique_ptr<connection::Timer> open_timer;

  bool opened = false;
  bool ended = false;
  SessionAccess access;
  SessionState state;
  /// An operation waits for its admission by the rate limiter.
  bool awaiting_admission = false;
  std::shared_ptr<StatementRun> run;
  /// The channel of the open transaction.
  TransactionChannel pinned_channel;
  std::string current_request;
  common::SteadyTime current_received;
  common::SteadyTime accepted;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_CLIENT_SESSION_H_
