#ifndef CAMPHORFERRY_STANDINS_PLATFORM_DIRECTORY_H_
#define CAMPHORFERRY_STANDINS_PLATFORM_DIRECTORY_H_

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "Common/common.h"
#include "Connection/connection.h"

namespace camphorferry::standins {

/// The platform's lists of hosts and of the databases of each service. Changes
/// show only after a lag, as they do on the real platform.
class PlatformDirectory {
 public:
  PlatformDirectory(connection::EventLoop* loop, common::Duration lag)
      : loop(loop), lag(lag) {}

  /// Checks and takes a list {"hosts": [{id, address, domain, state}]}; throws
  /// BadMessageError.
  void SetHosts(const std::string& body);

  /// Checks and takes a service's databases in the same form, as
  /// {"service": name, "databases": [...]}; throws BadMessageError.
  void SetGroup(const std::string& body);

  /// List of hosts as it shows now.
  const nlohmann::json& Hosts() const { return this->hosts; }

  /// A service's databases as they show now; nothing for an unknown service.
  std::optional<nlohmann::json> Group(const std::string& service) const;

 private:
  void Publish(nlohmann::json* target, nlohmann::json value);

  connection::EventLoop* loop;
  common::Duration lag;
  nlohmann::json hosts = nlohmann::json::array();
  /// A null value is a service whose first list does not show yet.
  std::map<std::string, nlohmann::json> groups;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_PLATFORM_DIRECTORY_H_
