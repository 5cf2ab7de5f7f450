#include "rate_run.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "Session/message_stream.h"

namespace camphorferry::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kWindow(5);
constexpr int kRate = 204;
constexpr int kBurst = 204;
/// Operations that may reach databases within the window: the rate and the
/// burst, plus the tolerance of a tenth and of 20 operations.
constexpr std::size_t kWindowLimit = (kRate * 5 + kBurst) * 11 / 10 + 20;
/// Part of its rate that the workspace usually uses, and how many times that
/// while it is hot.
constexpr double kUsualLoad = 0.62;
constexpr double kHotLoad = 7.5;
constexpr std::uint32_t kConnectionLimit = 128;
constexpr std::size_t kConnectionsPerProxy = 16;
constexpr milliseconds kStep(2);
/// Time for the processes to start and to find each other.
constexpr seconds kStartTime(4);
/// Time of usual load before the first cut.
constexpr seconds kQuietTime(7);
constexpr milliseconds kReconnectDelay(100);

const common::ServiceId kService("service");
const common::WorkspaceId kWorkspace("tenant");

}  // namespace

/// A client connection that sends one read at a time.
class LoadConnection {
 public:
  LoadConnection(connection::EventLoop* loop, connection::SocketAddress proxy,
                 RateRunResult* result)
      : loop(loop), proxy(std::move(proxy)), result(result) {
    this->Open();
  }
  ~LoadConnection() {
    *this->alive = false;
    if (this->stream != nullptr) this->stream->Close();
  }
  LoadConnection(const LoadConnection&) = delete;
  LoadConnection& operator=(const LoadConnection&) = delete;

  bool Idle() const { return this->ready; }

  void Send() {
    this->ready = false;
    ++this->result->sent;
    this->stream->Send("QUERY q" + std::to_string(this->result->sent) +
                       " READ item\r\n");
  }

 private:
  void Open() {
    this->stream =
        std::make_shared<session::MessageStream>(this->loop, this->proxy);
    session::StreamEvents events;
    events.message = [this](std::string_view line) {
      if (line.starts_with("ERROR BUSY")) ++this->result->refused;
      if (line.starts_with("COMPLETE")) ++this->result->served;
      if (line.starts_with("READY")) this->ready = true;
    };
    events.closed = [this] {
      this->ready = false;
      this->loop->RunLater(kReconnectDelay, [this, still_alive = this->alive] {
        if (*still_alive) this->Open();
      });
    };
    this->stream->Start(std::move(events));
    this->stream->Send("STARTUP latest key\r\n");
  }

  connection::EventLoop* loop;
  connection::SocketAddress proxy;
  RateRunResult* result;
  std::shared_ptr<session::MessageStream> stream;
  bool ready = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

RateRun::RateRun(RateRunSettings settings)
    : settings(std::move(settings)),
      random(this->settings.seed),
      store(&this->loop, [](const std::string& /*service*/,
                            const std::string& /*id*/) { return false; }),
      fleet(&this->loop, this->settings.program, this->settings.folder,
            this->settings.proxies, this->store.Address()),
      due(this->settings.proxies) {
  this->result.limit = kWindowLimit;
  this->StartDatabases();
  this->PutConfiguration();
}

RateRun::~RateRun() = default;

void RateRun::StartDatabases() {
  for (std::size_t index = 0; index < RelayedFleet::kDomains; ++index) {
    this->databases.push_back(std::make_unique<platform::FakeDatabase>(
        &this->loop, kService.Value(), "db-" + std::to_string(index)));
    platform::FakeDatabase& database = *this->databases.back();
    database.primary = index == 0;
    database.max_connections = kConnectionLimit;
    database.on_executed = [this](const platform::StatementRecord&) {
      this->OnExecuted();
    };
    session::GroupMember entry = database.Registration();
    entry.domain = RelayedFleet::DomainOf(index);
    this->store.Put(entry);
  }
}

void RateRun::PutConfiguration() {
  session::DirectoryConfiguration configuration;
  configuration.version = 1;
  configuration.services[kService].max_connections = kConnectionLimit;
  session::DatabaseRoute route;
  route.service = kService;
  route.guarantee = session::ReadGuarantee::kBoundedStaleness;
  route.max_staleness = seconds(3);
  route.statement_timeout = milliseconds(800);
  route.latency_objective = milliseconds(700);
  configuration.routes["latest"] = route;
  configuration.workspaces[kWorkspace] = {kRate, kBurst};
  configuration.workspace_of_key["key"] = kWorkspace;
  this->store.Put(configuration);
}

void RateRun::StartLoad() {
  this->load_started = this->due_counted = common::SteadyNow();
  for (std::size_t index = 0; index < this->fleet.Size(); ++index) {
    this->clients.emplace_back();
    for (std::size_t count = 0; count < kConnectionsPerProxy; ++count) {
      this->clients.back().push_back(std::make_unique<LoadConnection>(
          &this->loop, this->fleet.Proxy(index).ClientAddress(),
          &this->result));
    }
  }
}

RateRun::Cut RateRun::MakeCut(common::Duration at) {
  const std::size_t count = this->settings.proxies;
  const auto number = [this](std::size_t least, std::size_t most) {
    return least + this->random() % (most - least + 1);
  };
  Cut cut;
  cut.at = at;
  cut.length = milliseconds(number(2000, 14000));
  cut.hot_at = cut.at + cut.length * number(0, 4) / 4 - milliseconds(500);
  cut.hot_length = milliseconds(6500);
  constexpr LinkState kLinks[] = {LinkState::kHeld, LinkState::kSilent,
                                  LinkState::kDown};
  cut.link = kLinks[number(0, 2)];
  cut.parts.assign(count, 0);
  const std::size_t kind = number(0, 2);
  for (std::size_t index = 0; index < count; ++index) {
    if (kind == 0 && number(0, 2) == 0) cut.parts[index].reset();
    if (kind == 1 && index % RelayedFleet::kDomains == 0) cut.parts[index] = 1;
    if (kind == 2) cut.parts[index] = static_cast<int>(number(0, 1));
  }
  if (number(0, 2) == 0) cut.killed = number(0, count - 1);
  return cut;
}

std::vector<RateRun::Cut> RateRun::MakeCuts() {
  std::vector<Cut> cuts;
  // The even seeds play single daemons that are cut off for 12 s, with each
  // choice of daemons in turn.
  if (this->settings.seed % 2 == 0) {
    Cut cut;
    cut.at = kQuietTime;
    cut.length = seconds(12);
    cut.hot_at = cut.at + milliseconds(8500);
    cut.hot_length = milliseconds(6500);
    cut.parts.assign(this->settings.proxies, 0);
    for (std::size_t index = 0; index < 3; ++index) {
      const std::size_t first = this->settings.seed / 2;
      cut.parts[(first + index) % this->settings.proxies].reset();
    }
    return {cut};
  }
  common::Duration at = kQuietTime;
  const std::size_t count = 1 + this->random() % 2;
  for (std::size_t index = 0; index < count; ++index) {
    cuts.push_back(this->MakeCut(at));
    at += cuts.back().length + milliseconds(1000 + this->random() % 5000);
  }
  return cuts;
}

void RateRun::Begin(const Cut& cut) {
  if (!std::exchange(this->cut_begun, true)) {
    this->result.refused_whole = this->result.refused;
  }
  for (std::size_t from = 0; from < this->settings.proxies; ++from) {
    if (cut.parts[from] != 0) this->fleet.SetStoreLink(from, cut.link);
    for (std::size_t to = 0; to < this->settings.proxies; ++to) {
      const bool reaches =
          cut.parts[from].has_value() && cut.parts[from] == cut.parts[to];
      if (from != to && !reaches) {
        this->fleet.SetPeerLink(from, to, cut.link);
      }
    }
  }
}

void RateRun::Schedule(const Cut& cut) {
  this->loop.RunLater(cut.at, [this, cut] { this->Begin(cut); });
  this->loop.RunLater(cut.at + cut.length, [this] { this->fleet.OpenLinks(); });
  this->loop.RunLater(cut.hot_at, [this] { this->load = kHotLoad; });
  this->loop.RunLater(cut.hot_at + cut.hot_length, [this] { this->load = 1; });
  if (cut.killed.has_value()) {
    this->loop.RunLater(cut.at + cut.length / 2, [this, killed = *cut.killed] {
      this->fleet.Proxy(killed).Signal(SIGKILL);
    });
  }
  const auto ms = [](common::Duration time) {
    return std::to_string(common::ToMilliseconds(time).count());
  };
  std::string& text = this->result.play;
  text += " cut=" + ms(cut.at) + "+" + ms(cut.length) + " parts=";
  for (const std::optional<int>& part : cut.parts) {
    text += part.has_value() ? std::to_string(*part) : "-";
  }
  text += " link=" + std::to_string(static_cast<int>(cut.link)) +
          " hot=" + ms(cut.hot_at);
  if (cut.killed.has_value()) text += " killed=" + std::to_string(*cut.killed);
}

void RateRun::SendDue() {
  const common::SteadyTime now = common::SteadyNow();
  const double passed = common::ToSeconds(now - this->due_counted);
  this->due_counted = now;
  for (std::size_t index = 0; index < this->settings.proxies; ++index) {
    double& waiting = this->due[index];
    waiting += passed * kRate * kUsualLoad * this->load /
               static_cast<double>(this->settings.proxies);
    for (const auto& client : this->clients[index]) {
      if (waiting < 1) break;
      if (!client->Idle()) continue;
      client->Send();
      waiting -= 1;
    }
    // Clients give up what they can't send.
    waiting = std::min(waiting, 1.0);
  }
}

void RateRun::OnExecuted() {
  const common::SteadyTime now = common::SteadyNow();
  this->arrivals.push_back(now);
  while (now - this->arrivals.front() > kWindow) this->arrivals.pop_front();
  if (this->arrivals.size() <= this->result.most_in_window) return;
  this->result.most_in_window = this->arrivals.size();
  this->result.most_at = now - this->load_started;
}

RateRunResult RateRun::Run() {
  this->fleet.Start();
  std::unique_ptr<connection::Timer> sending;
  this->loop.RunLater(kStartTime, [this, &sending] {
    this->StartLoad();
    common::Duration end = common::Duration::zero();
    for (const Cut& cut : this->MakeCuts()) {
      this->Schedule(cut);
      end = std::max(cut.at + cut.length, cut.hot_at + cut.hot_length);
    }
    sending = this->loop.Every(kStep, [this] { this->SendDue(); });
    this->loop.RunLater(end + seconds(3), [this] { this->loop.Stop(); });
  });
  constexpr milliseconds kRestartInterval(150);
  const auto restarts = this->loop.Every(
      kRestartInterval, [this] { this->fleet.RestartEnded(); });
  this->loop.Run();
  this->result.pairs_without_relay = this->fleet.PairsWithoutRelay();
  this->clients.clear();
  return this->result;
}

}  // namespace camphorferry::soak
