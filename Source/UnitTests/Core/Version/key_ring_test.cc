#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "configuration_generator.h"

namespace camphorferry::version {
namespace {

class KeyRingTest : public testing::Test {
 protected:
  static Configuration ConfigurationWithKey(const std::string& key_text) {
    Configuration configuration;
    configuration.workspaces[common::WorkspaceId("w")] = Workspace{10, 5, 1};
    configuration.keys[common::KeyId("k")] =
        Key{common::WorkspaceId("w"), common::Sha256Hex(key_text)};
    return configuration;
  }
};

// Guards against keys that belong to another workspace or to none, and against
// storing the text of a key.
RC_GTEST_PROP(KeyRingPropertyTest, IssuedKey_WorkspaceOf_IsItsOwn,
              (const std::array<unsigned char, kKeyBytes>& random)) {
  const std::string text = GenerateKey(random);
  Configuration configuration = *GenConfiguration();
  configuration.workspaces[common::WorkspaceId("w")] = Workspace{};
  RC_ASSERT(KeyRing(configuration).WorkspaceOf(text) == std::nullopt);
  configuration.keys[common::KeyId("issued")] =
      Key{common::WorkspaceId("w"), common::Sha256Hex(text)};
  RC_ASSERT(KeyRing(configuration).WorkspaceOf(text) ==
            common::WorkspaceId("w"));
  const std::string stored = ConfigurationToJson(configuration).dump();
  RC_ASSERT(stored.find(text) == std::string::npos);
}

// Guards against accepting the digest of a key, which operators can read, as
// the key.
TEST_F(KeyRingTest, DigestPresentedAsKey_WorkspaceOf_IsNone) {
  const KeyRing ring(ConfigurationWithKey("secret"));
  EXPECT_EQ(ring.WorkspaceOf("secret"), common::WorkspaceId("w"));
  EXPECT_EQ(ring.WorkspaceOf(common::Sha256Hex("secret")), std::nullopt);
  EXPECT_EQ(ring.WorkspaceOf(""), std::nullopt);
}

// Guards against keys that stay valid after their workspace was removed.
TEST_F(KeyRingTest, WorkspaceRemoved_WorkspaceOf_IsNone) {
  Configuration configuration = ConfigurationWithKey("secret");
  configuration.workspaces.clear();
  EXPECT_EQ(KeyRing(configuration).WorkspaceOf("secret"), std::nullopt);
}

}  // namespace
}  // namespace camphorferry::version
