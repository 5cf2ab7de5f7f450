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
  /// Requests per second, over all sessions.
  double rate = 0;
  std::uint32_t sessions = 1;
  /// Limits in the configuration: requests per second and burst.
  double limit_rate = 0;
  double limit_burst = 0;
};

/// The whole load.
struct LoadPlan {
  std::vector<connection::SocketAddress> clients;
  std::vector<WorkspaceLoad> workspaces;
  common::Duration length = std::chrono::seconds(10);
  /// Part of the requests that write.
  double write_share = 0.2;
  /// Part of the writes that carry no idempotency key and may not be repeated.
  double unkeyed_share = 0.1;
  /// Part of the reads that state a largest age and no session.
  double aged_share = 0.3;
  common::Duration max_age = std::chrono::seconds(1);
  std::uint64_t seed = 1;
  /// Run number in account names, so that runs on one fleet don't mix.
  std::string run = "run";
};

/// The load file is not valid.
class BadLoadFileError : public common::Error {
 public:
  explicit BadLoadFileError(const std::string& detail);
};

/// Reads the JSON load file: clients, workspaces and the optional settings;
/// throws BadLoadFileError.
LoadPlan ReadLoadPlan(const std::string& file);

}  // namespace camphorferry::load

#endif  // CAMPHORFERRY_LOAD_LOAD_PLAN_H_
