#include "database_group.h"

#include <algorithm>
#include <utility>

namespace camphorferry::soak {

namespace {

using platform::CommandBehavior;

/// Replication lag of a replica without faults.
constexpr std::chrono::milliseconds kReplicationInterval(30);
/// Delay between a promotion request and its effect.
constexpr std::chrono::milliseconds kPromotionDelay(300);
/// Longest delay of a slow promotion.
constexpr std::chrono::milliseconds kMaxPromotionDelay(8000);
/// Delay between a promotion and the demotion of the previous primary.
constexpr std::chrono::milliseconds kDemotionDelay(1000);
/// While responses are lost, every nth statement executes without a response.
constexpr unsigned kStatementsPerLostResponse = 20;

}  // namespace

DatabaseGroup::DatabaseGroup(connection::EventLoop* loop,
                             platform::FakeStore* store,
                             GuaranteeChecker* checker, std::string service,
                             std::uint64_t seed)
    : loop(loop),
      store(store),
      checker(checker),
      service(std::move(service)),
      random(seed) {
  constexpr int kMembers = 3;
  for (int index = 0; index < kMembers; ++index) {
    auto member = std::make_unique<Member>();
    Member* raw = member.get();
    raw->id = this->service + "-" + std::to_string(index);
    raw->database =
        std::make_unique<platform::FakeDatabase>(loop, this->service, raw->id);
    raw->relay =
        std::make_unique<TcpRelay>(loop, raw->database->Registration().address);
    raw->database->primary = index == 0;
    raw->database->on_commit = [this, raw] {
      this->commit_replicated = this->Replicate(raw);
    };
    raw->database->acknowledges = [this] { return this->commit_replicated; };
    raw->database->on_executed =
        [this, raw](const platform::StatementRecord& statement) {
          this->OnExecuted(*raw, statement);
        };
    raw->database->command_behavior = [this](const std::string& text) {
      const bool is_statement = text.find("STATUS") == std::string::npos;
      const bool lose_response =
          this->lose_responses && is_statement &&
          ++this->statement_counter % kStatementsPerLostResponse == 0;
      return lose_response ? CommandBehavior::kRunAndHang
                           : CommandBehavior::kRun;
    };
    this->members.push_back(std::move(member));
  }
  this->catch_up_timer =
      loop->Every(kReplicationInterval, [this] { this->CatchUp(); });
}

void DatabaseGroup::Register() {
  for (const auto& member : this->members) this->Publish(*member);
}

void DatabaseGroup::Publish(const Member& member) {
  session::GroupMember entry = member.database->Registration();
  entry.address = member.relay->Address();
  this->store->Put(entry);
}

DatabaseGroup::Member* DatabaseGroup::Leader() {
  return const_cast<Member*>(std::as_const(*this).Leader());
}

const DatabaseGroup::Member* DatabaseGroup::Leader() const {
  const Member* latest = nullptr;
  for (const auto& member : this->members) {
    if (!member->database->primary) continue;
    if (latest == nullptr || member->database->term > latest->database->term) {
      latest = member.get();
    }
  }
  return latest;
}

void DatabaseGroup::CopyLog(const Member& from, Member* to) {
  to->database->log = from.database->log;
  to->database->position = from.database->position;
  to->database->term = from.database->term;
  to->commit_ids = from.commit_ids;
}

bool DatabaseGroup::Replicate(Member* primary) {
  const auto& log = primary->database->log;
  for (auto it = log.rbegin();
       it != log.rend() && primary->commit_ids.insert(it->id).second; ++it) {
  }
  if (primary != this->Leader()) return false;
  for (const auto& replica : this->members) {
    const bool can_receive = replica.get() != primary && !replica->down &&
                             !replica->database->primary &&
                             replica->database->held == 0 &&
                             replica->database->term <= primary->database->term;
    if (!can_receive) continue;
    this->CopyLog(*primary, replica.get());
    return true;
  }
  return false;
}

void DatabaseGroup::CatchUp() {
  const Member* leader = this->Leader();
  if (leader == nullptr || leader->down || this->replicas_lag) return;
  for (const auto& replica : this->members) {
    const bool can_receive = replica.get() != leader && !replica->down &&
                             !replica->database->primary &&
                             replica->database->held == 0;
    if (can_receive) this->CopyLog(*leader, replica.get());
  }
}

void DatabaseGroup::OnExecuted(const Member& member,
                               const platform::StatementRecord& statement) {
  ExecutedStatement executed;
  executed.id = statement.id;
  executed.caller = statement.caller;
  executed.values = statement.values;
  executed.held_commits = &member.commit_ids;
  this->checker->OnExecuted(executed, common::SteadyNow());
}

bool DatabaseGroup::Promote(const std::string& id) {
  const auto found =
      std::find_if(this->members.begin(), this->members.end(),
                   [&](const auto& member) { return member->id == id; });
  if (found == this->members.end() || (*found)->down) return false;
  if (found->get() == this->Leader()) return true;
  const std::chrono::milliseconds delay = this->PromotionDelay();
  common::Log(common::Subsystem::kProcess, common::LogLevel::kInfo,
              "promotion_accepted",
              {{"endpoint", id}, {"delay_ms", delay.count()}});
  this->loop->RunLater(delay, [this, candidate = found->get()] {
    this->FinishPromotion(candidate);
  });
  return true;
}

std::chrono::milliseconds DatabaseGroup::PromotionDelay() {
  if (!this->slow_promotions) return kPromotionDelay;
  std::uniform_int_distribution<std::chrono::milliseconds::rep> delay(
      kPromotionDelay.count(), kMaxPromotionDelay.count());
  return std::chrono::milliseconds(delay(this->random));
}

void DatabaseGroup::FinishPromotion(Member* candidate) {
  if (candidate->down || candidate == this->Leader()) return;
  common::Term highest = 0;
  for (const auto& member : this->members) {
    highest = std::max(highest, member->database->term);
  }
  common::Log(common::Subsystem::kProcess, common::LogLevel::kInfo,
              "promotion_effective", {{"endpoint", candidate->id}});
  this->checker->OnPromoted(this->service, candidate->id,
                            candidate->commit_ids);
  platform::FakeDatabase& database = *candidate->database;
  database.primary = true;
  database.term = highest + 1;
  database.position.term = database.term;
  database.held = 0;
  for (const auto& member : this->members) {
    if (member.get() == candidate || member->down) continue;
    if (!member->database->primary) {
      member->database->held = 0;
      this->CopyLog(*candidate, member.get());
    }
  }
  this->Publish(*candidate);
  this->loop->RunLater(kDemotionDelay, [this] {
    Member* leader = this->Leader();
    for (const auto& member : this->members) {
      if (member.get() == leader || member->down) continue;
      if (!member->database->primary) continue;
      member->database->primary = false;
      this->CopyLog(*leader, member.get());
      this->Publish(*member);
    }
  });
}

void DatabaseGroup::CrashPrimary(LinkState state) {
  Member* leader = this->Leader();
  if (leader == nullptr) return;
  leader->down = true;
  leader->relay->SetState(state);
}

void DatabaseGroup::RestoreAll() {
  Member* leader = this->Leader();
  for (const auto& member : this->members) {
    if (!std::exchange(member->down, false)) continue;
    member->relay->SetState(this->link_state);
    member->database->held = 0;
    if (member.get() == leader) continue;
    // A crashed primary restarts as a replica of the current primary.
    member->database->primary = false;
    this->CopyLog(*leader, member.get());
    this->Publish(*member);
  }
}

void DatabaseGroup::SetLinkState(LinkState state) {
  this->link_state = state;
  for (const auto& member : this->members) {
    if (!member->down) member->relay->SetState(state);
  }
}

void DatabaseGroup::ResetConnections() {
  for (const auto& member : this->members) member->relay->ResetAll();
}

std::vector<std::string> DatabaseGroup::CommittedIds() const {
  std::vector<std::string> ids;
  for (const platform::Commit& commit : this->Leader()->database->log) {
    ids.push_back(commit.id);
  }
  return ids;
}

}  // namespace camphorferry::soak
