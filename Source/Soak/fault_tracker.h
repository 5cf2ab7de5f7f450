#ifndef CAMPHORFERRY_SOAK_FAULT_TRACKER_H_
#define CAMPHORFERRY_SOAK_FAULT_TRACKER_H_

#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

#include "fake_store.h"
#include "fault_schedule.h"
#include "tcp_relay.h"

namespace camphorferry::soak {

/// Send a signal to a proxy.
struct SignalProxy {
  std::size_t proxy = 0;
  int number = 0;
  bool operator==(const SignalProxy&) const = default;
};

/// Send a signal to all proxies.
struct SignalAllProxies {
  int number = 0;
  bool operator==(const SignalAllProxies&) const = default;
};

/// Make the current primary of a service unreachable.
struct CrashPrimary {
  std::size_t service = 0;
  LinkState state = LinkState::kDown;
  bool operator==(const CrashPrimary&) const = default;
};

/// Make all databases of a service reachable.
struct RestoreDatabases {
  std::size_t service = 0;
  bool operator==(const RestoreDatabases&) const = default;
};

/// Reset all connections to the databases of a service.
struct ResetDatabaseConnections {
  std::size_t service = 0;
  bool operator==(const ResetDatabaseConnections&) const = default;
};

/// Set the state of the links to the databases of a service.
struct SetDatabaseLinks {
  std::size_t service = 0;
  LinkState state = LinkState::kOpen;
  bool operator==(const SetDatabaseLinks&) const = default;
};

/// Let the replicas of a service lag, or catch up again.
struct SetReplicasLag {
  std::size_t service = 0;
  bool lag = false;
  bool operator==(const SetReplicasLag&) const = default;
};

/// Let the databases of a service lose responses, or answer all again.
struct SetResponsesLost {
  std::size_t service = 0;
  bool lose = false;
  bool operator==(const SetResponsesLost&) const = default;
};

/// Let promotions of all services take effect slowly, or promptly again.
struct SetPromotionsSlow {
  bool slow = false;
  bool operator==(const SetPromotionsSlow&) const = default;
};

/// Set how the store responds.
struct SetStoreState {
  platform::StoreState state = platform::StoreState::kUp;
  bool operator==(const SetStoreState&) const = default;
};

/// Discard the change history of the store.
struct DropStoreHistory {
  bool operator==(const DropStoreHistory&) const = default;
};

/// Set the state of the link between a proxy and the store.
struct SetStoreLink {
  std::size_t proxy = 0;
  LinkState state = LinkState::kOpen;
  bool operator==(const SetStoreLink&) const = default;
};

/// Set the state of the link between a proxy and the promotion API.
struct SetPromotionLink {
  std::size_t proxy = 0;
  LinkState state = LinkState::kOpen;
  bool operator==(const SetPromotionLink&) const = default;
};

/// Publish a new version of the configuration.
struct PublishConfiguration {
  bool operator==(const PublishConfiguration&) const = default;
};

/// Withdraw the key of a workspace, or give it back.
struct ToggleKey {
  bool operator==(const ToggleKey&) const = default;
};

using FaultAction =
    std::variant<SignalProxy, SignalAllProxies, CrashPrimary, RestoreDatabases,
                 ResetDatabaseConnections, SetDatabaseLinks, SetReplicasLag,
                 SetResponsesLost, SetStoreState, DropStoreHistory,
                 SetStoreLink, PublishConfiguration, ToggleKey,
                 SetPromotionsSlow, SetPromotionLink>;

/// Decides by which actions the faults of a schedule begin and end. Where
/// faults overlap that change the same state, the one that began last
/// determines it, and the state is reset when all of them have ended.
class FaultTracker {
 public:
  FaultTracker(std::size_t proxies, std::size_t services);

  /// Returns the action that causes the fault.
  FaultAction Begin(const Fault& fault);

  /// Returns the action that ends the fault; nullopt if there is nothing to do.
  std::optional<FaultAction> End(const Fault& fault);

 private:
  FaultAction Effect(const Fault& fault) const;
  std::optional<FaultAction> Reversal(const Fault& fault) const;

  std::size_t proxies;
  std::size_t services;
  /// Faults that have begun and not ended, in the order of their beginning.
  std::vector<Fault> active;
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_FAULT_TRACKER_H_
