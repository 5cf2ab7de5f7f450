#ifndef CAMPHORFERRY_UNITTESTS_CORE_PROCESS_FAILOVER_SIMULATOR_H_
#define CAMPHORFERRY_UNITTESTS_CORE_PROCESS_FAILOVER_SIMULATOR_H_

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

/// Deterministic simulator of three databases and three daemons on an
/// unreliable network in virtual time. It records the first violation of an
/// invariant.
class FailoverSimulator {
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

  explicit FailoverSimulator(const Options& options)
      : options(options), random(options.seed) {
    for (int i = 0; i < kDatabases; ++i) {
      this->databases.emplace_back(std::to_string(i));
      if (!options.start_with_primary) continue;
      if (i == 0) {
        this->databases[i].InitializeAsPrimary();
      } else {
        this->databases[i].Follow(1, "0");
      }
      this->RecordPromotion(i);
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

  /// Starts a write of a new record through a daemon. The write adds 1, so that
  /// a duplicated execution is detected.
  void Write(int daemon) {
    this->Attempt(daemon, ++this->last_key, kMaxAttempts);
  }

  /// Reads the last acknowledged record through a daemon.
  void Read(int daemon) {
    if (!this->acknowledged.empty()) this->Attempt(daemon, this->last_acked, 0);
  }

  void RestartDaemon(int daemon) {
    Daemon& restarted = this->daemons[daemon];
    ++restarted.incarnation;
    restarted.paused = false;
    restarted.deferred.clear();
    restarted.coordinator.emplace(
        AllEndpoints(),
        std::to_string(daemon) + "-" + std::to_string(restarted.incarnation),
        daemon, this->options.failover);
  }

  void SetRank(int daemon, std::size_t rank) {
    this->daemons[daemon].coordinator->SetRank(rank);
  }

  /// Pauses a daemon. Messages that it has sent but that are not yet delivered
  /// leave it only after it is resumed.
  void Pause(int daemon) { this->daemons[daemon].paused = true; }

  void Resume(int daemon) {
    Daemon& resumed = this->daemons[daemon];
    if (!std::exchange(resumed.paused, false)) return;
    for (const auto& event : std::exchange(resumed.deferred, {})) event();
  }

  void CutLink(int daemon, int database, bool cut) {
    this->links_cut[{kDatabases + daemon, database}] = cut;
  }
  void CutDatabase(int database, bool cut) { this->cut[database] = cut; }
  /// Stops or restarts a database. A stopped database refuses connections.
  void StopDatabase(int database, bool stop) { this->down[database] = stop; }
  void StopReplication(int database, bool stop) {
    this->replication_stopped[database] = stop;
  }

  void Drop(int index) {
    Message* message = this->PickMessage(index);
    if (message != nullptr) message->deliver = [] {};
  }
  void Duplicate(int index, common::Duration delay) {
    Message* message = this->PickMessage(index);
    if (message == nullptr) return;
    Message copy = *message;
    copy.delivery_time += delay;
    this->messages.push_back(std::move(copy));
  }
  void Delay(int index, common::Duration delay) {
    Message* message = this->PickMessage(index);
    if (message != nullptr) message->delivery_time += delay;
  }

  /// Ends all faults, except that one database may stay disconnected.
  void Heal(std::optional<int> still_cut) {
    this->links_cut.clear();
    for (int i = 0; i < kDatabases; ++i) {
      this->cut[i] = still_cut == i;
      this->down[i] = false;
      this->replication_stopped[i] = false;
    }
    for (int i = 0; i < kDaemons; ++i) this->Resume(i);
  }

  /// Runs until a new write is acknowledged and all reachable databases have
  /// the same log. Returns false if that takes longer than the limit.
  bool WaitForConvergence(common::Duration limit) {
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

  /// Checks that the current primary holds every acknowledged write exactly
  /// once.
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

  /// The reachable, unfenced primary with the highest term.
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
  /// Maximum number of times that a client sends a write whose outcome is not
  /// done.
  static constexpr int kMaxAttempts = 5;
  static constexpr std::chrono::milliseconds kStatementDeadline{1000};
  static constexpr std::chrono::milliseconds kReplicationTimeout{100};

  struct Message {
    common::SteadyTime delivery_time;
    int from = 0;
    int to = 0;
    /// True for timers of a process, which are not subject to network faults.
    bool timer = false;
    std::function<void()> deliver;
  };

  struct Daemon {
    std::optional<FailoverCoordinator> coordinator;
    int incarnation = 0;
    bool paused = false;
    std::vector<std::function<void()>> deferred;
  };

  /// One execution of a client's statement through a daemon.
  struct Statement {
    int daemon = 0;
    int incarnation = 0;
    int key = 0;
    bool is_read = false;
    int attempts_left = 0;
    bool finished = false;
    std::optional<AcknowledgementTracker> acks;
    common::Term term = 0;
    /// Highest term for which any database was promoted before the execution.
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

  bool IsBlocked(int from, int to) const {
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

  Message* PickMessage(int index) {
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
                             return left.delivery_time < right.delivery_time;
                           });
      if (next == this->messages.end() || next->delivery_time > end) break;
      this->now = std::max(this->now, next->delivery_time);
      const Message message = std::move(*next);
      this->messages.erase(next);
      this->Deliver(message);
    }
    this->now = end;
  }

  void Deliver(const Message& message) {
    const int sender = message.from - kDatabases;
    if (!message.timer && sender >= 0 && this->daemons[sender].paused) {
      this->daemons[sender].deferred.push_back([this, message] {
        this->Send(message.from, message.to, message.deliver);
      });
      return;
    }
    if (!message.timer && this->IsBlocked(message.from, message.to)) return;
    message.deliver();
  }

  /// Runs an event at a daemon, unless that run of the daemon has ended.
  void RunAtDaemon(int daemon, int incarnation,
                   const std::function<void()>& event) {
    Daemon& target = this->daemons[daemon];
    if (target.incarnation != incarnation) return;
    if (target.paused) {
      target.deferred.push_back([this, daemon, incarnation, event] {
        this->RunAtDaemon(daemon, incarnation, event);
      });
      return;
    }
    event();
  }

  /// Sends a request to a database. `serve` runs at the database and returns
  /// the handler of the response at the daemon. A response after the timeout
  /// still arrives.
  void Request(int daemon, int database,
               const std::function<std::function<void()>()>& serve,
               const std::function<void(FailureKind)>& failed,
               common::Duration timeout) {
    const int incarnation = this->daemons[daemon].incarnation;
    const auto answered = std::make_shared<bool>(false);
    const int node = kDatabases + daemon;
    const auto fail = [=, this](FailureKind kind) {
      this->RunAtDaemon(daemon, incarnation, [=] {
        if (!std::exchange(*answered, true)) failed(kind);
      });
    };
    this->Send(node, database, [=, this] {
      const std::function<void()> answer = serve();
      this->RecordPromotion(database);
      this->Send(database, node, [=, this] {
        this->RunAtDaemon(daemon, incarnation, [=] {
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

  /// Records a promotion of a database and checks that each term has one
  /// primary.
  void RecordPromotion(int database) {
    const standins::DatabaseStatus status = this->StatusOf(database);
    if (status.role != standins::DatabaseRole::kPrimary) return;
    this->promoted[status.term].insert(database);
    if (this->promoted[status.term].size() > 1) {
      this->Fail("two primaries of term " + std::to_string(status.term));
    }
    this->highest_promoted = std::max(this->highest_promoted, status.term);
  }

  void Tick() {
    for (int i = 0; i < kDatabases; ++i) this->RunReplication(i);
    for (int i = 0; i < kDaemons; ++i) {
      if (!this->daemons[i].paused) this->Notify(i, FailoverTick{});
    }
    for (const auto& statement : this->statements) {
      if (!statement->acks || this->daemons[statement->daemon].paused) continue;
      this->PerformDecision(
          statement, statement->acks->Handle(AcknowledgementTick{}, this->now));
    }
    std::erase_if(this->statements,
                  [](const auto& statement) { return statement->finished; });
  }

  void RunReplication(int replica) {
    if (this->replication_stopped[replica] ||
        this->now < this->next_replication[replica]) {
      return;
    }
    const std::string source = this->databases[replica].PrimaryAddress();
    if (source.empty()) return;
    this->next_replication[replica] = this->now + kReplicationTimeout;
    const int primary = std::stoi(source);
    const auto request = this->databases[replica].NextPull();
    const common::SteadyTime sent = this->now;
    this->Send(replica, primary, [=, this] {
      const auto result = this->databases[primary].Replicate(request);
      this->Send(primary, replica, [=, this] {
        this->databases[replica].ApplyPull(request, result, sent);
        this->next_replication[replica] = this->now;
      });
    });
  }

  void Notify(int daemon, const FailoverEvent& event) {
    const auto actions =
        this->daemons[daemon].coordinator->Handle(event, this->now);
    for (const FailoverAction& action : actions) {
      std::visit(
          [this, daemon](const auto& typed) { this->Perform(daemon, typed); },
          action);
    }
  }

  /// Sends a coordinator's request. `serve` runs at the database and returns
  /// the event for its response.
  void SendControlRequest(
      int daemon, const common::EndpointId& endpoint,
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

  void Perform(int daemon, const SendStatusPoll& action) {
    this->SendControlRequest(
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

  void Perform(int daemon, const SendFence& action) {
    const std::string proposer = this->daemons[daemon].coordinator->Proposer();
    this->SendControlRequest(
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

  void Perform(int daemon, const SendPromote& action) {
    const std::string proposer = this->daemons[daemon].coordinator->Proposer();
    this->SendControlRequest(
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

  void Perform(int daemon, const SendFollow& action) {
    this->SendControlRequest(
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

  void Perform(int, const AnnouncePrimary&) {}

  /// Makes one attempt at a statement. `attempts_left` is 0 for a read, which
  /// must return the acknowledged record.
  void Attempt(int daemon, int key, int attempts_left) {
    this->last_write = this->now;
    auto statement = std::make_shared<Statement>();
    statement->daemon = daemon;
    statement->incarnation = this->daemons[daemon].incarnation;
    statement->key = key;
    statement->is_read = attempts_left == 0;
    statement->attempts_left = attempts_left;
    this->SetTimer(daemon, kStatementDeadline,
                   [=, this] { this->RetryStatement(statement); });
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
            this->OnExecuted(statement, index, *done);
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

  void OnExecuted(const std::shared_ptr<Statement>& statement, int index,
                  const standins::ExecuteDone& done) {
    if (statement->acks) return;
    statement->term = done.term;
    statement->value = done.results.at(0).is_number() ? 1 : 0;
    statement->acks.emplace(
        ExecutedStatement{EndpointOf(index), done.term, done.position},
        AllEndpoints(), this->now + kStatementDeadline / 2,
        this->options.acknowledgement);
    this->statements.push_back(statement);
    this->PerformDecision(statement, statement->acks->Start(this->now));
  }

  void PerformDecision(const std::shared_ptr<Statement>& statement,
                       const AcknowledgementDecision& decision) {
    if (statement->finished) return;
    if (std::holds_alternative<Acknowledge>(decision)) this->Finish(*statement);
    const auto* requested = std::get_if<RequestConfirmation>(&decision);
    if (requested == nullptr) return;
    const RequestConfirmation confirm = *requested;
    this->Request(
        statement->daemon, IndexOf(confirm.endpoint),
        [=, this]() -> std::function<void()> {
          const auto result =
              this->databases[IndexOf(confirm.endpoint)].Confirm(
                  confirm.position);
          return [=, this] {
            const ConfirmReply reply{confirm.endpoint, result.held,
                                     result.fence, result.position};
            this->PerformDecision(statement,
                                  statement->acks->Handle(reply, this->now));
          };
        },
        [=, this](FailureKind) {
          this->PerformDecision(
              statement, statement->acks->Handle(
                             ConfirmFailed{confirm.endpoint}, this->now));
        },
        kStatusTimeout);
  }

  /// Records that the statement's result was sent to the client.
  void Finish(Statement& statement) {
    statement.finished = true;
    // A confirmation may arrive after a higher term has begun to acknowledge.
    // That is harmless if the execution preceded the promotion, because the
    // chosen log then contains the entry. A statement executed after the
    // promotion must never be acknowledged.
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

  /// The client repeats a write whose outcome is not done through another
  /// daemon.
  void RetryStatement(const std::shared_ptr<Statement>& statement) {
    if (std::exchange(statement->finished, true)) return;
    if (statement->attempts_left <= 1) return;
    this->Attempt((statement->daemon + 1) % kDaemons, statement->key,
                  statement->attempts_left - 1);
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
  std::array<bool, kDatabases> replication_stopped{};
  std::array<common::SteadyTime, kDatabases> next_replication{};
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

#endif  // CAMPHORFERRY_UNITTESTS_CORE_PROCESS_FAILOVER_SIMULATOR_H_
