#include <gtest/gtest.h>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

class PrimaryViewTest : public testing::Test {
 protected:
  static GroupMember Entry(const std::string& id, bool primary,
                           std::uint64_t incarnation = 1) {
    GroupMember member;
    member.id = common::EndpointId(id);
    member.reports_primary = primary;
    member.incarnation = incarnation;
    return member;
  }

  static EndpointStatus Status(GroupRole role, common::Term term) {
    return {role, term, {term, 1}, 0};
  }

  common::EndpointId a{"a"};
  common::EndpointId b{"b"};
  PrimaryView view;
};

// Guards against keeping a dead primary whose entry has not expired.
TEST_F(PrimaryViewTest, TwoClaims_Primary_IsTheLater) {
  this->view.OnMembers({Entry("a", true), Entry("b", false)});
  this->view.OnMembers({Entry("a", true), Entry("b", true)});
  EXPECT_EQ(this->view.Primary(), this->b);
}

// Guards against returning to a replaced primary that still answers.
TEST_F(PrimaryViewTest, StatusOfALowerTerm_Primary_IsUnchanged) {
  this->view.OnMembers({Entry("a", true), Entry("b", false)});
  this->view.OnStatus(this->b, Status(GroupRole::kPrimary, 2));
  this->view.OnStatus(this->a, Status(GroupRole::kPrimary, 1));
  EXPECT_EQ(this->view.Primary(), this->b);
}

// Guards against keeping a primary that doesn't answer any more although a
// replica follows its successor.
TEST_F(PrimaryViewTest, ReplicaReportsNewerTerm_Primary_IsNone) {
  this->view.OnMembers({Entry("a", true), Entry("b", false)});
  this->view.OnStatus(this->a, Status(GroupRole::kPrimary, 1));
  this->view.OnStatus(this->b, Status(GroupRole::kReplica, 1));
  EXPECT_EQ(this->view.Primary(), this->a);
  this->view.OnStatus(this->b, Status(GroupRole::kReplica, 2));
  EXPECT_FALSE(this->view.Primary().has_value());
}

// Guards against dropping a new primary that is known only by its entry.
TEST_F(PrimaryViewTest, ReplicaReportsNewerTerm_PrimaryNotAsked_IsKept) {
  this->view.OnMembers({Entry("a", true), Entry("b", false)});
  this->view.OnStatus(this->b, Status(GroupRole::kReplica, 2));
  EXPECT_EQ(this->view.Primary(), this->a);
}

// Guards against sending writes to a member that refuses them.
TEST_F(PrimaryViewTest, RefusedAsReplica_Primary_IsNone) {
  this->view.OnMembers({Entry("a", true), Entry("b", false)});
  this->view.OnNotPrimary(this->a);
  EXPECT_FALSE(this->view.Primary().has_value());
}

// Guards against trusting the claim that a member made before it was restarted.
TEST_F(PrimaryViewTest, RestartedAsReplica_Primary_IsNone) {
  this->view.OnMembers({Entry("a", true, 1)});
  this->view.OnMembers({Entry("a", false, 2)});
  EXPECT_FALSE(this->view.Primary().has_value());
}

// Guards against taking the term of older statuses for that of a primary which
// is known from its entry only.
TEST_F(PrimaryViewTest, ClaimedByEntry_PrimaryTerm_IsUnknownUntilItsStatus) {
  this->view.OnMembers({Entry("a", false), Entry("b", false)});
  this->view.OnStatus(this->a, Status(GroupRole::kPrimary, 1));
  EXPECT_EQ(this->view.PrimaryTerm(), 1U);
  this->view.OnMembers({Entry("a", false), Entry("b", true)});
  EXPECT_EQ(this->view.Primary(), this->b);
  EXPECT_EQ(this->view.PrimaryTerm(), 0U);
  this->view.OnStatus(this->b, Status(GroupRole::kPrimary, 2));
  EXPECT_EQ(this->view.PrimaryTerm(), 2U);
}

}  // namespace
}  // namespace camphorferry::session
