#include "promotion_model.h"

#include <algorithm>
#include <iterator>
#include <ostream>
#include <sstream>

namespace camphorferry::session {

namespace {

using std::chrono::milliseconds;

/// Age at which a daemon gives up waiting for the answer to a command.
constexpr milliseconds kCommandTimeout(400);
constexpr milliseconds kOrderTimeout(1000);
/// Longest time from an order to its effect if promotions are slow.
constexpr milliseconds kLongestSlowPromotion(9500);
/// Longest time from an order to its effect otherwise.
constexpr milliseconds kLongestPromotion(1000);
/// Until an unanswered order reaches the platform if it is held.
constexpr milliseconds kLongestHeldOrder(8900);
/// Share of the promotions that are slow, in percent.
constexpr int kSlowPromotions = 30;
/// A daemon starts no promotion for this long after one has ended.
constexpr milliseconds kRestartDelay(400);
constexpr int kMaxStartJitter = 150;
/// As in ServiceGroup.
constexpr milliseconds kFormerMemberRetention(10000);
/// As in PromotionTask.
constexpr milliseconds kRenewalInterval(1000);
/// As in PromotionLease.
constexpr milliseconds kOrderWindow(600);
constexpr milliseconds kTakeoverDelay(3000);
/// How long a daemon's monitor demands another primary.
constexpr milliseconds kDemandDuration(5000);
/// Interval at which a primary sends its log to the replicas that lack some.
constexpr milliseconds kReplicationInterval(200);
/// An old primary continues for this long after it reaches the new one.
constexpr milliseconds kReplacedAfter(1000);
/// Until a daemon that was killed starts a promotion.
constexpr milliseconds kDaemonStart(500);
/// Until the store has a change of an entry.
constexpr milliseconds kEntryDelay(50);
/// From the registration of a started database until it takes part.
constexpr milliseconds kStartDuration(700);
/// Pause before another attempt to start while an order is being executed.
constexpr milliseconds kStartRetry(100);
/// Longest time until a daemon hears of a change of the entries.
constexpr int kLongestWatchLag = 3000;
/// How much of the trace a report shows.
constexpr std::size_t kTraceLines = 160;

const char* ToString(ModelCommand command) {
  switch (command) {
    case ModelCommand::kStatus:
      return "status";
    case ModelCommand::kHold:
      return "hold";
    case ModelCommand::kResume:
      return "resume";
    case ModelCommand::kStepDown:
      return "step-down";
  }
  return "unknown";
}

std::string Describe(const EndpointStatus& status) {
  std::ostringstream out;
  out << (status.role == GroupRole::kPrimary ? "primary" : "replica")
      << " of term " << status.term << " at " << status.received.term << "."
      << status.received.index << ", held " << status.held;
  return out.str();
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const TimedStep& timed) {
  out << "+" << timed.pause.count() << " ms ";
  std::visit(
      common::Overloaded{
          [&](const CommitStep& step) { out << "commit at " << step.database; },
          [&](const DatabaseLinkStep& step) {
            out << (step.up ? "join " : "cut ") << step.one << "-"
                << step.other;
          },
          [&](const DaemonLinkStep& step) {
            out << (step.up ? "join" : "cut") << " daemon " << step.daemon
                << "-" << step.database;
          },
          [&](const IsolateStep& step) {
            out << (step.up ? "join " : "cut ") << step.database << " with all";
          },
          [&](const ProbeStep& step) {
            out << "daemon " << step.daemon << " probes " << step.database;
          },
          [&](const ReplaceStep& step) {
            out << "daemon " << step.daemon << " replaces";
          },
          [&](const CrashStep& step) { out << "crash of " << step.database; },
          [&](const RebirthStep& step) {
            out << "rebirth of " << step.database;
          },
          [&](const LapseStep& step) { out << "lapse of " << step.database; },
          [&](const JoinStep& /*step*/) { out << "a database joins"; },
          [&](const StoreLinkStep& step) {
            out << (step.up ? "join" : "cut") << " daemon " << step.daemon
                << "-store";
          },
          [&](const PromotionPathStep& step) {
            out << (step.up ? "join" : "hold") << " daemon " << step.daemon
                << "-platform";
          },
          [&](const KillStep& step) {
            out << "kill of daemon " << step.daemon;
          },
      },
      timed.step);
  return out;
}

void VirtualTime::RunLater(milliseconds delay, std::function<void()> task) {
  this->tasks.emplace(std::pair(this->now + delay, this->next_number++),
                      std::move(task));
}

void VirtualTime::Advance(milliseconds duration) {
  const common::SteadyTime until = this->now + duration;
  while (!this->tasks.empty() && this->tasks.begin()->first.first <= until) {
    auto due = this->tasks.extract(this->tasks.begin());
    this->now = due.key().first;
    due.mapped()();
  }
  this->now = until;
}

milliseconds ModelContext::Between(int shortest, int longest) {
  return milliseconds(
      std::uniform_int_distribution<int>(shortest, longest)(this->random));
}

bool ModelContext::Happens(int percent) {
  return std::uniform_int_distribution<int>(1, 100)(this->random) <= percent;
}

void ModelContext::Trace(const std::string& line) {
  const auto passed = common::ToMilliseconds(
      this->time.Now() - common::SteadyTime(std::chrono::hours(1)));
  this->trace.push_back(std::to_string(passed.count()) + " ms  " + line);
}

DatabaseGroupModel::DatabaseGroupModel(ModelContext* context,
                                       ModelFaults faults, bool checks_fence)
    : context(context), faults(faults), checks_fence(checks_fence) {
  this->databases.resize(3);
  this->databases[0].role = GroupRole::kPrimary;
  for (int index = 0; index < 3; ++index) {
    GroupMember entry;
    entry.id = common::EndpointId(NameOf(index));
    entry.incarnation = 1;
    entry.reports_primary = index == 0;
    this->entries[context->time.Now()][index] = entry;
  }
}

std::string DatabaseGroupModel::NameOf(int index) {
  return "db" + std::to_string(index);
}

int DatabaseGroupModel::IndexOf(const common::EndpointId& id) const {
  for (int index = 0; index < this->Size(); ++index) {
    if (NameOf(index) == id.Value()) return index;
  }
  return -1;
}

std::map<int, GroupMember>& DatabaseGroupModel::ChangeEntries() {
  const std::map<int, GroupMember>& latest = this->entries.rbegin()->second;
  return this->entries.try_emplace(this->context->time.Now(), latest)
      .first->second;
}

std::vector<GroupMember> DatabaseGroupModel::EntriesAt(
    common::SteadyTime time) const {
  const auto latest = std::prev(this->entries.upper_bound(time));
  std::vector<GroupMember> present;
  present.reserve(latest->second.size());
  for (const auto& [index, entry] : latest->second) present.push_back(entry);
  return present;
}

EndpointStatus DatabaseGroupModel::StatusOf(int index) const {
  const Database& database = this->databases[index];
  common::LogPosition received;
  if (!database.log.empty()) {
    received = {database.log.back().term, database.log.size()};
  }
  return {database.role, database.term, received, database.held};
}

std::string DatabaseGroupModel::Describe(int index) const {
  return NameOf(index) + " (" + session::Describe(this->StatusOf(index)) + ")";
}

bool DatabaseGroupModel::Linked(int one, int other) const {
  return !this->cut.contains(std::minmax(one, other));
}

void DatabaseGroupModel::SetLink(int one, int other, bool up) {
  if (one == other) return;
  const std::pair<int, int> link = std::minmax(one, other);
  if (up) {
    this->cut.erase(link);
  } else {
    this->cut.insert(link);
  }
  this->context->Trace(std::string(up ? "joined: " : "cut: ") + NameOf(one) +
                       "-" + NameOf(other));
}

void DatabaseGroupModel::Commit(int index) {
  if (index >= this->Size()) return;
  Database& database = this->databases[index];
  if (!database.alive || database.role != GroupRole::kPrimary) return;
  database.log.push_back(LogEntry{database.term, this->next_commit});
  database.unacknowledged.insert(this->next_commit);
  this->context->Trace("commit #" + std::to_string(this->next_commit) + " at " +
                       this->Describe(index));
  ++this->next_commit;
  this->Replicate(index);
}

void DatabaseGroupModel::Replicate(int from) {
  const Database& primary = this->databases[from];
  if (!primary.alive || primary.role != GroupRole::kPrimary) return;
  for (int target = 0; target < this->Size(); ++target) {
    if (target == from || !this->Linked(from, target)) continue;
    this->context->time.RunLater(
        this->context->Between(2, 60),
        [this, from, target, term = primary.term, log = primary.log,
         sender = primary.process, receiver = this->databases[target].process] {
          if (this->databases[target].process != receiver ||
              !this->databases[target].alive) {
            return;
          }
          if (!this->Linked(from, target)) return;
          this->OnReplicated(from, target, term, log, false);
          const Database& replica = this->databases[target];
          const bool received = replica.role == GroupRole::kReplica &&
                                replica.followed_term == term &&
                                replica.held <= term &&
                                replica.log.size() >= log.size();
          if (!received) return;
          this->context->time.RunLater(
              this->context->Between(1, 40),
              [this, from, target, sender, term, length = log.size()] {
                const Database& sending = this->databases[from];
                if (sending.process != sender || sending.term != term) return;
                if (!this->Linked(from, target)) return;
                this->OnConfirmed(from, length);
              });
        });
  }
}

void DatabaseGroupModel::ReplicateAll() {
  for (int from = 0; from < this->Size(); ++from) this->Replicate(from);
}

void DatabaseGroupModel::OnReplicated(int from, int target, common::Term term,
                                      const std::vector<LogEntry>& log,
                                      bool promotes) {
  Database& database = this->databases[target];
  if (term < database.term) return;
  if (database.role == GroupRole::kPrimary) {
    if (term > database.term) this->OnReached(target);
    return;
  }
  // A hold for a term up to that of the new primary ends when the replica
  // follows it.
  if (database.held > term && !promotes) return;
  if (term > database.followed_term) {
    database.held = 0;
    database.term = term;
    database.followed_term = term;
    database.log = log;
    this->context->Trace(this->Describe(target) + " follows " + NameOf(from));
    return;
  }
  if (database.held > 0 || database.log.size() >= log.size()) return;
  database.log = log;
}

void DatabaseGroupModel::OnReached(int index) {
  Database& database = this->databases[index];
  if (database.being_replaced) return;
  database.being_replaced = true;
  this->context->time.RunLater(
      kReplacedAfter,
      [this, index, process = database.process, term = database.term] {
        Database& old = this->databases[index];
        old.being_replaced = false;
        if (old.process != process || old.term != term ||
            old.role != GroupRole::kPrimary) {
          return;
        }
        old.role = GroupRole::kReplica;
        old.unacknowledged.clear();
        this->context->Trace(NameOf(index) + " becomes a replica");
        this->WriteEntry(index);
      });
}

void DatabaseGroupModel::OnConfirmed(int index, std::size_t length) {
  Database& database = this->databases[index];
  if (!database.alive || database.role != GroupRole::kPrimary) return;
  const std::vector<LogEntry>& promoted = this->databases[this->leader].log;
  for (std::size_t place = 0; place < length; ++place) {
    const LogEntry& entry = database.log[place];
    if (database.unacknowledged.erase(entry.number) == 0) continue;
    const std::string name = "commit #" + std::to_string(entry.number);
    this->context->Trace(name + " acknowledged by " + NameOf(index));
    const bool kept = std::any_of(
        promoted.begin(), promoted.end(),
        [&](const LogEntry& other) { return other.number == entry.number; });
    if (kept || entry.term == this->newest_term) {
      this->acknowledged.push_back(entry);
      continue;
    }
    this->Report(ModelGuarantee::kOnePrimary,
                 name + " of term " + std::to_string(entry.term) +
                     " is acknowledged although " +
                     this->Describe(this->leader) + " was promoted without it");
  }
}

void DatabaseGroupModel::Report(ModelGuarantee broken, const std::string& how) {
  const ModelGuarantee checked = this->context->guarantee;
  const bool is_checked =
      broken == checked || (checked == ModelGuarantee::kNoneLostAndFencesRise &&
                            broken != ModelGuarantee::kOnePrimary);
  if (!is_checked || !this->context->violation.empty()) return;
  this->context->violation = how;
}

std::optional<EndpointStatus> DatabaseGroupModel::Execute(int index,
                                                          ModelCommand command,
                                                          common::Term term) {
  Database& database = this->databases[index];
  if (!database.alive) return std::nullopt;
  switch (command) {
    case ModelCommand::kStatus:
      break;
    case ModelCommand::kHold:
      if (database.role == GroupRole::kReplica &&
          term > (this->faults.holds_compare_own_term ? database.term
                                                      : this->newest_term)) {
        database.held = std::max(database.held, term);
      }
      break;
    case ModelCommand::kResume:
      database.held = 0;
      break;
    case ModelCommand::kStepDown:
      if (database.role == GroupRole::kPrimary && database.term < term) {
        database.role = GroupRole::kReplica;
        database.unacknowledged.clear();
        this->WriteEntry(index);
      }
      break;
  }
  return this->StatusOf(index);
}

void DatabaseGroupModel::CheckToken(int daemon, std::uint64_t token) {
  const bool falls = token < this->highest_token;
  const bool shared =
      token == this->highest_token && daemon != this->highest_token_daemon;
  if (falls || shared) {
    this->Report(ModelGuarantee::kFencesRise,
                 "an order of daemon" + std::to_string(daemon) +
                     " arrives with token " + std::to_string(token) +
                     " after one of daemon" +
                     std::to_string(this->highest_token_daemon) +
                     " with token " + std::to_string(this->highest_token));
  } else {
    this->highest_token_daemon = daemon;
  }
}

bool DatabaseGroupModel::Order(int index, int daemon, std::uint64_t token,
                               milliseconds age) {
  this->CheckToken(daemon, token);
  if (this->checks_fence && token < this->highest_token) return false;
  this->highest_token = std::max(this->highest_token, token);
  if (!this->databases[index].alive) return false;
  const Database& database = this->databases[index];
  const bool leads = database.role == GroupRole::kPrimary &&
                     database.term == this->newest_term;
  if (leads) return true;
  const bool slow =
      this->faults.slow_promotions && this->context->Happens(kSlowPromotions);
  const milliseconds longest =
      slow ? std::max(kLongestSlowPromotion - age, kLongestPromotion)
           : kLongestPromotion;
  this->BeginOrder();
  this->context->time.RunLater(
      this->context->Between(600, static_cast<int>(longest.count())),
      [this, index] {
        this->EndOrder();
        this->TakeEffect(index);
      });
  return true;
}

void DatabaseGroupModel::TakeEffect(int index) {
  Database& promoted = this->databases[index];
  if (!promoted.alive) return;
  if (promoted.role == GroupRole::kPrimary &&
      promoted.term == this->newest_term) {
    return;
  }
  promoted.role = GroupRole::kPrimary;
  promoted.term = ++this->newest_term;
  promoted.followed_term = promoted.term;
  promoted.held = 0;
  promoted.being_replaced = false;
  promoted.unacknowledged.clear();
  this->leader = index;
  this->context->Trace("PROMOTED: " + this->Describe(index));
  this->WriteEntry(index);
  for (const LogEntry& entry : this->acknowledged) {
    const bool kept = std::any_of(
        promoted.log.begin(), promoted.log.end(),
        [&](const LogEntry& other) { return other.number == entry.number; });
    if (kept) continue;
    this->Report(ModelGuarantee::kNoneLost,
                 "acknowledged commit #" + std::to_string(entry.number) +
                     " is missing at the promoted " + this->Describe(index));
  }
  for (int target = 0; target < this->Size(); ++target) {
    if (target == index || !this->databases[target].alive) continue;
    if (!this->Linked(index, target)) continue;
    this->OnReplicated(index, target, promoted.term, promoted.log, true);
  }
}

void DatabaseGroupModel::Crash(int index) {
  if (index >= this->Size() || !this->databases[index].alive) return;
  Database& database = this->databases[index];
  database.alive = false;
  database.unacknowledged.clear();
  database.being_replaced = false;
  const std::uint64_t process = ++database.process;
  this->context->Trace(NameOf(index) + " crashes");
  // It is back before its entry expires.
  this->context->time.RunLater(
      this->context->Between(2000, 2900), [this, index, process] {
        this->StartWhenNoOrder(index, process, [this, index] {
          Database& back = this->databases[index];
          back.alive = true;
          back.held = 0;
          if (back.term < this->newest_term) {
            back.role = GroupRole::kReplica;
            back.term = this->newest_term;
          }
          this->context->Trace("back: " + this->Describe(index));
          this->WriteEntry(index);
        });
      });
}

bool DatabaseGroupModel::IsKeptWithout(int index) const {
  return std::all_of(
      this->acknowledged.begin(), this->acknowledged.end(),
      [&](const LogEntry& entry) {
        for (int other = 0; other < this->Size(); ++other) {
          if (other == index) continue;
          const auto& log = this->databases[other].log;
          if (std::any_of(log.begin(), log.end(), [&](const LogEntry& kept) {
                return kept.number == entry.number;
              })) {
            return true;
          }
        }
        return false;
      });
}

void DatabaseGroupModel::Rebirth(int index) {
  if (index >= this->Size() || !this->databases[index].alive) return;
  // Nothing can keep a commit of which no copy is left.
  if (!this->IsKeptWithout(index)) return;
  Database& database = this->databases[index];
  database.alive = false;
  database.role = GroupRole::kReplica;
  database.log.clear();
  database.unacknowledged.clear();
  database.held = 0;
  database.term = 0;
  database.followed_term = 0;
  database.being_replaced = false;
  ++database.incarnation;
  const std::uint64_t process = ++database.process;
  this->context->Trace(NameOf(index) + " ends and loses its log");
  this->context->time.RunLater(milliseconds(2000), [this, index, process] {
    if (this->databases[index].process != process) return;
    this->WriteEntry(index);
    this->context->time.RunLater(kStartDuration, [this, index, process] {
      this->StartWhenNoOrder(index, process, [this, index] {
        Database& reborn = this->databases[index];
        reborn.alive = true;
        reborn.term = this->newest_term;
        this->context->Trace("reborn: " + this->Describe(index));
      });
    });
  });
}

void DatabaseGroupModel::Join() {
  if (this->Size() > 3) return;
  this->databases.emplace_back();
  const int index = this->Size() - 1;
  Database& database = this->databases[index];
  database.alive = false;
  database.followed_term = 0;
  const std::uint64_t process = database.process;
  this->WriteEntry(index);
  this->context->time.RunLater(kStartDuration, [this, index, process] {
    this->StartWhenNoOrder(index, process, [this, index] {
      Database& joined = this->databases[index];
      joined.alive = true;
      joined.term = this->newest_term;
      this->context->Trace("joins: " + this->Describe(index));
    });
  });
}

void DatabaseGroupModel::StartWhenNoOrder(int index, std::uint64_t process,
                                          const std::function<void()>& start) {
  if (this->databases[index].process != process) return;
  if (this->open_orders == 0) {
    start();
    return;
  }
  this->context->time.RunLater(kStartRetry, [this, index, process, start] {
    this->StartWhenNoOrder(index, process, start);
  });
}

void DatabaseGroupModel::Lapse(int index) {
  if (index >= this->Size() || this->databases[index].lapsed) return;
  this->databases[index].lapsed = true;
  this->ChangeEntries().erase(index);
  this->context->Trace("entry of " + NameOf(index) + " lapses");
  this->context->time.RunLater(this->context->Between(200, 2000),
                               [this, index] {
                                 this->databases[index].lapsed = false;
                                 if (!this->databases[index].alive) return;
                                 this->WriteEntry(index);
                               });
}

void DatabaseGroupModel::WriteEntry(int index) {
  this->context->time.RunLater(
      kEntryDelay, [this, index, process = this->databases[index].process] {
        const Database& database = this->databases[index];
        if (database.lapsed || database.process != process) return;
        GroupMember entry;
        entry.id = common::EndpointId(NameOf(index));
        entry.incarnation = database.incarnation;
        entry.reports_primary = database.role == GroupRole::kPrimary;
        this->ChangeEntries()[index] = entry;
      });
}

DaemonModel::DaemonModel(ModelContext* context, DatabaseGroupModel* group,
                         ModelLeaseRecord* store, ModelFaults faults,
                         int number)
    : context(context),
      group(group),
      store(store),
      faults(faults),
      number(number),
      listed_at(context->time.Now()) {
  if (faults.lagging_watches) {
    this->watch_lag = context->Between(0, kLongestWatchLag);
  }
  this->UpdateMembers();
  for (const GroupMember& member : this->members) {
    const auto status = this->group->Execute(this->group->IndexOf(member.id),
                                             ModelCommand::kStatus, 0);
    if (status.has_value()) this->view.OnStatus(member.id, *status);
  }
}

void DaemonModel::SetLink(int database, bool up) {
  if (up) {
    this->cut.erase(database);
  } else {
    this->cut.insert(database);
  }
  this->context->Trace(std::string(up ? "joined: " : "cut: ") + this->Name() +
                       "-" + DatabaseGroupModel::NameOf(database));
}

void DaemonModel::UpdateMembers() {
  std::vector<GroupMember> present = this->group->EntriesAt(
      std::max(this->context->time.Now() - this->watch_lag, this->listed_at));
  if (present == this->members) return;
  FormerMembers former = this->Former();
  UpdateFormerMembers(this->members, present, &former);
  std::erase_if(this->former_members,
                [&](const auto& item) { return !former.contains(item.first); });
  for (const auto& process : former) {
    this->former_members.try_emplace(
        process, this->context->time.Now() + kFormerMemberRetention);
  }
  this->members = std::move(present);
  std::string line = this->Name() + " sees the members";
  for (const GroupMember& member : this->members) {
    line += " " + member.id.Value() + (member.reports_primary ? "*" : "") +
            "/" + std::to_string(member.incarnation);
  }
  this->context->Trace(line);
  this->view.OnMembers(this->members);
  if (this->plan != nullptr) {
    this->Perform(
        this->plan->OnMembers(this->members, this->context->time.Now()));
  }
}

void DaemonModel::ListMembers() {
  this->listed_at = this->context->time.Now();
  this->UpdateMembers();
}

FormerMembers DaemonModel::Former() const {
  FormerMembers former;
  for (const auto& [process, until] : this->former_members) {
    former.insert(process);
  }
  return former;
}

void DaemonModel::Probe(int database) {
  if (database >= this->group->Size()) return;
  this->Send(common::EndpointId(DatabaseGroupModel::NameOf(database)),
             ModelCommand::kStatus, 0, [](const EndpointStatus&) {});
}

void DaemonModel::Send(const common::EndpointId& id, ModelCommand command,
                       common::Term term, StatusCallback done) {
  const int index = this->group->IndexOf(id);
  if (index < 0) return;
  const std::string name = this->Name() + " " + ToString(command) +
                           (term == 0 ? "" : " " + std::to_string(term)) +
                           " to " + id.Value();
  milliseconds there = this->context->Between(1, 40);
  if (this->cut.contains(index) || this->context->Happens(10)) {
    // Lost, or delayed until the network delivers it.
    if (!this->faults.late_commands || !this->context->Happens(50)) return;
    there = this->context->Between(40, 800);
  } else if (this->faults.late_commands && this->context->Happens(10)) {
    there = this->context->Between(40, 800);
  }
  const common::SteadyTime sent = this->context->time.Now();
  const std::uint64_t process = this->group->ProcessOf(index);
  this->context->time.RunLater(there, [this, index, id, command, term, sent,
                                       process, name, done = std::move(done)] {
    if (this->cut.contains(index)) return;
    if (this->group->ProcessOf(index) != process) return;
    const std::optional<EndpointStatus> status =
        this->group->Execute(index, command, term);
    if (!status.has_value()) return;
    this->context->Trace(name + ": " + Describe(*status));
    if (this->context->Happens(10)) return;
    this->context->time.RunLater(
        this->context->Between(1, 40),
        [this, index, id, sent, process, name, done, answer = *status] {
          if (this->cut.contains(index)) return;
          if (this->group->ProcessOf(index) != process) return;
          if (this->context->time.Now() - sent > kCommandTimeout) return;
          this->view.OnStatus(id, answer);
          done(answer);
        });
  });
}

void DaemonModel::DemandReplacement() {
  this->wanted_until = this->context->time.Now() + kDemandDuration;
}

void DaemonModel::Tick() {
  const common::SteadyTime now = this->context->time.Now();
  std::erase_if(this->former_members,
                [now](const auto& item) { return item.second <= now; });
  if (this->store_reachable) {
    if (this->plan == nullptr) {
      this->UpdateMembers();
    } else {
      this->ListMembers();
    }
  }
  if (this->plan != nullptr) this->Perform(this->plan->OnTick(now));
  if (this->plan != nullptr && this->plan->KeepsLease(now) &&
      now >= this->next_renewal) {
    this->next_renewal = now + kRenewalInterval;
    this->Confirm();
  }
  if (this->running || now < this->next_start || now > this->wanted_until) {
    return;
  }
  this->running = true;
  this->context->time.RunLater(this->context->Between(0, kMaxStartJitter),
                               [this, starter = this->process] {
                                 if (this->process != starter) return;
                                 if (this->Acquire()) {
                                   this->Begin();
                                   return;
                                 }
                                 this->running = false;
                                 this->next_start =
                                     this->context->time.Now() + kRestartDelay;
                               });
}

void DaemonModel::Begin() {
  const common::SteadyTime now = this->context->time.Now();
  if (this->store_reachable) this->ListMembers();
  const std::optional<common::EndpointId> primary = this->view.Primary();
  this->context->Trace(
      this->Name() + " begins a plan, primary " +
      (primary.has_value() ? primary->Value() : std::string("unknown")) +
      ", highest term " + std::to_string(this->view.HighestTerm()));
  this->plan = std::make_shared<PromotionPlan>(
      this->members, this->Former(), primary, this->view.PrimaryTerm(),
      this->view.HighestTerm(), now);
  this->SettleExecutedOrder();
  const std::optional<OpenOrder> open = this->OpenOrderOfGroup();
  if (open.has_value()) {
    this->context->Trace(this->Name() + " awaits the order for " +
                         open->record.endpoint.Value());
    this->plan->SetEarlierOrder(*open);
  }
  this->Perform(this->plan->Begin(now));
}

void DaemonModel::Perform(const std::vector<PromotionAction>& actions) {
  const std::shared_ptr<PromotionPlan> current = this->plan;
  const auto send = [this, &current](const common::EndpointId& id,
                                     ModelCommand command, common::Term term) {
    this->Send(id, command, term,
               [this, current, id](const EndpointStatus& status) {
                 if (this->plan != current) return;
                 this->Perform(
                     current->OnStatus(id, status, this->context->time.Now()));
               });
  };
  std::vector<common::EndpointId> held;
  for (const PromotionAction& action : actions) {
    std::visit(
        common::Overloaded{
            [&](const SendStepDown& step) {
              send(step.endpoint, ModelCommand::kStepDown, step.term);
            },
            [&](const SendHold& hold) {
              send(hold.endpoint, ModelCommand::kHold, hold.term);
            },
            [&](const SendResume& resume) { held.push_back(resume.endpoint); },
            [&](const SendStatus& status) {
              send(status.endpoint, ModelCommand::kStatus, 0);
            },
            [&](const OrderPromotion& order) {
              this->SendOrder(order.endpoint);
            },
            [&](const PromotionFinished& finished) {
              this->ResumeAndEnd(held, finished);
            },
        },
        action);
  }
}

void DaemonModel::SetPromotionPath(bool up) {
  this->promotion_path_up = up;
  this->context->Trace(this->Name() + "-platform: " + (up ? "up" : "held"));
  if (!up) return;
  for (std::function<void()>& request :
       std::exchange(this->held_requests, {})) {
    this->Deliver(this->context->Between(1, 40), std::move(request));
  }
}

void DaemonModel::Kill() {
  ++this->process;
  this->plan.reset();
  this->running = false;
  this->record = ModelLeaseRecord{};
  this->record_seen_at.reset();
  this->seen_order = 0;
  this->confirmed_at.reset();
  this->holds_lease = false;
  this->abandoned_at.reset();
  this->lost_lease = false;
  this->former_members.clear();
  this->next_start = this->context->time.Now() + kDaemonStart;
  this->context->Trace(this->Name() + " is killed");
}

void DaemonModel::Deliver(milliseconds after, std::function<void()> request) {
  this->context->time.RunLater(
      after, [this, request = std::move(request)]() mutable {
        if (this->promotion_path_up) {
          request();
        } else {
          this->held_requests.push_back(std::move(request));
        }
      });
}

void DaemonModel::SendOrder(const common::EndpointId& id) {
  // The platform has to answer a request first.
  const std::shared_ptr<PromotionPlan> current = this->plan;
  const auto proved = std::make_shared<bool>(false);
  this->Deliver(this->context->Between(1, 40), [this, id, current, proved] {
    this->context->time.RunLater(
        this->context->Between(1, 40), [this, id, current, proved] {
          if (!this->promotion_path_up || this->plan != current) return;
          if (!std::exchange(*proved, true)) this->SendProvedOrder(id);
        });
  });
  this->context->time.RunLater(kOrderTimeout, [this, current, proved] {
    if (std::exchange(*proved, true) || this->plan != current) return;
    this->Perform(current->OnPlatformNotReached(this->context->time.Now()));
  });
}

void DaemonModel::SendProvedOrder(const common::EndpointId& id) {
  if (!this->plan->IsChosen(id, this->context->time.Now()) ||
      !this->RecordOrder(id, this->plan->NewestTerm()) || !this->MayOrder()) {
    this->context->Trace(this->Name() + " may not order " + id.Value());
    this->plan->OnOrderNotSent();
    return;
  }
  const int index = this->group->IndexOf(id);
  const std::uint64_t token = this->record.held_since;
  this->context->Trace(this->Name() + " ORDERS " + id.Value() + ", token " +
                       std::to_string(token));
  const auto answer = [this, current = this->plan,
                       sender = this->process](PromotionAnswer given) {
    if (this->process != sender) return;
    if (given == PromotionAnswer::kRejected) this->WithdrawOrder();
    if (given == PromotionAnswer::kAccepted) this->OnOrderAccepted();
    if (this->plan != current || current == nullptr) return;
    this->Perform(current->OnOrderAnswer(given, this->context->time.Now()));
  };
  const bool answered = !this->context->Happens(20);
  if (!answered && this->context->Happens(30)) {
    this->context->time.RunLater(
        kOrderTimeout, [answer] { answer(PromotionAnswer::kNoAnswer); });
    return;
  }
  const milliseconds age = this->context->Between(
      5, static_cast<int>(this->LatestArrival(answered).count()));
  this->group->BeginOrder();
  const auto deliver = [this, index, token, answer, answered,
                        sent = this->context->time.Now()] {
    const milliseconds age =
        common::ToMilliseconds(this->context->time.Now() - sent);
    const bool accepted = this->group->Order(index, this->number, token, age);
    this->group->EndOrder();
    this->context->Trace(
        "the platform " + std::string(accepted ? "accepts" : "rejects") +
        " the order for " + DatabaseGroupModel::NameOf(index) + " of " +
        this->Name() + (answered ? "" : ", answer lost"));
    if (!answered || age >= kOrderTimeout) return;
    this->context->time.RunLater(
        this->context->Between(1, 40), [answer, accepted] {
          answer(accepted ? PromotionAnswer::kAccepted
                          : PromotionAnswer::kRejected);
        });
  };
  this->Deliver(age, deliver);
  if (answered) return;
  this->context->time.RunLater(
      kOrderTimeout, [answer] { answer(PromotionAnswer::kNoAnswer); });
}

milliseconds DaemonModel::LatestArrival(bool answered) const {
  if (answered) return milliseconds(50);
  if (this->faults.held_orders) return kLongestHeldOrder;
  return milliseconds(this->faults.late_orders ? 3000 : 200);
}

void DaemonModel::ResumeAndEnd(const std::vector<common::EndpointId>& held,
                               const PromotionFinished& finished) {
  if (held.empty() || !this->Confirm()) {
    this->End(finished);
    return;
  }
  const auto answered = std::make_shared<std::size_t>(0);
  for (const common::EndpointId& id : held) {
    this->Send(id, ModelCommand::kResume, 0,
               [answered](const EndpointStatus&) { ++*answered; });
  }
  this->context->time.RunLater(
      kCommandTimeout,
      [this, answered, count = held.size(), finished, sender = this->process] {
        if (this->process != sender) return;
        PromotionFinished ended = finished;
        ended.command_may_execute |= *answered < count;
        this->End(ended);
      });
}

void DaemonModel::End(const PromotionFinished& finished) {
  this->context->Trace(this->Name() + " ends its plan: " + finished.reason);
  this->plan.reset();
  this->running = false;
  this->SettleExecutedOrder();
  if (finished.command_may_execute) {
    this->abandoned_at = this->context->time.Now();
  }
  this->Release();
  if (finished.promoted) this->wanted_until = this->context->time.Now();
  this->next_start = this->context->time.Now() + kRestartDelay;
}

bool DaemonModel::WasAbandoned() const {
  return this->abandoned_at.has_value() &&
         this->context->time.Now() - *this->abandoned_at < kTakeoverDelay;
}

bool DaemonModel::Acquire() {
  if (!this->store_reachable || this->WasAbandoned()) return false;
  const common::SteadyTime now = this->context->time.Now();
  if (!this->record_seen_at.has_value() ||
      this->store->revision != this->record.revision) {
    this->record_seen_at = now;
  }
  this->SetRecord(*this->store);
  if (this->record.active && this->record.holder != this->number &&
      now - *this->record_seen_at < kTakeoverDelay) {
    return false;
  }
  if (!this->WriteLease(true)) return false;
  this->holds_lease = true;
  return true;
}

bool DaemonModel::Confirm() {
  if (this->lost_lease) return false;
  if (this->MayOrder()) return true;
  return this->WriteLease(true);
}

void DaemonModel::Release() {
  this->holds_lease = false;
  this->confirmed_at.reset();
  if (std::exchange(this->lost_lease, false)) return;
  if (this->WasAbandoned()) return;
  this->WriteLease(false);
  this->confirmed_at.reset();
}

bool DaemonModel::MayOrder() const {
  return this->holds_lease && this->confirmed_at.has_value() &&
         this->context->time.Now() - *this->confirmed_at < kOrderWindow;
}

bool DaemonModel::WriteLease(bool active) {
  if (!this->store_reachable) return false;
  const common::SteadyTime now = this->context->time.Now();
  this->record_seen_at = now;
  if (this->store->revision != this->record.revision) {
    this->SetRecord(*this->store);
    this->confirmed_at.reset();
    this->lost_lease = this->holds_lease;
    return false;
  }
  const std::uint64_t revision = this->record.revision + 1;
  const bool is_holder = this->record.holder == this->number;
  *this->store =
      ModelLeaseRecord{this->number, active, revision, this->record.order,
                       is_holder ? this->record.held_since : revision};
  this->SetRecord(*this->store);
  this->confirmed_at = now;
  this->context->Trace(this->Name() + (active ? " holds" : " releases") +
                       " the lease, revision " +
                       std::to_string(this->record.revision));
  return true;
}

bool DaemonModel::RecordOrder(const common::EndpointId& id,
                              common::Term newest) {
  if (this->lost_lease) return false;
  const std::optional<PromotionOrderRecord> before = this->record.order;
  PromotionOrderRecord order{id, newest, 0, 0};
  if (const std::optional<OpenOrder> open = this->OpenOrderOfGroup()) {
    if (open->record.endpoint != id || open->may_arrive) return false;
    order = open->record;
  }
  order.token = this->OwnToken();
  ++order.count;
  ++order.unanswered;
  order.number = this->record.revision;
  this->record.order = order;
  if (this->WriteLease(true)) return true;
  if (!this->lost_lease) this->record.order = before;
  return false;
}

std::uint64_t DaemonModel::OwnToken() const {
  return this->record.holder == this->number ? this->record.held_since
                                             : this->record.revision + 1;
}

void DaemonModel::WithdrawOrder() {
  if (!this->record.order.has_value()) return;
  if (this->record.order->unanswered > 0) --this->record.order->unanswered;
  if (--this->record.order->count == 0) this->record.order.reset();
}

void DaemonModel::OnOrderAccepted() {
  if (!this->record.order.has_value()) return;
  if (this->record.order->unanswered > 0) --this->record.order->unanswered;
}

void DaemonModel::SettleExecutedOrder() {
  const std::optional<OpenOrder> open = this->OpenOrderOfGroup();
  const std::optional<common::EndpointId> primary = this->view.Primary();
  if (open.has_value() && primary.has_value() &&
      open->record.IsExecuted(*primary, this->view.PrimaryTerm())) {
    this->record.order.reset();
  }
}

std::optional<OpenOrder> DaemonModel::OpenOrderOfGroup() const {
  const common::SteadyTime until = this->order_seen_at + kOrderLifetime;
  if (!this->record.order.has_value() || this->context->time.Now() >= until) {
    return std::nullopt;
  }
  const PromotionOrderRecord& order = *this->record.order;
  return OpenOrder{order, until,
                   order.unanswered > 0 && order.token != this->OwnToken()};
}

void DaemonModel::SetRecord(const ModelLeaseRecord& changed) {
  if (changed.order.has_value() && changed.order->number != this->seen_order) {
    this->seen_order = changed.order->number;
    this->order_seen_at = this->context->time.Now();
  }
  this->record = changed;
}

PromotionModel::PromotionModel(ModelGuarantee guarantee, ModelFaults faults,
                               int daemon_count, bool checks_fence,
                               std::uint32_t seed)
    : context(guarantee, seed), group(&this->context, faults, checks_fence) {
  for (int number = 0; number < daemon_count; ++number) {
    this->daemons.push_back(std::make_unique<DaemonModel>(
        &this->context, &this->group, &this->lease, faults, number));
  }
}

std::string PromotionModel::Play(const std::vector<TimedStep>& steps) {
  std::function<void()> tick = [&] {
    for (const auto& daemon : this->daemons) daemon->Tick();
    this->context.time.RunLater(kPromotionTickInterval, tick);
  };
  tick();
  std::function<void()> replicate = [&] {
    this->group.ReplicateAll();
    this->context.time.RunLater(kReplicationInterval, replicate);
  };
  replicate();
  for (const TimedStep& timed : steps) {
    this->context.time.Advance(timed.pause);
    if (!this->context.violation.empty()) break;
    this->Perform(timed.step);
  }
  if (this->context.violation.empty()) {
    this->context.time.Advance(std::chrono::seconds(5));
  }
  if (this->context.violation.empty()) return "";
  std::ostringstream report;
  report << this->context.violation << "\n";
  const auto& trace = this->context.trace;
  const std::size_t first =
      trace.size() > kTraceLines ? trace.size() - kTraceLines : 0;
  for (std::size_t line = first; line < trace.size(); ++line) {
    report << trace[line] << "\n";
  }
  return report.str();
}

void PromotionModel::Perform(const ModelStep& step) {
  const auto daemon = [this](int number) -> DaemonModel& {
    return *this->daemons[number % this->daemons.size()];
  };
  std::visit(
      common::Overloaded{
          [&](const CommitStep& commit) {
            this->group.Commit(commit.database);
          },
          [&](const DatabaseLinkStep& link) {
            this->group.SetLink(link.one, link.other, link.up);
          },
          [&](const DaemonLinkStep& link) {
            daemon(link.daemon).SetLink(link.database, link.up);
          },
          [&](const IsolateStep& isolate) {
            for (int other = 0; other < this->group.Size(); ++other) {
              this->group.SetLink(isolate.database, other, isolate.up);
            }
            for (const auto& each : this->daemons) {
              each->SetLink(isolate.database, isolate.up);
            }
          },
          [&](const ProbeStep& probe) {
            daemon(probe.daemon).Probe(probe.database);
          },
          [&](const ReplaceStep& replace) {
            daemon(replace.daemon).DemandReplacement();
          },
          [&](const CrashStep& crash) { this->group.Crash(crash.database); },
          [&](const RebirthStep& rebirth) {
            this->group.Rebirth(rebirth.database);
          },
          [&](const LapseStep& lapse) { this->group.Lapse(lapse.database); },
          [&](const JoinStep& /*join*/) { this->group.Join(); },
          [&](const StoreLinkStep& link) {
            daemon(link.daemon).SetStoreLink(link.up);
          },
          [&](const PromotionPathStep& path) {
            daemon(path.daemon).SetPromotionPath(path.up);
          },
          [&](const KillStep& kill) { daemon(kill.daemon).Kill(); },
      },
      step);
}

}  // namespace camphorferry::session
