#ifndef CAMPHORFERRY_PROCESS_SETTINGS_H_
#define CAMPHORFERRY_PROCESS_SETTINGS_H_

#include <filesystem>
#include <string>
#include <vector>

#include "Common/common.h"
#include "Connection/connection.h"

namespace camphorferry::process {

/// Another daemon that this one may talk to.
struct PeerSetting {
  common::HostId id;
  common::FailureDomainId domain;
  connection::SocketAddress address;

  bool operator==(const PeerSetting&) const = default;
};

/// How daemons protect connections between each other.
enum class PeerTls { kOff };

/// Settings of one daemon; they do not change while it runs.
struct Settings {
  common::HostId host;
  common::FailureDomainId domain;
  connection::SocketAddress clients;
  connection::SocketAddress operators;
  connection::SocketAddress peers;
  connection::SocketAddress store;
  /// The platform's host list adds to these.
  std::vector<PeerSetting> peer_hosts;
  PeerTls peer_tls = PeerTls::kOff;
  /// The first signs session tokens; all verify them.
  std::vector<std::string> session_secrets;
  common::LogLevel log_level = common::LogLevel::kInfo;
  /// Time between reporting not ready and refusing connections, in which the
  /// load balancer notices.
  common::Duration shutdown_notice{};

  bool operator==(const Settings&) const = default;
};

/// A settings file has faults.
class SettingsError : public common::FaultListError {
 public:
  using FaultListError::FaultListError;
};

/// Reads and checks a settings file as a whole; throws SettingsError with every
/// fault of the file.
Settings ReadSettings(const std::filesystem::path& file);

/// Checks the text of a settings file; the file name is for faults only.
Settings ParseSettings(const std::string& text, const std::string& file);

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_SETTINGS_H_
