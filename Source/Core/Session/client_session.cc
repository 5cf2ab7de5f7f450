#include "Session/client_session.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

using common::LogLevel;
using common::Subsystem;

/// How long a session that opens before the first configuration has been
/// received waits for it; clients give up after 2,000 ms.
constexpr std::chrono::milliseconds kConfigurationWait(1500);
/// How long a statement may wait for an endpoint before it is refused, in
/// latency objectives of its route. Clients' deadlines are at least six
/// objectives away.
constexpr int kMaxWaitObjectives = 3;
/// The same for a statement that only lacks a free channel. The endpoints are
/// overloaded then, and longer queues would not get more statements answered.
constexpr int kMaxChannelWaitObjectives = 2;
/// A read is sent to a second member after the latency objective divided by
/// this, which leaves the second member enough time to answer within the
/// objective.
constexpr int kHedgeDivisor = 3;

/// Most bytes of a statement's identifier that a session keeps for its log
/// lines.
constexpr std::size_t kMaxLoggedIdBytes = 64;
/// Most bytes of a client's key that a session keeps.
constexpr std::size_t kMaxKeptKeyBytes = 4096;

}  // namespace

ClientSession::ClientSession(connection::EventLoop* loop,
                             const WireCodec* codec, SessionDelegate* delegate,
                             int socket)
    : loop(loop),
      codec(codec),
      delegate(delegate),
      stream(std::make_shared<MessageStream>(loop, socket)),
      accepted(common::SteadyNow()) {}

ClientSession::~ClientSession() { this->stream->Close(); }

void ClientSession::Start() {
  StreamEvents events;
  events.message = [this](std::string_view line) { this->OnMessage(line); };
  events.closed = [this] { this->End(); };
  events.oversized = [this] {
    const auto keep = this->shared_from_this();
    this->ReplyError(StatementError::kTooLarge, "message above 1 MiB");
    this->End();
  };
  this->stream->SetLargeMessages(this->delegate->LargeMessages());
  this->stream->SetMeter(this->delegate->Meter());
  this->stream->Start(std::move(events));
}

bool ClientSession::StatementInProgress() const {
  return this->run != nullptr || this->awaiting_admission;
}

bool ClientSession::IsIdle() const {
  return !this->StatementInProgress() &&
         this->state.Phase() == TransactionPhase::kIdle;
}

void ClientSession::ReleaseRoomIfDone() {
  if (!this->StatementInProgress()) this->stream->ReleaseRoom();
}

SessionTimes ClientSession::Times() const {
  SessionTimes times;
  if (!this->opened && this->open_timer == nullptr) {
    times.unopened_since = this->accepted;
  }
  times.incomplete_since = this->stream->IncompleteSince();
  times.unread_since = this->stream->UnreadSince();
  return times;
}

SessionUsage ClientSession::Usage() const {
  SessionUsage usage;
  usage.opened = this->opened;
  usage.idle = this->IsIdle();
  usage.workspace = this->Caller();
  usage.last_message = std::max(this->accepted, this->current_received);
  usage.buffered_bytes = this->stream->BufferedBytes() + this->state.Bytes();
  return usage;
}

void ClientSession::Abort(LimitCause cause) {
  common::Log(Subsystem::kRequest, LogLevel::kInfo, "session_closed",
              {{"limit", ToString(cause)},
               {"workspace", this->Caller()},
               {"request", this->current_request},
               {"buffered_bytes", this->Usage().buffered_bytes}});
  // Nothing that is queued is sent any more, not even by a session that has
  // ended and still sends its last bytes.
  this->stream->Close();
  if (this->ended) {
    this->delegate->OnSessionEnded(this);
  } else {
    this->End();
  }
}

void ClientSession::MeterState(std::size_t former_bytes) {
  BufferMeter& meter = *this->delegate->Meter();
  meter.bytes = meter.bytes - former_bytes + this->state.Bytes();
  this->delegate->CheckMeter();
}

void ClientSession::Send(std::string_view bytes) {
  this->stream->Send(bytes);
  this->delegate->CheckMeter();
}

void ClientSession::OnMessage(std::string_view line) {
  const auto keep = this->shared_from_this();
  this->HandleMessage(line);
  this->ReleaseRoomIfDone();
}

void ClientSession::HandleMessage(std::string_view line) {
  const ClientMessage message = this->codec->DecodeClient(line);
  if (const auto* open = std::get_if<OpenSession>(&message)) {
    if (this->opened) {
      this->ReplyError(StatementError::kMalformed, "session is open");
      this->End();
      return;
    }
    this->Open(*open);
    return;
  }
  if (std::holds_alternative<CloseSession>(message)) {
    this->End();
    return;
  }
  const auto* statement = std::get_if<Statement>(&message);
  if (statement == nullptr || !this->opened) {
    if (!this->opened) {
      this->Send(this->codec->EncodeError(StatementError::kMalformed,
                                          "expected a start"));
      this->End();
      return;
    }
    this->ReplyError(StatementError::kMalformed, "unknown statement");
    return;
  }
  this->current_request = statement->request_id.substr(0, kMaxLoggedIdBytes);
  this->current_received = common::SteadyNow();
  this->Handle(*statement);
}

void ClientSession::Open(const OpenSession& open) {
  // No declared key is longer, so the start of a longer one is as unknown as
  // all of it.
  this->access.SetOpening(
      {open.database, open.key.substr(0, kMaxKeptKeyBytes)});
  if (this->delegate->Configuration() != nullptr) {
    this->FinishOpen();
    return;
  }
  this->stream->SetPaused(true);
  this->open_timer = this->loop->After(kConfigurationWait, [this] {
    const auto keep = this->shared_from_this();
    this->RejectSession(StatementError::kBusy, "no configuration yet");
  });
}

void ClientSession::OnConfiguration() {
  if (this->ended) return;
  const auto keep = this->shared_from_this();
  if (this->opened) {
    this->EndRefusedTransaction();
  } else if (this->open_timer != nullptr) {
    this->open_timer.reset();
    this->FinishOpen();
  }
}

void ClientSession::FinishOpen() {
  const auto decision =
      this->access.Start(this->delegate->Configuration().get());
  if (const auto* refusal = std::get_if<AccessRefusal>(&decision)) {
    this->RejectSession(refusal->code, refusal->reason);
    return;
  }
  this->opened = true;
  this->Send(this->codec->EncodeReady(TransactionPhase::kIdle, std::nullopt));
  this->stream->SetPaused(false);
}

const DatabaseRoute* ClientSession::RouteInUse() const {
  const std::optional<OpenTransaction>& transaction = this->state.Transaction();
  return transaction.has_value()
             ? &transaction->access.route
             : this->access.Route(this->delegate->Configuration().get());
}

void ClientSession::Handle(const Statement& statement) {
  const bool ends = statement.kind == StatementKind::kCommit ||
                    statement.kind == StatementKind::kRollback;
  if (this->state.Phase() == TransactionPhase::kFailed && !ends) {
    this->ReplyError(StatementError::kMalformed, "transaction has failed");
    return;
  }
  if (statement.kind != StatementKind::kRollback) {
    if (const auto refusal = this->CheckTransaction()) {
      const bool commit = statement.kind == StatementKind::kCommit;
      this->LogRefusal(*refusal);
      this->FailTransaction(commit);
      // Only some codes promise that nothing of the transaction is kept.
      this->ReplyError(commit ? StatementError::kAborted : refusal->code,
                       refusal->reason);
      return;
    }
  }
  switch (statement.kind) {
    case StatementKind::kSetValue:
    case StatementKind::kPrepare:
    case StatementKind::kDeallocate:
      this->HandleSetting(statement);
      return;
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      this->HandleBegin(statement);
      return;
    case StatementKind::kCommit:
    case StatementKind::kRollback:
      this->HandleEnd(statement);
      return;
    case StatementKind::kRead:
    case StatementKind::kWrite:
    case StatementKind::kExecute:
      this->HandleData(statement);
      return;
  }
}

void ClientSession::HandleSetting(const Statement& statement) {
  if (this->state.Phase() == TransactionPhase::kIdle &&
      !this->StartAccess().has_value()) {
    return;
  }
  bool stored = true;
  const std::size_t former_bytes = this->state.Bytes();
  if (statement.kind == StatementKind::kSetValue) {
    stored = this->state.SetValue(statement.name, statement.argument);
  } else if (statement.kind == StatementKind::kPrepare) {
    stored = this->state.Prepare(statement.name, statement.prepared);
  } else if (!this->state.Deallocate(statement.name)) {
    this->ReplyError(StatementError::kNoSuchStatement, statement.name);
    return;
  }
  this->MeterState(former_bytes);
  if (!stored) {
    this->ReplyError(StatementError::kTooLarge, "too many or too large names");
    return;
  }
  this->ReplyDone();
}

void ClientSession::HandleBegin(const Statement& statement) {
  if (this->state.Phase() != TransactionPhase::kIdle) {
    this->ReplyError(StatementError::kMalformed, "transaction is open");
    return;
  }
  const bool read_only = statement.kind == StatementKind::kBeginReadOnly;
  this->Admit([this, read_only](const OperationAccess& given) {
    this->state.Begin(given, read_only, this->current_received);
    this->ReplyDone();
  });
}

void ClientSession::HandleEnd(const Statement& statement) {
  if (!this->state.Transaction().has_value()) {
    this->ReplyError(StatementError::kMalformed, "no transaction is open");
    return;
  }
  const bool commit = statement.kind == StatementKind::kCommit;
  if (commit && this->state.Phase() == TransactionPhase::kOpen) {
    this->Run(this->state.Transaction()->access, statement, nullptr,
              AccessKind::kRead);
    return;
  }
  const bool failed = this->state.Phase() == TransactionPhase::kFailed;
  this->RollBackTransaction();
  this->state.EndTransaction();
  if (commit && failed) {
    this->ReplyError(StatementError::kAborted, "transaction was rolled back");
    return;
  }
  this->ReplyDone();
}

void ClientSession::HandleData(const Statement& statement) {
  const PreparedShape* shape = nullptr;
  AccessKind kind = statement.kind == StatementKind::kWrite ? AccessKind::kWrite
                                                            : AccessKind::kRead;
  if (statement.kind == StatementKind::kExecute) {
    shape = this->state.Find(statement.name);
    if (shape == nullptr) {
      this->state.FailTransaction();
      this->ReplyError(StatementError::kNoSuchStatement, statement.name);
      return;
    }
    kind = shape->access;
  }
  if (this->state.Phase() != TransactionPhase::kIdle) {
    this->Run(this->state.Transaction()->access, statement, shape, kind);
    return;
  }
  std::optional<PreparedShape> shape_copy;
  if (shape != nullptr) shape_copy = *shape;
  this->Admit(
      [this, statement, shape_copy, kind](const OperationAccess& given) {
        this->Run(given, statement,
                  shape_copy.has_value() ? &*shape_copy : nullptr, kind);
      });
}

void ClientSession::Run(const OperationAccess& given,
                        const Statement& statement, const PreparedShape* shape,
                        AccessKind kind) {
  const DatabaseRoute& route = given.route;
  const std::shared_ptr<ServiceGroup> group =
      this->delegate->GroupOf(route.service);
  auto& transaction = this->state.Transaction();
  const bool commit = statement.kind == StatementKind::kCommit;
  if (group == nullptr) {
    this->FailTransaction(commit);
    this->ReplyError(StatementError::kBusy,
                     "no database of the service is known");
    return;
  }
  if (transaction.has_value() && transaction->started &&
      !IsUsable(this->pinned_channel)) {
    this->FailTransaction(commit);
    this->ReplyError(StatementError::kAborted,
                     "connection to the database ended");
    return;
  }
  RunRequest request;
  AttemptRequest& attempt = request.attempt;
  attempt.statement = statement;
  if (shape != nullptr) attempt.shape = *shape;
  attempt.writes = kind == AccessKind::kWrite;
  request.received = this->current_received;
  request.guarantee = route.guarantee;
  request.max_staleness = route.max_staleness;
  if (transaction.has_value()) {
    attempt.use = transaction->started ? TransactionUse::kContinues
                                       : TransactionUse::kOpens;
    attempt.read_only = transaction->read_only;
    request.needs_primary = !transaction->read_only;
    request.received = transaction->begun_at;
    attempt.writes = commit ? transaction->wrote : attempt.writes;
    request.channel = std::exchange(this->pinned_channel, std::monostate());
  } else {
    request.needs_primary = attempt.writes;
  }
  request.own_position = this->state.Position(route.service);
  attempt.values = this->state.Values();
  attempt.caller = CallerName(given.workspace);
  attempt.priority = route.priority;
  attempt.statement_timeout = route.statement_timeout;
  request.hedge_after = route.latency_objective / kHedgeDivisor;
  request.deadline =
      this->current_received + route.latency_objective * kMaxWaitObjectives;
  request.channel_deadline =
      this->current_received +
      route.latency_objective * kMaxChannelWaitObjectives;
  request.check_access = [this, given] {
    return this->access.Check(given, this->delegate->Configuration().get());
  };
  request.claim_access = [this, given]() -> std::optional<AccessClaim> {
    return this->access.Claim(given, *this->delegate->Configuration());
  };
  request.readmit =
      [delegate = this->delegate, workspace = given.workspace](
          const std::function<void(std::optional<common::Duration>)>& done) {
        delegate->Admit(workspace, [done](const AdmissionDecision& decision) {
          done(decision.retry_after);
        });
      };
  if (transaction.has_value()) transaction->started = true;
  const bool wrote = attempt.writes;
  this->stream->SetPaused(true);
  this->run = std::make_shared<StatementRun>(
      this->loop, this->codec, group, std::move(request),
      [this, route, wrote, commit](const RunResult& result) {
        this->OnResult(result, route, wrote, commit);
      });
  const auto started = this->run;
  started->Start();
}

void ClientSession::OnResult(const RunResult& result,
                             const DatabaseRoute& route, bool wrote,
                             bool committed) {
  const auto keep = this->shared_from_this();
  this->run.reset();
  this->pinned_channel = result.channel;
  const common::Duration age = common::SteadyNow() - this->current_received;
  auto& transaction = this->state.Transaction();
  std::string reply;
  std::optional<common::LogPosition> position;
  std::optional<StatementError> code;
  if (const auto* answer = std::get_if<EndpointAnswer>(&result.outcome)) {
    for (const std::string& row : answer->rows) {
      reply += this->codec->EncodeRow(row);
    }
    reply += this->codec->EncodeComplete(*answer->signature);
    position = answer->position;
    const bool commits = committed || !transaction.has_value();
    if (wrote && commits && position.has_value()) {
      this->state.OnCommitted(route.service, *position);
    }
    if (transaction.has_value()) {
      transaction->wrote = transaction->wrote || wrote;
      transaction->idle_since = common::SteadyNow();
    }
    if (committed) this->state.EndTransaction();
    this->EndRefusedTransaction();
  } else {
    const auto& failure = std::get<RunFailure>(result.outcome);
    code = failure.code;
    reply += this->codec->EncodeError(failure.code, failure.text);
    this->FailTransaction(committed);
  }
  reply += this->codec->EncodeReady(this->state.Phase(), position);
  this->delegate->CountAnswer(route, code, age);
  this->Send(reply);
  this->ReleaseRoomIfDone();
  this->stream->SetPaused(false);
  this->CloseIfStopping();
}

void ClientSession::CloseIfStopping() {
  // Closing together with an answer leaves the client no time to send another
  // statement that would be lost.
  if (this->delegate->ClosesSessions()) this->CloseIfIdle();
}

void ClientSession::ReplyDone() {
  this->Send(this->codec->EncodeComplete("") +
             this->codec->EncodeReady(this->state.Phase(), std::nullopt));
  this->CloseIfStopping();
}

void ClientSession::ReplyError(StatementError code, const std::string& text) {
  if (const DatabaseRoute* route = this->RouteInUse()) {
    this->delegate->CountAnswer(*route, code, common::Duration::zero());
  }
  this->Send(this->codec->EncodeError(code, text) +
             this->codec->EncodeReady(this->state.Phase(), std::nullopt));
  this->CloseIfStopping();
}

void ClientSession::RejectSession(StatementError code,
                                  const std::string& text) {
  common::Log(Subsystem::kRequest, LogLevel::kInfo, "session_refused",
              {{"code", ToString(code)}, {"reason", text}});
  this->Send(this->codec->EncodeError(code, text));
  this->End();
}

void ClientSession::FailTransaction(bool at_commit) {
  this->RollBackTransaction();
  // A commit ends the transaction whatever its outcome is.
  if (at_commit) {
    this->state.EndTransaction();
  } else {
    this->state.FailTransaction();
  }
}

void ClientSession::RollBackTransaction() { RollBack(&this->pinned_channel); }

bool ClientSession::CloseIfIdle() {
  if (!this->IsIdle()) return false;
  const auto keep = this->shared_from_this();
  this->End();
  return true;
}

void ClientSession::EndIdleTransaction(common::SteadyTime now,
                                       common::Duration limit) {
  auto& transaction = this->state.Transaction();
  if (!transaction.has_value() || this->run != nullptr) return;
  if (now - transaction->idle_since < limit) return;
  this->AbortTransaction("transaction_idle");
}

void ClientSession::AbortTransaction(const char* reason) {
  if (this->ended || this->run != nullptr) return;
  if (!this->state.Transaction().has_value()) return;
  if (this->state.Phase() == TransactionPhase::kFailed) return;
  common::Log(Subsystem::kRequest, LogLevel::kInfo, "transaction_ended",
              {{"request", this->current_request}, {"reason", reason}});
  this->RollBackTransaction();
  // Makes the next statement fail because the transaction's channel is gone.
  this->state.Transaction()->started = true;
}

void ClientSession::End() {
  if (this->ended) return;
  this->ended = true;
  this->delegate->Meter()->bytes -= this->state.Bytes();
  if (this->run != nullptr) {
    this->run->Cancel();
    this->run.reset();
  }
  this->RollBackTransaction();
  this->stream->ReleaseRoom();
  // The process must not exit before the last answer is sent.
  this->stream->CloseWhenSent([weak = this->weak_from_this()] {
    const auto session = weak.lock();
    if (session != nullptr) session->delegate->OnSessionEnded(session.get());
  });
}

}  // namespace camphorferry::session
