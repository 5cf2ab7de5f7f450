#include "proxy_fixture.h"

namespace camphorferry::platform {
namespace {

using session::AttemptFailure;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A proxy whose databases stand in another failure domain and accept fewer
/// connections than there are daemons, and the daemon that owns them.
class ForwardingTest : public ProxyTest {
 protected:
  static constexpr std::uint32_t kConnections = 4;

  ForwardingTest() {
    this->PublishConfiguration(2, true, {0, 0}, kConnections);
    this->PublishMembers("far");
    this->report.host.domain = common::FailureDomainId("far");
    session::FleetHandlers handlers;
    handlers.admit = [](const session::AdmissionRequest&) {
      return session::AdmissionReply();
    };
    handlers.prove_leadership = [this](const common::ServiceId&,
                                       const session::ProofCallback& done) {
      done(this->primary_database.position);
    };
    handlers.run_statement = [this](const session::ForwardedStatement& request,
                                    const session::ForwardedCallback& done) {
      this->forwarded.push_back(request);
      this->owner_behavior(request, done);
    };
    handlers.end_transaction = [this](const session::TransactionEnd& request) {
      this->ended.push_back(request.number);
    };
    this->owner = this->StartPeer(&this->report, std::move(handlers));
    this->RunFor(milliseconds(100));
  }

  /// Answers each statement as an endpoint would.
  static session::ForwardedResult Answer(std::uint64_t transaction = 0) {
    session::EndpointAnswer answer;
    answer.rows = {"forwarded"};
    answer.signature = "sig.owner";
    answer.phase = transaction == 0 ? session::TransactionPhase::kIdle
                                    : session::TransactionPhase::kOpen;
    answer.position = common::LogPosition{1, 1};
    return {answer, transaction};
  }

  session::FleetReport report;
  std::vector<session::ForwardedStatement> forwarded;
  std::vector<std::uint64_t> ended;
  std::function<void(const session::ForwardedStatement&,
                     const session::ForwardedCallback&)>
      owner_behavior = [](const auto&, const auto& done) { done(Answer()); };
  std::unique_ptr<session::FleetTransport> owner;
};

// Guards against a new connection for each statement where the endpoints accept
// fewer connections than there are daemons.
TEST_F(ForwardingTest, Statement_OwnerResponds_OpensNoConnection) {
  const auto client = this->Connect("latest");
  EXPECT_TRUE(HasLine(client->Ask("QUERY 1 READ item"), "ROW forwarded"));
  EXPECT_TRUE(HasLine(client->Ask("QUERY 2 WRITE item x"), "COMPLETE sig."));
  ASSERT_EQ(this->forwarded.size(), 2U);
  EXPECT_EQ(this->forwarded[0].attempt.caller, "tenant");
  EXPECT_EQ(this->forwarded[1].attempt.statement.text, "WRITE item x");
  EXPECT_EQ(this->forwarded[1].endpoint.Value(), "p");
  EXPECT_TRUE(this->AllExecuted().empty());
}

// Guards against a prepared statement whose shape or values don't reach the
// endpoint with it.
TEST_F(ForwardingTest, PreparedStatement_OwnerResponds_CarriesSessionState) {
  const auto client = this->Connect("latest");
  client->Ask("QUERY 1 SET mode fast");
  client->Ask("QUERY 2 PREPARE mine WRITE q2c");
  EXPECT_TRUE(
      HasLine(client->Ask("QUERY 3 EXECUTE mine item data"), "COMPLETE sig."));
  ASSERT_EQ(this->forwarded.size(), 1U);
  const session::AttemptRequest& attempt = this->forwarded[0].attempt;
  EXPECT_EQ(attempt.shape->shape, "q2c");
  EXPECT_EQ(attempt.statement.argument, "item data");
  EXPECT_EQ(attempt.values.at("mode"), "fast");
}

// Guards against a write that may have run and is reported as not run, or is
// sent again, because its connection owner is silent.
TEST_F(ForwardingTest, Write_OwnerSilent_IsUnknown) {
  this->owner_behavior = [](const auto&, const auto&) {};
  const auto client = this->Connect("latest");
  EXPECT_TRUE(HasLine(client->Ask("QUERY 1 WRITE item x"), "ERROR UNKNOWN"));
  EXPECT_EQ(this->forwarded.size(), 1U);
  EXPECT_TRUE(this->AllExecuted().empty());
}

// Guards against reads that fail with their connection owner.
TEST_F(ForwardingTest, Read_OwnerSilent_RunsOnAnOwnConnection) {
  this->owner_behavior = [](const auto&, const auto&) {};
  const auto client = this->Connect("latest");
  EXPECT_TRUE(HasLine(client->Ask("QUERY 1 READ item"), "ROW data"));
}

// Guards against statements that are lost while a daemon shuts down.
TEST_F(ForwardingTest, Write_OwnerStopping_RunsOnAnOwnConnection) {
  this->owner_behavior = [this](const auto&, const auto& done) {
    this->report.stopping = true;
    done({AttemptFailure::kStopping, 0});
  };
  const auto client = this->Connect("latest");
  EXPECT_TRUE(HasLine(client->Ask("QUERY 1 WRITE item x"), "COMPLETE sig.p"));
  EXPECT_TRUE(HasLine(client->Ask("QUERY 2 WRITE item y"), "COMPLETE sig.p"));
  EXPECT_EQ(this->forwarded.size(), 1U);
}

// Guards against an unknown outcome for a write that can't have been sent.
TEST_F(ForwardingTest, Write_OwnerUnreachable_RunsOnAnOwnConnection) {
  // Nothing listens there. A statement that is sent on a connection of before
  // may have arrived.
  this->report.host.peer_address = "127.0.0.1:1";
  bool known = false;
  this->owner->Exchange(this->OwnAddress(), this->report, seconds(5),
                        [&](const auto&) { known = true; });
  while (!known) this->RunFor(milliseconds(5));
  const auto client = this->Connect("latest");
  EXPECT_TRUE(HasLine(client->Ask("QUERY 1 WRITE item x"), "COMPLETE sig.p"));
}

// Guards against a transaction whose statements reach different connections.
TEST_F(ForwardingTest, Transaction_SeveralStatements_ContinuesAtItsOwner) {
  this->owner_behavior = [](const auto& request, const auto& done) {
    const bool commits =
        request.attempt.statement.kind == session::StatementKind::kCommit;
    done(Answer(commits ? 0 : 77));
  };
  const auto client = this->Connect("own");
  client->Ask("QUERY 1 BEGIN");
  EXPECT_TRUE(HasLine(client->Ask("QUERY 2 READ x"), "READY T"));
  EXPECT_TRUE(HasLine(client->Ask("QUERY 3 WRITE x y"), "READY T"));
  EXPECT_TRUE(HasLine(client->Ask("QUERY 4 COMMIT"), "READY I"));
  ASSERT_EQ(this->forwarded.size(), 3U);
  EXPECT_EQ(this->forwarded[0].attempt.use, session::TransactionUse::kOpens);
  EXPECT_EQ(this->forwarded[1].transaction, 77U);
  EXPECT_EQ(this->forwarded[2].transaction, 77U);
  EXPECT_TRUE(this->ended.empty());
}

// Guards against transactions that keep a connection after their client has
// left.
TEST_F(ForwardingTest, Transaction_ClientLeaves_IsRolledBackAtItsOwner) {
  this->owner_behavior = [](const auto&, const auto& done) {
    done(Answer(77));
  };
  const auto client = this->Connect("own");
  client->Ask("QUERY 1 BEGIN");
  client->Ask("QUERY 2 READ x");
  client->Close();
  this->RunFor(milliseconds(200));
  EXPECT_EQ(this->ended, (std::vector<std::uint64_t>{77}));
}

// Guards against a transaction that stays open at another daemon after the key
// of its client has been withdrawn, and against its commit.
TEST_F(ForwardingTest, Transaction_KeyWithdrawn_IsRolledBackAtItsOwner) {
  this->owner_behavior = [](const auto&, const auto& done) {
    done(Answer(77));
  };
  const auto client = this->Connect("own");
  client->Ask("QUERY 1 BEGIN");
  client->Ask("QUERY 2 WRITE x y");
  this->PublishConfiguration(3, false, {0, 0}, kConnections);
  this->RunFor(milliseconds(100));
  EXPECT_EQ(this->ended, (std::vector<std::uint64_t>{77}));
  EXPECT_TRUE(HasLine(client->Ask("QUERY 3 COMMIT"), "ERROR ABORTED"));
  EXPECT_EQ(this->forwarded.size(), 1U);
}

// Guards against a client that is refused with an error that leaves open
// whether its commit is kept, after the owner has refused it for its key.
TEST_F(ForwardingTest, Commit_OwnerKnowsKeyWithdrawn_IsAborted) {
  this->owner_behavior = [](const auto& request, const auto& done) {
    if (request.transaction == 0) {
      done(Answer(77));
    } else {
      done({AttemptFailure::kUnauthorized, 77});
    }
  };
  const auto client = this->Connect("own");
  client->Ask("QUERY 1 BEGIN");
  client->Ask("QUERY 2 WRITE x y");
  EXPECT_TRUE(HasLine(client->Ask("QUERY 3 COMMIT"), "ERROR ABORTED"));
  this->RunFor(milliseconds(100));
  EXPECT_EQ(this->ended, (std::vector<std::uint64_t>{77}));
}

// Guards against a statement that is lost, or reported as possibly kept, though
// its owner has refused it as too late.
TEST_F(ForwardingTest, Write_ExpiredAtOwner_RunsOnAnOwnConnection) {
  this->owner_behavior = [](const auto&, const auto& done) {
    done({AttemptFailure::kExpired, 0});
  };
  const auto client = this->Connect("latest");
  EXPECT_TRUE(HasLine(client->Ask("QUERY 1 WRITE item x"), "COMPLETE sig.p"));
}

// Guards against a connection owner that can't judge the clients of others.
TEST_F(ForwardingTest, Statement_OwnerResponds_StatesItsClient) {
  const auto client = this->Connect("latest");
  client->Ask("QUERY 1 READ item");
  ASSERT_EQ(this->forwarded.size(), 1U);
  const auto& claim = this->forwarded[0].claim;
  ASSERT_TRUE(claim.has_value());
  EXPECT_EQ(claim->version, 2U);
  EXPECT_EQ(claim->key_digest, common::Sha256Hex("key").substr(0, 16));
  EXPECT_FALSE(claim->open);
}

// Guards against a commit that is reported as kept, or as unknown, although its
// owner no longer had the transaction.
TEST_F(ForwardingTest, Commit_TransactionGoneAtOwner_IsAborted) {
  this->owner_behavior = [](const auto& request, const auto& done) {
    if (request.transaction == 0) {
      done(Answer(77));
    } else {
      done({AttemptFailure::kNoTransaction, 0});
    }
  };
  const auto client = this->Connect("own");
  client->Ask("QUERY 1 BEGIN");
  client->Ask("QUERY 2 WRITE x y");
  EXPECT_TRUE(HasLine(client->Ask("QUERY 3 COMMIT"), "ERROR ABORTED"));
}

/// A proxy that owns the connections to its databases.
class ConnectionOwnerTest : public ProxyTest {
 protected:
  ConnectionOwnerTest() {
    this->peer = this->StartPeer(&this->report, session::FleetHandlers());
    this->RunFor(milliseconds(100));
  }

  session::ForwardedStatement Request(const std::string& id,
                                      const std::string& text) const {
    session::ForwardedStatement request;
    request.requester = common::HostId("peer");
    request.service = common::ServiceId("svc");
    request.endpoint = common::EndpointId("p");
    request.attempt.caller = "tenant";
    request.attempt.statement.request_id = id;
    request.attempt.statement.text = text;
    request.attempt.statement.kind = text == "COMMIT"
                                         ? session::StatementKind::kCommit
                                         : session::StatementKind::kRead;
    request.attempt.writes = text.starts_with("WRITE");
    return request;
  }

  session::ForwardedResult Run(const session::ForwardedStatement& request) {
    session::ForwardedResult result;
    this->peer->RunStatement(this->OwnAddress(), request, seconds(5),
                             [&](const session::ForwardingResult& reply) {
                               result =
                                   std::get<session::ForwardedResult>(reply);
                               this->loop.Stop();
                             });
    this->loop.Run();
    return result;
  }

  /// What a daemon states that has judged a client under a version.
  static session::AccessClaim ClaimOf(const std::string& key,
                                      std::uint64_t version) {
    session::SessionAccess access;
    access.SetOpening({"latest", key});
    session::DirectoryConfiguration judged;
    judged.version = version;
    return access.Claim({}, judged);
  }

  session::FleetReport report;
  std::unique_ptr<session::FleetTransport> peer;
};

TEST_F(ConnectionOwnerTest, Statements_SameWorkspace_ShareOneConnection) {
  for (const char* id : {"1", "2", "3"}) {
    const auto result = this->Run(this->Request(id, "READ item"));
    const auto& answer = std::get<session::EndpointAnswer>(result.outcome);
    EXPECT_EQ(answer.rows, (std::vector<std::string>{"data"}));
  }
  ASSERT_EQ(this->primary_database.executed.size(), 3U);
  EXPECT_EQ(this->primary_database.executed[0].connection,
            this->primary_database.executed[2].connection);
}

// Guards against a statement of another transaction, or of another daemon, on
// the connection of an open transaction.
TEST_F(ConnectionOwnerTest, OpenTransaction_OtherStatements_StayApart) {
  session::ForwardedStatement first = this->Request("1", "WRITE x y");
  first.attempt.use = session::TransactionUse::kOpens;
  const std::uint64_t transaction = this->Run(first).transaction;
  ASSERT_NE(transaction, 0U);
  this->Run(this->Request("2", "READ x"));
  session::ForwardedStatement foreign = this->Request("3", "READ x");
  foreign.attempt.use = session::TransactionUse::kContinues;
  foreign.transaction = transaction;
  foreign.requester = common::HostId("another");
  EXPECT_EQ(std::get<AttemptFailure>(this->Run(foreign).outcome),
            AttemptFailure::kNoTransaction);
  session::ForwardedStatement last = this->Request("4", "COMMIT");
  last.attempt.use = session::TransactionUse::kContinues;
  last.attempt.writes = true;
  last.transaction = transaction;
  EXPECT_EQ(this->Run(last).transaction, 0U);
  const auto& executed = this->primary_database.executed;
  ASSERT_EQ(executed.size(), 3U);
  EXPECT_NE(executed[1].connection, executed[0].connection);
  EXPECT_EQ(executed[2].connection, executed[0].connection);
  EXPECT_EQ(this->primary_database.log.size(), 1U);
}

// Guards against a statement that its connection owner runs with a key that it
// knows to be withdrawn, because the client's daemon has not learned of it.
TEST_F(ConnectionOwnerTest, Statement_KeyWithdrawnInLaterVersion_IsRefused) {
  session::ForwardedStatement request = this->Request("1", "WRITE x y");
  request.claim = this->ClaimOf("key", 1);
  this->PublishConfiguration(2, false);
  EXPECT_EQ(std::get<AttemptFailure>(this->Run(request).outcome),
            AttemptFailure::kUnauthorized);
  EXPECT_TRUE(this->AllExecuted().empty());
}

// Guards against the same within a transaction, of which nothing may be kept.
TEST_F(ConnectionOwnerTest, Commit_KeyWithdrawnInLaterVersion_IsRefused) {
  session::ForwardedStatement first = this->Request("1", "WRITE x y");
  first.claim = this->ClaimOf("key", 1);
  first.attempt.use = session::TransactionUse::kOpens;
  const std::uint64_t transaction = this->Run(first).transaction;
  this->PublishConfiguration(2, false);
  session::ForwardedStatement last = this->Request("2", "COMMIT");
  last.claim = first.claim;
  last.attempt.use = session::TransactionUse::kContinues;
  last.attempt.writes = true;
  last.transaction = transaction;
  EXPECT_EQ(std::get<AttemptFailure>(this->Run(last).outcome),
            AttemptFailure::kUnauthorized);
  EXPECT_TRUE(this->primary_database.log.empty());
}

// Guards against statements that are refused because the connection owner has
// not learned of their key yet.
TEST_F(ConnectionOwnerTest, Statement_KeyOfLaterVersionThanOwn_Runs) {
  session::ForwardedStatement request = this->Request("1", "READ x");
  request.claim = this->ClaimOf("new key", 2);
  EXPECT_TRUE(std::holds_alternative<session::EndpointAnswer>(
      this->Run(request).outcome));
}

// Guards against a statement that runs after its client was told that it has
// not, because a link has held it back.
TEST_F(ConnectionOwnerTest, Statement_RequesterHasGivenUp_IsRefused) {
  session::ForwardedStatements statements(
      &this->loop, &this->format,
      [this](const auto& service) { return this->proxy->GroupOf(service); },
      [this] { return this->proxy->Configuration(); });
  std::vector<AttemptFailure> failures;
  const auto run = [&](common::Duration until_expiry) {
    session::ForwardedStatement request = this->Request("1", "WRITE x y");
    request.expires_at = common::SteadyNow() + until_expiry;
    statements.Run(request, [&](const session::ForwardedResult& result) {
      const auto* failure = std::get_if<AttemptFailure>(&result.outcome);
      if (failure != nullptr) failures.push_back(*failure);
    });
    this->RunFor(milliseconds(100));
  };
  run(milliseconds(-1));
  EXPECT_EQ(failures, (std::vector<AttemptFailure>{AttemptFailure::kExpired}));
  EXPECT_TRUE(this->AllExecuted().empty());
  run(seconds(1));
  EXPECT_EQ(failures.size(), 1U);
  EXPECT_EQ(this->AllExecuted().size(), 1U);
}

// Guards against transactions that keep a connection after the daemon of their
// client has died.
TEST_F(ConnectionOwnerTest, Transaction_RequesterSilent_IsRolledBackWhenIdle) {
  session::ForwardedStatement first = this->Request("1", "WRITE x y");
  first.attempt.use = session::TransactionUse::kOpens;
  const std::uint64_t transaction = this->Run(first).transaction;
  this->RunFor(milliseconds(1300));
  session::ForwardedStatement last = this->Request("2", "COMMIT");
  last.attempt.use = session::TransactionUse::kContinues;
  last.transaction = transaction;
  EXPECT_EQ(std::get<AttemptFailure>(this->Run(last).outcome),
            AttemptFailure::kNoTransaction);
  EXPECT_TRUE(this->primary_database.log.empty());
}

// Guards against calls that are never answered, and keep their memory, because
// their transaction was ended meanwhile.
TEST_F(ConnectionOwnerTest, StatementInProgress_TransactionEnded_IsAnswered) {
  session::ForwardedStatement first = this->Request("1", "WRITE x y");
  first.attempt.use = session::TransactionUse::kOpens;
  const std::uint64_t transaction = this->Run(first).transaction;
  this->primary_database.command_behavior = [](const std::string& text) {
    return text == "READ x" ? CommandBehavior::kRunAndHang
                            : CommandBehavior::kRun;
  };
  session::ForwardedStatement second = this->Request("2", "READ x");
  second.attempt.use = session::TransactionUse::kContinues;
  second.attempt.statement_timeout = seconds(20);
  second.transaction = transaction;
  const auto timer = this->loop.After(milliseconds(100), [&] {
    this->peer->EndTransaction(
        this->OwnAddress(), {common::HostId("peer"), transaction}, seconds(1));
  });
  EXPECT_EQ(std::get<AttemptFailure>(this->Run(second).outcome),
            AttemptFailure::kConnectionLost);
}

// Guards against a daemon that takes statements of others while it shuts down.
TEST_F(ConnectionOwnerTest, NewStatement_StopRequested_IsRefused) {
  this->proxy->BeginStop();
  EXPECT_EQ(std::get<AttemptFailure>(
                this->Run(this->Request("1", "READ item")).outcome),
            AttemptFailure::kStopping);
}

}  // namespace
}  // namespace camphorferry::platform
