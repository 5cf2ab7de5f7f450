#ifndef CAMPHORFERRY_STANDINS_STANDIN_PROCESS_H_
#define CAMPHORFERRY_STANDINS_STANDIN_PROCESS_H_

#include <cstdint>

#include "Connection/connection.h"

namespace camphorferry::standins {

/// What both stand-in processes do around their listeners.
class StandInProcess {
 public:
  StandInProcess();

  connection::EventLoop* Loop() { return &this->loop; }

  /// Prints the ready line and runs until SIGTERM or SIGINT.
  void Run(std::uint16_t port, std::uint16_t control_port);

 private:
  connection::EventLoop loop;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_STANDIN_PROCESS_H_
