#include "proxy_fixture.h"

namespace camphorferry::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A proxy with clients whose keys the operator changes.
class SessionKeyTest : public ProxyTest {
 protected:
  SessionKeyTest() {
    this->configuration.workspaces[this->other] = {100000, 100000};
    this->configuration.routes["open"] =
        this->configuration.routes.at("latest");
    this->configuration.routes.at("open").open = true;
    this->Publish();
  }

  void Publish() {
    ++this->configuration.version;
    this->PublishConfiguration(this->configuration);
  }

  /// Lets callbacks publish the next version, which can't run the loop.
  void PrepareChange() {
    this->AwaitWatch(session::DirectoryKind::kConfiguration);
  }

  void WithdrawKey() {
    this->configuration.workspace_of_key.clear();
    this->Publish();
  }

  void GiveKeyTo(const common::WorkspaceId& workspace) {
    this->configuration.workspace_of_key["key"] = workspace;
    this->Publish();
  }

  std::unique_ptr<TestClient> ConnectAndWrite() {
    auto client = this->Connect("latest");
    client->Ask("QUERY 1 BEGIN");
    EXPECT_TRUE(HasLine(client->Ask("QUERY 2 WRITE item x"), "READY T"));
    return client;
  }

  void WatchRollback() {
    this->primary_database.command_behavior = [this](const std::string& text) {
      this->rolled_back = this->rolled_back || text == "ROLLBACK";
      return CommandBehavior::kRun;
    };
  }

  /// Checks that a session continues and that no write has been committed.
  void ExpectUsable(TestClient* client) {
    client->Ask("QUERY 91 ROLLBACK");
    EXPECT_TRUE(this->primary_database.log.empty());
    EXPECT_TRUE(HasLine(client->Ask("QUERY 92 BEGIN"), "READY T"));
    EXPECT_TRUE(HasLine(client->Ask("QUERY 93 WRITE item z"), "COMPLETE sig."));
    EXPECT_TRUE(HasLine(client->Ask("QUERY 94 COMMIT"), "COMPLETE sig."));
    EXPECT_EQ(this->primary_database.log.size(), 1U);
  }

  const common::WorkspaceId tenant{"tenant"};
  const common::WorkspaceId other{"other"};
  session::DirectoryConfiguration configuration = *MakeConfiguration(1, true);
  /// The primary was told to roll back since WatchRollback.
  bool rolled_back = false;
};

// Guards against a key that stays in use in an open transaction after it has
// been withdrawn.
TEST_F(SessionKeyTest, Write_KeyWithdrawnInTransaction_IsRefused) {
  const auto client = this->ConnectAndWrite();
  this->WithdrawKey();
  EXPECT_TRUE(HasLine(client->Ask("QUERY 3 WRITE item y"), "ERROR NOAUTH"));
  EXPECT_TRUE(HasLine(client->Ask("QUERY 4 COMMIT"), "ERROR ABORTED"));
  EXPECT_TRUE(HasLine(client->Ask("QUERY 5 BEGIN"), "ERROR NOAUTH"));
  EXPECT_TRUE(this->primary_database.log.empty());
  EXPECT_EQ(this->ExecutedIds().count("3"), 0U);
}

// Guards against the same in a transaction that only reads, at a replica.
TEST_F(SessionKeyTest, Read_KeyWithdrawnInReadOnlyTransaction_IsRefused) {
  const auto client = this->Connect("bounded");
  client->Ask("QUERY 1 BEGIN READ");
  EXPECT_TRUE(HasLine(client->Ask("QUERY 2 READ item"), "READY T"));
  this->WithdrawKey();
  EXPECT_TRUE(HasLine(client->Ask("QUERY 3 READ item"), "ERROR NOAUTH"));
  EXPECT_EQ(this->ExecutedIds().count("3"), 0U);
}

// Guards against a commit with a key that has been withdrawn, and against an
// answer that leaves open whether something is kept.
TEST_F(SessionKeyTest, Commit_KeyWithdrawnInTransaction_IsAborted) {
  const auto client = this->ConnectAndWrite();
  this->WithdrawKey();
  EXPECT_TRUE(HasLine(client->Ask("QUERY 3 COMMIT"), "ERROR ABORTED"));
  EXPECT_TRUE(this->primary_database.log.empty());
  this->GiveKeyTo(this->tenant);
  this->ExpectUsable(client.get());
}

// Guards against locks that a refused transaction keeps at the database until
// its client sends another statement.
TEST_F(SessionKeyTest, Transaction_KeyWithdrawn_EndsAtDatabaseAtOnce) {
  const auto client = this->ConnectAndWrite();
  this->WatchRollback();
  this->WithdrawKey();
  this->RunFor(milliseconds(100));
  EXPECT_TRUE(this->rolled_back);
}

// Guards against the same if a statement is running when the key is withdrawn.
TEST_F(SessionKeyTest, Transaction_KeyWithdrawnInStatement_EndsAfterIt) {
  const auto client = this->ConnectAndWrite();
  this->WatchRollback();
  this->PrepareChange();
  this->primary_database.on_executed = [this](const StatementRecord& record) {
    if (record.id == "3") this->loop.Post([this] { this->WithdrawKey(); });
  };
  client->Ask("QUERY 3 WRITE item y");
  this->primary_database.on_executed = [](const StatementRecord&) {};
  this->RunFor(milliseconds(100));
  EXPECT_TRUE(this->rolled_back);
  EXPECT_TRUE(HasLine(client->Ask("QUERY 4 COMMIT"), "ERROR ABORTED"));
  EXPECT_TRUE(this->primary_database.log.empty());
}

// Guards against a transaction that continues for the former caller after its
// key has moved to another workspace.
TEST_F(SessionKeyTest, Write_KeyMovedInTransaction_IsAborted) {
  const auto client = this->ConnectAndWrite();
  this->GiveKeyTo(this->other);
  EXPECT_TRUE(HasLine(client->Ask("QUERY 3 WRITE item y"), "ERROR ABORTED"));
  this->ExpectUsable(client.get());
  EXPECT_EQ(this->AllExecuted().back().caller, "other");
}

// Guards against a transaction that has been ended at the database, and
// continues or commits because its key is given back.
TEST_F(SessionKeyTest, Commit_KeyWithdrawnAndGivenBack_IsAborted) {
  const auto client = this->ConnectAndWrite();
  this->WithdrawKey();
  this->GiveKeyTo(this->tenant);
  EXPECT_TRUE(HasLine(client->Ask("QUERY 3 COMMIT"), "ERROR ABORTED"));
  this->ExpectUsable(client.get());
}

// Guards against a transaction whose key is withdrawn before its first
// statement.
TEST_F(SessionKeyTest, FirstStatement_KeyWithdrawnAfterBegin_IsRefused) {
  const auto client = this->Connect("latest");
  client->Ask("QUERY 1 BEGIN");
  this->WithdrawKey();
  EXPECT_TRUE(HasLine(client->Ask("QUERY 2 WRITE item x"), "ERROR NOAUTH"));
  this->GiveKeyTo(this->tenant);
  this->ExpectUsable(client.get());
}

// Guards against a session that is served, though only from its own state,
// after its key has been withdrawn.
TEST_F(SessionKeyTest, Setting_KeyWithdrawn_IsRefused) {
  const auto client = this->Connect("latest");
  client->Ask("QUERY 1 PREPARE mine READ q1c");
  this->WithdrawKey();
  for (const std::string text :
       {"SET mode fast", "PREPARE other READ q1c", "DEALLOC mine"}) {
    EXPECT_TRUE(HasLine(client->Ask("QUERY 2 " + text), "ERROR NOAUTH"));
  }
  this->GiveKeyTo(this->tenant);
  EXPECT_TRUE(HasLine(client->Ask("QUERY 3 EXECUTE mine x"), "COMPLETE sig."));
}

// Guards against a statement that waits for its database while its key is
// withdrawn, and then runs.
TEST_F(SessionKeyTest, Write_KeyWithdrawnWhileItWaits_IsRefused) {
  const auto client = this->Connect("latest");
  this->PrepareChange();
  bool withdrawn = false;
  this->primary_database.command_behavior = [&withdrawn](const std::string&) {
    return withdrawn ? CommandBehavior::kRun : CommandBehavior::kBusy;
  };
  const auto timer = this->loop.After(milliseconds(100), [&] {
    this->WithdrawKey();
    withdrawn = true;
  });
  EXPECT_TRUE(HasLine(client->Ask("QUERY 1 WRITE item x"), "ERROR NOAUTH"));
  EXPECT_TRUE(this->ExecutedIds().empty());
}

// Guards against a statement that waits for its database while its key moves,
// and then runs for the former caller.
TEST_F(SessionKeyTest, Write_KeyMovedWhileItWaits_IsAborted) {
  const auto client = this->Connect("latest");
  this->PrepareChange();
  bool moved = false;
  this->primary_database.command_behavior = [&moved](const std::string&) {
    return moved ? CommandBehavior::kRun : CommandBehavior::kBusy;
  };
  const auto timer = this->loop.After(milliseconds(100), [&] {
    this->GiveKeyTo(this->other);
    moved = true;
  });
  EXPECT_TRUE(HasLine(client->Ask("QUERY 1 WRITE item x"), "ERROR ABORTED"));
  EXPECT_TRUE(this->ExecutedIds().empty());
}

// Guards against a statement that waits for a channel while its key is
// withdrawn, and runs as soon as it gets one.
TEST_F(SessionKeyTest, Write_KeyWithdrawnInChannelQueue_IsRefused) {
  // The proxy may use one channel, which the first client's transaction has.
  this->configuration.services[common::ServiceId("svc")].max_connections = 1;
  this->Publish();
  const auto first = this->ConnectAndWrite();
  const auto second = this->Connect("latest");
  this->PrepareChange();
  const auto timer = this->loop.After(milliseconds(100), [this] {
    // The first client's transaction ends, which frees the channel.
    this->WithdrawKey();
  });
  EXPECT_TRUE(HasLine(second->Ask("QUERY 5 WRITE item y"), "ERROR NOAUTH"));
  this->RunFor(milliseconds(100));
  EXPECT_EQ(this->ExecutedIds().count("5"), 0U);
}

// Guards against a statement whose key is withdrawn, or moves, while its
// channel is prepared for it.
TEST_F(SessionKeyTest, Write_KeyWithdrawnWhileChannelIsPrepared_IsRefused) {
  const auto client = this->Connect("latest");
  client->Ask("QUERY 1 SET mode fast");
  this->PrepareChange();
  this->primary_database.command_behavior = [this](const std::string& text) {
    if (text.starts_with("SET")) this->WithdrawKey();
    return CommandBehavior::kRun;
  };
  EXPECT_TRUE(HasLine(client->Ask("QUERY 2 WRITE item x"), "ERROR NOAUTH"));
  EXPECT_TRUE(this->ExecutedIds().empty());
}

// Guards against a transaction that is left open at its database because the
// key moves between its begin and its first statement there.
TEST_F(SessionKeyTest, FirstStatement_KeyMovesAfterBegin_IsRolledBack) {
  const auto client = this->Connect("latest");
  client->Ask("QUERY 1 BEGIN");
  this->PrepareChange();
  this->primary_database.command_behavior =
      [this, moved = false](const std::string& text) mutable {
        if (text.ends_with("BEGIN") && !std::exchange(moved, true)) {
          this->GiveKeyTo(this->other);
        }
        this->rolled_back = this->rolled_back || text == "ROLLBACK";
        return CommandBehavior::kRun;
      };
  EXPECT_TRUE(HasLine(client->Ask("QUERY 2 WRITE item x"), "ERROR ABORTED"));
  this->RunFor(milliseconds(100));
  EXPECT_TRUE(this->rolled_back);
  EXPECT_TRUE(this->ExecutedIds().empty());
  this->ExpectUsable(client.get());
}

// Guards against a session on an open route that keeps the name, and the rate,
// of a workspace that doesn't have its key any more.
TEST_F(SessionKeyTest, Read_KeyOfOpenRouteWithdrawn_IsAnonymous) {
  const auto client = this->Connect("open");
  client->Ask("QUERY 1 READ item");
  EXPECT_EQ(this->AllExecuted().back().caller, "tenant");
  this->WithdrawKey();
  EXPECT_TRUE(HasLine(client->Ask("QUERY 2 READ item"), "COMPLETE sig."));
  EXPECT_EQ(this->AllExecuted().back().caller, "-");
}

// Guards against the same within a transaction, which can't change its caller.
TEST_F(SessionKeyTest, Write_KeyOfOpenRouteWithdrawnInTransaction_IsAborted) {
  const auto client = this->Connect("open");
  client->Ask("QUERY 1 BEGIN");
  client->Ask("QUERY 2 WRITE item x");
  this->WithdrawKey();
  EXPECT_TRUE(HasLine(client->Ask("QUERY 3 WRITE item y"), "ERROR ABORTED"));
  this->ExpectUsable(client.get());
  EXPECT_EQ(this->AllExecuted().back().caller, "-");
}

// Guards against a transaction that is lost although the change of the
// configuration doesn't concern its client.
TEST_F(SessionKeyTest, Transaction_OtherKeysChanged_Continues) {
  const auto client = this->ConnectAndWrite();
  this->configuration.workspace_of_key["new"] = this->other;
  this->configuration.workspaces[this->tenant] = {200, 200};
  this->Publish();
  EXPECT_TRUE(HasLine(client->Ask("QUERY 3 WRITE item y"), "READY T"));
  EXPECT_TRUE(HasLine(client->Ask("QUERY 4 COMMIT"), "COMPLETE sig.p"));
}

/// The same with a peer that owns the rates of both workspaces. Before it
/// answers, the operator changes the client's key.
class AskedRateOwnerTest : public SessionKeyTest {
 protected:
  AskedRateOwnerTest() {
    session::FleetHandlers handlers;
    handlers.admit = [this](const session::AdmissionRequest& request) {
      this->asked.push_back(request.workspace);
      if (const auto change = std::exchange(this->before_answer, nullptr)) {
        change();
      }
      return session::AdmissionReply{request.operations, {}, false};
    };
    this->peer = this->StartPeer(&this->report, std::move(handlers));
    this->RunFor(milliseconds(100));
    this->owned = this->NextOwnedByPeer();
    this->owned_too = this->NextOwnedByPeer();
    for (const auto& workspace : {this->owned, this->owned_too}) {
      this->configuration.workspaces[workspace] = {100, 100};
    }
    this->GiveKeyTo(this->owned);
  }

  common::WorkspaceId NextOwnedByPeer() {
    const std::vector<common::HostId> daemons{common::HostId("own"),
                                              this->report.host.id};
    std::string name;
    do {
      name = "tenant" + std::to_string(++this->names);
    } while (common::RendezvousFirst(name, daemons) != this->report.host.id);
    return common::WorkspaceId(name);
  }

  int names = 0;
  session::FleetReport report;
  std::vector<common::WorkspaceId> asked;
  std::function<void()> before_answer;
  common::WorkspaceId owned;
  common::WorkspaceId owned_too;
  std::unique_ptr<session::FleetTransport> peer;
};

// Guards against a statement that runs with a key that is withdrawn while its
// rate is asked for.
TEST_F(AskedRateOwnerTest, Write_KeyWithdrawnBeforeAnswer_IsRefused) {
  const auto client = this->Connect("latest");
  this->PrepareChange();
  this->before_answer = [this] { this->WithdrawKey(); };
  EXPECT_TRUE(HasLine(client->Ask("QUERY 1 WRITE item x"), "ERROR NOAUTH"));
  EXPECT_EQ(this->asked.size(), 1U);
  EXPECT_TRUE(this->ExecutedIds().empty());
}

// Guards against an operation that counts for the former caller, or for none,
// if its key moves while its rate is asked for.
TEST_F(AskedRateOwnerTest, Write_KeyMovedBeforeAnswer_CountsForItsCaller) {
  const auto client = this->Connect("latest");
  this->PrepareChange();
  this->before_answer = [this] { this->GiveKeyTo(this->owned_too); };
  EXPECT_TRUE(HasLine(client->Ask("QUERY 1 WRITE item x"), "COMPLETE sig."));
  EXPECT_EQ(this->asked,
            (std::vector<common::WorkspaceId>{this->owned, this->owned_too}));
  EXPECT_EQ(this->AllExecuted().back().caller, this->owned_too.Value());
}

}  // namespace
}  // namespace camphorferry::platform
