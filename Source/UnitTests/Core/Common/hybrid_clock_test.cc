#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "Common/common.h"

namespace camphorferry::common {
namespace {

// Guards against a timeline that shows an effect before its cause because the
// receiver's wall clock is behind or steps backwards.
RC_GTEST_PROP(HybridClockTest, Now_AfterReceivedTimestamp_IsGreater,
              (std::uint32_t sender_wall, std::uint32_t receiver_wall)) {
  HybridClock sender;
  HybridClock receiver;
  const HybridTime sent =
      sender.Now(WallTime(std::chrono::microseconds(sender_wall)));
  receiver.Observe(sent);
  const HybridTime received =
      receiver.Now(WallTime(std::chrono::microseconds(receiver_wall)));
  RC_ASSERT(received > sent);
}

// Guards against timestamps that overflow and show a wrong date.
TEST(HybridClockTest, WallPart_PresentDate_IsPreserved) {
  const WallTime wall = WallTime(std::chrono::seconds(1'796'369'000));
  HybridClock clock;
  EXPECT_EQ(WallPart(clock.Now(wall)), wall);
}

}  // namespace
}  // namespace camphorferry::common
