#include "proxy_process.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace camphorferry::soak {
namespace {

class ProxyProcessTest : public testing::Test {
 protected:
  ProxyProcessTest()
      : folder(testing::TempDir() + "proxy_process_test_" +
               std::to_string(common::WallNow().time_since_epoch().count())) {
    std::filesystem::create_directories(this->folder);
  }
  ~ProxyProcessTest() override { std::filesystem::remove_all(this->folder); }

  std::string folder;
};

// Guards against processes that inherit the soak's sockets: peers would not
// notice when the soak closes them, and the simulated databases would run out
// of connections (soak seed 240).
TEST_F(ProxyProcessTest, Start_OpenDescriptor_IsNotInherited) {
  const std::string program = this->folder + "/program";
  std::ofstream(program) << "#!/bin/sh\nls -l /proc/$$/fd\n";
  std::filesystem::permissions(program, std::filesystem::perms::owner_all);
  const std::string marker = this->folder + "/held-open";
  const std::ofstream held(marker);
  ProxyProcess process(program, this->folder, 0, {"127.0.0.1", 1},
                       {"127.0.0.1", 1});
  process.Start();
  while (process.Running()) std::this_thread::yield();
  std::ostringstream listed;
  listed << std::ifstream(this->folder + "/proxy-0.log").rdbuf();
  EXPECT_NE(listed.str().find("proxy-0.log"), std::string::npos);
  EXPECT_EQ(listed.str().find("held-open"), std::string::npos) << listed.str();
}

}  // namespace
}  // namespace camphorferry::soak
