#ifndef CAMPHORFERRY_UNITTESTS_CORE_PROCESS_FAILOVER_SIMULATION_H_
#define CAMPHORFERRY_UNITTESTS_CORE_PROCESS_FAILOVER_SIMULATION_H_

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Process/process.h"
#include "StandIns/database_core.h"

namespace camphorferry::process {

/// Three databases and three daemons on a simulated network in virtual time.
/// Records the first violation of an invariant.
class FailoverSimulation {
 public:
  static constexpr int kDatabases = 3;
  static constexpr int kDaemons = 3;
  static constexpr std::chrono::milliseconds kTick{10};

  struct Options {
    FailoverPolicy failover;
    AcknowledgementPolicy acknowledgement;
    bool start_with_primary = true;
    /// Seed of the message latencies.
    unsigned seed = 1;
  };

  explicit FailoverSimulation(const Options& options)
      : options(options), random(options.seed) {
    for (int i = 0; i < kDatabases; ++i) {
      this->databases.emplace_back(std::to_string(i));
      if (!options.start_with_primary) continue;
      if (i == 0) {
        this->databases[i].InitializeAsPrimary();
      } else {
        this->databases[i].Follow(1, "0");
      }
      this->Observe(i);
    }
    for (int i = 0; i < kDaemons; ++i) this->RestartDaemon(i);
  }

  void Run(common::Duration length) {
    const common::SteadyTime end = this->now + length;
    while (this->now < end) {
      this->DeliverUntil(this->now + kTick);
      this->Tick();
    }
  }

  /// Starts a write of a new record through a daemon. It adds 1, so that a
  /// write that ran twice shows.
  void Write(int daemon) { this->Attempt(daemon, ++this->last_key, kAttempts); }

  /// Reads the record acknowledged last through a daemon.
  void Read(int daemon) {
    if (!this->acknowledged.empty()) this->Attempt(daemon, this->last_acked, 0);
  }

  void RestartDaemon(int daemon) {
    Daemon& restarted = this->daemons[daemon];
    ++restarted.incarnation;
    restarted.paused = false;
    restarted.inbox.clear();
    restarted.coordinator.emplace(
        AllEndpoints(),
        std::to_string(daemon) + "-" + std::to_string(restarted.incarnation),
        daemon, this->options.failover);
  }

  void SetRank(int daemon, std::size_t rank) {
    this->daemons[daemon].coordinator->SetRank(rank);
  }

  /// Stops a daemon; what it has sent but not yet delivered leaves it only
  /// after it is resumed.
  void Pause(int daemon) { this->daemons[daemon].paused = true; }

  void Resume(int daemon) {
    Daemon& resumed = this->daemons[daemon];
    if (!std::exchange(resumed.paused, false)) return;
    for (const auto& event : std::exchange(resumed.inbox, {})) event();
  }

  void CutLink(int daemon, int database, bool cut) {
    this->links_cut[{kDatabases + daemon, database}] = cut;
  }
  void CutDatabase(int database, bool cut) { this->cut[database] = cut; }
  /// A stopped database refuses connections.
  void StopDatabase(int database, bool stop) { this->down[database] = stop; }
  void StopReplication(int database, bool stop) {
    this->unreplicated[database] = stop;
  }

  void Drop(int index) {
    Message* message = this->Pick(index);
    if (message != nullptr) message->deliver = [] {};
  }
  void Duplicate(int index, common::Duration delay) {
    Message* message = this->Pick(index);
    if (message == nullptr) return;
    Message copy = *message;
    copy.due += delay;
    this->messages.push_back(std::move(copy));
  }
  void Delay(int index, common::Duration delay) {
    Message* message = this->Pick(index);
    if (message != nullptr) message->due += delay;
  }

  /// Ends all faults except that one database may stay cut off.
  void Heal(std::optional<int> still_cut) {
    this->links_cut.clear();
    for (int i = 0; i < kDatabases; ++i) {
      this->cut[i] = still_cut == i;
      this->down[i] = false;
      this->unreplicated[i] = false;
    }
    for (int i = 0; i < kDaemons; ++i) this->Resume(i);
  }

  /// Runs until a new write is acknowledged and all reachable databases have
  /// the same log; false if that takes longer than the limit.
  bool Settle(common::Duration limit) {
    const common::SteadyTime start = this->now;
    const std::size_t before = this->acknowledged.size();
    this->Write(0);
    while (this->acknowledged.size() == before || !this->Converged()) {
      if (this->now - start > limit) return false;
      this->Run(kTick);
      if (this->now - this->last_write > std::chrono::seconds(1)) {
        this->Write(0);
      }
    }
    return true;
  }

  /// Checks that the present primary holds every acknowledged write once.
  void CheckWrites() {
    const std::optional<int> primary = this->CurrentPrimary();
    if (!primary) return this->Fail("no primary");
    const auto tables = this->databases[*primary].DumpTables();
    for (const int key : this->acknowledged) {
      const auto value = tables.value("t", nlohmann::json::object())
                             .value(std::to_string(key), 0);
      if (value == 0) this->Fail("lost write " + std::to_string(key));
      if (value > 1) this->Fail("duplicated write " + std::to_string(key));
    }
  }

  const std::string& Violation() const { return this->violation; }
  std::size_t Acknowledged() const { return this->acknowledged.size(); }
  common::Term HighestPromoted() const { return this->highest_promoted; }
  common::SteadyTime Now() const { return this->now; }

  /// The unfenced primary of the highest term.
  std::optional<int> CurrentPrimary() const {
    std::optional<int> found;
    common::Term highest = 0;
    for (int i = 0; i < kDatabases; ++i) {
      const standins::DatabaseStatus status = this->StatusOf(i);
      if (status.role != standins::DatabaseRole::kPrimary) continue;
      if (this->cut[i] || status.fence > status.term) continue;
      if (status.term <= highest) continue;
      highest = status.term;
      found = i;
    }
    return found;
  }

 private:
  /// Times that a client sends a write again after an outcome other than done.
  static constexpr int kAttempts = 5;
  static constexpr std::chrono::milliseconds kStatementDeadline{1000};
  static constexpr std::chrono::milliseconds kPullTimeout{100};

  struct Message {
    common::SteadyTime due;
    int from = 0;
    int to = 0;
    /// Timers of a process are not subject to the network's faults.
    bool timer = false;
    std::function<void()> deliver;
  };

  struct Daemon {
    std::optional<FailoverCoordinator> coordinator;
    int incarnation = 0;
    bool paused = false;
    std::vector<std::function<void()>> inbox;
  };

  /// One execution of a statement by a daemon.
  struct Statement {
    int daemon = 0;
    int incarnation = 0;
    int key = 0;
    bool is_read = false;
    int retries = 0;
    bool finished = false;
    std::optional<AcknowledgementTracker> rule;
    common::Term term = 0;
    /// Highest term that any database was promoted for before the execution.
    common::Term promoted_before = 0;
    int value = 0;
  };

  static std::vector<common::EndpointId> AllEndpoints() {
    return {EndpointOf(0), EndpointOf(1), EndpointOf(2)};
  }
  static common::EndpointId EndpointOf(int database) {
    return common::EndpointId(std::to_string(database));
  }
  static int IndexOf(const common::EndpointId& endpoint) {
    return std::stoi(endpoint.Value());
  }

  standins::DatabaseStatus StatusOf(int database) const {
    return this->databases[database].Status(this->now);
  }

  void Fail(const std::string& what) {
    if (this->violation.empty()) this->violation = what;
  }

  bool Blocked(int from, int to) const {
    const auto cut_off = [this](int node) {
      return node < kDatabases && (this->cut[node] || this->down[node]);
    };
    const auto link =
        this->links_cut.find({std::max(from, to), std::min(from, to)});
    const bool link_cut = link != this->links_cut.end() && link->second;
    return cut_off(from) || cut_off(to) || link_cut;
  }

  void Send(int from, int to, std::function<void()> deliver) {
    const std::chrono::milliseconds latency(1 + this->random() % 20);
    this->messages.push_back(
        {this->now + latency, from, to, false, std::move(deliver)});
  }

  void SetTimer(int daemon, common::Duration delay,
                std::function<void()> expire) {
    const int node = kDatabases + daemon;
    this->messages.push_back(
        {this->now + delay, node, node, true, std::move(expire)});
  }

  Message* Pick(int index) {
    std::vector<Message*> candidates;
    for (Message& message : this->messages) {
      if (!message.timer) candidates.push_back(&message);
    }
    return candidates.empty() ? nullptr : candidates[index % candidates.size()];
  }

  void DeliverUntil(common::SteadyTime end) {
    while (true) {
      const auto next =
          std::min_element(this->messages.begin(), this->messages.end(),
                           [](const Message& left, const Message& right) {
                             return left.due < right.due;
                           });
      if (next == this->messages.end() || next->due > end) break;
      this->now = std::max(this->now, next->due);
      const Message message = std::move(*next);
      this->messages.erase(next);
      this->Deliver(message);
    }
    this->now = end;
  }

  void Deliver(const Message& message) {
    const int sender = message.from - kDatabases;
    if (!message.timer && sender >= 0 && this->daemons[sender].paused) {
      this->daemons[sender].inbox.push_back([this, message] {
        this->Send(message.from, message.to, message.deliver);
      });
      return;
    }
    if (!message.timer && this->Blocked(message.from, message.to)) return;
    message.deliver();
  }

  /// Runs an event at a daemon unless that process was replaced.
  void AtDaemon(int daemon, int incarnation,
                const std::function<void()>& event) {
    Daemon& target = this->daemons[daemon];
    if (target.incarnation != incarnation) return;
    if (target.paused) {
      target.inbox.push_back([this, daemon, incarnation, event] {
        this->AtDaemon(daemon, incarnation, event);
      });
      return;
    }
    event();
  }

  /// Sends a request to a database. Serve runs there and returns what the
  /// answer does at the daemon; an answer after the timeout still arrives.
  void Request(int daemon, int database,
               const std::function<std::function<void()>()>& serve,
               const std::function<void(FailureKind)>& failed,
               common::Duration timeout) {
    const int incarnation = this->daemons[daemon].incarnation;
    const auto answered = std::make_shared<bool>(false);
    const int node = kDatabases + daemon;
    const auto fail = [=, this](FailureKind kind) {
      this->AtDaemon(daemon, incarnation, [=] {
        if (!std::exchange(*answered, true)) failed(kind);
      });
    };
    this->Send(node, database, [=, this] {
      const std::function<void()> answer = serve();
      this->Observe(database);
      this->Send(database, node, [=, this] {
        this->AtDaemon(daemon, incarnation, [=] {
          *answered = true;
          answer();
        });
      });
    });
    if (this->down[database]) {
      this->SetTimer(daemon, std::chrono::milliseconds(1),
                     [=] { fail(FailureKind::kRefused); });
    }
    this->SetTimer(daemon, timeout, [=] { fail(FailureKind::kTimedOut); });
  }

  /// Records a promotion.
  void Observe(int database) {
    const standins::DatabaseStatus status = this->StatusOf(database);
    if (status.role != standins::DatabaseRole::kPrimary) return;
    this->promoted[status.term].insert(database);
    if (this->promoted[status.term].size() > 1) {
      this->Fail("two primaries of term " + std::to_string(status.term));
    }
    this->highest_promoted = std::max(this->highest_promoted, status.term);
  }

  void Tick() {
    for (int i = 0; i < kDatabases; ++i) this->Pull(i);
    for (int i = 0; i < kDaemons; ++i) {
      if (!this->daemons[i].paused) this->Notify(i, FailoverTick{});
    }
    for (const auto& statement : this->statements) {
      if (!statement->rule || this->daemons[statement->daemon].paused) continue;
      this->Carry(statement,
                  statement->rule->Handle(AcknowledgementTick{}, this->now));
    }
    std::erase_if(this->statements,
                  [](const auto& statement) { return statement->finished; });
  }

  void Pull(int replica) {
    if (this->unreplicated[replica] || this->now < this->next_pull[replica]) {
      return;
    }
    const std::string source = this->databases[replica].PrimaryAddress();
    if (source.empty()) return;
    this->next_pull[replica] = this->now + kPullTimeout;
    const int primary = std::stoi(source);
    const auto request = this->databases[replica].NextPull();
    const common::SteadyTime sent = this->now;
    this->Send(replica, primary, [=, this] {
      const auto result = this->databases[primary].Replicate(request);
      this->Send(primary, replica, [=, this] {
        this->databases[replica].ApplyPull(request, result, sent);
        this->next_pull[replica] = this->now;
      });
    });
  }

  void Notify(int daemon, const FailoverEvent& event) {
    const auto actions =
        this->daemons[daemon].coordinator->Handle(event, this->now);
    for (const FailoverAction& action : actions) {
      std::visit([this, daemon](const auto& typed) { this->Do(daemon, typed); },
                 action);
    }
  }

  /// Sends a coordinator's request. Serve runs at the database and returns the
  /// event that its answer becomes.
  void Ask(int daemon, const common::EndpointId& endpoint,
           const std::function<FailoverEvent(standins::DatabaseCore&)>& serve,
           const std::function<FailoverEvent(FailureKind)>& failed) {
    const int index = IndexOf(endpoint);
    this->Request(
        daemon, index,
        [=, this]() -> std::function<void()> {
          const FailoverEvent reply = serve(this->databases[index]);
          return [=, this] { this->Notify(daemon, reply); };
        },
        [=, this](FailureKind kind) { this->Notify(daemon, failed(kind)); },
        kStatusTimeout);
  }

  void Do(int daemon, const SendStatusPoll& action) {
    this->Ask(
        daemon, action.endpoint,
        [=, this](standins::DatabaseCore& database) {
          const auto seen = database.Status(this->now);
          const bool is_primary = seen.role == standins::DatabaseRole::kPrimary;
          return StatusReceived{
              action.endpoint, action.request,
              EndpointStatus{seen.term, seen.fence,
                             is_primary ? request::EndpointRole::kPrimary
                                        : request::EndpointRole::kReplica,
                             seen.position}};
        },
        [=](FailureKind kind) {
          return StatusFailed{action.endpoint, action.request, kind};
        });
  }

  void Do(int daemon, const SendFence& action) {
    const std::string proposer = this->daemons[daemon].coordinator->Proposer();
    this->Ask(
        daemon, action.endpoint,
        [=](standins::DatabaseCore& database) {
          const auto result = database.Fence(action.term, proposer);
          return FenceReply{action.endpoint, action.request,  result.granted,
                            result.fence,    result.proposer, result.position};
        },
        [=](FailureKind) {
          return FenceFailed{action.endpoint, action.request};
        });
  }

  void Do(int daemon, const SendPromote& action) {
    const std::string proposer = this->daemons[daemon].coordinator->Proposer();
    this->Ask(
        daemon, action.endpoint,
        [=](standins::DatabaseCore& database) {
          const bool accepted = database.Promote(action.term, proposer);
          return PromoteReply{action.endpoint, action.request, action.term,
                              accepted};
        },
        [=](FailureKind) {
          return PromoteFailed{action.endpoint, action.request};
        });
  }

  void Do(int daemon, const SendFollow& action) {
    this->Ask(
        daemon, action.endpoint,
        [=](standins::DatabaseCore& database) {
          const bool accepted =
              database.Follow(action.term, action.primary.Value());
          return FollowReply{action.endpoint, action.request, action.term,
                             accepted};
        },
        [=](FailureKind) {
          return FollowFailed{action.endpoint, action.request};
        });
  }

  void Do(int, const AnnouncePrimary&) {}

  /// Retries are 0 for a read, which has to see the acknowledged record.
  void Attempt(int daemon, int key, int retries) {
    this->last_write = this->now;
    auto statement = std::make_shared<Statement>();
    statement->daemon = daemon;
    statement->incarnation = this->daemons[daemon].incarnation;
    statement->key = key;
    statement->is_read = retries == 0;
    statement->retries = retries;
    this->SetTimer(daemon, kStatementDeadline,
                   [=, this] { this->Retry(statement); });
    if (this->daemons[daemon].paused) return;
    const auto known = this->daemons[daemon].coordinator->Primary();
    if (!known) return;
    const int index = IndexOf(known->endpoint);
    this->Request(
        daemon, index,
        [=, this]() -> std::function<void()> {
          const common::Term promoted_before = this->highest_promoted;
          const auto result = this->databases[index].Execute(
              RequestOf(*statement, known->term), this->now);
          return [=, this] {
            const auto* done = std::get_if<standins::ExecuteDone>(&result);
            if (done == nullptr || statement->finished) return;
            if (done->role != standins::DatabaseRole::kPrimary) return;
            statement->promoted_before = promoted_before;
            this->Executed(statement, index, *done);
          };
        },
        [](FailureKind) {}, kStatementDeadline);
  }

  static standins::ExecuteRequest RequestOf(const Statement& statement,
                                            common::Term term) {
    const std::string key = std::to_string(statement.key);
    standins::ExecuteRequest request;
    request.term = term;
    if (statement.is_read) {
      request.operations = {request::GetOperation{"t", key}};
      return request;
    }
    request.operations = {request::AddOperation{"t", key, 1}};
    request.idempotency = standins::IdempotencyRecordKey{"w", key};
    request.digest = key;
    return request;
  }

  void Executed(const std::shared_ptr<Statement>& statement, int index,
                const standins::ExecuteDone& done) {
    if (statement->rule) return;
    statement->term = done.term;
    statement->value = done.results.at(0).is_number() ? 1 : 0;
    statement->rule.emplace(
        ExecutedStatement{EndpointOf(index), done.term, done.position},
        AllEndpoints(), this->now + kStatementDeadline / 2,
        this->options.acknowledgement);
    this->statements.push_back(statement);
    this->Carry(statement, statement->rule->Start(this->now));
  }

  void Carry(const std::shared_ptr<Statement>& statement,
             const AcknowledgementDecision& decision) {
    if (statement->finished) return;
    if (std::holds_alternative<Acknowledge>(decision)) this->Finish(*statement);
    const auto* ask = std::get_if<RequestConfirmation>(&decision);
    if (ask == nullptr) return;
    const RequestConfirmation asked = *ask;
    this->Request(
        statement->daemon, IndexOf(asked.endpoint),
        [=, this]() -> std::function<void()> {
          const auto result =
              this->databases[IndexOf(asked.endpoint)].Confirm(asked.position);
          return [=, this] {
            const ConfirmReply reply{asked.endpoint, result.held, result.fence,
                                     result.position};
            this->Carry(statement, statement->rule->Handle(reply, this->now));
          };
        },
        [=, this](FailureKind) {
          this->Carry(statement, statement->rule->Handle(
                                     ConfirmFailed{asked.endpoint}, this->now));
        },
        kStatusTimeout);
  }

  /// The statement's result goes to the client.
  void Finish(Statement& statement) {
    statement.finished = true;
    // A confirmation may arrive after a higher term has begun to acknowledge.
    // That is harmless if the execution came before the promotion: the chosen
    // log then has the entry. An execution after it must never count.
    if (statement.promoted_before > statement.term) {
      this->Fail("acknowledged under superseded term " +
                 std::to_string(statement.term));
    }
    if (statement.is_read) {
      if (statement.value == 0) this->Fail("stale read");
      return;
    }
    this->acknowledged.insert(statement.key);
    this->last_acked = statement.key;
  }

  /// The client repeats a write whose outcome isn't done at another daemon.
  void Retry(const std::shared_ptr<Statement>& statement) {
    if (std::exchange(statement->finished, true)) return;
    if (statement->retries <= 1) return;
    this->Attempt((statement->daemon + 1) % kDaemons, statement->key,
                  statement->retries - 1);
  }

  bool Converged() const {
    const std::optional<int> primary = this->CurrentPrimary();
    if (!primary) return false;
    for (int i = 0; i < kDatabases; ++i) {
      if (this->cut[i]) continue;
      const bool same =
          this->StatusOf(i).term == this->StatusOf(*primary).term &&
          this->StatusOf(i).position == this->StatusOf(*primary).position;
      if (!same) return false;
    }
    return true;
  }

  Options options;
  std::minstd_rand random;
  common::SteadyTime now{std::chrono::hours(1)};
  std::vector<standins::DatabaseCore> databases;
  std::array<Daemon, kDaemons> daemons;
  std::vector<Message> messages;
  std::vector<std::shared_ptr<Statement>> statements;
  std::array<bool, kDatabases> cut{};
  std::array<bool, kDatabases> down{};
  std::array<bool, kDatabases> unreplicated{};
  std::array<common::SteadyTime, kDatabases> next_pull{};
  std::map<std::pair<int, int>, bool> links_cut;
  std::map<common::Term, std::set<int>> promoted;
  common::Term highest_promoted = 0;
  std::set<int> acknowledged;
  int last_key = 0;
  int last_acked = 0;
  common::SteadyTime last_write;
  std::string violation;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_UNITTESTS_CORE_PROCESS_FAILOVER_SIMULATION_H_
