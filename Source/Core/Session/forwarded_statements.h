#ifndef CAMPHORFERRY_SESSION_FORWARDED_STATEMENTS_H_
#define CAMPHORFERRY_SESSION_FORWARDED_STATEMENTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "Session/fleet_transport.h"
#include "Session/operation_access.h"
#include "Session/service_group.h"
#include "Session/statement_attempt.h"

namespace camphorferry::session {

/// Runs statements of other daemons on the connections that this daemon owns,
/// and keeps their transactions open between statements.
class ForwardedStatements {
 public:
  using FindGroup = std::function<std::shared_ptr<ServiceGroup>(
      const common::ServiceId& service)>;
  /// The configuration in force; null if there is none.
  using FindConfiguration =
      std::function<std::shared_ptr<const DirectoryConfiguration>()>;

  ForwardedStatements(connection::EventLoop* loop, const WireCodec* codec,
                      FindGroup find_group,
                      FindConfiguration find_configuration);
  ~ForwardedStatements();
  ForwardedStatements(const ForwardedStatements&) = delete;
  ForwardedStatements& operator=(const ForwardedStatements&) = delete;

  /// Runs a statement. Calls back once, unless this object is destroyed before
  /// the statement of a new transaction, or one without, has ended.
  void Run(const ForwardedStatement& request, ForwardedCallback done);

  /// Rolls back a transaction, also one whose statement is in progress. Unknown
  /// transactions are ignored.
  void EndTransaction(const TransactionEnd& request);

  /// Rolls back transactions that have been idle for the limit. Their daemons
  /// end them at the same limit, unless they have died.
  void EndIdle(common::SteadyTime now, common::Duration limit);

  /// Refuses statements that are not part of an open transaction.
  void RefuseNew() { this->refuses_new = true; }

  /// Rolls back all transactions between statements.
  void EndTransactions();

  /// Whether no statement is in progress and no transaction is open.
  bool Idle() const;

 private:
  struct Transaction {
    common::HostId requester;
    /// Null while a statement is in progress.
    std::shared_ptr<EndpointChannel> channel;
    std::shared_ptr<StatementAttempt> attempt;
    /// Receives the result of the statement in progress.
    ForwardedCallback done;
    common::SteadyTime idle_since;
  };

  using Transactions = std::map<std::uint64_t, Transaction>;

  void StartNew(const ForwardedStatement& request, ForwardedCallback done);
  void Continue(const ForwardedStatement& request, ForwardedCallback done);
  /// Observers that have the statement judged right before it is sent.
  StatementAttempt::Observers NewObservers(const ForwardedStatement& request);
  /// Rolls the transaction back and answers its statement in progress.
  static void Close(Transaction* ended);
  /// Forgets a transaction and closes it. Returns the next one.
  Transactions::iterator End(Transactions::iterator transaction);

  connection::EventLoop* loop;
  const WireCodec* codec;
  FindGroup find_group;
  FindConfiguration find_configuration;
  ClaimJudge judge;
  bool refuses_new = false;
  /// Attempts that are not part of a known transaction, by number.
  std::map<std::uint64_t, std::shared_ptr<StatementAttempt>> attempts;
  Transactions transactions;
  /// Differs between processes of one host, so that a daemon can't continue a
  /// transaction of an earlier process.
  std::uint64_t next_number;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_FORWARDED_STATEMENTS_H_
