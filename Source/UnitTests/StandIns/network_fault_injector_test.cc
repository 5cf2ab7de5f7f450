#include "StandIns/network_fault_injector.h"

#include <gtest/gtest.h>

namespace camphorferry::standins {
namespace {

class NetworkFaultInjectorTest : public testing::Test {
 protected:
  NetworkFaultInjector network_faults;
};

// Guards against a connection that is treated as new more than once: each time
// it would get the connect delay and be checked against the connection limit.
TEST_F(NetworkFaultInjectorTest,
       RegisterConnection_SecondRequest_ReturnsFalse) {
  EXPECT_TRUE(this->network_faults.RegisterConnection(1));
  EXPECT_FALSE(this->network_faults.RegisterConnection(1));
  EXPECT_TRUE(this->network_faults.RegisterConnection(2));
  EXPECT_FALSE(this->network_faults.RegisterConnection(1));
}

// Guards against responses on a silenced connection, and against new
// connections that are silent too.
TEST_F(NetworkFaultInjectorTest,
       SilenceOpenConnections_LaterConnection_IsNotSilent) {
  this->network_faults.RegisterConnection(1);
  this->network_faults.SilenceOpenConnections();
  this->network_faults.RegisterConnection(2);
  EXPECT_TRUE(this->network_faults.IsSilent(1));
  EXPECT_FALSE(this->network_faults.IsSilent(2));
}

// Guards against an isolated database that responds on new connections.
TEST_F(NetworkFaultInjectorTest,
       SetIsolated_AllConnections_AreSilentUntilItEnds) {
  this->network_faults.SetIsolated(true);
  EXPECT_TRUE(this->network_faults.IsSilent(1));
  EXPECT_TRUE(this->network_faults.IsSilent(2));
  this->network_faults.SetIsolated(false);
  EXPECT_FALSE(this->network_faults.IsSilent(2));
}

}  // namespace
}  // namespace camphorferry::standins
