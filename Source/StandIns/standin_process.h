#ifndef CAMPHORFERRY_STANDINS_STANDIN_PROCESS_H_
#define CAMPHORFERRY_STANDINS_STANDIN_PROCESS_H_

#include <cstdint>

#include "Connection/connection.h"

namespace camphorferry::standins {

/// Setup shared by the stand-in processes: logging, signals and the event loop.
class StandInProcess {
 public:
  StandInProcess();

  connection::EventLoop* Loop() { return &this->loop; }

  /// Prints the line that reports readiness with the ports, then runs the event
  /// loop until SIGTERM or SIGINT.
  void Run(std::uint16_t port, std::uint16_t control_port);

 private:
  connection::EventLoop loop;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_STANDIN_PROCESS_H_
