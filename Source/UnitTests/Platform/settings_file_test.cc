#include "settings_file.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace camphorferry::platform {
namespace {

using nlohmann::json;

class SettingsFileTest : public testing::Test {
 protected:
  SettingsFileTest()
      : path(testing::TempDir() + "settings_file_test_" +
             testing::UnitTest::GetInstance()->current_test_info()->name() +
             ".json") {}
  ~SettingsFileTest() override { std::remove(this->path.c_str()); }

  SettingsFile Read(const std::string& text) const {
    std::ofstream(this->path) << text;
    return ReadSettingsFile(this->path);
  }

  static json Valid() {
    return {{"node", "n1"},
            {"ip", "10.0.0.1"},
            {"zone", "z"},
            {"zones", {{"z", "r"}}},
            {"listen",
             {{"frontend", "10.0.0.1:1"},
              {"ready", "10.0.0.1:2"},
              {"control", "10.0.0.1:3"}}},
            {"portRange", {7560, 7575}},
            {"contractParams", {{"graceS", 6}, {"quotaOver", 0.1}}},
            {"platform", {{"addr", "10.0.0.2:4"}}},
            {"cloudApi", {{"addr", "10.0.0.3:5"}}},
            {"unknownField", true}};
  }

  std::string path;
};

TEST_F(SettingsFileTest, ReadSettingsFile_ValidFile_ReturnsAddressesAndGrace) {
  const SettingsFile settings = this->Read(Valid().dump());
  EXPECT_EQ(settings.proxy.clients.port, 1);
  EXPECT_EQ(settings.proxy.peers.port, 7560);
  EXPECT_EQ(settings.store_address.port, 4);
  EXPECT_EQ(settings.proxy.stop_grace, std::chrono::seconds(6));
}

// Guards against a proxy that does not know the limits of its machine.
TEST_F(SettingsFileTest, ReadSettingsFile_MachineLimits_AreReturned) {
  json document = Valid();
  document["limits"] = {{"memoryMb", 160}, {"fdLimit", 4300}};
  const session::HostResources resources =
      this->Read(document.dump()).proxy.resources;
  EXPECT_EQ(resources.memory_bytes, 160U * 1024 * 1024);
  EXPECT_EQ(resources.descriptors, 4300U);
}

// Guards against a daemon that starts with incomplete or invalid settings.
TEST_F(SettingsFileTest, ReadSettingsFile_MissingOrInvalidFields_Throws) {
  for (const char* field : {"node", "zone", "listen", "platform", "cloudApi"}) {
    json document = Valid();
    document.erase(field);
    EXPECT_THROW(this->Read(document.dump()), SettingsFileError) << field;
    document[field] = 5;
    EXPECT_THROW(this->Read(document.dump()), SettingsFileError) << field;
  }
  EXPECT_THROW(this->Read("{"), SettingsFileError);
  EXPECT_THROW(ReadSettingsFile("/no/such/file"), SettingsFileError);
}

}  // namespace
}  // namespace camphorferry::platform
