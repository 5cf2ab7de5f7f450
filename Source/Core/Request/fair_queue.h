#ifndef CAMPHORFERRY_REQUEST_FAIR_QUEUE_H_
#define CAMPHORFERRY_REQUEST_FAIR_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <utility>
#include <variant>

#include "Common/common.h"
#include "Request/outcome.h"
#include "Request/virtual_time.h"

namespace camphorferry::request {

/// Capacity limits of a FairQueue.
struct FairQueueLimits {
  /// Most requests that one workspace may have waiting.
  std::size_t per_workspace = 64;
  /// Most requests that all workspaces together may have waiting.
  std::size_t total = 512;
};

/// Queue of the requests that wait for one endpoint, scheduled by start-time
/// fair queueing: workspaces with waiting requests are served in proportion to
/// their weights, regardless of how many requests each of them sends. T may be
/// move-only.
///
/// The caller pops a request when the endpoint has a free slot and calls
/// Completed when that request has ended, whatever its outcome. The caller also
/// calls PopExpired at EarliestDeadline, so that expired requests are answered
/// in time even if the endpoint has stopped completing requests.
template <typename T>
class FairQueue {
 public:
  /// A request that was removed from the queue without being started.
  struct Shed {
    common::WorkspaceId workspace;
    T item;
    NotRun outcome;
  };

  /// The request was queued. If the queue was full, another request was evicted
  /// to make room for it.
  struct Queued {
    std::optional<Shed> evicted;
  };

  /// The request was rejected and not queued.
  struct Refused {
    T item;
    NotRun outcome;
  };

  /// The next request to start.
  struct Ready {
    common::WorkspaceId workspace;
    T item;
    common::Duration waited = common::Duration::zero();
  };

  /// The queue holds no request.
  struct Empty {};

  using PushResult = std::variant<Queued, Refused>;
  using PopResult = std::variant<Ready, Shed, Empty>;

  explicit FairQueue(std::size_t slots, FairQueueLimits limits = {})
      : limits(limits) {
    this->SetSlots(slots);
  }

  /// Not copyable, because the deadline index holds iterators into the flows.
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  /// Sets the number of statements that the endpoint runs concurrently. A count
  /// of 0 is raised to 1.
  void SetSlots(std::size_t count) {
    this->slots = std::max<std::size_t>(count, 1);
  }

  /// Queues a request, unless its workspace's queue is full or the request is
  /// expected to wait beyond its deadline. When the total limit is reached, the
  /// newest request of the workspace with the longest queue relative to its
  /// weight is evicted.
  PushResult Push(const common::WorkspaceId& workspace, std::uint32_t weight,
                  common::SteadyTime deadline, std::uint32_t cost, T item,
                  common::SteadyTime now) {
    const auto refused = [&item](NotRunReason reason) {
      return Refused{std::move(item), NotRun{reason, std::nullopt}};
    };
    if (this->QueueLength(workspace) >= this->limits.per_workspace) {
      return refused(NotRunReason::kQueueFull);
    }
    // Compares durations, because now + ExpectedWait could overflow.
    const bool in_time =
        deadline > now && this->ExpectedWait(workspace) <= deadline - now;
    if (!in_time) return refused(NotRunReason::kDeadlinePassed);
    Queued result;
    if (this->length >= this->limits.total) {
      const auto victim = this->FindEvictionVictim(workspace, weight);
      if (victim == this->flows.end()) {
        return refused(NotRunReason::kQueueFull);
      }
      const auto newest = std::prev(victim->second.entries.end());
      result.evicted = this->Remove(victim, newest, NotRunReason::kQueueFull);
    }
    this->Append(workspace, weight,
                 Entry{std::move(item), deadline, now,
                       VirtualCost(cost, weight), this->next_sequence++});
    return result;
  }

  /// Removes the next request to start. Expired requests are returned first, as
  /// Shed.
  PopResult Pop(common::SteadyTime now) {
    std::optional<Shed> expired = this->PopExpired(now);
    if (expired.has_value()) return std::move(*expired);
    const auto flow = this->FindNextFlow();
    if (flow == this->flows.end()) return Empty{};
    const auto entry = flow->second.entries.begin();
    Ready ready{flow->first, std::move(entry->item), now - entry->queued_at};
    this->virtual_time = flow->second.next_start_tag;
    flow->second.next_start_tag += entry->cost;
    ++this->running;
    this->Erase(flow, entry);
    this->DiscardIdleFlows();
    return ready;
  }

  /// Removes the request with the earliest deadline if that has passed.
  std::optional<Shed> PopExpired(common::SteadyTime now) {
    const auto first = this->deadlines.begin();
    if (first == this->deadlines.end() || first->first.first > now) {
      return std::nullopt;
    }
    const EntryLocation location = first->second;
    return this->Remove(location.flow, location.entry,
                        NotRunReason::kDeadlinePassed);
  }

  /// Time at which PopExpired must be called next; none if the queue is empty.
  std::optional<common::SteadyTime> EarliestDeadline() const {
    if (this->deadlines.empty()) return std::nullopt;
    return this->deadlines.begin()->first.first;
  }

  /// Records that a popped request has ended. The service time is how long the
  /// endpoint took to process it.
  void Completed(common::Duration service_time) {
    if (this->running > 0) --this->running;
    if (!this->service_time.has_value()) {
      this->service_time = service_time;
      return;
    }
    *this->service_time +=
        (service_time - *this->service_time) / kServiceTimeEwmaDivisor;
  }

  /// Estimates how long a request that the workspace pushes now would wait.
  /// Counts only requests that would be served before it, so that a workspace
  /// with a short queue is not refused because another one has a long queue.
  /// Zero until the first request has completed.
  common::Duration ExpectedWait(const common::WorkspaceId& workspace) const {
    const std::size_t position =
        this->running + this->CountAhead(workspace) + 1;
    if (position <= this->slots || !this->service_time.has_value()) {
      return common::Duration::zero();
    }
    const auto rounds =
        static_cast<common::Duration::rep>(position - this->slots);
    return *this->service_time * rounds /
           static_cast<common::Duration::rep>(this->slots);
  }

  /// Number of waiting requests.
  std::size_t Length() const { return this->length; }

  /// Number of waiting requests of one workspace.
  std::size_t QueueLength(const common::WorkspaceId& workspace) const {
    const auto flow = this->flows.find(workspace);
    return flow == this->flows.end() ? 0 : flow->second.entries.size();
  }

  /// Number of workspaces that have a flow, including idle ones.
  std::size_t TrackedWorkspaces() const { return this->flows.size(); }

 private:
  struct Entry {
    T item;
    common::SteadyTime deadline;
    common::SteadyTime queued_at;
    VirtualTime cost;
    std::uint64_t sequence;
  };
  using Entries = std::list<Entry>;

  /// Queue of one workspace. Only the start tag of the first entry is stored.
  /// Those of the others follow from the entries' costs, so a removed entry
  /// does not use up any of the workspace's share.
  struct Flow {
    Entries entries;
    std::uint32_t weight = 1;
    /// Start tag of the first entry, or finish tag of the last request if the
    /// flow is idle.
    VirtualTime next_start_tag = 0;
    VirtualTime queued_cost = 0;
  };
  using Flows = std::map<common::WorkspaceId, Flow>;
  using FlowIterator = typename Flows::iterator;
  using EntryIterator = typename Entries::iterator;

  struct EntryLocation {
    FlowIterator flow;
    EntryIterator entry;
  };

  /// The mean service time is an exponentially weighted moving average whose
  /// newest sample has a weight of 1/8. It follows slow statements within a few
  /// samples, but a single slow statement does not cause the queue to be shed.
  static constexpr int kServiceTimeEwmaDivisor = 8;

  void Append(const common::WorkspaceId& workspace, std::uint32_t weight,
              Entry entry) {
    const auto flow_iterator = this->flows.try_emplace(workspace).first;
    Flow& flow = flow_iterator->second;
    flow.weight = ClampWeight(weight);
    if (flow.entries.empty()) {
      // A workspace gets no credit for idle time, and one that was just served
      // keeps the start tag that follows from its last request.
      flow.next_start_tag = std::max(flow.next_start_tag, this->virtual_time);
    }
    flow.queued_cost += entry.cost;
    flow.entries.push_back(std::move(entry));
    const auto last = std::prev(flow.entries.end());
    this->deadlines.emplace(std::pair(last->deadline, last->sequence),
                            EntryLocation{flow_iterator, last});
    ++this->length;
  }

  Shed Remove(FlowIterator flow, EntryIterator entry, NotRunReason reason) {
    Shed shed{flow->first, std::move(entry->item),
              NotRun{reason, std::nullopt}};
    this->Erase(flow, entry);
    return shed;
  }

  void Erase(FlowIterator flow_iterator, EntryIterator entry) {
    Flow& flow = flow_iterator->second;
    this->deadlines.erase(std::pair(entry->deadline, entry->sequence));
    flow.queued_cost -= entry->cost;
    flow.entries.erase(entry);
    --this->length;
    if (this->length == 0) {
      // Without waiting requests there is no contention, so no workspace needs
      // to be delayed for the service that it has received.
      this->flows.clear();
      this->virtual_time = 0;
      return;
    }
    if (this->IsDiscardable(flow)) this->flows.erase(flow_iterator);
  }

  /// The flow of an idle workspace is kept until virtual time has reached the
  /// finish tag of its last request. If it were discarded at once, a workspace
  /// that pushes one request after each pop would always be served first.
  bool IsDiscardable(const Flow& flow) const {
    return flow.entries.empty() && flow.next_start_tag <= this->virtual_time;
  }

  /// Discards idle flows whose finish tag has been reached. Also limits the
  /// other idle flows to limits.total by discarding the one with the smallest
  /// finish tag, which loses the least accounting.
  void DiscardIdleFlows() {
    std::size_t idle = 0;
    auto least = this->flows.end();
    for (auto flow = this->flows.begin(); flow != this->flows.end();) {
      if (this->IsDiscardable(flow->second)) {
        flow = this->flows.erase(flow);
        continue;
      }
      if (flow->second.entries.empty()) {
        ++idle;
        const bool less =
            least == this->flows.end() ||
            flow->second.next_start_tag < least->second.next_start_tag;
        if (less) least = flow;
      }
      ++flow;
    }
    if (idle > this->limits.total) this->flows.erase(least);
  }

  /// Finds the flow with the smallest start tag. Among equal tags, the request
  /// that arrived first wins.
  FlowIterator FindNextFlow() {
    auto next = this->flows.end();
    const auto service_order = [](const Flow& flow) {
      return std::pair(flow.next_start_tag, flow.entries.front().sequence);
    };
    for (auto flow = this->flows.begin(); flow != this->flows.end(); ++flow) {
      if (flow->second.entries.empty()) continue;
      const bool first =
          next == this->flows.end() ||
          service_order(flow->second) < service_order(next->second);
      if (first) next = flow;
    }
    return next;
  }

  /// Finds the flow with the longest queue relative to its weight, if that is
  /// longer than the pushing workspace's queue would become.
  FlowIterator FindEvictionVictim(const common::WorkspaceId& workspace,
                                  std::uint32_t weight) {
    auto victim = this->flows.end();
    std::uint64_t max_length = this->QueueLength(workspace) + 1;
    std::uint64_t victim_weight = ClampWeight(weight);
    for (auto flow = this->flows.begin(); flow != this->flows.end(); ++flow) {
      if (flow->first == workspace) continue;
      const std::uint64_t queued = flow->second.entries.size();
      if (queued * victim_weight <= max_length * flow->second.weight) continue;
      victim = flow;
      max_length = queued;
      victim_weight = flow->second.weight;
    }
    return victim;
  }

  /// Number of waiting requests that would be served before a request that the
  /// workspace pushes now.
  std::size_t CountAhead(const common::WorkspaceId& workspace) const {
    VirtualTime start = this->virtual_time;
    const auto own = this->flows.find(workspace);
    if (own != this->flows.end()) {
      const Flow& flow = own->second;
      start = std::max(start, flow.next_start_tag + flow.queued_cost);
    }
    std::size_t count = 0;
    for (const auto& [other, flow] : this->flows) {
      if (other == workspace) {
        count += flow.entries.size();
        continue;
      }
      if (flow.entries.empty() || flow.next_start_tag > start) continue;
      const std::size_t queued = flow.entries.size();
      const VirtualTime mean_cost =
          std::max<VirtualTime>(flow.queued_cost / queued, 1);
      const VirtualTime turns = (start - flow.next_start_tag) / mean_cost + 1;
      count += std::min<VirtualTime>(queued, turns);
    }
    return count;
  }

  FairQueueLimits limits;
  std::size_t slots = 1;
  std::size_t running = 0;
  std::size_t length = 0;
  std::uint64_t next_sequence = 0;
  /// Virtual time: the start tag of the request that was popped last.
  VirtualTime virtual_time = 0;
  Flows flows;
  /// Index of the waiting requests by deadline and sequence number.
  std::map<std::pair<common::SteadyTime, std::uint64_t>, EntryLocation>
      deadlines;
  /// Moving average; none until the first request has completed.
  std::optional<common::Duration> service_time;
};

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_FAIR_QUEUE_H_
