#include "StandIns/standin_process.h"

#include <csignal>
#include <iostream>

namespace camphorferry::standins {

StandInProcess::StandInProcess() {
  common::InitializeLogging(common::LogLevel::kInfo);
  // A write to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  for (const int signal_number : {SIGTERM, SIGINT}) {
    this->loop.OnSignal(signal_number, [this] { this->loop.Stop(); });
  }
}

void StandInProcess::Run(std::uint16_t port, std::uint16_t control_port) {
  std::cout << "ready port=" << port << " control_port=" << control_port
            << std::endl;
  this->loop.Run();
}

}  // namespace camphorferry::standins
