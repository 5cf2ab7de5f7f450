#ifndef CAMPHORFERRY_UNIT_TESTS_PLATFORM_AWAIT_H_
#define CAMPHORFERRY_UNIT_TESTS_PLATFORM_AWAIT_H_

#include <chrono>
#include <optional>

#include "Connection/connection.h"

namespace camphorferry::platform {

/// Starts a call and runs the loop until its callback. Throws
/// std::bad_optional_access, which fails the test, if there is none.
template <typename Result, typename Start>
Result Await(connection::EventLoop* loop, Start start) {
  constexpr std::chrono::seconds kLimit(10);
  std::optional<Result> result;
  start([&](const Result& got) {
    result = got;
    loop->Stop();
  });
  const auto limit = loop->After(kLimit, [loop] { loop->Stop(); });
  if (!result.has_value()) loop->Run();
  return result.value();
}

}  // namespace camphorferry::platform

#endif  // CAMPHORFERRY_UNIT_TESTS_PLATFORM_AWAIT_H_
