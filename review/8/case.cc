// A key is taken away from a client that is inside a transaction.
#include "stand_ins.h"

namespace {

using namespace review;

constexpr std::int64_t kConfigApplyMs = 4000;

bool Holds(const std::string& folder, bool trouble) {
  Deployment& deployment = *new Deployment(folder, 3);
  const json before = {{{"name", "wali-seeb"},
                        {"apiKeys", {"k-withdrawn-5wa", "k-kept-9fq"}},
                        {"priority", 1},
                        {"ratePerS", 200},
                        {"burst", 200}}};
  json after = before;
  after[0]["apiKeys"] = {"k-kept-9fq"};
  deployment.PutConfiguration(7, before);
  deployment.StartAll();

  Client client("A", *deployment.proxies[0]);
  if (!client.Start("confirm1", "k-withdrawn-5wa").Success()) {
    throw CannotRun("the session does not open");
  }
  if (!client.Query("BEGIN").Success() ||
      !client.Query("WRITE booking17 first").Success()) {
    throw CannotRun("the transaction does not open");
  }
  SleepMs(500);
  // Without the disruption, the same configuration is written with the key.
  const std::int64_t acknowledged =
      deployment.PutConfiguration(9, trouble ? after : before);

  // The pauses are half of txIdleMs (3,000 ms).
  bool broken = false;
  int successes = 0;
  const std::vector<std::string> statements = {"READ booking17",
                                               "READ booking17",
                                               "READ booking18",
                                               "WRITE booking18 second",
                                               "READ customer-of-wali",
                                               "WRITE booking19 third",
                                               "COMMIT"};
  for (const std::string& statement : statements) {
    SleepMs(1500);
    std::string id;
    const Answer answer = client.Query(statement, &id);
    const bool late = client.sent_at > acknowledged + kConfigApplyMs;
    const auto run = deployment.group.FindRun(id);
    successes += answer.Success() ? 1 : 0;
    if (trouble && late && run.has_value()) {
      broken = true;
      Note("BROKEN: " + id + " was sent " +
           std::to_string(client.sent_at - acknowledged) +
           " ms after the acknowledgement of the version that dropped its key, "
           "and " +
           run->database + " ran it for tenant " + run->tenant +
           "; the client got: " + answer.Text());
    }
  }
  // Control: the version is in force everywhere for new sessions.
  for (const auto& proxy : deployment.proxies) {
    Client other("B@" + proxy->name, *proxy);
    const bool opened = other.Start("confirm1", "k-withdrawn-5wa").Success();
    if (opened == trouble) {
      throw CannotRun("configuration 9 is not in force at " + proxy->name);
    }
  }
  if (!trouble && successes != static_cast<int>(statements.size())) {
    throw CannotRun("statements fail without the disruption");
  }
  return !broken;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, Holds); }
