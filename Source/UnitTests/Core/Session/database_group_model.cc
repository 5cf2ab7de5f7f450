#include "database_group_model.h"

#include <algorithm>
#include <iterator>
#include <sstream>

namespace camphorferry::session {

namespace {

using std::chrono::milliseconds;

/// Longest time from an order to its effect if promotions are slow.
constexpr milliseconds kLongestSlowPromotion(9500);
/// Longest time from an order to its effect otherwise.
constexpr milliseconds kLongestPromotion(1000);
/// Share of the promotions that are slow, in percent.
constexpr int kSlowPromotions = 30;
/// An old primary continues for this long after it reaches the new one.
constexpr milliseconds kReplacedAfter(1000);
/// Until the store has a change of an entry.
constexpr milliseconds kEntryDelay(50);
/// Largest number of databases.
constexpr int kMaxDatabases = 7;
/// Age at which a member's answer counts no more for a PromotionPlan.
constexpr milliseconds kLongestAnswerAge(1000);

}  // namespace

std::string Describe(const EndpointStatus& status) {
  std::ostringstream out;
  out << (status.role == GroupRole::kPrimary ? "primary" : "replica")
      << " of term " << status.term << " at " << status.received.term << "."
      << status.received.index << ", held " << status.held;
  return out.str();
}

DatabaseGroupModel::DatabaseGroupModel(ModelContext* context,
                                       ModelFaults faults, bool checks_fence)
    : context(context), faults(faults), checks_fence(checks_fence) {
  this->databases.resize(3);
  this->databases[0].role = GroupRole::kPrimary;
  this->databases[0].led_term = 1;
  for (int index = 0; index < 3; ++index) {
    GroupMember entry;
    entry.id = common::EndpointId(NameOf(index));
    entry.incarnation = 1;
    entry.reports_primary = index == 0;
    this->databases[index].was_listed = true;
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

std::optional<int> DatabaseGroupModel::LeaderAt(int place) const {
  std::vector<int> leading;
  for (int index = 0; index < this->Size(); ++index) {
    const Database& database = this->databases[index];
    if (database.alive && database.role == GroupRole::kPrimary) {
      leading.push_back(index);
    }
  }
  if (leading.empty()) return std::nullopt;
  return leading[place % leading.size()];
}

void DatabaseGroupModel::Commit(int index, ModelCommitCallback answer) {
  Database& database = this->databases[index];
  if (!database.alive || database.role != GroupRole::kPrimary) return;
  database.log.push_back(LogEntry{database.term, this->next_commit});
  database.unacknowledged.emplace(this->next_commit, std::move(answer));
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
                this->OnConfirmed(from, target, length);
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

bool DatabaseGroupModel::Contains(const std::vector<LogEntry>& log,
                                  int number) {
  return std::any_of(log.begin(), log.end(), [&](const LogEntry& entry) {
    return entry.number == number;
  });
}

void DatabaseGroupModel::OnConfirmed(int index, int by, std::size_t length) {
  Database& database = this->databases[index];
  if (!database.alive || database.role != GroupRole::kPrimary) return;
  // PROTOCOL, databases: a commit is acknowledged once one replica has it. The
  // answer carries the end of the primary's log.
  const common::LogPosition end = this->StatusOf(index).received;
  for (std::size_t place = 0; place < length; ++place) {
    const LogEntry& entry = database.log[place];
    auto waiting = database.unacknowledged.extract(entry.number);
    if (waiting.empty()) continue;
    this->context->Trace("commit #" + std::to_string(entry.number) +
                         " acknowledged by " + NameOf(index) + " with " +
                         NameOf(by));
    waiting.mapped()({entry.number, index, entry.term, end, by});
  }
}

void DatabaseGroupModel::OnPassedOn(const ModelCommitAnswer& answer,
                                    const ModelPassing& passing) {
  const std::string name = "commit #" + std::to_string(answer.number);
  this->context->Trace("daemon" + std::to_string(passing.daemon) +
                       " tells a client of " + name);
  const bool kept = Contains(this->databases[this->leader].log, answer.number);
  if (kept || answer.term == this->newest_term) {
    this->acknowledged.push_back({{answer.term, answer.number}, {passing}});
    ++this->context->losses.acknowledged;
    return;
  }
  this->Report(ModelGuarantee::kOnePrimary,
               name + " of term " + std::to_string(answer.term) +
                   " is acknowledged although " + this->Describe(this->leader) +
                   " was promoted without it");
}

void DatabaseGroupModel::Report(ModelGuarantee broken, const std::string& how) {
  const ModelGuarantee checked = this->context->guarantee;
  const bool is_checked = broken == checked ||
                          (checked == ModelGuarantee::kNoneLostAndFencesRise &&
                           broken != ModelGuarantee::kOnePrimary) ||
                          (checked == ModelGuarantee::kNoneLostNorLate &&
                           broken != ModelGuarantee::kFencesRise);
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
                               const ModelGivenOrder& given) {
  const milliseconds age =
      common::ToMilliseconds(this->context->time.Now() - given.at);
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
  this->context->time.RunLater(
      this->context->Between(600, static_cast<int>(longest.count())),
      [this, index, given] { this->TakeEffect(index, given); });
  return true;
}

bool DatabaseGroupModel::CopiesAreGone(int number) const {
  const common::SteadyTime now = this->context->time.Now();
  return std::none_of(
      this->databases.begin(), this->databases.end(),
      [&](const Database& database) {
        // PROTOCOL, service discovery: an entry that is missing for longer is
        // to be treated as gone.
        const bool treated_as_gone =
            database.unlisted_since.has_value() &&
            now - *database.unlisted_since >= kFormerMemberRetention;
        return Contains(database.log, number) && database.alive &&
               database.was_listed && !treated_as_gone;
      });
}

ModelGivenOrder DatabaseGroupModel::AssessOrder() const {
  ModelGivenOrder given{this->context->time.Now(), {}};
  for (const Acknowledged& commit : this->acknowledged) {
    if (!this->CopiesAreGone(commit.entry.number)) continue;
    const auto all_of = [&](const auto& condition) {
      return std::all_of(commit.passings.begin(), commit.passings.end(),
                         condition);
    };
    if (all_of([&](const ModelPassing& passing) {
          return this->context->daemon_processes[passing.daemon] !=
                 passing.process;
        })) {
      given.excused[commit.entry.number] = LossExcuse::kWitnessesGone;
    } else if (all_of([](const ModelPassing& passing) {
                 return passing.confirmed_unlisted;
               })) {
      given.excused[commit.entry.number] = LossExcuse::kConfirmedUnlisted;
    }
  }
  return given;
}

void DatabaseGroupModel::CheckPromoted(int index,
                                       const ModelGivenOrder& given) {
  const Database& promoted = this->databases[index];
  const bool has_restarted =
      promoted.lost_log_at.has_value() &&
      *promoted.lost_log_at >= given.at - kLongestAnswerAge;
  std::erase_if(this->acknowledged, [&](const Acknowledged& commit) {
    const int number = commit.entry.number;
    if (Contains(promoted.log, number)) return false;
    const auto excuse = given.excused.find(number);
    if (has_restarted || excuse != given.excused.end()) {
      ++this->context->losses
            .excused[has_restarted ? LossExcuse::kPromotedRestarted
                                   : excuse->second];
      return true;
    }
    this->Report(ModelGuarantee::kNoneLost,
                 "acknowledged commit #" + std::to_string(number) +
                     " is missing at the promoted " + this->Describe(index));
    return false;
  });
}

void DatabaseGroupModel::TakeEffect(int index, const ModelGivenOrder& given) {
  Database& promoted = this->databases[index];
  if (!promoted.alive) return;
  if (promoted.role == GroupRole::kPrimary &&
      promoted.term == this->newest_term) {
    return;
  }
  promoted.role = GroupRole::kPrimary;
  promoted.term = ++this->newest_term;
  promoted.led_term = promoted.term;
  ++this->context->losses.promotions;
  promoted.followed_term = promoted.term;
  promoted.held = 0;
  promoted.being_replaced = false;
  promoted.unacknowledged.clear();
  this->leader = index;
  this->context->Trace("PROMOTED: " + this->Describe(index));
  this->WriteEntry(index);
  this->CheckPromoted(index, given);
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
        Database& back = this->databases[index];
        if (back.process != process) return;
        back.alive = true;
        back.held = 0;
        // PROTOCOL, databases: it is a replica if another one was promoted.
        back.role = back.led_term == this->newest_term ? GroupRole::kPrimary
                                                       : GroupRole::kReplica;
        back.term = std::max(back.term, this->newest_term);
        this->context->Trace("back: " + this->Describe(index));
        this->WriteEntry(index);
      });
}

bool DatabaseGroupModel::IsKeptWithout(int index) const {
  return std::all_of(
      this->acknowledged.begin(), this->acknowledged.end(),
      [&](const Acknowledged& commit) {
        for (int other = 0; other < this->Size(); ++other) {
          if (other == index) continue;
          if (Contains(this->databases[other].log, commit.entry.number)) {
            return true;
          }
        }
        return false;
      });
}

void DatabaseGroupModel::Rebirth(int index) {
  if (index >= this->Size() || !this->databases[index].alive) return;
  if (this->databases[index].leaving) return;
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
  database.led_term = 0;
  database.lost_log_at = this->context->time.Now();
  ++database.incarnation;
  const std::uint64_t process = ++database.process;
  this->context->Trace(NameOf(index) + " ends and loses its log");
  this->context->time.RunLater(milliseconds(2000), [this, index, process] {
    if (this->databases[index].process != process) return;
    this->Start(index, process);
  });
}

void DatabaseGroupModel::Join() {
  if (this->Size() >= kMaxDatabases) return;
  this->databases.emplace_back();
  const int index = this->Size() - 1;
  Database& database = this->databases[index];
  database.alive = false;
  database.followed_term = 0;
  this->Start(index, database.process);
}

void DatabaseGroupModel::Start(int index, std::uint64_t process) {
  // It takes part within milliseconds of its start. PROTOCOL, service
  // discovery: an entry is written about each heartbeat, so the first one may
  // come seconds later.
  this->context->time.RunLater(
      this->context->Between(1, 10), [this, index, process] {
        Database& started = this->databases[index];
        if (started.process != process) return;
        started.alive = true;
        started.term = this->newest_term;
        this->context->Trace("starts: " + this->Describe(index));
        this->WriteEntryAfter(this->context->Between(50, 3000), index);
      });
}

void DatabaseGroupModel::Leave(int index) {
  if (index >= this->Size()) return;
  Database& database = this->databases[index];
  if (!database.alive || database.leaving) return;
  // The last ones stay.
  const auto staying = std::count_if(
      this->databases.begin(), this->databases.end(),
      [](const Database& other) { return !other.leaving && other.was_listed; });
  if (staying < 2) return;
  database.leaving = true;
  this->context->Trace(NameOf(index) + " announces its end");
  this->WriteEntry(index);
  // PROTOCOL, databases: it counts until it is gone, at times many seconds
  // later, and its log is gone with it.
  this->context->time.RunLater(this->context->Between(1000, 8000), [this,
                                                                    index] {
    Database& ended = this->databases[index];
    ++ended.process;
    ended.alive = false;
    ended.role = GroupRole::kReplica;
    ended.led_term = 0;
    ended.log.clear();
    ended.unacknowledged.clear();
    this->context->Trace(NameOf(index) + " has left");
    this->context->time.RunLater(this->context->Between(50, 3000),
                                 [this, index] { this->RemoveEntry(index); });
  });
}

void DatabaseGroupModel::RemoveEntry(int index) {
  this->ChangeEntries().erase(index);
  if (this->databases[index].unlisted_since.has_value()) return;
  this->databases[index].unlisted_since = this->context->time.Now();
}

void DatabaseGroupModel::Lapse(int index) {
  if (index >= this->Size() || this->databases[index].lapsed) return;
  this->databases[index].lapsed = true;
  this->RemoveEntry(index);
  this->context->Trace("entry of " + NameOf(index) + " lapses");
  // PROTOCOL, service discovery: entries are removed also while the store is
  // down, and return within two seconds once the database reaches it.
  this->context->time.RunLater(this->context->Between(200, 12000),
                               [this, index] {
                                 this->databases[index].lapsed = false;
                                 if (!this->databases[index].alive) return;
                                 this->WriteEntryAfter(kEntryDelay, index);
                               });
}

void DatabaseGroupModel::WriteEntry(int index) {
  // A database whose first entry is not written yet has no other.
  if (!this->databases[index].was_listed) return;
  this->WriteEntryAfter(kEntryDelay, index);
}

void DatabaseGroupModel::WriteEntryAfter(milliseconds delay, int index) {
  this->context->time.RunLater(
      delay, [this, index, process = this->databases[index].process] {
        Database& database = this->databases[index];
        if (database.lapsed || database.process != process) return;
        database.was_listed = true;
        database.unlisted_since.reset();
        GroupMember entry;
        entry.id = common::EndpointId(NameOf(index));
        entry.incarnation = database.incarnation;
        if (database.leaving) entry.state = MemberState::kLeaving;
        entry.reports_primary = database.role == GroupRole::kPrimary;
        this->ChangeEntries()[index] = entry;
      });
}

}  // namespace camphorferry::session
