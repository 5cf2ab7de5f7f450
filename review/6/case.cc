// A route moves to another service while a transaction is open, and two
// databases of the former service crash after its commit.
#include "stand_ins.h"

namespace {

using namespace review;

bool Holds(const std::string& folder, bool trouble) {
  Deployment& deployment = *new Deployment(folder, 3);
  Group& group = deployment.group;
  const json tenants = {{{"name", "wali-seeb"},
                         {"apiKeys", {"k-kept-9fq"}},
                         {"priority", 1},
                         {"ratePerS", 200},
                         {"burst", 200}}};
  deployment.PutConfiguration(7, tenants);
  deployment.StartAll();

  // Commits that clients were told of, by the identifier of the write.
  std::set<std::string> told;
  std::vector<std::string> lost;
  group.on_promoted = [&](const Database& promoted) {
    std::set<std::string> has;
    for (const Commit& commit : promoted.log) has.insert(commit.id);
    for (const std::string& id : told) {
      if (!has.contains(id)) lost.push_back(id);
    }
    Note("database " + promoted.id + " is promoted with log end " +
         promoted.End().Text() + ", without " + std::to_string(lost.size()) +
         " of " + std::to_string(told.size()) + " acknowledged commits");
  };

  Client client("A", *deployment.proxies[0]);
  Client reader("B", *deployment.proxies[1]);
  std::string first;
  if (!client.Start("confirm1", "k-kept-9fq").Success() ||
      !reader.Start("view2", "k-kept-9fq").Success() ||
      !client.Query("WRITE booking17 first", &first).Success()) {
    throw CannotRun("the sessions do not work");
  }
  told.insert(first);
  SleepMs(500);
  if (!reader.Query("READ booking17").Success()) {
    throw CannotRun("the read fails");
  }
  std::string second;
  if (!client.Query("BEGIN").Success() ||
      !client.Query("WRITE booking18 second", &second).Success()) {
    throw CannotRun("the transaction does not open");
  }
  // Without the disruption, the configuration changes, but not this route.
  if (trouble) deployment.confirm_service = deployment.second.service;
  deployment.PutConfiguration(9, tenants);
  SleepMs(2000);
  {
    const std::scoped_lock lock(group.mutex);
    group.members[2]->deaf = true;
    Note("database " + group.members[2]->id + " receives nothing");
  }
  const Answer commit = client.Query("COMMIT");
  if (!commit.Success()) throw CannotRun("the commit fails");
  {
    const std::scoped_lock lock(group.mutex);
    told.insert(second);
    group.members[0]->Crash();
    group.members[1]->Crash();
  }
  const std::int64_t crashed = NowMs();
  bool listed = true;
  while (NowMs() < crashed + 14'000) {
    // Entries go after three heartbeat intervals of silence.
    if (listed && NowMs() > crashed + 3600) {
      listed = false;
      deployment.platform.Remove("servers", group.members[0]->id);
      deployment.platform.Remove("servers", group.members[1]->id);
    }
    {
      const std::scoped_lock lock(group.mutex);
      if (NowMs() > crashed + 6000) group.members[2]->deaf = false;
    }
    reader.Query("READ booking18", nullptr, 6000);
    SleepMs(200);
  }
  const std::scoped_lock lock(group.mutex);
  for (const std::string& id : lost) {
    Note("BROKEN: the commit of " + id +
         " was acknowledged to its client and isn't in the log of the "
         "database that was promoted");
  }
  return lost.empty();
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, Holds); }
