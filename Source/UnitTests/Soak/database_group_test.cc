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

  connection::EventLoop loop;
  GuaranteeChecker checker;
  platform::FakeStore store{
      &this->loop, [](const std::string&, const std::string&) { return true; }};
  DatabaseGroup group{&this->loop, &this->store, &this->checker, "svc"};
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

}  // namespace
}  // namespace camphorferry::soak
