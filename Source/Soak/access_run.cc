#include "access_run.h"

#include <csignal>
#include <iterator>
#include <utility>

#include "access_client.h"

namespace camphorferry::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time within which a change is in force at proxies that are not disturbed,
/// and after which a proxy must not return to an earlier version.
constexpr milliseconds kChangeBound(4000);
constexpr milliseconds kDowngradeSlack(250);
/// Disturbances end before the bound has passed.
constexpr int kMaxDisturbanceMs = 3500;
/// Time for the processes to start and to find each other.
constexpr seconds kStartTime(4);
constexpr milliseconds kClientStep(5);
constexpr milliseconds kRestartInterval(150);
constexpr std::size_t kKeys = 8;
constexpr std::size_t kClientsPerProxy = 16;
/// In every other run, there are fewer connections than proxies, so that
/// statements are forwarded to their owners.
constexpr std::uint32_t kFewConnections = 6;
constexpr std::uint32_t kManyConnections = 128;

const common::ServiceId kService("service");
const std::vector<std::string> kWorkspaces = {"first", "second", "third"};

struct Route {
  const char* name;
  session::ReadGuarantee guarantee;
  bool open;
};

constexpr Route kRoutes[] = {
    {"closed-latest", session::ReadGuarantee::kLatest, false},
    {"open-latest", session::ReadGuarantee::kLatest, true},
    {"closed-bounded", session::ReadGuarantee::kBoundedStaleness, false},
    {"open-own", session::ReadGuarantee::kReadYourWrites, true}};

std::string KeyName(std::size_t index) {
  return "key-" + std::to_string(index);
}

}  // namespace

AccessRun::AccessRun(AccessRunSettings settings)
    : settings(std::move(settings)),
      random(this->settings.seed),
      store(&this->loop, [](const std::string& /*service*/,
                            const std::string& /*id*/) { return false; }),
      fleet(&this->loop, this->settings.program, this->settings.folder,
            this->settings.proxies, this->store.Address()),
      checker(this->settings.proxies, kChangeBound, kDowngradeSlack),
      cut(this->settings.proxies),
      starts(this->settings.proxies) {
  this->StartDatabases();
  for (std::size_t index = 0; index < kKeys; ++index) {
    this->holders[KeyName(index)] = kWorkspaces[index % kWorkspaces.size()];
  }
  this->Publish();
}

AccessRun::~AccessRun() = default;

milliseconds AccessRun::Between(int least, int most) {
  return milliseconds(least +
                      static_cast<int>(this->random() % (most - least)));
}

void AccessRun::StartDatabases() {
  for (std::size_t index = 0; index < RelayedFleet::kDomains; ++index) {
    this->databases.push_back(std::make_unique<platform::FakeDatabase>(
        &this->loop, kService.Value(), "db-" + std::to_string(index)));
    platform::FakeDatabase& database = *this->databases.back();
    database.primary = index == 0;
    database.max_connections = kManyConnections;
    database.on_executed = [this](const platform::StatementRecord& statement) {
      this->checker.OnExecuted(statement.id, statement.caller,
                               common::SteadyNow());
    };
    database.on_commit = [this] {
      for (const auto& member : this->databases) {
        member->position = this->databases.front()->position;
      }
    };
    // A database that is busy makes statements wait in the proxies.
    database.command_behavior = [this](const std::string& text) {
      const bool is_statement = text.find("READ") != std::string::npos ||
                                text.find("WRITE") != std::string::npos;
      return this->databases_busy && is_statement
                 ? platform::CommandBehavior::kBusy
                 : platform::CommandBehavior::kRun;
    };
    session::GroupMember entry = database.Registration();
    entry.domain = RelayedFleet::DomainOf(index);
    this->store.Put(entry);
  }
}

void AccessRun::Publish() {
  session::DirectoryConfiguration configuration;
  configuration.version = ++this->version;
  configuration.services[kService].max_connections =
      this->settings.seed % 2 == 0 ? kManyConnections : kFewConnections;
  for (const Route& declared : kRoutes) {
    session::DatabaseRoute& route = configuration.routes[declared.name];
    route.service = kService;
    route.guarantee = declared.guarantee;
    route.open = declared.open;
    route.max_staleness = milliseconds(1500);
    route.statement_timeout = milliseconds(800);
    route.latency_objective = milliseconds(700);
  }
  for (const std::string& workspace : kWorkspaces) {
    configuration.workspaces[common::WorkspaceId(workspace)] = {100000, 100000};
  }
  for (const auto& [key, workspace] : this->holders) {
    configuration.workspace_of_key[key] = common::WorkspaceId(workspace);
  }
  this->store.Put(configuration);
  this->checker.OnVersion(this->holders, common::SteadyNow());
}

void AccessRun::ChangeKeys() {
  constexpr std::size_t kMaxChanged = 4;
  const std::size_t count = 1 + this->random() % kMaxChanged;
  for (std::size_t changed = 0; changed < count; ++changed) {
    const std::string key = KeyName(this->random() % kKeys);
    if (this->random() % 2 == 0 && this->holders.contains(key)) {
      this->holders.erase(key);
    } else {
      this->holders[key] = kWorkspaces[this->random() % kWorkspaces.size()];
    }
  }
  this->Publish();
}

void AccessRun::ScheduleChange() {
  // Changes come alone, and in quick succession.
  const bool quick = this->random() % 3 == 0;
  this->loop.RunLater(quick ? this->Between(20, 300) : this->Between(500, 5000),
                      [this] {
                        this->ChangeKeys();
                        this->ScheduleChange();
                      });
}

void AccessRun::ScheduleFault() {
  this->loop.RunLater(this->Between(200, 2500), [this] {
    this->BeginFault();
    this->ScheduleFault();
  });
}

void AccessRun::Disturb(std::size_t proxy, common::Duration length) {
  this->checker.OnDisturbed(proxy, common::SteadyNow());
  this->loop.RunLater(length, [this, proxy, process = this->starts[proxy]] {
    if (process != this->starts[proxy]) return;
    this->checker.OnUndisturbed(proxy, common::SteadyNow());
  });
}

void AccessRun::BeginFault() {
  const std::size_t proxy = this->random() % this->settings.proxies;
  const milliseconds length = this->Between(300, kMaxDisturbanceMs);
  constexpr int kKinds = 8;
  switch (this->random() % kKinds) {
    case 0:
      this->checker.OnDisturbed(proxy, common::SteadyNow());
      this->fleet.Proxy(proxy).Signal(SIGKILL);
      return;
    case 1:
      this->checker.OnDisturbed(proxy, common::SteadyNow());
      this->fleet.Proxy(proxy).Signal(SIGTERM);
      return;
    case 2:
      this->Disturb(proxy, length);
      this->fleet.Proxy(proxy).Signal(SIGSTOP);
      this->loop.RunLater(
          length, [this, proxy] { this->fleet.Proxy(proxy).Signal(SIGCONT); });
      return;
    case 3:
      this->databases_busy = true;
      this->loop.RunLater(this->Between(100, 1200),
                          [this] { this->databases_busy = false; });
      return;
    case 4:
      this->store.DropHistory();
      return;
    default:
      this->CutLinks(proxy, length);
      return;
  }
}

void AccessRun::CutLinks(std::size_t proxy, common::Duration length) {
  // A proxy that reaches neither the store nor the others learns of nothing.
  if (this->cut[proxy]) return;
  this->cut[proxy] = true;
  constexpr LinkState kStates[] = {LinkState::kHeld, LinkState::kSilent,
                                   LinkState::kDown};
  const LinkState state = kStates[this->random() % std::size(kStates)];
  const bool store = this->random() % 2 == 0;
  const auto set = [this, proxy, store](LinkState changed) {
    if (store) {
      this->fleet.SetStoreLink(proxy, changed);
      return;
    }
    for (std::size_t other = 0; other < this->settings.proxies; ++other) {
      if (other == proxy) continue;
      this->fleet.SetPeerLink(proxy, other, changed);
      this->fleet.SetPeerLink(other, proxy, changed);
    }
  };
  set(state);
  this->loop.RunLater(length, [this, proxy, set] {
    set(LinkState::kOpen);
    this->cut[proxy] = false;
  });
}

void AccessRun::StartClients() {
  constexpr AccessPace kPaces[] = {AccessPace::kIdle, AccessPace::kBusy,
                                   AccessPace::kTransactions};
  for (std::size_t proxy = 0; proxy < this->settings.proxies; ++proxy) {
    for (std::size_t index = 0; index < kClientsPerProxy; ++index) {
      const Route& route = kRoutes[index % std::size(kRoutes)];
      AccessClient::Settings settings;
      settings.number = this->clients.size();
      settings.database = route.name;
      settings.open = route.open;
      settings.key = KeyName(this->random() % kKeys);
      settings.pace = kPaces[this->random() % std::size(kPaces)];
      settings.proxy = proxy;
      settings.address = this->fleet.Proxy(proxy).ClientAddress();
      settings.seed = this->random();
      this->clients.push_back(std::make_unique<AccessClient>(
          &this->loop, &this->checker, std::move(settings)));
    }
  }
}

void AccessRun::RestartEnded() {
  for (std::size_t proxy = 0; proxy < this->settings.proxies; ++proxy) {
    if (this->fleet.Proxy(proxy).Running()) continue;
    this->fleet.Proxy(proxy).Start();
    ++this->starts[proxy];
    this->checker.OnRestarted(proxy, common::SteadyNow());
  }
}

AccessRunResult AccessRun::Run() {
  this->fleet.Start();
  for (std::size_t proxy = 0; proxy < this->settings.proxies; ++proxy) {
    this->checker.OnRestarted(proxy, common::SteadyNow());
  }
  std::unique_ptr<connection::Timer> steps;
  this->loop.RunLater(kStartTime, [this, &steps] {
    this->StartClients();
    steps = this->loop.Every(kClientStep, [this] {
      const common::SteadyTime now = common::SteadyNow();
      for (const auto& client : this->clients) client->Step(now);
    });
    this->ScheduleChange();
    this->ScheduleFault();
  });
  const auto restarts =
      this->loop.Every(kRestartInterval, [this] { this->RestartEnded(); });
  this->loop.RunLater(kStartTime + this->settings.length,
                      [this] { this->loop.Stop(); });
  this->loop.Run();
  this->clients.clear();
  AccessRunResult result;
  result.violations = this->checker.Violations();
  result.versions = this->checker.Versions();
  result.executions = this->checker.Executions();
  result.changed_callers = this->checker.ChangedCallers();
  result.key_refusals = this->checker.KeyRefusals();
  return result;
}

}  // namespace camphorferry::soak
