#ifndef CAMPHORFERRY_SOAK_FAULT_SCHEDULE_H_
#define CAMPHORFERRY_SOAK_FAULT_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Common/common.h"

namespace camphorferry::soak {

/// Faults and operator actions that a run injects.
enum class FaultKind {
  kStopProxy,
  kKillProxy,
  kFreezeProxy,
  kKillAllProxies,
  kCrashPrimary,
  kResetDatabaseConnections,
  kDatabaseLinksSilent,
  kDatabaseLinksCutForward,
  kDatabaseLinksCutBackward,
  kDatabaseLinksDelayed,
  kReplicasLag,
  kDatabaseAnswersLost,
  kStoreBusy,
  kStoreSilent,
  kStoreSlow,
  kStoreAnswersLost,
  kStoreHistoryDropped,
  kProxyCutFromStore,
  kConfigurationChange,
  kKeyWithdrawn,
  kSettingsSignal,
  kSlowPromotions,
  kSilentPrimary,
  kPromotionPathHeld
};

/// Name of a fault for logs.
const char* ToString(FaultKind kind);

/// One scheduled fault, with its start relative to the start of the run.
struct Fault {
  FaultKind kind = FaultKind::kStopProxy;
  common::Duration at = common::Duration::zero();
  common::Duration duration = common::Duration::zero();
  /// Random number that selects the affected process or service.
  std::uint64_t target_selector = 0;
  bool operator==(const Fault&) const = default;
};

/// Generates the faults of a run of the given length: single, repeated and
/// overlapping ones. The result depends only on the seed and the length. The
/// last seconds of the run have no faults. Promotions are slow in every other
/// seed on average; this is drawn apart, so the other faults don't depend on
/// it.
std::vector<Fault> MakeSchedule(std::uint64_t seed, common::Duration length);

/// Generates faults that have primaries replaced about once per second, while
/// the paths from some proxies to the promotion API are held, and proxies with
/// a held path are killed or suspended. The last seconds of the run have no
/// faults.
std::vector<Fault> MakePromotionSchedule(std::uint64_t seed,
                                         common::Duration length);

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_FAULT_SCHEDULE_H_
