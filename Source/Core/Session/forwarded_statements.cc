#include "Session/forwarded_statements.h"

#include <iterator>
#include <utility>

namespace camphorferry::session {

namespace {

using common::LogLevel;
using common::Subsystem;

/// A transaction is kept for this much longer than its daemon keeps it, so that
/// the daemon's own limit ends it first.
constexpr std::chrono::milliseconds kIdleReserve(500);

}  // namespace

ForwardedStatements::ForwardedStatements(connection::EventLoop* loop,
                                         const WireCodec* codec,
                                         FindGroup find_group,
                                         FindConfiguration find_configuration)
    : loop(loop),
      codec(codec),
      find_group(std::move(find_group)),
      find_configuration(std::move(find_configuration)),
      next_number(
          static_cast<std::uint64_t>(common::WallNow().time_since_epoch() /
                                     std::chrono::microseconds(1))) {}

ForwardedStatements::~ForwardedStatements() {
  *this->alive = false;
  for (const auto& [number, attempt] : this->attempts) attempt->Cancel();
  for (auto& [number, transaction] : this->transactions) {
    Close(&transaction);
  }
}

void ForwardedStatements::Run(const ForwardedStatement& request,
                              ForwardedCallback done) {
  if (request.transaction != 0) {
    this->Continue(request, std::move(done));
  } else {
    this->StartNew(request, std::move(done));
  }
}

StatementAttempt::Observers ForwardedStatements::NewObservers(
    const ForwardedStatement& request) {
  StatementAttempt::Observers observers;
  observers.barred = [this, still_alive = this->alive,
                      expires_at = request.expires_at, claim = request.claim,
                      caller = request.attempt.caller,
                      requester = request.requester,
                      id = request.attempt.statement.request_id]()
      -> std::optional<AttemptFailure> {
    if (!*still_alive) return std::nullopt;
    std::optional<AttemptFailure> failure;
    if (expires_at.has_value() && common::SteadyNow() > *expires_at) {
      failure = AttemptFailure::kExpired;
    } else if (claim.has_value()) {
      failure = FailureOf(
          this->judge.Check(*claim, caller, this->find_configuration()));
    }
    if (failure.has_value()) {
      common::Log(Subsystem::kRequest, LogLevel::kInfo,
                  "forwarded_statement_refused",
                  {{"request", id},
                   {"requester", requester},
                   {"workspace", caller},
                   {"reason", ToString(*failure)}});
    }
    return failure;
  };
  return observers;
}

void ForwardedStatements::StartNew(const ForwardedStatement& request,
                                   ForwardedCallback done) {
  if (this->refuses_new) {
    done({AttemptFailure::kStopping, 0});
    return;
  }
  const auto group = this->find_group(request.service);
  const auto pool =
      group == nullptr ? nullptr : group->SharedPoolOf(request.endpoint);
  if (pool == nullptr) {
    done({AttemptFailure::kUnreachable, 0});
    return;
  }
  const std::uint64_t number = this->next_number++;
  StatementAttempt::Observers observers = this->NewObservers(request);
  observers.done = [this, still_alive = this->alive, number,
                    requester = request.requester,
                    done = std::move(done)](AttemptResult result) {
    if (!*still_alive) return;
    this->attempts.erase(number);
    ForwardedResult reply{std::move(result.outcome), 0};
    if (result.channel != nullptr) {
      Transaction& opened = this->transactions[number];
      opened.requester = requester;
      opened.channel = std::move(result.channel);
      opened.idle_since = common::SteadyNow();
      reply.transaction = number;
    }
    done(std::move(reply));
  };
  const auto attempt = std::make_shared<StatementAttempt>(
      this->loop, this->codec, request.attempt, std::move(observers));
  this->attempts[number] = attempt;
  attempt->Start(pool);
}

void ForwardedStatements::Continue(const ForwardedStatement& request,
                                   ForwardedCallback done) {
  const auto found = this->transactions.find(request.transaction);
  const bool known = found != this->transactions.end() &&
                     found->second.requester == request.requester &&
                     found->second.channel != nullptr;
  const bool usable = known && found->second.channel->Usable();
  if (known && !usable) this->End(found);
  if (!usable) {
    done({AttemptFailure::kNoTransaction, 0});
    return;
  }
  const std::uint64_t number = request.transaction;
  StatementAttempt::Observers observers = this->NewObservers(request);
  observers.done = [this, still_alive = this->alive,
                    number](AttemptResult result) {
    if (!*still_alive) return;
    ForwardedResult reply{std::move(result.outcome), 0};
    Transaction& open = this->transactions.at(number);
    const auto done = std::exchange(open.done, nullptr);
    if (result.channel == nullptr) {
      this->transactions.erase(number);
    } else {
      open.attempt.reset();
      open.channel = std::move(result.channel);
      open.idle_since = common::SteadyNow();
      reply.transaction = number;
    }
    done(std::move(reply));
  };
  Transaction& transaction = found->second;
  transaction.done = std::move(done);
  transaction.attempt = std::make_shared<StatementAttempt>(
      this->loop, this->codec, request.attempt, std::move(observers));
  const auto started = transaction.attempt;
  started->Continue(std::exchange(transaction.channel, nullptr));
}

void ForwardedStatements::Close(Transaction* ended) {
  if (ended->attempt != nullptr) ended->attempt->Cancel();
  if (ended->channel != nullptr) RollBackAndReturnToPool(ended->channel);
  if (ended->done) ended->done({AttemptFailure::kConnectionLost, 0});
}

ForwardedStatements::Transactions::iterator ForwardedStatements::End(
    Transactions::iterator transaction) {
  Transaction ended = std::move(transaction->second);
  const auto next = this->transactions.erase(transaction);
  Close(&ended);
  return next;
}

void ForwardedStatements::EndTransaction(const TransactionEnd& request) {
  const auto found = this->transactions.find(request.number);
  if (found == this->transactions.end() ||
      found->second.requester != request.requester) {
    return;
  }
  this->End(found);
}

void ForwardedStatements::EndIdle(common::SteadyTime now,
                                  common::Duration limit) {
  for (auto it = this->transactions.begin(); it != this->transactions.end();) {
    const bool expired = it->second.channel != nullptr &&
                         now - it->second.idle_since >= limit + kIdleReserve;
    if (!expired) {
      ++it;
      continue;
    }
    common::Log(Subsystem::kRequest, LogLevel::kInfo,
                "forwarded_transaction_ended",
                {{"requester", it->second.requester},
                 {"endpoint", it->second.channel->Endpoint()},
                 {"reason", "idle"}});
    it = this->End(it);
  }
}

void ForwardedStatements::EndTransactions() {
  for (auto it = this->transactions.begin(); it != this->transactions.end();) {
    it = it->second.channel == nullptr ? std::next(it) : this->End(it);
  }
}

bool ForwardedStatements::Idle() const {
  return this->attempts.empty() && this->transactions.empty();
}

}  // namespace camphorferry::session
