#ifndef CAMPHORFERRY_DAEMON_MODEL_H_
#define CAMPHORFERRY_DAEMON_MODEL_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "database_group_model.h"

namespace camphorferry::session {

/// The stored lease record.
struct ModelLeaseRecord {
  int holder = -1;
  bool active = false;
  std::uint64_t revision = 1;
  std::optional<PromotionOrderRecord> order;
  /// First revision with this holder, which is its token.
  std::uint64_t held_since = 0;
  /// Up to which term acknowledgements have ended.
  ClosedTerm closed;
};

class DaemonModel;

/// The daemons and the network between them.
struct ModelFleet {
  bool Linked(int one, int other) const {
    return !this->cut.contains(std::minmax(one, other));
  }

  std::vector<std::unique_ptr<DaemonModel>> daemons;
  std::set<std::pair<int, int>> cut;
};

/// The service of the group.
common::ServiceId ModelService();

/// A daemon: its belief about the group, its use of the promotion lease as in
/// PromotionLease, its driving of a PromotionPlan as in PromotionTask, and the
/// acknowledgements that it passes on.
class DaemonModel {
 public:
  DaemonModel(ModelContext* context, DatabaseGroupModel* group,
              ModelLeaseRecord* store, ModelFleet* fleet, ModelFaults faults,
              int number);

  void SetLink(int database, bool up);
  void SetStoreLink(bool up) { this->store_reachable = up; }
  void SetPromotionPath(bool up);
  /// Ends the process and starts another one.
  void Kill();
  /// Suspends the host. Messages wait, and time passes.
  void Freeze();
  bool IsFrozen() const {
    return this->context->time.Now() < this->frozen_until;
  }
  /// A client commits at one of the databases that lead.
  void Commit(int leader);
  void Probe(int database);
  void DemandReplacement();
  void Tick();

 private:
  /// Takes a status and when it was requested.
  using StatusCallback =
      std::function<void(const EndpointStatus&, common::SteadyTime sent)>;
  using Task = std::function<void()>;

  /// Commits at a primary that wait until a listed replica is known to have
  /// them.
  struct Unconfirmed {
    PendingAcknowledgements commits;
    bool asking = false;
  };

  /// Whether no process of the daemon runs.
  bool IsDown() const { return this->context->time.Now() < this->down_until; }

  /// Runs a task of this process after a delay, or once its host runs again.
  void RunLater(std::chrono::milliseconds delay, std::function<void()> task);
  void OnMemberStatus(const common::EndpointId& id,
                      const EndpointStatus& status, common::SteadyTime sent);

  // The acknowledgements.
  /// Handles the answer to a commit that was sent when this daemon knew the
  /// primary's log up to a position.
  void OnCommitAnswer(const ModelCommitAnswer& answer,
                      common::LogPosition after);
  bool IsListed(int database) const;
  void Tell(const ModelCommitAnswer& answer, common::LogPosition after,
            bool confirmed_unlisted);
  /// Tells the client of a commit once a listed replica is known to have it.
  void TellOnceConfirmed(const ModelCommitAnswer& answer,
                         common::LogPosition after);
  /// Handles the answer until this process knows the record for the first time.
  void OnCommitAnswerOnceKnown(const ModelCommitAnswer& answer,
                               common::LogPosition after,
                               common::SteadyTime until);
  /// Asks the listed replicas for commits at a primary until none waits.
  void AskReplicas(int primary);
  /// Reads the record or asks a peer for it if that is due.
  void UpdateKnowledge();
  void ReadRecord();
  void AskForRecord();
  /// A process has ended, and what it knew.
  void ForgetKnowledge();

  // The closing of terms.
  void Close(common::Term below);
  void Open(common::Term below);
  /// Asks the daemons until the poll has ended.
  void AskUnanswered(const std::shared_ptr<ClosingPoll>& asked,
                     const ClosedTerm& entry);
  void CheckClosed();
  CloseTermReply OnCloseTerm(const ClosedTerm& entry);
  /// Has a request reach the process of another daemon; none if the connection
  /// is refused. It returns what this process does with the answer.
  void AskPeer(int peer, std::function<Task(DaemonModel* asked)> request);

  /// Takes over the entries that this daemon has heard of.
  void UpdateMembers();
  /// Takes over the entries that the store has now.
  void ListMembers();
  FormerMembers Former() const;
  std::set<common::EndpointId> Ended() const;
  void Send(const common::EndpointId& id, ModelCommand command,
            common::Term term, StatusCallback done);

  // The promotion task.
  void Begin();
  void Perform(const std::vector<PromotionAction>& actions);
  void SendOrder(const common::EndpointId& id);
  /// Gives an order after the platform has answered.
  void SendProvedOrder(const common::EndpointId& id);
  /// Has a request reach the platform after some time, or when the path is no
  /// longer held.
  void Deliver(std::chrono::milliseconds after, std::function<void()> request);
  /// Longest time after which an order reaches the platform.
  std::chrono::milliseconds LatestArrival(bool answered) const;
  void ResumeAndEnd(const std::vector<common::EndpointId>& held,
                    const PromotionFinished& finished);
  void End(const PromotionFinished& finished);

  // The promotion lease.
  /// Whether a use of the lease was abandoned less than the takeover delay ago.
  bool WasAbandoned() const;
  bool Acquire();
  bool Confirm();
  void Release();
  bool MayOrder() const;
  bool WriteLease(bool active);
  /// Writes the first term that is not closed. Returns the stored entry; none
  /// if the write has failed.
  std::optional<ClosedTerm> WriteClosed(common::Term below);
  bool RecordOrder(const common::EndpointId& id, common::Term newest);
  void WithdrawOrder();
  void OnOrderAccepted();
  /// The token that this daemon has, or gets when it becomes the holder.
  std::uint64_t OwnToken() const;
  void SettleExecutedOrder();
  std::optional<OpenOrder> OpenOrderOfGroup() const;
  void SetRecord(const ModelLeaseRecord& changed);

  std::string Name() const { return "daemon" + std::to_string(this->number); }

  ModelContext* context;
  DatabaseGroupModel* group;
  ModelLeaseRecord* store;
  ModelFleet* fleet;
  ModelFaults faults;
  int number;
  std::set<int> cut;
  bool store_reachable = true;
  bool promotion_path_up = true;
  /// Requests that wait for the path to the promotion API.
  std::vector<std::function<void()>> held_requests;
  /// Number of the daemon's current process.
  int process = 0;

  std::vector<GroupMember> members;
  /// How late changes of the entries are heard of, and until when all are known
  /// from a listing or from a watch that did not lag.
  std::chrono::milliseconds watch_lag{0};
  common::SteadyTime listed_at;
  /// Processes that have disappeared, and until when they count.
  std::map<std::pair<common::EndpointId, std::uint64_t>, common::SteadyTime>
      former_members;
  /// Members that had announced their end, and when they disappeared.
  std::map<common::EndpointId, common::SteadyTime> ended_members;
  GroupStability stability;
  common::SteadyTime frozen_until;
  common::SteadyTime down_until;
  PrimaryView view;

  common::SteadyTime started;
  /// Since when it has followed the members; none while it does not reach the
  /// store.
  std::optional<common::SteadyTime> followed_since;
  AcknowledgementGate gate;
  bool is_registered = false;
  /// This process has known the record.
  bool has_known_record = false;
  common::SteadyTime next_read;
  common::SteadyTime next_peer_request;
  /// Highest end of a log that this process has heard of.
  common::LogPosition known_end;
  /// Highest position that a replica has reported to this process.
  common::LogPosition replica_end;
  /// The last status in which a member of the newest term said that it leads,
  /// and when it was requested.
  std::optional<PrimaryLogEnd> leader;
  common::SteadyTime leader_at;
  std::map<int, Unconfirmed> unconfirmed;

  bool running = false;
  std::shared_ptr<PromotionPlan> plan;
  /// The closing that the plan waits for.
  std::shared_ptr<ClosingPoll> poll;
  common::SteadyTime next_start;
  common::SteadyTime next_renewal;
  common::SteadyTime wanted_until;

  ModelLeaseRecord record;
  std::optional<common::SteadyTime> record_seen_at;
  /// The recorded orders that this daemon has seen last, and since when.
  std::uint64_t seen_order = 0;
  common::SteadyTime order_seen_at;
  std::optional<common::SteadyTime> confirmed_at;
  bool holds_lease = false;
  std::optional<common::SteadyTime> abandoned_at;
  bool lost_lease = false;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_DAEMON_MODEL_H_
