#include <openssl/rand.h>

#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "Control/control.h"

namespace camphorferry::control {
namespace {

/// The system's random number generator failed, so no key can be created.
class RandomError : public common::Error {
 public:
  RandomError() : Error("the random number generator failed") {}
};

std::array<unsigned char, version::kKeyBytes> RandomBytes() {
  std::array<unsigned char, version::kKeyBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw RandomError();
  }
  return bytes;
}

int Print(const CommandResult& result, bool json) {
  const bool failed = result.exit_code != ExitCode::kOk;
  if (json) {
    std::cout << result.document.dump(2) << "\n";
  } else {
    (failed ? std::cerr : std::cout) << result.text;
  }
  return static_cast<int>(result.exit_code);
}

int Main(const std::vector<std::string>& arguments) {
  try {
    const CommandLine line = ParseCommandLine(arguments);
    const CommandRunner runner(line, connection::SendHttpBlocking, RandomBytes);
    return Print(runner.Run(), line.json);
  } catch (const UsageError& error) {
    return Print(UsageResult(error), /*json=*/false);
  }
}

}  // namespace
}  // namespace camphorferry::control

int main(int argc, char** argv) {
  try {
    return camphorferry::control::Main(
        std::vector<std::string>(argv + 1, argv + argc));
  } catch (const std::exception& error) {
    std::cerr << "failed: " << error.what() << "\n";
    // The exception may have been thrown after a request was sent, so the
    // outcome is unknown.
    return static_cast<int>(camphorferry::control::ExitCode::kNoAnswer);
  }
}
