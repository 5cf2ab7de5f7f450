#ifndef CAMPHORFERRY_SESSION_DIRECTORY_H_
#define CAMPHORFERRY_SESSION_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/common.h"
#include "Connection/http_message.h"

namespace camphorferry::session {

/// Guarantee that a route gives to its reads.
enum class ReadGuarantee {
  /// Every acknowledged commit.
  kLatest,
  /// Every commit acknowledged longer ago than the route's staleness.
  kBoundedStaleness,
  /// Like kBoundedStaleness, and the session's own commits.
  kReadYourWrites
};

/// A database name that clients connect to.
struct DatabaseRoute {
  common::ServiceId service;
  ReadGuarantee guarantee = ReadGuarantee::kLatest;
  common::Duration max_staleness = common::Duration::zero();
  /// Limit of a single statement.
  common::Duration statement_timeout = std::chrono::seconds(1);
  /// Aim for a whole operation.
  common::Duration latency_objective = std::chrono::seconds(1);
  /// 0 is served first.
  std::uint32_t priority = 0;
  /// Needs no key.
  bool open = false;
};

/// Limits of a database group as the operator declares them.
struct DatabaseService {
  std::uint32_t max_connections = 1;
};

/// Rate of a workspace over the whole fleet.
struct WorkspaceRate {
  /// Operations a second; 0 for no limit.
  double rate = 0;
  double burst = 0;
};

/// One version of what the operator has declared for the wire.
struct DirectoryConfiguration {
  std::uint64_t version = 0;
  std::map<std::string, DatabaseRoute> routes;
  std::map<common::ServiceId, DatabaseService> services;
  std::map<common::WorkspaceId, WorkspaceRate> workspaces;
  std::map<std::string, common::WorkspaceId> workspace_of_key;
  /// A transaction that rests longer may be ended.
  common::Duration transaction_idle_limit = std::chrono::seconds(3);
};

/// Whether a member takes new work.
enum class MemberState { kReady, kLeaving };

/// A database that has registered itself.
struct GroupMember {
  common::EndpointId id;
  common::ServiceId service;
  connection::SocketAddress address;
  common::FailureDomainId domain;
  MemberState state = MemberState::kReady;
  bool reports_primary = false;
  /// Start of the database's process in Unix milliseconds. A database that was
  /// started anew under its old identifier has lost its log.
  std::uint64_t born = 0;

  bool operator==(const GroupMember&) const = default;
};

/// A daemon of this fleet and where its peers reach it.
struct FleetHost {
  common::HostId id;
  std::string peer_address;
  common::FailureDomainId domain;

  bool operator==(const FleetHost&) const = default;
};

/// An object that can't be read; it names nothing to use.
struct UnreadableObject {
  std::string reason;
};

using DirectoryValue =
    std::variant<std::shared_ptr<const DirectoryConfiguration>, GroupMember,
                 FleetHost, UnreadableObject>;

/// State of one object, or its removal.
struct DirectoryChange {
  std::string name;
  std::uint64_t revision = 0;
  bool removed = false;
  DirectoryValue value;
  /// The object as the platform encodes it, to be passed on to other daemons.
  std::string document;
};

/// Changes up to a revision of the store.
struct DirectoryChanges {
  std::vector<DirectoryChange> changes;
  std::uint64_t revision = 0;
};

/// The changes since the revision that was asked for are no longer known.
struct HistoryGone {};

/// The store did nothing, or gave no answer in time.
struct StoreUnavailable {
  std::string reason;
};

using DirectoryResult =
    std::variant<DirectoryChanges, HistoryGone, StoreUnavailable>;

/// What a part of the directory holds.
enum class DirectoryKind { kConfiguration, kMembers, kHosts };

/// One object of a directory that a daemon passes on.
struct SharedObject {
  std::string name;
  std::uint64_t revision = 0;
  /// As the platform encodes it; none if the asker has it already.
  std::optional<std::string> document;
};

/// A part of the directory as one daemon knows it: all objects that are present
/// at a revision of the store.
struct SharedDirectory {
  std::uint64_t revision = 0;
  std::vector<SharedObject> objects;
};

/// Short name for logs and counters.
const char* ToString(DirectoryKind kind);

/// Whether a call to the directory must see every change that was acknowledged
/// before it, or may lag by seconds at a lower price.
enum class DirectoryFreshness { kLatest, kMayLag };

/// Who may order promotions at present. The revision of its last change is the
/// fencing token: it rises with every change of the holder.
struct PromotionDuty {
  common::HostId holder;
  /// True while the holder fences or promotes.
  bool active = false;
  std::uint64_t revision = 0;
};

/// Another holder or another activity than expected; the record as it is.
struct DutyConflict {
  PromotionDuty duty;
};

using DutyResult = std::variant<PromotionDuty, DutyConflict, StoreUnavailable>;

/// Answer to the order of a promotion.
enum class PromotionAnswer { kAccepted, kRejected, kNoAnswer };

/// Port to the platform: directory, duty record and promotions. Callbacks are
/// called once, from the event loop.
class Platform {
 public:
  virtual ~Platform() = default;

  /// Reads all objects of a kind.
  virtual void List(DirectoryKind kind, DirectoryFreshness freshness,
                    std::function<void(DirectoryResult)> done) = 0;

  /// Waits until something has changed after the revision, or the time is up.
  virtual void Watch(DirectoryKind kind, std::uint64_t after,
                     common::Duration wait, DirectoryFreshness freshness,
                     std::function<void(DirectoryResult)> done) = 0;

  /// Reads the document of an object that another daemon has passed on.
  virtual DirectoryValue Decode(DirectoryKind kind, const std::string& name,
                                const std::string& document) const = 0;

  /// Registers this daemon.
  virtual void RegisterHost(const FleetHost& host,
                            std::function<void(bool done)> done) = 0;

  /// Reads the duty record; revision 0 if there is none.
  virtual void ReadDuty(std::function<void(DutyResult)> done) = 0;

  /// Writes the duty record if it still has the given revision.
  virtual void WriteDuty(const PromotionDuty& duty,
                         std::function<void(DutyResult)> done) = 0;

  /// Orders the promotion of an endpoint under the duty's token.
  virtual void Promote(const common::ServiceId& service,
                       const common::EndpointId& endpoint,
                       const PromotionDuty& duty,
                       std::function<void(PromotionAnswer)> done) = 0;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_DIRECTORY_H_
