#ifndef CAMPHORFERRY_LOAD_LOAD_PLAN_H_
#define CAMPHORFERRY_LOAD_LOAD_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Common/common.h"
#include "Connection/connection.h"

namespace camphorferry::load {

/// Load of one workspace.
struct WorkspaceLoad {
  std::string name;
  std::string key;
  std::vector<std::string> routes;
  /// Requests per second of all sessions together.
  double rate = 0;
  std::uint32_t sessions = 1;
  /// Rate limit of the workspace in the configuration of the fleet: requests
  /// per second and burst.
  double limit_rate = 0;
  double limit_burst = 0;
};

/// Parameters of a load run.
struct LoadPlan {
  /// Addresses of the daemons' listeners for clients.
  std::vector<connection::SocketAddress> clients;
  std::vector<WorkspaceLoad> workspaces;
  common::Duration length = std::chrono::seconds(10);
  /// Fraction of the requests that are writes.
  double write_share = 0.2;
  /// Fraction of the writes that have no idempotency key and must not be
  /// repeated.
  double unkeyed_share = 0.1;
  /// Fraction of the reads that are sent with a maximum age and without a
  /// session token.
  double aged_share = 0.3;
  common::Duration max_age = std::chrono::seconds(1);
  std::uint64_t seed = 1;
  /// Prefix of the account names, which separates runs against the same fleet.
  std::string run = "run";
};

/// The load file is invalid.
class BadLoadFileError : public common::Error {
 public:
  explicit BadLoadFileError(const std::string& detail);
};

/// Reads a JSON load file with clients, workspaces and optional settings.
/// Throws BadLoadFileError.
LoadPlan ReadLoadPlan(const std::string& file);

}  // namespace camphorferry::load

#endif  // CAMPHORFERRY_LOAD_LOAD_PLAN_H_
