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
/// become visible after a delay, as on the real platform.
class PlatformDirectory {
 public:
  PlatformDirectory(connection::EventLoop* loop, common::Duration publish_delay)
      : loop(loop), publish_delay(publish_delay) {}

  /// Validates and sets the list {"hosts": [{id, address, domain, state}]}.
  /// Throws BadMessageError.
  void SetHosts(const std::string& body);

  /// Validates and sets the databases of a service, with entries of the same
  /// form:
  /// {"service": name, "databases": [...]}. Throws BadMessageError.
  void SetGroup(const std::string& body);

  /// Currently visible list of hosts.
  const nlohmann::json& Hosts() const { return this->hosts; }

  /// Currently visible databases of a service; nullopt for an unknown service.
  std::optional<nlohmann::json> Group(const std::string& service) const;

 private:
  void Publish(nlohmann::json* target, nlohmann::json value);

  connection::EventLoop* loop;
  common::Duration publish_delay;
  nlohmann::json hosts = nlohmann::json::array();
  /// By service. A null value is a service whose first list is not visible yet.
  std::map<std::string, nlohmann::json> groups;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_PLATFORM_DIRECTORY_H_
