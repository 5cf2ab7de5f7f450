#ifndef CAMPHORFERRY_PROCESS_SETTINGS_H_
#define CAMPHORFERRY_PROCESS_SETTINGS_H_

#include <filesystem>
#include <string>
#include <vector>

#include "Common/common.h"
#include "Connection/connection.h"

namespace camphorferry::process {

/// Address of another daemon.
struct PeerSetting {
  common::HostId id;
  common::FailureDomainId domain;
  connection::SocketAddress address;

  bool operator==(const PeerSetting&) const = default;
};

/// Transport security between daemons.
enum class PeerTls { kOff };

/// Settings of one daemon. They do not change while it runs.
struct Settings {
  common::HostId host;
  common::FailureDomainId domain;
  connection::SocketAddress clients;
  connection::SocketAddress operators;
  connection::SocketAddress peers;
  connection::SocketAddress store;
  /// Peers from the settings; the platform's host list adds further ones.
  std::vector<PeerSetting> peer_hosts;
  PeerTls peer_tls = PeerTls::kOff;
  /// The first secret signs session tokens; all of them verify tokens.
  std::vector<std::string> session_secrets;
  common::LogLevel log_level = common::LogLevel::kInfo;
  /// Time between reporting "not ready" and closing the client listener, in
  /// which the load balancer takes the daemon out of service.
  common::Duration shutdown_notice{};

  bool operator==(const Settings&) const = default;
};

/// A settings file is invalid.
class SettingsError : public common::FaultListError {
 public:
  using FaultListError::FaultListError;
};

/// Reads and checks a settings file; throws SettingsError with all faults of
/// the file.
Settings ReadSettings(const std::filesystem::path& file);

/// Parses and checks the text of a settings file. The file name is used only in
/// faults.
Settings ParseSettings(const std::string& text, const std::string& file);

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_SETTINGS_H_
