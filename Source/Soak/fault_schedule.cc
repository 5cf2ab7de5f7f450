#include "fault_schedule.h"

#include <algorithm>
#include <array>
#include <random>

namespace camphorferry::soak {

namespace {

/// The kinds that are drawn with equal probability.
constexpr std::array<FaultKind, 21> kAllFaultKinds = {
    FaultKind::kStopProxy,
    FaultKind::kKillProxy,
    FaultKind::kFreezeProxy,
    FaultKind::kKillAllProxies,
    FaultKind::kCrashPrimary,
    FaultKind::kResetDatabaseConnections,
    FaultKind::kDatabaseLinksSilent,
    FaultKind::kDatabaseLinksCutForward,
    FaultKind::kDatabaseLinksCutBackward,
    FaultKind::kDatabaseLinksDelayed,
    FaultKind::kReplicasLag,
    FaultKind::kDatabaseAnswersLost,
    FaultKind::kStoreBusy,
    FaultKind::kStoreSilent,
    FaultKind::kStoreSlow,
    FaultKind::kStoreAnswersLost,
    FaultKind::kStoreHistoryDropped,
    FaultKind::kProxyCutFromStore,
    FaultKind::kConfigurationChange,
    FaultKind::kKeyWithdrawn,
    FaultKind::kSettingsSignal};

/// Time without faults at the end of a run, in which the system must recover.
constexpr std::chrono::seconds kFaultFreeEnd(9);
/// Time under load before the first fault.
constexpr std::chrono::seconds kFaultFreeStart(2);
/// Time between the end of slow promotions and the end of a run. An order may
/// take effect 8 s later, and another one may be given only 10 s later.
constexpr std::chrono::seconds kPromptPromotionsEnd(14);
/// Time without faults at the end of a run of promotions. An order without an
/// answer may bar others for 10 s.
constexpr std::chrono::seconds kFaultFreePromotionEnd(17);

/// A random time from the least one up to, but not including, the most.
std::chrono::milliseconds Between(int least, int most,
                                  std::mt19937_64* random) {
  return std::chrono::milliseconds(
      least + static_cast<int>((*random)() % (most - least)));
}

/// Appends a fault, shortened to end at the given time. Returns false if it
/// would not begin before.
bool AddUntil(common::Duration end, Fault fault, std::vector<Fault>* faults) {
  fault.duration = std::min<common::Duration>(fault.duration, end - fault.at);
  if (fault.duration <= common::Duration::zero()) return false;
  faults->push_back(fault);
  return true;
}

/// Appends the time of slow promotions, if the seed has one. The primary of one
/// service is silent for its first seconds and the replicas lag, so that
/// an order that takes effect late meets a log that lacks commits.
void AddSlowPromotions(std::uint64_t seed, common::Duration length,
                       std::vector<Fault>* faults) {
  constexpr std::chrono::seconds kSilence(4);
  std::mt19937_64 random(~seed);
  if (random() % 2 == 0) return;
  Fault fault;
  fault.at = kFaultFreeStart + std::chrono::milliseconds(random() % 2000);
  fault.duration = length - kPromptPromotionsEnd - fault.at;
  if (fault.duration <= common::Duration::zero()) return;
  fault.target_selector = random();
  for (const FaultKind kind :
       {FaultKind::kSlowPromotions, FaultKind::kReplicasLag,
        FaultKind::kSilentPrimary}) {
    fault.kind = kind;
    faults->push_back(fault);
  }
  faults->back().duration =
      std::min<common::Duration>(fault.duration, kSilence);
}

}  // namespace

const char* ToString(FaultKind kind) {
  switch (kind) {
    case FaultKind::kStopProxy:
      return "stop_proxy";
    case FaultKind::kKillProxy:
      return "kill_proxy";
    case FaultKind::kFreezeProxy:
      return "freeze_proxy";
    case FaultKind::kKillAllProxies:
      return "kill_all_proxies";
    case FaultKind::kCrashPrimary:
      return "crash_primary";
    case FaultKind::kResetDatabaseConnections:
      return "reset_database_connections";
    case FaultKind::kDatabaseLinksSilent:
      return "database_links_silent";
    case FaultKind::kDatabaseLinksCutForward:
      return "database_links_cut_forward";
    case FaultKind::kDatabaseLinksCutBackward:
      return "database_links_cut_backward";
    case FaultKind::kDatabaseLinksDelayed:
      return "database_links_delayed";
    case FaultKind::kReplicasLag:
      return "replicas_lag";
    case FaultKind::kDatabaseAnswersLost:
      return "database_answers_lost";
    case FaultKind::kStoreBusy:
      return "store_busy";
    case FaultKind::kStoreSilent:
      return "store_silent";
    case FaultKind::kStoreSlow:
      return "store_slow";
    case FaultKind::kStoreAnswersLost:
      return "store_answers_lost";
    case FaultKind::kStoreHistoryDropped:
      return "store_history_dropped";
    case FaultKind::kProxyCutFromStore:
      return "proxy_cut_from_store";
    case FaultKind::kConfigurationChange:
      return "configuration_change";
    case FaultKind::kKeyWithdrawn:
      return "key_withdrawn";
    case FaultKind::kSettingsSignal:
      return "settings_signal";
    case FaultKind::kSlowPromotions:
      return "slow_promotions";
    case FaultKind::kSilentPrimary:
      return "silent_primary";
    case FaultKind::kPromotionPathHeld:
      return "promotion_path_held";
  }
  return "unknown";
}

std::vector<Fault> MakeSchedule(std::uint64_t seed, common::Duration length) {
  std::mt19937_64 random(seed);
  std::vector<Fault> faults;
  const common::Duration end = length - kFaultFreeEnd;
  common::Duration at = kFaultFreeStart;
  while (at < end) {
    Fault fault;
    fault.kind = kAllFaultKinds[random() % kAllFaultKinds.size()];
    fault.at = at;
    fault.duration = Between(300, 4000, &random);
    fault.target_selector = random();
    // A third of the faults are repeated in quick succession.
    const int repetitions = random() % 3 == 0 ? 3 : 1;
    for (int count = 0; count < repetitions; ++count) {
      if (!AddUntil(end, fault, &faults)) break;
      fault.at += Between(300, 1200, &random);
      fault.target_selector = random();
    }
    // The next fault often starts before this one has ended.
    at += Between(500, 3500, &random);
  }
  AddSlowPromotions(seed, length, &faults);
  return faults;
}

std::vector<Fault> MakePromotionSchedule(std::uint64_t seed,
                                         common::Duration length) {
  std::mt19937_64 random(seed);
  std::vector<Fault> faults;
  const common::Duration end = length - kFaultFreePromotionEnd;
  std::uint64_t service = 0;
  for (common::Duration at = kFaultFreeStart; at < end;
       at += Between(700, 1300, &random)) {
    const FaultKind kind = random() % 2 == 0 ? FaultKind::kCrashPrimary
                                             : FaultKind::kSilentPrimary;
    AddUntil(end, {kind, at, Between(1500, 2500, &random), service++}, &faults);
  }
  for (common::Duration at = kFaultFreeStart; at < end;
       at += Between(2000, 5000, &random)) {
    const std::uint64_t first = random();
    const std::uint64_t count = 1 + random() % 3;
    for (std::uint64_t offset = 0; offset < count; ++offset) {
      const std::uint64_t proxy = first + offset;
      AddUntil(end,
               {FaultKind::kPromotionPathHeld, at,
                Between(1000, 14000, &random), proxy},
               &faults);
      Fault stop;
      stop.kind =
          random() % 2 == 0 ? FaultKind::kKillProxy : FaultKind::kFreezeProxy;
      stop.duration = Between(500, 5000, &random);
      stop.at = at + Between(300, 3000, &random);
      stop.target_selector = proxy;
      AddUntil(end, stop, &faults);
    }
  }
  return faults;
}

}  // namespace camphorferry::soak
