#include "StandIns/object_store_core.h"

#include <gtest/gtest.h>

#include <variant>

namespace camphorferry::standins {
namespace {

class ObjectStoreCoreTest : public testing::Test {
 protected:
  ObjectVersion PutVersion(const std::string& path, const nlohmann::json& value,
                           ObjectVersion if_version) {
    const PutResult result = this->store.Put(path, value, if_version);
    const auto* done = std::get_if<PutDone>(&result);
    return done == nullptr ? 0 : done->version;
  }

  ObjectStoreCore store;
};

// Guards against a result for an object that was never stored.
TEST_F(ObjectStoreCoreTest, Get_NoObject_ReturnsNothing) {
  EXPECT_FALSE(this->store.Get("config"));
  EXPECT_FALSE(this->store.GetIfNewer("config", 0));
}

// Guards against two operators that both create the same object.
TEST_F(ObjectStoreCoreTest, Put_CreateExistingObject_Conflicts) {
  EXPECT_EQ(this->PutVersion("config", "first", 0), 1U);
  const PutResult second = this->store.Put("config", "second", 0);
  ASSERT_TRUE(std::holds_alternative<PutConflict>(second));
  EXPECT_EQ(std::get<PutConflict>(second).current, 1U);
  EXPECT_EQ(this->store.Get("config")->value, "first");
}

// Guards against a lost update by a conditional put with an old version.
TEST_F(ObjectStoreCoreTest, Put_OldVersion_ConflictsAndChangesNothing) {
  this->PutVersion("config", "first", 0);
  EXPECT_EQ(this->PutVersion("config", "second", 1), 2U);
  const PutResult late = this->store.Put("config", "late", 1);
  ASSERT_TRUE(std::holds_alternative<PutConflict>(late));
  EXPECT_EQ(std::get<PutConflict>(late).current, 2U);
  EXPECT_EQ(this->store.Get("config")->version, 2U);
  EXPECT_EQ(this->store.Get("config")->value, "second");
}

// Guards against a put with a version that the store has not assigned.
TEST_F(ObjectStoreCoreTest, Put_FutureVersion_Conflicts) {
  EXPECT_TRUE(std::holds_alternative<PutConflict>(
      this->store.Put("config", "value", 3)));
  EXPECT_FALSE(this->store.Get("config"));
}

// Guards against watches that return without a change or miss one.
TEST_F(ObjectStoreCoreTest, GetIfNewer_GivenVersion_ReturnsOnlyNewerObjects) {
  this->PutVersion("config", "first", 0);
  EXPECT_TRUE(this->store.GetIfNewer("config", 0));
  EXPECT_FALSE(this->store.GetIfNewer("config", 1));
  this->PutVersion("config", "second", 1);
  ASSERT_TRUE(this->store.GetIfNewer("config", 1));
  EXPECT_EQ(this->store.GetIfNewer("config", 1)->value, "second");
}

// Guards against paths that share a version counter or a value.
TEST_F(ObjectStoreCoreTest, Put_TwoPaths_AreIndependent) {
  this->PutVersion("rates/a", 1, 0);
  this->PutVersion("rates/a", 2, 1);
  EXPECT_EQ(this->PutVersion("rates/b", 1, 0), 1U);
  EXPECT_EQ(this->store.Get("rates/a")->version, 2U);
}

}  // namespace
}  // namespace camphorferry::standins
