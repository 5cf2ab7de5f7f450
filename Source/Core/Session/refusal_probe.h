#ifndef CAMPHORFERRY_SESSION_REFUSAL_PROBE_H_
#define CAMPHORFERRY_SESSION_REFUSAL_PROBE_H_

#include <functional>
#include <string>

#include "Connection/connection.h"

struct event;

namespace camphorferry::session {

/// Finds out by one attempt to connect whether the host at an address refuses
/// connections, as its kernel does once the process that listened has ended.
/// The kernel accepts connections for a process that is stopped or hangs.
class RefusalProbe {
 public:
  /// Calls back once, from the event loop, with whether the connection was
  /// refused; false if it was established, or if nothing came back in time. The
  /// callback may destroy the probe, which cancels it.
  RefusalProbe(connection::EventLoop* loop, const std::string& address,
               std::function<void(bool refused)> done);
  ~RefusalProbe();
  RefusalProbe(const RefusalProbe&) = delete;
  RefusalProbe& operator=(const RefusalProbe&) = delete;

 private:
  static void OnEvent(int socket, short events, void* context);
  /// Starts to connect; returns the error, which is EINPROGRESS if the attempt
  /// goes on.
  int Connect(const std::string& address);

  std::function<void(bool refused)> done;
  int socket = -1;
  /// Error of the attempt if it has failed at once.
  int error = 0;
  event* handle = nullptr;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_REFUSAL_PROBE_H_
