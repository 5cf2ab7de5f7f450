#ifndef CAMPHORFERRY_SOAK_PROXY_PROCESS_H_
#define CAMPHORFERRY_SOAK_PROXY_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <optional>
#include <string>

#include "Connection/connection.h"

namespace camphorferry::soak {

/// Thrown if a process could not be started.
class ProcessStartError : public common::Error {
 public:
  explicit ProcessStartError(const std::string& program);
};

/// What the machine of a proxy process has.
struct MachineLimits {
  std::size_t memory_mb = 0;
  std::size_t descriptors = 0;
};

/// A proxy process under test. The destructor kills the process.
class ProxyProcess {
 public:
  /// Writes the settings of the proxy to the folder, which also gets its log.
  /// Without an address, the proxy gets a loopback address of its own.
  ProxyProcess(
      std::string program, const std::string& folder, int index,
      const connection::SocketAddress& store,
      const connection::SocketAddress& promotion,
      std::optional<MachineLimits> limits = std::nullopt,
      const common::FailureDomainId& domain = common::FailureDomainId("zone"),
      const std::string& ip = "");
  ~ProxyProcess();
  ProxyProcess(const ProxyProcess&) = delete;
  ProxyProcess& operator=(const ProxyProcess&) = delete;

  /// Starts the process; throws ProcessStartError.
  void Start();

  /// Sends a signal to the process if it is running.
  void Signal(int number) const;

  /// Returns true if the process is running; reaps it if it has exited.
  bool Running();

  /// Resident memory in bytes; nullopt if the process is not running.
  std::optional<std::size_t> ResidentBytes() const;

  /// Largest resident memory so far in bytes; nullopt if the process is not
  /// running.
  std::optional<std::size_t> PeakResidentBytes() const;

  /// Number of open descriptors; 0 if the process is not running.
  std::size_t OpenDescriptors() const;

  connection::SocketAddress ClientAddress() const;
  /// Where other proxies reach this one.
  connection::SocketAddress PeerAddress() const;

 private:
  std::string program;
  std::string settings_path;
  std::string log_path;
  /// Loopback address of this proxy only.
  std::string ip;
  std::optional<MachineLimits> limits;
  /// Id of the running process; 0 if there is none. It must not become -1, with
  /// which kill() signals all processes of the user.
  pid_t pid = 0;
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_PROXY_PROCESS_H_
