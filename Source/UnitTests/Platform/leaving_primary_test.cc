#include "proxy_fixture.h"

namespace camphorferry::platform {
namespace {

using session::DirectoryKind;
using std::chrono::milliseconds;

/// A proxy that has just started, and whose directory shows a primary that
/// leaves, beside a peer that may know since when.
class StartedBesideLeavingPrimaryTest : public ProxyTest {
 protected:
  StartedBesideLeavingPrimaryTest() {
    this->platform.store_down = true;
    session::GroupMember entry = this->primary_database.Registration();
    entry.state = session::MemberState::kLeaving;
    // The entry had lapsed, so that this daemon sees it for the first time.
    this->AnswerDirectoryCall(
        DirectoryKind::kMembers,
        {{"p", {0, ++this->directory_revision}, true, {}, ""}});
    this->RunFor(milliseconds(2200));
    this->AnswerDirectoryCall(
        DirectoryKind::kMembers,
        {{"p", {0, ++this->directory_revision}, false, entry, ""}});
  }

  void StartPeerThatKnows(common::Duration age) {
    this->report.departures = {{common::EndpointId("p"), 1, age}};
    this->peer = this->StartPeer(&this->report, session::FleetHandlers());
  }

  session::FleetReport report;
  std::unique_ptr<session::FleetTransport> peer;
};

// Guards against statements that are sent to a primary after its bound by a
// daemon that counts it from its own start (review/7).
TEST_F(StartedBesideLeavingPrimaryTest, Write_NobodyKnowsAge_IsNotSentToIt) {
  const auto client = this->Connect("latest");
  EXPECT_TRUE(HasLine(client->Ask("QUERY 1 WRITE x y"), "ERROR BUSY"));
  EXPECT_TRUE(this->ExecutedIds().empty());
}

// Guards against a service that isn't written to although a peer knows that its
// primary may still be used.
TEST_F(StartedBesideLeavingPrimaryTest, Write_PeerKnowsAge_IsSentInTime) {
  this->StartPeerThatKnows(milliseconds(4500));
  const auto client = this->Connect("latest");
  EXPECT_TRUE(HasLine(this->WriteUntilCommitted(client.get()), "COMPLETE"));
  this->RunFor(milliseconds(1500));
  const std::size_t sent = this->ExecutedIds().size();
  client->Ask("QUERY 90 WRITE x z");
  EXPECT_EQ(this->ExecutedIds().size(), sent);
}

}  // namespace
}  // namespace camphorferry::platform
