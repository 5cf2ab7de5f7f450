// Runs camphorferry-proxy processes before stand-ins of the store and of three
// databases. The store is unreachable and then silent for a moment; after that
// a key is withdrawn. Checks that no request with this key runs later than the
// rule CONFIG allows.

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fake_database.h"
#include "fake_documents.h"
#include "fake_store.h"
#include "tcp_relay.h"

namespace {

using namespace camphorferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;

constexpr int kProxies = 8;
constexpr const char* kService = "ledger";
constexpr const char* kRoute = "ledger-latest";
constexpr const char* kLastingKey = "key-lasting";
constexpr const char* kWithdrawnKey = "key-withdrawn";

// Bounds of the rules, as in the settings of the site khishig-ledger.
constexpr milliseconds kConfigApply(4000);
constexpr milliseconds kContact(5000);

// Times from the moment at which all clients have been served.
constexpr milliseconds kOutageAt(8000);
constexpr milliseconds kResetsFor(2000);
constexpr milliseconds kSilentFor(1000);
constexpr milliseconds kStoreBackAt = kOutageAt + kResetsFor + kSilentFor;
constexpr milliseconds kWithdrawAt = kStoreBackAt + milliseconds(150);
constexpr milliseconds kEndAt = kStoreBackAt + milliseconds(10000);
constexpr seconds kStartLimit(30);

class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}
  void Add(const std::string& text) {
    const common::Duration age = common::SteadyNow() - this->start;
    this->file << common::ToMilliseconds(age).count() << " ms " << text << "\n";
  }

 private:
  common::SteadyTime start = common::SteadyNow();
  std::ofstream file;
};

// A client session that sends one read after another.
class Client {
 public:
  Client(connection::EventLoop* loop, Record* record,
         connection::SocketAddress proxy, std::string name, std::string key)
      : loop(loop),
        record(record),
        proxy(std::move(proxy)),
        name(std::move(name)),
        key(std::move(key)) {
    this->timer = loop->Every(milliseconds(100), [this] { this->Step(); });
  }

  bool Served() const { return this->last_success.has_value(); }
  common::SteadyTime LastSuccess() const { return *this->last_success; }

  // Requests by the time at which they were sent.
  std::map<std::string, common::SteadyTime> sent;
  std::set<std::string> succeeded;

 private:
  void Step() {
    if (this->stream == nullptr) {
      this->Connect();
      return;
    }
    if (!this->ready) return;
    this->ready = false;
    this->success = false;
    this->request = this->name + "x" + std::to_string(++this->number);
    this->sent[this->request] = common::SteadyNow();
    this->record->Add("sent " + this->request + " with " + this->key);
    this->stream->Send("QUERY " + this->request + " READ a1\r\n");
  }

  void Connect() {
    this->ready = false;
    this->stream =
        std::make_shared<session::MessageStream>(this->loop, this->proxy);
    session::StreamEvents events;
    events.message = [this](std::string_view line) {
      if (!this->request.empty()) {
        this->record->Add("answer " + this->request + " " + std::string(line));
      }
      if (line.starts_with("COMPLETE")) this->success = true;
      if (!line.starts_with("READY")) return;
      this->ready = true;
      if (!this->success) return;
      this->success = false;
      this->last_success = common::SteadyNow();
      this->succeeded.insert(this->request);
    };
    events.closed = [this] {
      this->loop->Post([old = std::move(this->stream)] {});
      this->stream = nullptr;
    };
    this->stream->Start(std::move(events));
    this->stream->Send("STARTUP " + std::string(kRoute) + " " + this->key +
                       "\r\n");
  }

  connection::EventLoop* loop;
  Record* record;
  connection::SocketAddress proxy;
  std::string name;
  std::string key;
  std::shared_ptr<session::MessageStream> stream;
  bool ready = false;
  bool success = false;
  int number = 0;
  std::string request;
  std::optional<common::SteadyTime> last_success;
  std::unique_ptr<connection::Timer> timer;
};

// The command of deploy/system.toml, with the settings file that DEPLOY.md
// names.
pid_t StartProxy(const std::string& settings, const std::string& log) {
  const pid_t child = fork();
  if (child != 0) return child;
  const int output = open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  setenv("CAMPHORFERRY_NODE_FILE", settings.c_str(), 1);
  execl("target/platform/camphorferry-proxy",
        "target/platform/camphorferry-proxy", nullptr);
  _exit(127);
}

session::DirectoryConfiguration MakeConfiguration(std::uint64_t version,
                                                  bool with_key) {
  session::DirectoryConfiguration configuration;
  configuration.version = version;
  configuration.transaction_idle_limit = seconds(2);
  const common::ServiceId service(kService);
  configuration.services[service].max_connections = 64;
  session::DatabaseRoute route;
  route.service = service;
  route.guarantee = session::ReadGuarantee::kLatest;
  route.statement_timeout = milliseconds(800);
  route.latency_objective = milliseconds(1000);
  configuration.routes[kRoute] = route;
  configuration.workspaces[common::WorkspaceId("lasting")] = {400, 400};
  configuration.workspaces[common::WorkspaceId("withdrawn")] = {400, 400};
  configuration.workspace_of_key[kLastingKey] = common::WorkspaceId("lasting");
  if (with_key) {
    configuration.workspace_of_key[kWithdrawnKey] =
        common::WorkspaceId("withdrawn");
  }
  return configuration;
}

int Run(const std::string& folder, const std::string& record_path,
        bool trouble) {
  Record record(record_path);
  connection::EventLoop loop;
  platform::FakeStore store(
      &loop, [](const std::string&, const std::string&) { return false; });
  std::vector<std::unique_ptr<platform::FakeDatabase>> databases;
  std::map<std::string, common::SteadyTime> ran;
  for (int index = 0; index < 3; ++index) {
    databases.push_back(std::make_unique<platform::FakeDatabase>(
        &loop, kService, "db-" + std::to_string(index)));
    platform::FakeDatabase& database = *databases.back();
    database.primary = index == 0;
    database.max_connections = 64;
    database.on_executed = [&](const platform::StatementRecord& statement) {
      ran[statement.id] = common::SteadyNow();
      record.Add("run " + statement.id + " for " + statement.caller);
    };
    store.Put(database.Registration());
  }
  store.Put(MakeConfiguration(1, true));
  soak::TcpRelay relay(&loop, store.Address());

  const unsigned id = static_cast<unsigned>(getpid());
  std::vector<pid_t> proxies;
  std::vector<std::unique_ptr<Client>> clients;
  for (int index = 0; index < kProxies; ++index) {
    const std::string name = "proxy-" + std::to_string(index);
    const std::string ip = "127." + std::to_string(1 + id / 256 % 254) + "." +
                           std::to_string(id % 256) + "." +
                           std::to_string(index + 1);
    session::ProxySettings settings;
    settings.location.host = common::HostId(name);
    settings.location.domain = common::FailureDomainId("zone");
    settings.location.region_of[settings.location.domain] =
        common::RegionId("region");
    settings.clients = {ip, 7001};
    settings.readiness = {ip, 7002};
    settings.peers = {ip, 7003};
    settings.rate_tolerance = {0.1, 20};
    settings.change_bound = kConfigApply;
    settings.settling_time = kContact;
    const std::string path = folder + "/" + name + ".json";
    std::ofstream(path)
        << platform::EncodeSettings(settings, relay.Address()).dump(2);
    proxies.push_back(StartProxy(path, folder + "/" + name + ".log"));
    for (const char* key : {kLastingKey, kWithdrawnKey}) {
      clients.push_back(std::make_unique<Client>(
          &loop, &record, settings.clients,
          name + (key == kLastingKey ? "a" : "b"), key));
    }
  }

  const auto all_served = [&] {
    for (const auto& client : clients) {
      if (!client->Served()) return false;
    }
    return true;
  };
  const common::SteadyTime started = common::SteadyNow();
  bool in_time = true;
  {
    const auto poll = loop.Every(milliseconds(50), [&] {
      in_time = common::SteadyNow() - started < kStartLimit;
      if (all_served() || !in_time) loop.Stop();
    });
    loop.Run();
  }
  const common::SteadyTime begin = common::SteadyNow();
  std::optional<common::SteadyTime> withdrawn_at;
  std::vector<std::unique_ptr<connection::Timer>> steps;
  const auto at = [&](milliseconds when, std::function<void()> action) {
    steps.push_back(loop.After(when, std::move(action)));
  };
  if (in_time) {
    if (trouble) {
      at(kOutageAt, [&] {
        record.Add("store: connections are reset");
        relay.SetState(soak::LinkState::kDown);
      });
      at(kOutageAt + kResetsFor, [&] {
        record.Add("store: silent");
        relay.SetState(soak::LinkState::kSilent);
      });
      at(kStoreBackAt, [&] {
        record.Add("store: sound");
        relay.SetState(soak::LinkState::kOpen);
      });
    }
    at(kWithdrawAt, [&] {
      store.Put(MakeConfiguration(2, false));
      withdrawn_at = common::SteadyNow();
      record.Add("operator: " + std::string(kWithdrawnKey) + " is withdrawn");
    });
    at(kEndAt, [&] { loop.Stop(); });
    loop.Run();
  }
  bool alive = true;
  for (const pid_t proxy : proxies) {
    alive = waitpid(proxy, nullptr, WNOHANG) == 0 && alive;
    kill(proxy, SIGKILL);
    waitpid(proxy, nullptr, 0);
  }
  if (!in_time || !alive || !withdrawn_at.has_value()) {
    std::cout << "not run: proxies did not start or ended\n";
    return kExitNotRun;
  }

  // The store counts as stable, and the machines as in touch, kContact after
  // the store is sound again.
  const common::SteadyTime bound =
      std::max(*withdrawn_at + kConfigApply,
               trouble ? begin + kStoreBackAt + kContact : begin);
  int late_runs = 0;
  int late_answers = 0;
  bool control = true;
  for (std::size_t index = 0; index < clients.size(); ++index) {
    const Client& client = *clients[index];
    if (index % 2 == 0) {
      // The key that stays is still served at the end.
      control =
          control && common::SteadyNow() - client.LastSuccess() < seconds(2);
      continue;
    }
    for (const auto& [request, time] : client.sent) {
      if (time <= bound) continue;
      if (ran.contains(request)) {
        ++late_runs;
        record.Add("late " + request + " was sent " +
                   std::to_string(
                       common::ToMilliseconds(time - *withdrawn_at).count()) +
                   " ms after the withdrawal, and run");
      }
      if (client.succeeded.contains(request)) ++late_answers;
    }
  }
  std::cout << "requests with the withdrawn key sent after the bound: "
            << late_runs << " run, " << late_answers << " answered\n";
  if (!control) {
    std::cout << "not run: the other key is not served\n";
    return kExitNotRun;
  }
  return late_runs > 0 ? kExitBroken : kExitHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return kExitNotRun;
  signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  return Run(argv[1], argv[2],
             trouble == nullptr || std::string(trouble) != "0");
}
