#ifndef CAMPHORFERRY_SOAK_DATABASE_GROUP_H_
#define CAMPHORFERRY_SOAK_DATABASE_GROUP_H_

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fake_database.h"
#include "fake_store.h"
#include "guarantee_checker.h"
#include "tcp_relay.h"

namespace camphorferry::soak {

/// Replication group of one service: three simulated databases, each behind its
/// own TCP relay. Replication is asynchronous, but a commit is acknowledged
/// only after one replica has received it. The delays of slow promotions are
/// drawn from the seed.
class DatabaseGroup {
 public:
  DatabaseGroup(connection::EventLoop* loop, platform::FakeStore* store,
                GuaranteeChecker* checker, std::string service,
                std::uint64_t seed);

  /// Publishes the entries of all databases in the store.
  void Register();

  /// Starts a promotion, which takes effect after a delay, whatever has
  /// happened in the meantime. Returns false if the database is not a member of
  /// the group or is down.
  bool Promote(const std::string& id);

  /// Makes the current primary unreachable: its links get the given state.
  void CrashPrimary(LinkState state = LinkState::kDown);
  /// Ends all crashes. The databases return with their logs, and their links
  /// have the state that was set last.
  void RestoreAll();

  /// Sets the state of the links to all databases. It takes effect for one that
  /// is down when it returns.
  void SetLinkState(LinkState state);
  /// Resets all connections to the databases.
  void ResetConnections();

  /// While set, a commit reaches only the replica that acknowledges it; the
  /// others don't catch up.
  void SetReplicasLag(bool lag) { this->replicas_lag = lag; }

  /// While set, some statements execute but get no response.
  void SetLoseResponses(bool lose) { this->lose_responses = lose; }

  /// While set, promotions that are started take effect after 0.3 to 8 s.
  void SetPromotionsSlow(bool slow) { this->slow_promotions = slow; }

  const std::string& Service() const { return this->service; }

  /// Identifier of the current primary.
  const std::string& LeaderId() const { return this->Leader()->id; }

  /// Identifiers of the commits in the log of the current primary.
  std::vector<std::string> CommittedIds() const;

 private:
  struct Member {
    std::string id;
    std::unique_ptr<platform::FakeDatabase> database;
    std::unique_ptr<TcpRelay> relay;
    /// Identifiers of the commits in the log.
    std::set<std::string> commit_ids;
    bool down = false;
  };

  void Publish(const Member& member);
  void CopyLog(const Member& from, Member* to);
  /// Copies a new commit to one replica. Returns false if no replica can
  /// receive it or if the database is no longer the current primary.
  bool Replicate(Member* primary);
  void CatchUp();
  void OnExecuted(const Member& member,
                  const platform::StatementRecord& statement);
  /// Delay between the promotion that starts now and its effect.
  std::chrono::milliseconds PromotionDelay();
  void FinishPromotion(Member* candidate);
  /// The primary of the highest term.
  Member* Leader();
  const Member* Leader() const;

  connection::EventLoop* loop;
  platform::FakeStore* store;
  GuaranteeChecker* checker;
  std::string service;
  std::vector<std::unique_ptr<Member>> members;
  LinkState link_state = LinkState::kOpen;
  bool replicas_lag = false;
  bool lose_responses = false;
  bool slow_promotions = false;
  std::mt19937_64 random;
  unsigned statement_counter = 0;
  /// True if the last commit has reached a replica and is to be acknowledged.
  bool commit_replicated = false;
  std::unique_ptr<connection::Timer> catch_up_timer;
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_DATABASE_GROUP_H_
