// Runs camphorferry-proxy processes before stand-ins of the store and of one
// group of three databases. The databases crash: the primary is dark for seven
// seconds, both replicas start again under their ids without their logs. All
// proxies are killed and started again. Checks that no database is promoted
// whose log lacks an acknowledged commit.

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
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
constexpr int kDatabases = 3;
constexpr const char* kService = "ledger";
constexpr const char* kRoute = "ledger-latest";
constexpr const char* kKey = "key-first";

constexpr milliseconds kPromoteTime(600);
constexpr milliseconds kTroubleAt(5000);
constexpr milliseconds kRestartAt = kTroubleAt + milliseconds(500);
constexpr milliseconds kPrimaryBackAt = kTroubleAt + seconds(7);
constexpr milliseconds kEndAt = kTroubleAt + seconds(20);
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

// A client session that sends one write after another.
class Client {
 public:
  Client(connection::EventLoop* loop, Record* record,
         connection::SocketAddress proxy, std::string name)
      : loop(loop),
        record(record),
        proxy(std::move(proxy)),
        name(std::move(name)) {
    this->timer = loop->Every(milliseconds(200), [this] { this->Step(); });
  }

  // Writes that were answered with success.
  std::set<std::string> acknowledged;

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
    this->record->Add("sent " + this->request);
    this->stream->Send("QUERY " + this->request + " WRITE a1 " + this->request +
                       "\r\n");
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
      if (std::exchange(this->success, false)) {
        this->acknowledged.insert(this->request);
      }
    };
    events.closed = [this] {
      this->loop->Post([old = std::move(this->stream)] {});
      this->stream = nullptr;
    };
    this->stream->Start(std::move(events));
    this->stream->Send("STARTUP " + std::string(kRoute) + " " + kKey + "\r\n");
  }

  connection::EventLoop* loop;
  Record* record;
  connection::SocketAddress proxy;
  std::string name;
  std::shared_ptr<session::MessageStream> stream;
  bool ready = false;
  bool success = false;
  int number = 0;
  std::string request;
  std::unique_ptr<connection::Timer> timer;
};

// The command of deploy/system.toml, with the settings file that DEPLOY.md
// names.
pid_t StartProxy(const std::string& settings, const std::string& log) {
  const pid_t child = fork();
  if (child != 0) return child;
  const int output = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  setenv("CAMPHORFERRY_NODE_FILE", settings.c_str(), 1);
  execl("target/platform/camphorferry-proxy",
        "target/platform/camphorferry-proxy", nullptr);
  _exit(127);
}

void StopProxy(pid_t proxy) {
  kill(proxy, SIGKILL);
  waitpid(proxy, nullptr, 0);
}

session::DirectoryConfiguration MakeConfiguration() {
  session::DirectoryConfiguration configuration;
  configuration.version = 1;
  configuration.transaction_idle_limit = seconds(2);
  const common::ServiceId service(kService);
  configuration.services[service].max_connections = 64;
  session::DatabaseRoute route;
  route.service = service;
  route.guarantee = session::ReadGuarantee::kLatest;
  route.statement_timeout = milliseconds(800);
  route.latency_objective = milliseconds(600);
  configuration.routes[kRoute] = route;
  const common::WorkspaceId workspace("first");
  configuration.workspaces[workspace] = {400, 400};
  configuration.workspace_of_key[kKey] = workspace;
  return configuration;
}

class Group {
 public:
  Group(connection::EventLoop* loop, Record* record)
      : loop(loop), record(record) {
    for (int index = 0; index < kDatabases; ++index) this->Start(index);
    this->databases[0]->primary = true;
    for (const auto& database : this->databases) {
      database->term = 1;
      database->position = {1, 0};
    }
    this->relay = std::make_unique<soak::TcpRelay>(
        loop, this->databases[0]->Registration().address);
    this->databases[0]->on_commit = [this] { this->Replicate(); };
  }

  void Register(platform::FakeStore* store) const {
    for (int index = 0; index < kDatabases; ++index) {
      session::GroupMember member = this->databases[index]->Registration();
      if (index == 0) member.address = this->relay->Address();
      member.incarnation = static_cast<std::uint64_t>(this->starts[index]);
      store->Put(member);
    }
  }

  // The primary does not answer while it is dark; its log stays.
  void SetPrimaryDark(bool dark) {
    this->relay->SetState(dark ? soak::LinkState::kSilent
                               : soak::LinkState::kOpen);
    if (!dark) this->relay->ResetAll();
  }

  // The replicas start again under their ids and know nothing of before.
  void RestartReplicasEmpty() {
    for (int index = 1; index < kDatabases; ++index) {
      this->Start(index);
      this->databases[index]->term = 0;
      this->databases[index]->position = {0, 0};
    }
  }

  bool Has(int index, const std::string& id) const {
    const auto& log = this->databases[index]->log;
    return std::any_of(log.begin(), log.end(),
                       [&](const auto& commit) { return commit.id == id; });
  }

  // Number of the database with an id; -1 if there is none.
  static int Find(const std::string& id) {
    for (int index = 0; index < kDatabases; ++index) {
      if (id == "db-" + std::to_string(index)) return index;
    }
    return -1;
  }

  void Lead(int index) {
    platform::FakeDatabase& database = *this->databases[index];
    database.primary = true;
    database.held = 0;
    ++database.term;
    database.position.term = database.term;
  }

 private:
  void Start(int index) {
    this->databases[index] = std::make_unique<platform::FakeDatabase>(
        this->loop, kService, "db-" + std::to_string(index));
    this->databases[index]->max_connections = 64;
    ++this->starts[index];
  }

  // A commit reaches both replicas at once.
  void Replicate() {
    for (int index = 1; index < kDatabases; ++index) {
      if (this->databases[index]->held > 0) continue;
      this->databases[index]->log = this->databases[0]->log;
      this->databases[index]->position = this->databases[0]->position;
    }
  }

  connection::EventLoop* loop;
  Record* record;
  std::array<std::unique_ptr<platform::FakeDatabase>, kDatabases> databases;
  std::array<int, kDatabases> starts{};
  std::unique_ptr<soak::TcpRelay> relay;
};

int Run(const std::string& folder, const std::string& record_path,
        bool trouble) {
  Record record(record_path);
  connection::EventLoop loop;
  Group group(&loop, &record);
  std::vector<std::unique_ptr<Client>> clients;
  std::size_t acknowledged = 0;
  std::size_t lost = 0;
  std::string promoted;
  platform::FakeStore store(
      &loop, [&](const std::string& /*service*/, const std::string& id) {
        const int index = Group::Find(id);
        if (index < 0) return false;
        record.Add("promotion of " + id + " is ordered");
        loop.RunLater(kPromoteTime, [&, index, id] {
          if (!promoted.empty()) return;
          promoted = id;
          for (const auto& client : clients) {
            for (const std::string& write : client->acknowledged) {
              ++acknowledged;
              if (group.Has(index, write)) continue;
              ++lost;
              record.Add("lost " + write);
            }
          }
          group.Lead(index);
          record.Add(id + " leads; it lacks " + std::to_string(lost) + " of " +
                     std::to_string(acknowledged) + " acknowledged commits");
          loop.Stop();
        });
        return true;
      });
  group.Register(&store);
  store.Put(MakeConfiguration());

  const unsigned id = static_cast<unsigned>(getpid());
  std::vector<pid_t> proxies;
  std::vector<std::string> paths;
  const auto log_of = [&](int index) {
    return folder + "/proxy-" + std::to_string(index) + ".log";
  };
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
    settings.change_bound = milliseconds(4000);
    settings.settling_time = milliseconds(5000);
    paths.push_back(folder + "/" + name + ".json");
    std::ofstream(paths.back())
        << platform::EncodeSettings(settings, store.Address()).dump(2);
    proxies.push_back(StartProxy(paths.back(), log_of(index)));
    clients.push_back(
        std::make_unique<Client>(&loop, &record, settings.clients, name));
  }

  const auto all_served = [&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& client) {
      return !client->acknowledged.empty();
    });
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
  std::vector<std::unique_ptr<connection::Timer>> steps;
  if (in_time) {
    if (trouble) {
      steps.push_back(loop.After(kTroubleAt, [&] {
        record.Add(
            "db-0, the primary, goes dark; db-1 and db-2 start again "
            "without their logs; all proxies are killed");
        group.SetPrimaryDark(true);
        for (const pid_t proxy : proxies) StopProxy(proxy);
        proxies.clear();
        group.RestartReplicasEmpty();
        group.Register(&store);
      }));
      steps.push_back(loop.After(kRestartAt, [&] {
        record.Add("all proxies start again");
        for (int index = 0; index < kProxies; ++index) {
          proxies.push_back(StartProxy(paths[index], log_of(index)));
        }
      }));
      steps.push_back(loop.After(kPrimaryBackAt, [&] {
        record.Add("db-0 is back with its log");
        group.SetPrimaryDark(false);
      }));
    }
    steps.push_back(loop.After(kEndAt, [&] { loop.Stop(); }));
    loop.Run();
  }
  bool alive = true;
  for (const pid_t proxy : proxies) {
    alive = waitpid(proxy, nullptr, WNOHANG) == 0 && alive;
    StopProxy(proxy);
  }
  if (!in_time || !alive) {
    std::cout << "not run: proxies did not start or ended\n";
    return kExitNotRun;
  }
  if (promoted.empty()) {
    std::cout << "no promotion\n";
    return kExitHeld;
  }
  std::cout << promoted << " was promoted and lacks " << lost << " of "
            << acknowledged << " acknowledged commits\n";
  return lost > 0 ? kExitBroken : kExitHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return kExitNotRun;
  signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  return Run(argv[1], argv[2],
             trouble == nullptr || std::string(trouble) != "0");
}
