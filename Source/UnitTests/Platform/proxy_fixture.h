#ifndef CAMPHORFERRY_UNIT_TESTS_PLATFORM_PROXY_FIXTURE_H_
#define CAMPHORFERRY_UNIT_TESTS_PLATFORM_PROXY_FIXTURE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fake_database.h"
#include "fake_platform.h"
#include "test_clients.h"
#include "wire_format.h"

namespace camphorferry::platform {

/// Less than the maximum message size of 1 MiB.
constexpr std::size_t kLargeRowBytes = 900 * 1024;

/// Statement timeout of the routes, unless a test sets another.
constexpr std::chrono::milliseconds kStatementTimeout(300);

/// A proxy in front of one group of three fake databases, with a fake platform.
class ProxyTest : public testing::Test {
 protected:
  ProxyTest() {
    this->primary_database.primary = true;
    this->primary_database.on_commit = [this] { this->Replicate(); };
    this->StartProxy(Settings());
    this->platform.list_answers[session::DirectoryKind::kMembers] = [this] {
      session::DirectoryChanges listed;
      for (const auto& [name, entry] : this->stored_members) {
        listed.changes.push_back(entry);
      }
      listed.revision = {0, ++this->directory_revision};
      return listed;
    };
  }

  static session::ProxySettings Settings() {
    session::ProxySettings settings;
    settings.location.host = common::HostId("own");
    settings.location.domain = common::FailureDomainId("zone");
    settings.clients = {"127.0.0.1", 0};
    settings.readiness = {"127.0.0.1", 0};
    settings.readiness_path = "/ready";
    settings.peers = {"127.0.0.1", 0};
    settings.rate_tolerance = {0.1, 20};
    settings.stop_grace = std::chrono::seconds(4);
    return settings;
  }

  /// Starts the proxy, instead of one that runs, and answers its first calls of
  /// the store.
  void StartProxy(const session::ProxySettings& settings) {
    this->proxy.reset();
    // As in a fleet of which no process has run before.
    this->platform.registered.clear();
    this->platform.list_answers.erase(session::DirectoryKind::kHosts);
    this->proxy = std::make_unique<session::Proxy>(&this->loop, &this->format,
                                                   &this->platform, settings);
    this->PublishConfiguration(1);
    this->PublishMembers();
    // The hosts are read at the start and after the registration.
    this->AnswerDirectoryCall(session::DirectoryKind::kHosts, {});
    this->AnswerDirectoryCall(session::DirectoryKind::kHosts, {});
    // A promotion lists the daemons that it has to ask.
    this->platform.list_answers[session::DirectoryKind::kHosts] = [] {
      return session::DirectoryChanges{{}, {0, 1}};
    };
  }

  ~ProxyTest() override {
    // What a test has set may refer to its variables, which have ended.
    for (FakeDatabase* database :
         {&this->primary_database, &this->replica_a, &this->replica_b}) {
      database->command_behavior = nullptr;
    }
    this->platform.on_order = nullptr;
    this->RunFor(std::chrono::milliseconds(1));
  }

  void RunFor(common::Duration time) {
    const auto timer = this->loop.After(time, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  /// Copies the primary's position to the replicas that are not paused.
  void Replicate() {
    for (FakeDatabase* member : {&this->replica_a, &this->replica_b}) {
      if (member->held == 0) member->position = this->primary_database.position;
    }
  }

  /// Closes each connection to the primary at its first command.
  void ClosePrimaryConnections() {
    this->primary_database.command_behavior = [](const std::string&) {
      return CommandBehavior::kClose;
    };
  }

  /// Makes a replica the primary of term 2, which the other one follows.
  void Promote(const common::EndpointId& id) {
    FakeDatabase& chosen =
        id.Value() == "a" ? this->replica_a : this->replica_b;
    this->replica_a.term = this->replica_b.term = 2;
    this->replica_a.held = this->replica_b.held = 0;
    chosen.primary = true;
  }

  /// The address at which the proxy's peers reach it.
  const std::string& OwnAddress() const {
    return this->platform.registered.at(0).peer_address;
  }

  /// Starts another daemon of the fleet, which makes itself known to the proxy
  /// and answers its reports with the given one. The handlers serve all other
  /// calls. The report must outlive the daemon.
  std::unique_ptr<session::FleetTransport> StartPeer(
      session::FleetReport* report, session::FleetHandlers handlers) {
    report->host.id = common::HostId("peer");
    handlers.exchange = [report](const session::FleetReport&) {
      return *report;
    };
    auto peer = session::NewGrpcFleetTransport(&this->loop, {"127.0.0.1", 0},
                                               std::move(handlers));
    report->host.peer_address =
        connection::ToString({"127.0.0.1", peer->Port()});
    peer->Exchange(this->OwnAddress(), *report, std::chrono::seconds(5),
                   [](const auto&) {});
    return peer;
  }

  /// Applies changes to the entries that a listing of the members contains.
  void StoreMembers(const std::vector<session::DirectoryChange>& changes) {
    for (const session::DirectoryChange& change : changes) {
      this->stored_members.erase(change.name);
      if (!change.removed) this->stored_members.emplace(change.name, change);
    }
  }

  /// Runs until the proxy watches the changes of a kind. The watcher pauses
  /// after a watch that returned changes.
  void AwaitWatch(session::DirectoryKind kind) {
    while (this->platform.watches[kind].empty()) {
      this->RunFor(std::chrono::milliseconds(5));
    }
  }

  /// Answers the pending list or watch call of a kind with the given changes.
  void AnswerDirectoryCall(session::DirectoryKind kind,
                           std::vector<session::DirectoryChange> changes) {
    const session::StoreRevision revision{0, ++this->directory_revision};
    if (kind == session::DirectoryKind::kMembers) this->StoreMembers(changes);
    auto& lists = this->platform.lists[kind];
    if (!lists.empty()) {
      auto done = std::move(lists.front());
      lists.pop_front();
      done(session::DirectoryChanges{std::move(changes), revision});
      return;
    }
    this->AwaitWatch(kind);
    // A listing replaces the watch before it.
    auto call = std::move(this->platform.watches[kind].back());
    this->platform.watches[kind].clear();
    call.done(session::DirectoryChanges{std::move(changes), revision});
  }

  static session::DatabaseRoute Route(session::ReadGuarantee guarantee) {
    session::DatabaseRoute route;
    route.service = common::ServiceId("svc");
    route.guarantee = guarantee;
    route.max_staleness = std::chrono::milliseconds(1500);
    route.latency_objective = std::chrono::milliseconds(400);
    return route;
  }

  static std::shared_ptr<const session::DirectoryConfiguration>
  MakeConfiguration(std::uint64_t version, bool with_key,
                    session::WorkspaceRate rate = {100000, 100000},
                    std::uint32_t max_connections = 16,
                    common::Duration statement_timeout = kStatementTimeout) {
    auto configuration = std::make_shared<session::DirectoryConfiguration>();
    configuration->version = version;
    configuration->routes["latest"] = Route(session::ReadGuarantee::kLatest);
    configuration->routes["bounded"] =
        Route(session::ReadGuarantee::kBoundedStaleness);
    configuration->routes["own"] =
        Route(session::ReadGuarantee::kReadYourWrites);
    configuration->services[common::ServiceId("svc")].max_connections =
        max_connections;
    configuration->workspaces[common::WorkspaceId("tenant")] = rate;
    if (with_key) {
      configuration->workspace_of_key["key"] = common::WorkspaceId("tenant");
    }
    for (auto& [name, route] : configuration->routes) {
      route.statement_timeout = statement_timeout;
    }
    configuration->transaction_idle_limit = std::chrono::milliseconds(400);
    return configuration;
  }

  void PublishConfiguration(
      std::uint64_t version, bool with_key = true,
      session::WorkspaceRate rate = {100000, 100000},
      std::uint32_t max_connections = 16,
      common::Duration statement_timeout = kStatementTimeout) {
    this->PublishConfiguration(*MakeConfiguration(
        version, with_key, rate, max_connections, statement_timeout));
  }

  void PublishConfiguration(
      const session::DirectoryConfiguration& configuration) {
    this->AnswerDirectoryCall(
        session::DirectoryKind::kConfiguration,
        {{"main",
          {0, ++this->directory_revision},
          false,
          std::make_shared<const session::DirectoryConfiguration>(
              configuration),
          ""}});
  }

  /// Publishes the databases as members in a failure domain.
  void PublishMembers(const std::string& domain = "zone") {
    this->PublishMembers(
        {&this->primary_database, &this->replica_a, &this->replica_b}, domain);
  }

  void PublishMembers(const std::vector<const FakeDatabase*>& databases,
                      const std::string& domain) {
    std::vector<session::DirectoryChange> changes;
    for (const FakeDatabase* database : databases) {
      session::GroupMember entry = database->Registration();
      entry.domain = common::FailureDomainId(domain);
      changes.push_back({entry.id.Value(),
                         {0, ++this->directory_revision},
                         false,
                         entry,
                         ""});
    }
    this->AnswerDirectoryCall(session::DirectoryKind::kMembers,
                              std::move(changes));
  }

  std::unique_ptr<TestClient> Connect(const std::string& database) {
    auto client =
        std::make_unique<TestClient>(&this->loop, this->proxy->ClientPort());
    client->Ask("STARTUP " + database + " key");
    return client;
  }

  /// Retries a write after each refusal, as a client does. Returns the last
  /// response.
  std::vector<std::string> WriteUntilCommitted(TestClient* client) {
    std::vector<std::string> answer;
    constexpr int kAttempts = 40;
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      answer =
          client->Ask("QUERY " + std::to_string(attempt + 2) + " WRITE x z");
      if (HasLine(answer, "COMPLETE")) break;
      this->RunFor(std::chrono::milliseconds(100));
    }
    return answer;
  }

  /// Connects a client, has it read a row and stops the store.
  std::unique_ptr<TestClient> ConnectBeforeOutage() {
    auto client = this->Connect("latest");
    EXPECT_TRUE(HasLine(client->Ask("QUERY 0 READ item"), "ROW data"));
    this->platform.store_down = true;
    return client;
  }

  /// Checks that a write is committed within 3 s, and at replica b.
  void ExpectWriteReachesB(TestClient* client) {
    const common::SteadyTime start = common::SteadyNow();
    EXPECT_TRUE(HasLine(this->WriteUntilCommitted(client), "COMPLETE sig.b"));
    EXPECT_LT(common::SteadyNow() - start, std::chrono::seconds(3));
  }

  std::vector<StatementRecord> AllExecuted() const {
    std::vector<StatementRecord> all;
    for (const FakeDatabase* database :
         {&this->primary_database, &this->replica_a, &this->replica_b}) {
      all.insert(all.end(), database->executed.begin(),
                 database->executed.end());
    }
    return all;
  }

  /// Identifiers of the statements that were executed. A read may be executed
  /// more than once if its response was late.
  std::set<std::string> ExecutedIds() const {
    std::set<std::string> ids;
    for (const StatementRecord& statement : this->AllExecuted()) {
      ids.insert(statement.id);
    }
    return ids;
  }

  /// Opens a session and requests large rows without waiting for responses.
  void SendLargeReads(const SlowClient& client, std::size_t count) {
    for (FakeDatabase* database :
         {&this->primary_database, &this->replica_a, &this->replica_b}) {
      database->log.push_back({"0", "big", std::string(kLargeRowBytes, 'x')});
    }
    client.Send("STARTUP latest key");
    this->RunFor(std::chrono::milliseconds(50));
    for (std::size_t id = 1; id <= count; ++id) {
      client.Send("QUERY " + std::to_string(id) + " READ big");
    }
  }

  static bool HasLine(const std::vector<std::string>& lines,
                      const std::string& start) {
    return std::any_of(
        lines.begin(), lines.end(),
        [&](const std::string& line) { return line.starts_with(start); });
  }

  connection::EventLoop loop;
  WireFormat format;
  session::FakePlatform platform;
  FakeDatabase primary_database{&this->loop, "svc", "p"};
  FakeDatabase replica_a{&this->loop, "svc", "a"};
  FakeDatabase replica_b{&this->loop, "svc", "b"};
  std::uint64_t directory_revision = 1;
  std::map<std::string, session::DirectoryChange> stored_members;
  std::unique_ptr<session::Proxy> proxy;
};

}  // namespace camphorferry::platform

#endif  // CAMPHORFERRY_UNIT_TESTS_PLATFORM_PROXY_FIXTURE_H_
