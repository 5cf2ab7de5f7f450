#include "soak_run.h"

#include <map>
#include <utility>

namespace camphorferry::soak {

namespace {

using common::LogLevel;
using common::Subsystem;

/// Interval between the steps of the clients.
constexpr std::chrono::milliseconds kClientStepInterval(5);
/// Interval at which proxies that have exited are restarted.
constexpr std::chrono::milliseconds kRestartInterval(150);
/// Limit for the resident memory of a proxy with these few sessions, in bytes.
constexpr std::size_t kMemoryLimitBytes = 64ULL * 1024 * 1024;
/// Rate limit of each workspace in operations per second, which the clients
/// sometimes exceed.
constexpr int kRateLimit = 150;
constexpr int kBurst = 150;
/// Operations of a workspace that may reach databases within 5 s: the rate and
/// the burst, plus the tolerance of a tenth and of 20 operations.
constexpr std::size_t kWindowLimit = (kRateLimit * 5 + kBurst) * 11 / 10 + 20;
/// Connection limit of each database.
constexpr std::uint32_t kConnectionLimit = 16;
/// Parameters of the routes, as in the deployments.
constexpr std::chrono::milliseconds kStatementTimeout(800);
constexpr std::chrono::milliseconds kLatencyObjective(700);
constexpr std::chrono::milliseconds kTransactionIdleLimit(2000);
/// Time within which a configuration change takes effect on all proxies, and
/// the time after a fault during which this doesn't apply.
constexpr std::chrono::milliseconds kMaxChangeDelay(4000);
constexpr std::chrono::milliseconds kRecoveryTime(5000);
/// At the end of a run, each client must have had a success within this time.
constexpr std::chrono::seconds kMaxTimeSinceSuccess(4);
/// Time for clients to complete their current operations.
constexpr std::chrono::seconds kFinishTimeout(8);

const std::vector<std::string> kWorkspaces = {"first", "second"};

bool IsPlannedOperation(FaultKind kind) {
  return kind == FaultKind::kStopProxy ||
         kind == FaultKind::kConfigurationChange ||
         kind == FaultKind::kKeyWithdrawn || kind == FaultKind::kSettingsSignal;
}

}  // namespace

SoakRun::SoakRun(SoakSettings settings)
    : settings(std::move(settings)),
      fault_tracker(static_cast<std::size_t>(this->settings.proxies),
                    static_cast<std::size_t>(this->settings.services)) {
  this->store = std::make_unique<platform::FakeStore>(
      &this->loop, [this](const std::string& service, const std::string& id) {
        for (const auto& group : this->groups) {
          if (group->Service() == service) return group->Promote(id);
        }
        return false;
      });
  for (int index = 0; index < this->settings.services; ++index) {
    this->context.services.push_back("service" + std::to_string(index));
    this->groups.push_back(std::make_unique<DatabaseGroup>(
        &this->loop, this->store.get(), &this->checker,
        this->context.services.back(),
        this->settings.seed * 1000 + static_cast<std::uint64_t>(index)));
    this->groups.back()->Register();
  }
  for (const std::string& workspace : kWorkspaces) {
    this->checker.SetWindowLimit(workspace, kWindowLimit);
  }
  this->PutConfiguration();
}

void SoakRun::PutConfiguration() {
  session::DirectoryConfiguration configuration;
  configuration.version = this->configuration_version++;
  configuration.transaction_idle_limit = kTransactionIdleLimit;
  for (const std::string& name : this->context.services) {
    const common::ServiceId service(name);
    configuration.services[service].max_connections = kConnectionLimit;
    session::DatabaseRoute route;
    route.service = service;
    route.max_staleness = kMaxStaleness;
    route.statement_timeout = kStatementTimeout;
    route.latency_objective = kLatencyObjective;
    for (const SoakRoute& kind : kSoakRoutes) {
      route.guarantee = kind.guarantee;
      configuration.routes[name + "-" + kind.name] = route;
    }
  }
  for (const std::string& name : kWorkspaces) {
    const common::WorkspaceId workspace(name);
    configuration.workspaces[workspace] = {kRateLimit, kBurst};
    if (name == kWorkspaces.back() && this->key_withdrawn) continue;
    configuration.workspace_of_key["key-" + name] = workspace;
  }
  this->store->Put(configuration);
}

void SoakRun::StartProxies() {
  for (int index = 0; index < this->settings.proxies; ++index) {
    this->store_relays.push_back(
        std::make_unique<TcpRelay>(&this->loop, this->store->Address()));
    this->promotion_relays.push_back(
        std::make_unique<TcpRelay>(&this->loop, this->store->Address()));
    this->proxies.push_back(std::make_unique<ProxyProcess>(
        this->settings.program, this->settings.folder, index,
        this->store_relays.back()->Address(),
        this->promotion_relays.back()->Address()));
    this->proxies.back()->Start();
  }
}

void SoakRun::StartClients() {
  this->context.loop = &this->loop;
  this->context.checker = &this->checker;
  this->context.proxies = &this->proxies;
  this->context.only_planned_operations = [this](common::SteadyTime since) {
    return this->OnlyPlannedOperations(since);
  };
  this->context.key_revoked = [this](const std::string& key) {
    return this->key_withdrawn && key == "key-" + kWorkspaces.back() &&
           this->OnlyPlannedOperations(this->key_changed_at - kRecoveryTime) &&
           common::SteadyNow() - this->key_changed_at > kMaxChangeDelay;
  };
  for (int number = 0; number < this->settings.clients; ++number) {
    this->clients.push_back(std::make_unique<SoakClient>(
        &this->context, number,
        kWorkspaces[static_cast<std::size_t>(number) % kWorkspaces.size()],
        this->settings.seed * 1000 + static_cast<std::uint64_t>(number)));
  }
}

bool SoakRun::OnlyPlannedOperations(common::SteadyTime since) const {
  return this->active_faults == 0 && this->last_fault_ended_at < since;
}

void SoakRun::BeginFault(const Fault& fault) {
  common::Log(Subsystem::kProcess, LogLevel::kInfo, "fault_begins",
              {{"kind", ToString(fault.kind)},
               {"lasts_ms", common::ToMilliseconds(fault.duration).count()}});
  if (!IsPlannedOperation(fault.kind)) ++this->active_faults;
  this->Execute(this->fault_tracker.Begin(fault));
}

void SoakRun::EndFault(const Fault& fault) {
  const std::optional<FaultAction> action = this->fault_tracker.End(fault);
  if (action.has_value()) this->Execute(*action);
  if (IsPlannedOperation(fault.kind)) return;
  --this->active_faults;
  this->last_fault_ended_at = common::SteadyNow();
}

void SoakRun::Execute(const FaultAction& action) {
  std::visit(
      common::Overloaded{
          [this](const SignalProxy& signal) {
            this->proxies[signal.proxy]->Signal(signal.number);
          },
          [this](const SignalAllProxies& signal) {
            for (const auto& proxy : this->proxies) {
              proxy->Signal(signal.number);
            }
          },
          [this](const CrashPrimary& crash) {
            this->groups[crash.service]->CrashPrimary(crash.state);
          },
          [this](const RestoreDatabases& restore) {
            this->groups[restore.service]->RestoreAll();
          },
          [this](const ResetDatabaseConnections& reset) {
            this->groups[reset.service]->ResetConnections();
          },
          [this](const SetDatabaseLinks& links) {
            this->groups[links.service]->SetLinkState(links.state);
          },
          [this](const SetReplicasLag& replicas) {
            this->groups[replicas.service]->SetReplicasLag(replicas.lag);
          },
          [this](const SetResponsesLost& responses) {
            this->groups[responses.service]->SetLoseResponses(responses.lose);
          },
          [this](const SetPromotionsSlow& promotions) {
            for (const auto& group : this->groups) {
              group->SetPromotionsSlow(promotions.slow);
            }
          },
          [this](const SetStoreState& store) {
            this->store->SetState(store.state);
          },
          [this](const DropStoreHistory&) { this->store->DropHistory(); },
          [this](const SetStoreLink& link) {
            this->store_relays[link.proxy]->SetState(link.state);
          },
          [this](const SetPromotionLink& link) {
            this->promotion_relays[link.proxy]->SetState(link.state);
          },
          [this](const PublishConfiguration&) { this->PutConfiguration(); },
          [this](const ToggleKey&) {
            this->key_withdrawn = !this->key_withdrawn;
            this->key_changed_at = common::SteadyNow();
            this->PutConfiguration();
          }},
      action);
}

void SoakRun::RestartExitedProxies() {
  for (const auto& proxy : this->proxies) {
    if (!proxy->Running()) proxy->Start();
  }
}

void SoakRun::CheckResources() {
  for (const auto& proxy : this->proxies) {
    const auto bytes = proxy->ResidentBytes();
    if (bytes.has_value() && *bytes > kMemoryLimitBytes) {
      this->violations.push_back("memory bytes=" + std::to_string(*bytes));
    }
  }
}

void SoakRun::CheckFinalState() {
  const common::SteadyTime now = common::SteadyNow();
  for (std::size_t index = 0; index < this->clients.size(); ++index) {
    const bool withdrawn =
        this->key_withdrawn && index % kWorkspaces.size() != 0;
    const common::Duration since = now - this->clients[index]->LastSuccess();
    if (withdrawn || since < kMaxTimeSinceSuccess) continue;
    this->violations.push_back("not_served client=" + std::to_string(index));
  }
}

void SoakRun::CheckFencingTokens() {
  using platform::PromotionCall;
  const auto describe = [](const PromotionCall& call) {
    return call.service + " " + call.endpoint + " holder=" + call.holder +
           " token=" + std::to_string(call.token);
  };
  std::uint64_t latest_token = 0;
  std::map<std::string, PromotionCall> highest_calls;
  for (const PromotionCall& call : this->store->PromotionCalls()) {
    PromotionCall& highest =
        highest_calls.try_emplace(call.service, call).first->second;
    const bool falls = call.token < highest.token;
    const bool shared =
        call.token == highest.token && call.holder != highest.holder;
    if (falls || shared) {
      this->violations.push_back("fence_falls " + describe(call) + " after " +
                                 describe(highest));
    } else {
      highest = call;
    }
    if (call.token < latest_token &&
        this->settings.schedule == SoakSchedule::kMixed) {
      this->violations.push_back("token_falls token=" +
                                 std::to_string(call.token));
    }
    latest_token = call.token;
  }
}

SoakResult SoakRun::Run() {
  this->StartProxies();
  this->StartClients();
  const std::vector<Fault> faults =
      this->settings.schedule == SoakSchedule::kPromotions
          ? MakePromotionSchedule(this->settings.seed, this->settings.length)
          : MakeSchedule(this->settings.seed, this->settings.length);
  for (const Fault& fault : faults) {
    this->loop.RunLater(fault.at, [this, fault] { this->BeginFault(fault); });
    this->loop.RunLater(fault.at + fault.duration,
                        [this, fault] { this->EndFault(fault); });
  }
  const auto steps = this->loop.Every(kClientStepInterval, [this] {
    for (const auto& client : this->clients) client->Step();
  });
  const auto restarts = this->loop.Every(
      kRestartInterval, [this] { this->RestartExitedProxies(); });
  this->loop.RunLater(this->settings.length, [this] {
    this->CheckResources();
    this->CheckFinalState();
    for (const auto& client : this->clients) client->FinishOperation();
    this->loop.RunLater(kFinishTimeout, [this] { this->loop.Stop(); });
  });
  this->loop.Run();
  this->CheckFencingTokens();
  for (const auto& group : this->groups) {
    this->checker.CheckFinalLog(group->Service(), group->CommittedIds());
  }
  SoakResult result;
  result.violations = this->checker.Violations();
  result.violations.insert(result.violations.end(), this->violations.begin(),
                           this->violations.end());
  result.acknowledged = this->checker.Acknowledged();
  result.executions = this->checker.Executions();
  result.promotion_calls = this->store->PromotionCalls().size();
  this->clients.clear();
  this->proxies.clear();
  return result;
}

}  // namespace camphorferry::soak
