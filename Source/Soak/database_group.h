#ifndef CAMPHORFERRY_SOAK_DATABASE_GROUP_H_
#define CAMPHORFERRY_SOAK_DATABASE_GROUP_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fake_database.h"
#include "fake_store.h"
#include "guarantee_checker.h"
#include "tcp_relay.h"

namespace camphorferry::soak {

/// One service: three databases that replicate asynchronously, each behind a
/// relay of its own. A commit is acknowledged once one replica has it.
class DatabaseGroup {
 public:
  DatabaseGroup(connection::EventLoop* loop, platform::FakeStore* store,
                PromiseChecker* checker, std::string service);

  /// Registers the databases in the store.
  void Register();

  /// Carries out a promotion after its usual time; false if the database is
  /// not one of the group or is down.
  bool Promote(const std::string& id);

  /// Makes the present primary unreachable, or reachable again with its log.
  void CrashPrimary();
  void RestoreAll();

  /// Harms the links to all databases.
  void SetLinks(LinkState state);
  void ResetConnections();

  /// Replicas receive nothing for a while beyond what makes commits safe.
  void SetReplicasLag(bool lag) { this->replicas_lag = lag; }

  /// A part of the requests run and have no answer.
  void SetLoseAnswers(bool lose) { this->lose_answers = lose; }

  const std::string& Service() const { return this->service; }

  /// Identifiers of the commits in the log of the latest primary.
  std::vector<std::string> Committed() const;

 private:
  struct Member {
    std::string id;
    std::unique_ptr<platform::FakeDatabase> database;
    std::unique_ptr<LinkRelay> relay;
    std::set<std::string> held_ids;
    bool down = false;
  };

  void Publish(const Member& member);
  void Copy(const Member& from, Member* to);
  /// Brings a commit to one replica at once; false if none receives.
  bool Replicate(Member* primary);
  void CatchUp();
  void OnRun(const Member& member, const platform::RunStatement& statement);
  void FinishPromotion(Member* chosen);
  Member* Leader();
  const Member* Leader() const;

  connection::EventLoop* loop;
  platform::FakeStore* store;
  PromiseChecker* checker;
  std::string service;
  std::vector<std::unique_ptr<Member>> members;
  bool replicas_lag = false;
  bool lose_answers = false;
  unsigned lose_counter = 0;
  bool acknowledged = false;
  std::unique_ptr<connection::Timer> catch_up;
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_DATABASE_GROUP_H_
