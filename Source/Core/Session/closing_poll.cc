#include "Session/closing_poll.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorferry::session {

namespace {

/// Added to the time for which daemons act on what they have read, for clocks
/// that don't run at the same rate.
constexpr std::chrono::milliseconds kClockReserve(50);

}  // namespace

ClosingPoll::ClosingPoll(const ClosedTerm& entry,
                         std::set<common::HostId> hosts,
                         common::SteadyTime written)
    : entry(entry), hosts(std::move(hosts)), written(written) {}

void ClosingPoll::OnReply(const common::HostId& host,
                          const CloseTermReply& reply,
                          common::SteadyTime requested) {
  this->hosts.erase(host);
  this->replies[host] = {reply, requested};
}

void ClosingPoll::OnEnded(const common::HostId& host) {
  this->hosts.erase(host);
  this->any_ended = true;
}

bool ClosingPoll::IsDone(common::SteadyTime now) const {
  return this->hosts.empty() ||
         now - this->written >= kRecordValidity + kClockReserve;
}

TermsClosed ClosingPoll::Result(common::SteadyTime now) const {
  TermsClosed result;
  result.below = this->entry.below;
  result.acknowledged = this->entry.acknowledged;
  common::LogPosition replica_end;
  common::Duration youngest = common::Duration::max();
  result.all_told = this->hosts.empty() && !this->any_ended;
  for (const auto& [host, reply] : this->replies) {
    const CloseTermReply& content = reply.content;
    const common::Duration since = now - reply.requested;
    result.acknowledged = std::max(result.acknowledged, content.acknowledged);
    result.acknowledged_end =
        std::max(result.acknowledged_end, content.acknowledged_end);
    result.highest_term = std::max(result.highest_term, content.highest_term);
    replica_end = std::max(replica_end, content.replica_end);
    result.all_told = result.all_told && content.is_first_process;
    youngest = std::min(youngest, content.running + since);
    result.followed = std::max(result.followed, content.followed + since);
    // Of the reports of one end, the latest counts.
    const bool is_newer =
        content.primary.has_value() &&
        (!result.primary.has_value() ||
         std::tuple(content.primary->term, content.primary->end,
                    result.primary->age) >
             std::tuple(result.primary->term, result.primary->end,
                        content.primary->age + since));
    if (is_newer) {
      result.primary = content.primary;
      result.primary->age += since;
    }
    for (const FormerProcess& process : content.former) {
      if (process.age + since >= kFormerMemberRetention) continue;
      if (process.ended) {
        result.ended.insert(process.endpoint);
      } else {
        result.former.emplace(process.endpoint, process.incarnation);
      }
    }
  }
  result.covers_all = this->hosts.empty() && !this->any_ended &&
                      result.primary.has_value() &&
                      result.primary->age < youngest &&
                      result.primary->age < kFormerMemberRetention;
  // Commits that lie before it were confirmed, and clients may have been told.
  result.acknowledged = std::max(
      result.acknowledged, std::min(result.acknowledged_end, replica_end));
  return result;
}

}  // namespace camphorferry::session
