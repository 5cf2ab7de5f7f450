#ifndef CAMPHORFERRY_SESSION_GROUP_CONTEXT_H_
#define CAMPHORFERRY_SESSION_GROUP_CONTEXT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "Connection/connection.h"
#include "Session/acknowledgement_task.h"
#include "Session/directory.h"
#include "Session/large_message_queue.h"
#include "Session/member_command.h"
#include "Session/promotion_lease.h"
#include "Session/proxy_metrics.h"
#include "Session/statement_forwarding.h"
#include "Session/term_closing.h"
#include "Session/wire_codec.h"

namespace camphorferry::session {

/// The host and failure domain that this daemon runs in.
struct HostLocation {
  common::HostId host;
  common::FailureDomainId domain;
  std::map<common::FailureDomainId, common::RegionId> region_of;
  /// Processor time of the host in thousandths of a core; 0 if unknown.
  std::uint32_t millicores = 0;

  /// Whether another failure domain is in this daemon's region; false if the
  /// region of either is unknown.
  bool InSameRegion(const common::FailureDomainId& other) const {
    const auto mine = this->region_of.find(this->domain);
    const auto theirs = this->region_of.find(other);
    return mine != this->region_of.end() && theirs != this->region_of.end() &&
           mine->second == theirs->second;
  }
};

/// Dependencies that all groups of one process share.
struct GroupContext {
  connection::EventLoop* loop = nullptr;
  const WireCodec* codec = nullptr;
  Platform* platform = nullptr;
  PromotionLease* promotion_lease = nullptr;
  /// Lists the members of all groups anew, without lag, and calls back with
  /// whether the store has answered.
  std::function<void(std::function<void(bool listed)>)> refresh_members;
  /// Has the members of all groups followed without lag as long as the returned
  /// object exists.
  std::function<CloseFollowing()> follow_members_closely;
  /// Asks peers to send a command to a member.
  std::function<void(const CommandRelay&, RelayCallback)> relay_command;
  StatementForwarding forwarding;
  TermClosing closing;
  /// Decides whether clients are told of commits.
  AcknowledgementTask* acknowledgements = nullptr;
  ProxyMetrics* metrics = nullptr;
  /// Room for large responses of endpoints; unlimited if there is none.
  std::shared_ptr<LargeMessageQueue> large_responses;
  HostLocation location;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_GROUP_CONTEXT_H_
