#include "database_group.h"

#include <gtest/gtest.h>

#include "await.h"
#include "store_client.h"
#include "test_clients.h"

namespace camphorferry::soak {
namespace {

using session::DirectoryFreshness;
using session::DirectoryKind;
using session::DirectoryResult;

class DatabaseGroupTest : public testing::Test {
 protected:
  DatabaseGroupTest() { this->group.Register(); }

  /// Port at which proxies reach the database.
  std::uint16_t PortOf(const std::string& id) {
    const auto listed =
        platform::Await<DirectoryResult>(&this->loop, [this](auto done) {
          this->client.List(DirectoryKind::kMembers,
                            DirectoryFreshness::kLatest, std::move(done));
        });
    for (const auto& change :
         std::get<session::DirectoryChanges>(listed).changes) {
      if (change.name != id) continue;
      return std::get<session::GroupMember>(change.value).address.port;
    }
    ADD_FAILURE() << id << " is not registered";
    return 0;
  }

  /// Whether the database responds on a new connection.
  bool Responds(const std::string& id) {
    constexpr std::chrono::milliseconds kResponseLimit(500);
    platform::TestClient connection(&this->loop, this->PortOf(id));
    const bool responds =
        !connection.Ask("STARTUP svc caller " + id, kResponseLimit).empty();
    connection.Close();
    return responds;
  }

  /// Whether the database becomes the primary within the time.
  bool LeadsWithin(const std::string& id, std::chrono::milliseconds limit) {
    constexpr std::chrono::milliseconds kInterval(20);
    const common::SteadyTime end = common::SteadyNow() + limit;
    const auto timer = this->loop.Every(kInterval, [&] {
      const bool leads = this->group.LeaderId() == id;
      if (leads || common::SteadyNow() >= end) this->loop.Stop();
    });
    this->loop.Run();
    return this->group.LeaderId() == id;
  }

  connection::EventLoop loop;
  GuaranteeChecker checker;
  platform::FakeStore store{
      &this->loop, [](const std::string&, const std::string&) { return true; }};
  DatabaseGroup group{&this->loop, &this->store, &this->checker, "svc", 1};
  platform::StoreClient client{&this->loop, this->store.Address(),
                               this->store.Address()};
};

// Guards against the end of one fault that also ends another on the returned
// database.
TEST_F(DatabaseGroupTest, LinksSilent_CrashedPrimaryReturns_StaysSilent) {
  EXPECT_TRUE(this->Responds("svc-0"));
  this->group.CrashPrimary();
  this->group.SetLinkState(LinkState::kSilent);
  this->group.RestoreAll();
  EXPECT_FALSE(this->Responds("svc-0"));
  this->group.SetLinkState(LinkState::kOpen);
  EXPECT_TRUE(this->Responds("svc-0"));
}

// Guards against promotions that are never slow, with which the soak would not
// show an order that takes effect late.
TEST_F(DatabaseGroupTest, SetPromotionsSlow_Promotion_TakesEffectLater) {
  using std::chrono::milliseconds;
  EXPECT_TRUE(this->group.Promote("svc-1"));
  EXPECT_TRUE(this->LeadsWithin("svc-1", milliseconds(1000)));
  this->group.SetPromotionsSlow(true);
  EXPECT_TRUE(this->group.Promote("svc-2"));
  EXPECT_FALSE(this->LeadsWithin("svc-2", milliseconds(1000)));
  EXPECT_TRUE(this->LeadsWithin("svc-2", milliseconds(8000)));
}

// Guards against promotions that the checker doesn't see.
TEST_F(DatabaseGroupTest, Promote_LogWithoutAnAcknowledgedCommit_IsViolation) {
  SentStatement statement;
  statement.id = "a";
  statement.service = "svc";
  statement.commits = true;
  this->checker.OnSent(statement);
  this->checker.OnOutcome("a", ClientOutcome::kDone, common::SteadyNow());
  EXPECT_TRUE(this->group.Promote("svc-1"));
  EXPECT_TRUE(this->LeadsWithin("svc-1", std::chrono::milliseconds(1000)));
  EXPECT_EQ(this->checker.Violations(),
            std::vector<std::string>{
                "promotion_lacks_commit endpoint=svc-1 lacks=a missing=1"});
}

}  // namespace
}  // namespace camphorferry::soak
