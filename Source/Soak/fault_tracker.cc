#include "fault_tracker.h"

#include <algorithm>
#include <csignal>

namespace camphorferry::soak {

using platform::StoreState;

FaultTracker::FaultTracker(std::size_t proxies, std::size_t services)
    : proxies(proxies), services(services) {}

FaultAction FaultTracker::Begin(const Fault& fault) {
  this->active.push_back(fault);
  return this->Effect(fault);
}

std::optional<FaultAction> FaultTracker::End(const Fault& fault) {
  const auto ended = std::find(this->active.begin(), this->active.end(), fault);
  if (ended != this->active.end()) this->active.erase(ended);
  const std::optional<FaultAction> reversal = this->Reversal(fault);
  if (!reversal.has_value()) return std::nullopt;
  // Faults change the same state if the same action reverses them.
  const auto latest = std::find_if(
      this->active.rbegin(), this->active.rend(),
      [&](const Fault& other) { return this->Reversal(other) == reversal; });
  if (latest == this->active.rend()) return reversal;
  if (latest->kind == fault.kind) return std::nullopt;
  return this->Effect(*latest);
}

FaultAction FaultTracker::Effect(const Fault& fault) const {
  const std::size_t proxy = fault.target_selector % this->proxies;
  const std::size_t service = fault.target_selector % this->services;
  switch (fault.kind) {
    case FaultKind::kStopProxy:
      return SignalProxy{proxy, SIGTERM};
    case FaultKind::kKillProxy:
      return SignalProxy{proxy, SIGKILL};
    case FaultKind::kFreezeProxy:
      return SignalProxy{proxy, SIGSTOP};
    case FaultKind::kKillAllProxies:
      return SignalAllProxies{SIGKILL};
    case FaultKind::kCrashPrimary:
      return CrashPrimary{service};
    case FaultKind::kResetDatabaseConnections:
      return ResetDatabaseConnections{service};
    case FaultKind::kDatabaseLinksSilent:
      return SetDatabaseLinks{service, LinkState::kSilent};
    case FaultKind::kDatabaseLinksCutForward:
      return SetDatabaseLinks{service, LinkState::kCutForward};
    case FaultKind::kDatabaseLinksCutBackward:
      return SetDatabaseLinks{service, LinkState::kCutBackward};
    case FaultKind::kDatabaseLinksDelayed:
      return SetDatabaseLinks{service, LinkState::kDelayed};
    case FaultKind::kReplicasLag:
      return SetReplicasLag{service, true};
    case FaultKind::kDatabaseAnswersLost:
      return SetResponsesLost{service, true};
    case FaultKind::kStoreBusy:
      return SetStoreState{StoreState::kBusy};
    case FaultKind::kStoreSilent:
      return SetStoreState{StoreState::kSilent};
    case FaultKind::kStoreSlow:
      return SetStoreState{StoreState::kSlow};
    case FaultKind::kStoreAnswersLost:
      return SetStoreState{StoreState::kLosesAnswers};
    case FaultKind::kStoreHistoryDropped:
      return DropStoreHistory{};
    case FaultKind::kProxyCutFromStore:
      return SetStoreLink{proxy, LinkState::kSilent};
    case FaultKind::kConfigurationChange:
      return PublishConfiguration{};
    case FaultKind::kKeyWithdrawn:
      return ToggleKey{};
    case FaultKind::kSettingsSignal:
      return SignalProxy{proxy, SIGHUP};
    case FaultKind::kSlowPromotions:
      return SetPromotionsSlow{true};
    case FaultKind::kSilentPrimary:
      return CrashPrimary{service, LinkState::kSilent};
    case FaultKind::kPromotionPathHeld:
      return SetPromotionLink{proxy, LinkState::kHeld};
  }
  return PublishConfiguration{};
}

std::optional<FaultAction> FaultTracker::Reversal(const Fault& fault) const {
  const std::size_t proxy = fault.target_selector % this->proxies;
  const std::size_t service = fault.target_selector % this->services;
  switch (fault.kind) {
    case FaultKind::kFreezeProxy:
      return SignalProxy{proxy, SIGCONT};
    case FaultKind::kCrashPrimary:
    case FaultKind::kSilentPrimary:
      return RestoreDatabases{service};
    case FaultKind::kDatabaseLinksSilent:
    case FaultKind::kDatabaseLinksCutForward:
    case FaultKind::kDatabaseLinksCutBackward:
    case FaultKind::kDatabaseLinksDelayed:
      return SetDatabaseLinks{service, LinkState::kOpen};
    case FaultKind::kReplicasLag:
      return SetReplicasLag{service, false};
    case FaultKind::kDatabaseAnswersLost:
      return SetResponsesLost{service, false};
    case FaultKind::kStoreBusy:
    case FaultKind::kStoreSilent:
    case FaultKind::kStoreSlow:
    case FaultKind::kStoreAnswersLost:
      return SetStoreState{StoreState::kUp};
    case FaultKind::kProxyCutFromStore:
      return SetStoreLink{proxy, LinkState::kOpen};
    case FaultKind::kSlowPromotions:
      return SetPromotionsSlow{false};
    case FaultKind::kPromotionPathHeld:
      return SetPromotionLink{proxy, LinkState::kOpen};
    default:
      return std::nullopt;
  }
}

}  // namespace camphorferry::soak
