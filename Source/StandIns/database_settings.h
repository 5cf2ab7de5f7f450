#ifndef CAMPHORFERRY_STANDINS_DATABASE_SETTINGS_H_
#define CAMPHORFERRY_STANDINS_DATABASE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "Common/common.h"
#include "Connection/connection.h"

namespace camphorferry::standins {

/// Settings of a database process, from its command line.
struct DatabaseSettings {
  connection::SocketAddress listen;
  connection::SocketAddress control;
  std::string id;
  std::uint32_t slots = 2;
  std::uint32_t connections = 16;
  common::Duration connect_delay = common::Duration::zero();
  common::Duration replication_delay = common::Duration::zero();
  /// True to start as the primary of term 1.
  bool primary = false;
  /// Address of the primary of term 1 that this database replicates at start.
  std::optional<connection::SocketAddress> follow;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_DATABASE_SETTINGS_H_
