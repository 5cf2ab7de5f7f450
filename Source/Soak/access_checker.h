#ifndef CAMPHORFERRY_SOAK_ACCESS_CHECKER_H_
#define CAMPHORFERRY_SOAK_ACCESS_CHECKER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/common.h"

namespace camphorferry::soak {

/// The workspace that has each key in a version of the configuration.
using KeyHolders = std::map<std::string, std::string>;

/// A statement, or the start of a session, that a client has sent.
struct AccessRequest {
  std::string key;
  /// The session's route can be used without a key.
  bool open = false;
  std::size_t proxy = 0;
  common::SteadyTime sent;
};

/// Compares the callers for which databases execute statements, and the
/// refusals of clients, with the versions of the configuration that may be in
/// force at a proxy. Collects violations as text. Has no clock and no I/O.
class AccessChecker {
 public:
  /// A version must be in force at a proxy after it was undisturbed for the
  /// bound. No statement that is sent later than the slack after a database has
  /// seen the effect of a version may be handled as only an older one allows.
  AccessChecker(std::size_t proxies, common::Duration bound,
                common::Duration downgrade_slack)
      : bound(bound), downgrade_slack(downgrade_slack), proxies(proxies) {}

  /// The store has acknowledged a version.
  void OnVersion(KeyHolders holders, common::SteadyTime now);

  /// A proxy is disturbed from now on, or no longer.
  void OnDisturbed(std::size_t proxy, common::SteadyTime now);
  void OnUndisturbed(std::size_t proxy, common::SteadyTime now);
  /// A proxy's process has been started again. It is undisturbed from now on
  /// and has to learn all again.
  void OnRestarted(std::size_t proxy, common::SteadyTime now);

  void OnSent(const std::string& id, const AccessRequest& request);
  /// A database has executed a statement for a caller, "-" if anonymous.
  void OnExecuted(const std::string& id, const std::string& caller,
                  common::SteadyTime now);
  /// A client was told that its key is unknown.
  void OnKeyRefused(const std::string& id, common::SteadyTime now);

  const std::vector<std::string>& Violations() const {
    return this->violations;
  }
  std::size_t Executions() const { return this->executions; }
  /// Executions for another caller than the first version names.
  std::size_t ChangedCallers() const { return this->changed_callers; }
  std::size_t KeyRefusals() const { return this->key_refusals; }
  std::size_t Versions() const { return this->versions.size(); }

 private:
  struct Version {
    KeyHolders holders;
    common::SteadyTime acknowledged;
  };

  /// The effect of a version that a database has seen.
  struct Effect {
    std::size_t version = 0;
    common::SteadyTime seen;
  };

  struct Disturbance {
    common::SteadyTime begin;
    /// None while it lasts.
    std::optional<common::SteadyTime> end;
  };

  struct ProxyState {
    common::SteadyTime started;
    std::vector<Disturbance> disturbances;
    /// Since the process was started.
    std::vector<Effect> effects;
  };

  /// The caller under a version; none if the request is refused.
  std::optional<std::string> CallerUnder(const Version& version,
                                         const AccessRequest& request) const;
  /// Whether a proxy must have learned by a time of what was acknowledged
  /// earlier.
  bool MustKnow(const ProxyState& proxy, common::SteadyTime acknowledged,
                common::SteadyTime at) const;
  /// The earliest version that may be in force at a proxy.
  std::size_t EarliestInForce(const ProxyState& proxy,
                              common::SteadyTime at) const;
  void Report(const std::string& violation, const std::string& id,
              const std::string& detail);

  common::Duration bound;
  common::Duration downgrade_slack;
  std::vector<Version> versions;
  std::vector<ProxyState> proxies;
  std::map<std::string, AccessRequest> requests;
  std::vector<std::string> violations;
  std::size_t executions = 0;
  std::size_t changed_callers = 0;
  std::size_t key_refusals = 0;
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_ACCESS_CHECKER_H_
