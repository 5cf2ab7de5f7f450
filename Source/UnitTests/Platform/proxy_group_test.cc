#include "proxy_fixture.h"

namespace camphorferry::platform {
namespace {

using session::DirectoryKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against new work at a replica that has announced its shutdown.
TEST_F(ProxyTest, LeavingReplica_Reads_GoElsewhere) {
  const auto client = this->Connect("bounded");
  session::GroupMember leaving = this->a.Entry();
  leaving.state = session::MemberState::kLeaving;
  this->Answer(DirectoryKind::kMembers,
               {{"a", ++this->directory_revision, false, leaving, ""}});
  for (int id = 0; id < 20; ++id) {
    const std::string query = "QUERY " + std::to_string(id) + " READ item";
    const auto answer = client->Ask(query);
    // A new keeper of the workspace's rate admits few operations at once.
    this->RunFor(milliseconds(5));
    EXPECT_TRUE(Has(answer, "ROW data")) << testing::PrintToString(answer);
  }
  EXPECT_TRUE(this->a.ran.empty());
}

// Guards against an entry of another writer whose service nobody has declared:
// its primary never answers, and promotions of it would keep the duty from the
// services that exist.
TEST_F(ProxyTest, MemberOfUndeclaredService_Waiting_IsNotPromoted) {
  session::GroupMember stray = this->p.Entry();
  stray.id = common::EndpointId("stray");
  stray.service = common::ServiceId("undeclared");
  stray.reports_primary = false;
  session::GroupMember witness = this->a.Entry();
  witness.id = common::EndpointId("witness");
  witness.service = stray.service;
  this->Answer(DirectoryKind::kMembers,
               {{"stray", ++this->directory_revision, false, stray, ""},
                {"witness", ++this->directory_revision, false, witness, ""}});
  this->RunFor(seconds(6));
  EXPECT_EQ(this->platform.duty.revision, 0U);
  const auto client = this->Connect("latest");
  EXPECT_TRUE(Has(client->Ask("QUERY 1 WRITE item data"), "COMPLETE"));
}

// Guards against a service without writes for good after all daemons were
// killed while its primary was lost: none of them has ever known a primary.
TEST_F(ProxyTest, NoPrimaryEverKnown_Writes_AreServedAfterAPromotion) {
  this->p.primary = false;
  for (FakeDatabase* database : {&this->p, &this->a, &this->b}) {
    database->held = 5;
  }
  session::ProxySettings settings;
  settings.place.host = common::HostId("restarted");
  settings.place.domain = common::FailureDomainId("zone");
  settings.clients = {"127.0.0.1", 0};
  settings.readiness = {"127.0.0.1", 0};
  settings.peers = {"127.0.0.1", 0};
  this->proxy = std::make_unique<session::Proxy>(&this->loop, &this->format,
                                                 &this->platform, settings);
  this->platform.watches.clear();
  this->Configure(1);
  this->PublishMembers();
  const common::SteadyTime limit = common::SteadyNow() + seconds(10);
  while (this->platform.orders.empty() && common::SteadyNow() < limit) {
    this->RunFor(milliseconds(50));
  }
  EXPECT_FALSE(this->platform.orders.empty());
}

TEST_F(ProxyTest, ServiceDeclaredLater_Statement_FindsItsMembers) {
  session::GroupMember member = this->p.Entry();
  member.service = common::ServiceId("later");
  member.id = common::EndpointId("of-later");
  this->Answer(DirectoryKind::kMembers,
               {{"of-later", ++this->directory_revision, false, member, ""}});
  EXPECT_EQ(this->proxy->GroupOf(member.service), nullptr);
  auto configuration = std::make_shared<session::DirectoryConfiguration>(
      *MakeConfiguration(2, true));
  configuration->services[member.service].max_connections = 16;
  this->Answer(
      DirectoryKind::kConfiguration,
      {{"main", ++this->directory_revision, false,
        std::shared_ptr<const session::DirectoryConfiguration>(configuration),
        ""}});
  ASSERT_NE(this->proxy->GroupOf(member.service), nullptr);
  EXPECT_NE(this->proxy->GroupOf(member.service)->PoolOf(member.id), nullptr);
}

// Guards against a primary that goes on leading until it ends although it has
// announced its shutdown.
TEST_F(ProxyTest, LeavingPrimary_Writes_MoveToAReplica) {
  const auto client = this->Connect("latest");
  this->platform.on_order = [this](const common::EndpointId& id) {
    this->p.primary = false;
    for (FakeDatabase* database : {&this->p, &this->a, &this->b}) {
      database->term = 2;
      database->held = 0;
    }
    FakeDatabase& chosen = id.Value() == "a" ? this->a : this->b;
    chosen.primary = true;
    chosen.position = {2, chosen.position.index};
  };
  session::GroupMember leaving = this->p.Entry();
  leaving.state = session::MemberState::kLeaving;
  this->Answer(DirectoryKind::kMembers,
               {{"p", ++this->directory_revision, false, leaving, ""}});
  const common::SteadyTime limit = common::SteadyNow() + seconds(10);
  while (this->platform.orders.empty() && common::SteadyNow() < limit) {
    this->RunFor(milliseconds(50));
  }
  ASSERT_FALSE(this->platform.orders.empty());
  EXPECT_NE(this->platform.orders[0].endpoint.Value(), "p");
  this->p.ran.clear();
  EXPECT_TRUE(Has(this->WriteUntilDone(client.get()), "COMPLETE sig."));
  EXPECT_TRUE(this->p.ran.empty());
}

// Guards against a read of a primary route at a primary that was replaced
// without knowing it: it would miss commits of the new one.
TEST_F(ProxyTest, ReplicasOfALaterTerm_LatestRead_NeverRunsAtTheOldPrimary) {
  const auto client = this->Connect("latest");
  this->a.term = 2;
  this->a.position = {2, 5};
  this->b.term = 2;
  this->b.position = {2, 5};
  const auto answer = client->Ask("QUERY 1 READ item");
  EXPECT_FALSE(Has(answer, "ROW"));
  EXPECT_TRUE(this->p.ran.empty());
}

// Guards against daemons that fill an endpoint's slots with questions while
// nothing can be proved.
TEST_F(ProxyTest, NothingProved_WaitingRead_AsksMoreAndMoreSeldom) {
  int questions = 0;
  for (FakeDatabase* database : {&this->p, &this->a, &this->b}) {
    database->treat = [&questions](const std::string& text) {
      questions += text == "STATUS" ? 1 : 0;
      return Treatment::kRun;
    };
  }
  this->a.held = 9;
  this->b.held = 9;
  const auto client = this->Connect("latest");
  client->Ask("QUERY 1 READ item", milliseconds(1000));
  // Two a round: the pauses of one second, 30 to 400 ms, leave room for five
  // rounds; the steps of the group for a few probes.
  EXPECT_GE(questions, 2);
  EXPECT_LE(questions, 24);
}

// Guards against a session that does not see its own commit at a replica.
TEST_F(ProxyTest, ReplicasBehindOwnCommit_OwnRead_RunsAtThePrimary) {
  const auto client = this->Connect("own");
  client->Ask("QUERY 0 READ item");
  this->a.held = 9;
  this->b.held = 9;
  ASSERT_TRUE(Has(client->Ask("QUERY 1 WRITE item data"), "COMPLETE sig.p"));
  this->p.ran.clear();
  this->a.ran.clear();
  this->b.ran.clear();
  ASSERT_TRUE(Has(client->Ask("QUERY 2 READ item"), "ROW data"));
  EXPECT_EQ(this->p.ran.size(), 1U);
}

// Guards against statements that pass for a key which was withdrawn while its
// client stayed connected.
TEST_F(ProxyTest, KeyWithdrawn_OpenSession_IsRefused) {
  const auto client = this->Connect("latest");
  this->Configure(2, /*with_key=*/false);
  EXPECT_TRUE(Has(client->Ask("QUERY 1 READ x"), "ERROR NOAUTH"));
  EXPECT_TRUE(this->AllRun().empty());
}

// Guards against an older configuration that replaces a newer one.
// Guards against a withdrawn key that goes on working at a daemon which the
// store turns away.
TEST_F(ProxyTest, StoreSilent_KeyWithdrawn_IsLearntFromAPeer) {
  const auto client = this->Connect("latest");
  session::FleetReport report;
  report.host.id = common::HostId("peer");
  report.configuration_version = 9;
  session::FleetHandlers handlers;
  handlers.exchange = [&report](const session::FleetReport&) { return report; };
  handlers.admit = [](const session::AdmissionRequest&) {
    return session::AdmissionReply();
  };
  handlers.read_directory = [](const session::DirectoryQuestion& question) {
    session::SharedDirectory shared;
    if (question.kind == DirectoryKind::kConfiguration) {
      shared = {1000, {{"main", 999, std::string("version 9")}}};
    }
    return shared;
  };
  const auto peer = session::NewGrpcFleetTransport(
      &this->loop, {"127.0.0.1", 0}, std::move(handlers));
  report.host.peer_address = connection::ToString({"127.0.0.1", peer->Port()});
  this->platform.documents["version 9"] =
      MakeConfiguration(9, /*with_key=*/false);
  peer->Exchange(this->platform.registered.at(0).peer_address, report,
                 seconds(5), [](const auto&) {});
  this->RunFor(seconds(3));
  EXPECT_TRUE(Has(client->Ask("QUERY 1 READ x"), "ERROR NOAUTH"));
  EXPECT_TRUE(this->AllRun().empty());
}

TEST_F(ProxyTest, OlderConfiguration_Statement_IsStillRefused) {
  const auto client = this->Connect("latest");
  this->Configure(5, /*with_key=*/false);
  this->Configure(4, /*with_key=*/true);
  EXPECT_TRUE(Has(client->Ask("QUERY 1 READ x"), "ERROR NOAUTH"));
}

// Guards against a primary that stays without a successor, and against writes
// that are lost or doubled around the change.
TEST_F(ProxyTest, PrimaryDies_Writes_GoOnAtTheMostAdvanced) {
  const auto client = this->Connect("latest");
  ASSERT_TRUE(Has(client->Ask("QUERY 1 WRITE x y"), "COMPLETE sig.p"));
  this->platform.on_order = [this](const common::EndpointId& id) {
    FakeDatabase& chosen = id.Value() == "a" ? this->a : this->b;
    this->a.term = this->b.term = 2;
    this->a.held = this->b.held = 0;
    chosen.primary = true;
  };
  this->p.treat = [](const std::string&) { return Treatment::kClose; };
  this->b.position.index += 3;
  EXPECT_TRUE(Has(this->WriteUntilDone(client.get()), "COMPLETE sig.b"));
  ASSERT_FALSE(this->platform.orders.empty());
  EXPECT_EQ(this->platform.orders[0].endpoint.Value(), "b");
}

// Guards against operations that wait for a primary and then reach it together,
// above the rate of their workspace.
TEST_F(ProxyTest, PrimaryReturns_WaitingWrites_ReachItAtTheirRate) {
  this->Configure(2, true, {8, 8});
  // A new keeper has its whole rate after one window.
  this->RunFor(milliseconds(5100));
  std::vector<std::unique_ptr<TestClient>> clients;
  this->p.primary = false;
  this->PublishMembers();
  const auto send = [&](int count) {
    for (int sent = 0; sent < count; ++sent) {
      clients.push_back(this->Connect("latest"));
      clients.back()->Ask(
          "QUERY " + std::to_string(clients.size()) + " WRITE x y",
          milliseconds(2));
    }
  };
  send(8);
  this->RunFor(milliseconds(1050));
  send(5);
  this->p.primary = true;
  this->PublishMembers();
  this->RunFor(milliseconds(150));
  EXPECT_LE(this->p.ran.size(), 8U);
  EXPECT_GE(this->p.ran.size(), 1U);
}

// Guards against replicas that stay held for good because the order to resume
// them was lost.
TEST_F(ProxyTest, ReplicasLeftHeld_LatestRead_IsServedAgain) {
  this->a.held = 2;
  this->b.held = 2;
  this->platform.on_order = [this](const common::EndpointId& chosen) {
    for (FakeDatabase* database : {&this->p, &this->a, &this->b}) {
      database->primary = database->Entry().id == chosen;
      database->term = 3;
      database->position.term = 3;
      database->held = 0;
    }
  };
  const common::SteadyTime begun = common::SteadyNow();
  bool served = false;
  while (!served && common::SteadyNow() - begun < seconds(12)) {
    const auto client = this->Connect("latest");
    served = Has(client->Ask("QUERY 1 READ item"), "ROW data");
    client->Close();
  }
  EXPECT_TRUE(served);
}

}  // namespace
}  // namespace camphorferry::platform
