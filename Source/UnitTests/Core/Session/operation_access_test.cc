#include <gtest/gtest.h>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

/// Access under a configuration with a route that requires a key and an open
/// one.
class SessionAccessTest : public testing::Test {
 protected:
  SessionAccessTest() {
    this->configuration.routes["closed"].service = common::ServiceId("svc");
    this->configuration.routes["open"].open = true;
    this->configuration.workspace_of_key["key"] = common::WorkspaceId("tenant");
  }

  static SessionAccess Open(const std::string& database,
                            const std::string& key) {
    SessionAccess access;
    access.SetOpening({database, key});
    return access;
  }

  OperationAccess Given(const SessionAccess& access) const {
    return std::get<OperationAccess>(access.Start(&this->configuration));
  }

  /// The code with which an operation, or a session, is refused at its start.
  std::optional<StatementError> CodeOfStart(const SessionAccess& access) const {
    const auto decision = access.Start(&this->configuration);
    const auto* refusal = std::get_if<AccessRefusal>(&decision);
    if (refusal == nullptr) return std::nullopt;
    return refusal->code;
  }

  /// The code with which a further statement is refused.
  std::optional<StatementError> CodeOfCheck(
      const SessionAccess& access, const OperationAccess& given) const {
    const auto refusal = access.Check(given, &this->configuration);
    if (!refusal.has_value()) return std::nullopt;
    return refusal->code;
  }

  DirectoryConfiguration configuration;
};

// Guards against a session that is refused with another error than the one
// that its cause has.
TEST_F(SessionAccessTest, UnknownNames_Start_AreRefusedByTheirCauses) {
  EXPECT_EQ(this->CodeOfStart(Open("none", "key")),
            StatementError::kNoSuchDatabase);
  EXPECT_EQ(this->CodeOfStart(Open("closed", "other")),
            StatementError::kUnauthorized);
  EXPECT_EQ(this->CodeOfStart(Open("closed", "key")), std::nullopt);
  EXPECT_TRUE(std::holds_alternative<AccessRefusal>(
      Open("closed", "key").Start(nullptr)));
}

// Guards against clients of open routes that keep, or get, the name of a
// workspace that doesn't have their key.
TEST_F(SessionAccessTest, OpenRoute_Start_NamesOnlyHolderOfKey) {
  EXPECT_EQ(this->Given(Open("open", "key")).workspace,
            common::WorkspaceId("tenant"));
  EXPECT_TRUE(this->Given(Open("open", "other")).workspace.Empty());
}

// Guards against a withdrawn key that stays in use.
TEST_F(SessionAccessTest, WithdrawnKey_Check_IsRefused) {
  const SessionAccess access = Open("closed", "key");
  const OperationAccess given = this->Given(access);
  EXPECT_EQ(this->CodeOfCheck(access, given), std::nullopt);
  this->configuration.workspace_of_key.clear();
  EXPECT_EQ(this->CodeOfCheck(access, given), StatementError::kUnauthorized);
}

// Guards against an operation that has two callers.
TEST_F(SessionAccessTest, MovedKey_Check_AbortsOperation) {
  const SessionAccess access = Open("closed", "key");
  const OperationAccess given = this->Given(access);
  this->configuration.workspace_of_key["key"] = common::WorkspaceId("other");
  EXPECT_EQ(this->CodeOfCheck(access, given), StatementError::kAborted);
}

// Guards against an operation on an open route that becomes anonymous, or gets
// a name, between its statements.
TEST_F(SessionAccessTest, OpenRoute_Check_AbortsIfCallerChanges) {
  const SessionAccess access = Open("open", "key");
  const OperationAccess named = this->Given(access);
  this->configuration.workspace_of_key.clear();
  EXPECT_EQ(this->CodeOfCheck(access, named), StatementError::kAborted);
  const OperationAccess anonymous = this->Given(access);
  EXPECT_EQ(this->CodeOfCheck(access, anonymous), std::nullopt);
  this->configuration.workspace_of_key["key"] = common::WorkspaceId("tenant");
  EXPECT_EQ(this->CodeOfCheck(access, anonymous), StatementError::kAborted);
}

// Guards against a transaction that is broken off because its route changed,
// which applies from the next one on.
TEST_F(SessionAccessTest, ChangedRoute_Check_IsNotRefused) {
  const SessionAccess access = Open("closed", "key");
  const OperationAccess given = this->Given(access);
  this->configuration.routes["closed"].service = common::ServiceId("other");
  EXPECT_EQ(this->CodeOfCheck(access, given), std::nullopt);
  EXPECT_EQ(given.route.service, common::ServiceId("svc"));
  this->configuration.routes.erase("closed");
  EXPECT_EQ(this->CodeOfCheck(access, given), std::nullopt);
}

// Guards against a second copy of a session's caller, which an idle session
// would keep after its key has been withdrawn or has moved.
TEST_F(SessionAccessTest, ChangedKey_Caller_IsHolderNow) {
  const SessionAccess access = Open("open", "key");
  EXPECT_EQ(access.Caller(&this->configuration), common::WorkspaceId("tenant"));
  this->configuration.workspace_of_key["key"] = common::WorkspaceId("other");
  EXPECT_EQ(access.Caller(&this->configuration), common::WorkspaceId("other"));
  this->configuration.workspace_of_key.clear();
  EXPECT_TRUE(access.Caller(&this->configuration).Empty());
  EXPECT_TRUE(access.Caller(nullptr).Empty());
}

/// A daemon that judges the clients of another one.
class ClaimJudgeTest : public SessionAccessTest {
 protected:
  ClaimJudgeTest() { this->configuration.version = 1; }

  /// What the other daemon states under the present version.
  AccessClaim Claim(const std::string& database) const {
    const SessionAccess access = Open(database, "key");
    return access.Claim(this->Given(access), this->configuration);
  }

  /// The code with which a statement is refused under the next version.
  std::optional<StatementError> CodeOf(const AccessClaim& claim,
                                       const std::string& caller) {
    ++this->configuration.version;
    const auto refusal = this->judge.Check(
        claim, caller,
        std::make_shared<const DirectoryConfiguration>(this->configuration));
    if (!refusal.has_value()) return std::nullopt;
    return refusal->code;
  }

  ClaimJudge judge;
};

// Guards against an owner that judges other daemons' clients otherwise than
// they do themselves.
TEST_F(ClaimJudgeTest, ChangedKeys_Check_RefusesLikeSessionAccess) {
  const AccessClaim closed = this->Claim("closed");
  const AccessClaim open = this->Claim("open");
  EXPECT_EQ(this->CodeOf(closed, "tenant"), std::nullopt);
  this->configuration.workspace_of_key["key"] = common::WorkspaceId("other");
  EXPECT_EQ(this->CodeOf(closed, "tenant"), StatementError::kAborted);
  EXPECT_EQ(this->CodeOf(open, "tenant"), StatementError::kAborted);
  this->configuration.workspace_of_key.clear();
  EXPECT_EQ(this->CodeOf(closed, "tenant"), StatementError::kUnauthorized);
  EXPECT_EQ(this->CodeOf(open, "tenant"), StatementError::kAborted);
  EXPECT_EQ(this->CodeOf(open, "-"), std::nullopt);
}

// Guards against a judgement that is taken back by a daemon that knows less.
TEST_F(ClaimJudgeTest, EarlierVersion_Check_IsNotRefused) {
  this->configuration.version = 7;
  const AccessClaim claim = this->Claim("closed");
  this->configuration.workspace_of_key.clear();
  this->configuration.version = 5;
  EXPECT_EQ(this->CodeOf(claim, "tenant"), std::nullopt);
  EXPECT_EQ(this->CodeOf(claim, "tenant"), std::nullopt);
  EXPECT_EQ(this->judge.Check(claim, "tenant", nullptr), std::nullopt);
  EXPECT_EQ(this->CodeOf(claim, "tenant"), StatementError::kUnauthorized);
}

}  // namespace
}  // namespace camphorferry::session
