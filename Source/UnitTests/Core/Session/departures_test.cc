#include "Session/departures.h"

#include <gtest/gtest.h>

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One member of a group, as the directory shows it.
class DeparturesTest : public testing::Test {
 protected:
  static common::SteadyTime At(common::Duration time) {
    return common::SteadyTime(time);
  }

  void Show(MemberState state, common::Duration at,
            std::uint64_t incarnation = 1) {
    GroupMember entry;
    entry.id = this->id;
    entry.state = state;
    entry.incarnation = incarnation;
    this->departures.OnMembers({entry}, At(at));
  }

  bool MayUse(common::Duration at) const {
    return this->departures.MayUse(this->id, At(at));
  }

  const common::EndpointId id{"p"};
  Departures departures;
};

TEST_F(DeparturesTest, SeenAnnouncement_ForSixSeconds_MayBeUsed) {
  this->Show(MemberState::kReady, seconds(1));
  this->Show(MemberState::kLeaving, seconds(10));
  this->Show(MemberState::kLeaving, seconds(14));
  EXPECT_TRUE(this->MayUse(milliseconds(15900)));
  EXPECT_FALSE(this->MayUse(seconds(16)));
  this->Show(MemberState::kReady, seconds(17));
  EXPECT_TRUE(this->MayUse(seconds(18)));
}

// Guards against a daemon that has just started and takes an old announcement
// for a new one (review/7).
TEST_F(DeparturesTest, FirstSeenLeaving_IsNotUsed) {
  this->Show(MemberState::kLeaving, seconds(10));
  EXPECT_FALSE(this->MayUse(seconds(10)));
  this->Show(MemberState::kLeaving, seconds(11));
  EXPECT_FALSE(this->MayUse(seconds(11)));
  EXPECT_TRUE(this->departures.Notices(At(seconds(11))).empty());
}

// Guards against the same after the entry had lapsed, or of a new process.
TEST_F(DeparturesTest, ReturnedOrReborn_Leaving_IsNotUsed) {
  this->Show(MemberState::kReady, seconds(1));
  this->departures.OnMembers({}, At(seconds(2)));
  this->Show(MemberState::kLeaving, seconds(10));
  EXPECT_FALSE(this->MayUse(seconds(10)));
  this->Show(MemberState::kReady, seconds(11));
  this->Show(MemberState::kLeaving, seconds(12), 2);
  EXPECT_FALSE(this->MayUse(seconds(12)));
}

// Guards against services without a primary while daemons restart, although
// others know how old the announcement is.
TEST_F(DeparturesTest, FirstSeenLeaving_PeerKnowsAge_CountsFromThen) {
  this->Show(MemberState::kLeaving, seconds(10));
  this->departures.OnPeerNotice(this->id, 2, At(seconds(9)));
  EXPECT_FALSE(this->MayUse(seconds(10)));
  this->departures.OnPeerNotice(this->id, 1, At(seconds(9)));
  EXPECT_TRUE(this->MayUse(milliseconds(14900)));
  EXPECT_FALSE(this->MayUse(seconds(15)));
}

// Guards against a daemon that learns of an announcement late and counts from
// then.
TEST_F(DeparturesTest, LearnedLate_PeerLearnedEarlier_CountsFromEarlier) {
  this->Show(MemberState::kReady, seconds(1));
  this->Show(MemberState::kLeaving, seconds(10));
  this->departures.OnPeerNotice(this->id, 1, At(seconds(7)));
  this->departures.OnPeerNotice(this->id, 1, At(seconds(12)));
  EXPECT_FALSE(this->MayUse(seconds(13)));
  const auto notices = this->departures.Notices(At(seconds(13)));
  ASSERT_EQ(notices.size(), 1U);
  EXPECT_EQ(notices[0].age, seconds(6));
}

}  // namespace
}  // namespace camphorferry::session
