#include "proxy_fixture.h"

namespace camphorferry::platform {
namespace {

using session::DirectoryKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A proxy that follows evacuations, in front of a group with one member in the
/// failure domain "left".
class EvacuationTest : public ProxyTest {
 protected:
  EvacuationTest() {
    session::ProxySettings settings = Settings();
    settings.follows_evacuations = true;
    this->StartProxy(settings);
    this->AnswerDirectoryCall(DirectoryKind::kEvacuations, {});
  }

  void MoveToLeft(const FakeDatabase& database) {
    session::GroupMember entry = database.Registration();
    entry.domain = common::FailureDomainId("left");
    this->AnswerDirectoryCall(DirectoryKind::kMembers,
                              {{entry.id.Value(),
                                {0, ++this->directory_revision},
                                false,
                                entry,
                                ""}});
  }

  void Evacuate(bool requested) {
    session::DirectoryChange change;
    change.name = "left";
    change.revision = {0, ++this->directory_revision};
    change.removed = !requested;
    change.value = session::EvacuationRequest{common::FailureDomainId("left")};
    this->AnswerDirectoryCall(DirectoryKind::kEvacuations, {change});
  }

  void ReadOften(TestClient* client, int first_id) {
    for (int id = first_id; id < first_id + 30; ++id) {
      const std::string query = "QUERY " + std::to_string(id) + " READ item";
      EXPECT_TRUE(HasLine(client->Ask(query), "ROW data"));
      this->RunFor(milliseconds(5));
    }
  }
};

// Guards against reads at a replica that the operator wants to be left.
TEST_F(EvacuationTest, Reads_ReplicaEvacuated_AreServedElsewhere) {
  this->MoveToLeft(this->replica_a);
  this->Evacuate(true);
  const auto client = this->Connect("bounded");
  this->ReadOften(client.get(), 0);
  EXPECT_TRUE(this->replica_a.executed.empty());
}

// Guards against an evacuation that outlives its request.
TEST_F(EvacuationTest, Reads_EvacuationTakenBack_Return) {
  this->MoveToLeft(this->replica_a);
  this->Evacuate(true);
  this->Evacuate(false);
  // The other members take no reads now, so only the returned one is left.
  for (FakeDatabase* database : {&this->primary_database, &this->replica_b}) {
    database->command_behavior = [](const std::string& text) {
      return text.find("READ") != std::string::npos ? CommandBehavior::kFail
                                                    : CommandBehavior::kRun;
    };
  }
  const auto client = this->Connect("bounded");
  EXPECT_TRUE(HasLine(client->Ask("QUERY 1 READ item"), "ROW data"));
  EXPECT_FALSE(this->replica_a.executed.empty());
}

// Guards against writes at a primary that the operator wants to be left, and
// against writes that end with it.
TEST_F(EvacuationTest, Writes_PrimaryEvacuated_MoveToAReplica) {
  this->MoveToLeft(this->primary_database);
  const auto client = this->Connect("latest");
  this->platform.on_order = [this](const common::EndpointId& id) {
    this->primary_database.primary = false;
    this->Promote(id);
  };
  this->Evacuate(true);
  this->RunFor(milliseconds(2100));
  this->primary_database.executed.clear();
  EXPECT_TRUE(
      HasLine(this->WriteUntilCommitted(client.get()), "COMPLETE sig."));
  ASSERT_FALSE(this->platform.orders.empty());
  EXPECT_NE(this->platform.orders[0].endpoint.Value(), "p");
  EXPECT_TRUE(this->primary_database.executed.empty());
}

// Guards against statements at an evacuated primary that can't be replaced, and
// against a refusal that does not say that nothing has run.
TEST_F(EvacuationTest, Write_NobodyCanBePromoted_IsRefusedAsNotRun) {
  this->MoveToLeft(this->primary_database);
  const auto client = this->Connect("latest");
  this->platform.store_down = true;
  this->Evacuate(true);
  this->RunFor(milliseconds(2100));
  EXPECT_TRUE(HasLine(client->Ask("QUERY 1 WRITE x y"), "ERROR BUSY"));
  EXPECT_TRUE(this->primary_database.executed.empty());
}

// Guards against an open transaction that keeps sending statements to an
// evacuated endpoint, and against its commit.
TEST_F(EvacuationTest, OpenTransaction_EndpointEvacuated_IsAborted) {
  this->MoveToLeft(this->primary_database);
  const auto client = this->Connect("own");
  this->platform.store_down = true;
  client->Ask("QUERY 1 BEGIN");
  EXPECT_TRUE(HasLine(client->Ask("QUERY 2 WRITE x y"), "COMPLETE"));
  this->Evacuate(true);
  for (int id = 3; id < 10; ++id) {
    client->Ask("QUERY " + std::to_string(id) + " READ x");
    this->RunFor(milliseconds(300));
  }
  EXPECT_TRUE(HasLine(client->Ask("QUERY 10 COMMIT"), "ERROR ABORTED"));
  EXPECT_TRUE(this->primary_database.log.empty());
}

// Guards against a daemon that does not learn of an evacuation because the
// store does not answer it, or only with a lag.
TEST_F(EvacuationTest, Reads_EvacuationKnownToPeer_AreServedElsewhere) {
  this->MoveToLeft(this->replica_a);
  this->platform.store_down = true;
  session::FleetReport report;
  report.evacuations.domains = {common::FailureDomainId("left")};
  report.evacuations.as_of = {0, this->directory_revision + 10};
  const auto peer = this->StartPeer(&report, session::FleetHandlers());
  this->RunFor(seconds(1));
  const auto client = this->Connect("bounded");
  this->ReadOften(client.get(), 0);
  EXPECT_TRUE(this->replica_a.executed.empty());
}

}  // namespace
}  // namespace camphorferry::platform
