#include <chrono>
#include <iostream>
#include <string>

#include "StandIns/command_line.h"
#include "StandIns/platform_control.h"
#include "StandIns/platform_server.h"
#include "StandIns/standin_process.h"

namespace camphorferry::standins {

namespace {

int Main(int argc, const char** argv) {
  CommandLine line("standin-platform");
  std::string listen;
  std::string control_listen;
  std::uint32_t host_lag_ms = 0;
  line.AddString("listen", "IP:PORT", "Address for daemons", &listen);
  line.AddString("control", "IP:PORT", "Address for fault injection",
                 &control_listen);
  line.AddNumber("host-lag-ms", "N", "Delay before a changed list shows",
                 &host_lag_ms);
  if (const auto code = line.Parse(argc, argv)) return *code;
  if (listen.empty()) return line.UsageError("--listen is missing");
  if (control_listen.empty()) return line.UsageError("--control is missing");
  try {
    const auto address = connection::ParseSocketAddress(listen);
    const auto control_address = connection::ParseSocketAddress(control_listen);
    StandInProcess process;
    PlatformServer platform(process.Loop(), address,
                            std::chrono::milliseconds(host_lag_ms));
    const PlatformControl control(process.Loop(), control_address, &platform);
    process.Run(platform.Port(), control.Port());
  } catch (const connection::BadSocketAddressError& error) {
    return line.UsageError(error.what());
  } catch (const connection::ListenError& error) {
    std::cerr << "standin-platform: " << error.what() << "\n";
    return kExitFailure;
  }
  return kExitOk;
}

}  // namespace

}  // namespace camphorferry::standins

int main(int argc, const char** argv) {
  return camphorferry::standins::Main(argc, argv);
}
