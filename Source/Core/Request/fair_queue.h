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

/// Bounds of a fair queue.
struct FairQueueLimits {
  /// Requests of one workspace.
  std::size_t per_workspace = 64;
  /// Requests of all workspaces.
  std::size_t total = 512;
};

/// Requests that wait for one endpoint, served by start-time fair queueing:
/// while workspaces compete, each gets service in proportion to its weight,
/// whatever the others send. T may be move-only.
///
/// The caller pops a request when it can start one and calls Completed when
/// that request has ended in any way. It calls PopExpired at EarliestDeadline,
/// so that requests are answered in time while the endpoint is stuck.
template <typename T>
class FairQueue {
 public:
  /// Left the queue without being started.
  struct Shed {
    common::WorkspaceId workspace;
    T item;
    NotRun outcome;
  };

  /// The request waits. If the queue was full, another one made room.
  struct Queued {
    std::optional<Shed> evicted;
  };

  /// The request was not queued.
  struct Refused {
    T item;
    NotRun outcome;
  };

  /// The request whose turn it is.
  struct Ready {
    common::WorkspaceId workspace;
    T item;
    common::Duration waited = common::Duration::zero();
  };

  /// No request waits.
  struct Empty {};

  using PushResult = std::variant<Queued, Refused>;
  using PopResult = std::variant<Ready, Shed, Empty>;

  explicit FairQueue(std::size_t slots, FairQueueLimits limits = {})
      : limits(limits) {
    this->SetSlots(slots);
  }

  /// The index of deadlines points into the queues.
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  /// Number of statements that the endpoint runs at a time; at least 1.
  void SetSlots(std::size_t count) {
    this->slots = std::max<std::size_t>(count, 1);
  }

  /// Queues a request, unless its workspace's queue is full or it is expected
  /// to wait beyond its deadline. When the total is reached, the workspace with
  /// the longest queue relative to its weight loses its newest request.
  PushResult Push(const common::WorkspaceId& workspace, std::uint32_t weight,
                  common::SteadyTime deadline, std::uint32_t cost, T item,
                  common::SteadyTime now) {
    const auto refused = [&item](NotRunReason reason) {
      return Refused{std::move(item), NotRun{reason, std::nullopt}};
    };
    if (this->QueueLength(workspace) >= this->limits.per_workspace) {
      return refused(NotRunReason::kQueueFull);
    }
    // Compared with the time left, since a sum of times could overflow.
    const bool in_time =
        deadline > now && this->ExpectedWait(workspace) <= deadline - now;
    if (!in_time) return refused(NotRunReason::kDeadlinePassed);
    Queued result;
    if (this->length >= this->limits.total) {
      const auto victim = this->FindVictim(workspace, weight);
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

  /// The next request to start; an expired one comes out first, as shed.
  PopResult Pop(common::SteadyTime now) {
    std::optional<Shed> expired = this->PopExpired(now);
    if (expired.has_value()) return std::move(*expired);
    const auto flow = this->FindNext();
    if (flow == this->flows.end()) return Empty{};
    const auto entry = flow->second.entries.begin();
    Ready ready{flow->first, std::move(entry->item), now - entry->queued_at};
    this->virtual_now = flow->second.next_start;
    flow->second.next_start += entry->cost;
    ++this->running;
    this->Erase(flow, entry);
    this->ForgetIdle();
    return ready;
  }

  /// Removes one request whose deadline has passed, if there is one.
  std::optional<Shed> PopExpired(common::SteadyTime now) {
    const auto first = this->deadlines.begin();
    if (first == this->deadlines.end() || first->first.first > now) {
      return std::nullopt;
    }
    const Place place = first->second;
    return this->Remove(place.flow, place.entry, NotRunReason::kDeadlinePassed);
  }

  /// When PopExpired is due next, if any request waits.
  std::optional<common::SteadyTime> EarliestDeadline() const {
    if (this->deadlines.empty()) return std::nullopt;
    return this->deadlines.begin()->first.first;
  }

  /// A popped request has ended; the time is how long the endpoint took.
  void Completed(common::Duration service_time) {
    if (this->running > 0) --this->running;
    if (!this->service_time.has_value()) {
      this->service_time = service_time;
      return;
    }
    *this->service_time +=
        (service_time - *this->service_time) / kServiceTimeSamples;
  }

  /// How long a request of the workspace that is pushed now would wait. Counts
  /// only requests whose turn comes before it, so that a workspace with a short
  /// queue is not shed because of another one's long queue. Zero until the
  /// first request has completed.
  common::Duration ExpectedWait(const common::WorkspaceId& workspace) const {
    const std::size_t before = this->running + this->CountBefore(workspace) + 1;
    if (before <= this->slots || !this->service_time.has_value()) {
      return common::Duration::zero();
    }
    const auto rounds =
        static_cast<common::Duration::rep>(before - this->slots);
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

  /// Number of workspaces that memory is held for.
  std::size_t KnownWorkspaces() const { return this->flows.size(); }

 private:
  struct Entry {
    T item;
    common::SteadyTime deadline;
    common::SteadyTime queued_at;
    VirtualTime cost;
    std::uint64_t sequence;
  };
  using Entries = std::list<Entry>;

  /// Queue of one workspace. The start tag of the first entry is kept here; the
  /// others follow from the costs, so a removed entry costs nothing.
  struct Flow {
    Entries entries;
    std::uint32_t weight = 1;
    VirtualTime next_start = 0;
    VirtualTime queued_cost = 0;
  };
  using Flows = std::map<common::WorkspaceId, Flow>;
  using FlowIterator = typename Flows::iterator;
  using EntryIterator = typename Entries::iterator;

  struct Place {
    FlowIterator flow;
    EntryIterator entry;
  };

  /// Weight of the newest sample is one eighth: slow statements show after a
  /// few samples, and a single one does not shed the queue.
  static constexpr int kServiceTimeSamples = 8;

  void Append(const common::WorkspaceId& workspace, std::uint32_t weight,
              Entry entry) {
    const auto place = this->flows.try_emplace(workspace).first;
    Flow& flow = place->second;
    flow.weight = ClampWeight(weight);
    if (flow.entries.empty()) {
      // No credit for idle time, and no second turn for the one just served.
      flow.next_start = std::max(flow.next_start, this->virtual_now);
    }
    flow.queued_cost += entry.cost;
    flow.entries.push_back(std::move(entry));
    const auto last = std::prev(flow.entries.end());
    this->deadlines.emplace(std::pair(last->deadline, last->sequence),
                            Place{place, last});
    ++this->length;
  }

  Shed Remove(FlowIterator flow, EntryIterator entry, NotRunReason reason) {
    Shed shed{flow->first, std::move(entry->item),
              NotRun{reason, std::nullopt}};
    this->Erase(flow, entry);
    return shed;
  }

  void Erase(FlowIterator place, EntryIterator entry) {
    Flow& flow = place->second;
    this->deadlines.erase(std::pair(entry->deadline, entry->sequence));
    flow.queued_cost -= entry->cost;
    flow.entries.erase(entry);
    --this->length;
    if (this->length == 0) {
      // Nobody competes, so nobody has to be held back.
      this->flows.clear();
      this->virtual_now = 0;
      return;
    }
    if (this->IsForgettable(flow)) this->flows.erase(place);
  }

  /// An idle workspace is remembered until virtual time has reached the end of
  /// its last request. Forgotten at once, it could push one request after each
  /// pop and take every turn.
  bool IsForgettable(const Flow& flow) const {
    return flow.entries.empty() && flow.next_start <= this->virtual_now;
  }

  /// Bounds the idle workspaces by the same number as the waiting requests;
  /// beyond it, the one that would be held back least is forgotten.
  void ForgetIdle() {
    std::size_t idle = 0;
    auto least = this->flows.end();
    for (auto flow = this->flows.begin(); flow != this->flows.end();) {
      if (this->IsForgettable(flow->second)) {
        flow = this->flows.erase(flow);
        continue;
      }
      if (flow->second.entries.empty()) {
        ++idle;
        const bool less = least == this->flows.end() ||
                          flow->second.next_start < least->second.next_start;
        if (less) least = flow;
      }
      ++flow;
    }
    if (idle > this->limits.total) this->flows.erase(least);
  }

  /// The flow with the smallest start tag; the earlier request among equals.
  FlowIterator FindNext() {
    auto next = this->flows.end();
    const auto tag_of = [](const Flow& flow) {
      return std::pair(flow.next_start, flow.entries.front().sequence);
    };
    for (auto flow = this->flows.begin(); flow != this->flows.end(); ++flow) {
      if (flow->second.entries.empty()) continue;
      const bool first = next == this->flows.end() ||
                         tag_of(flow->second) < tag_of(next->second);
      if (first) next = flow;
    }
    return next;
  }

  /// The flow with the longest queue relative to its weight, provided that it
  /// exceeds what the pushing workspace's queue would become.
  FlowIterator FindVictim(const common::WorkspaceId& workspace,
                          std::uint32_t weight) {
    auto victim = this->flows.end();
    std::uint64_t longest = this->QueueLength(workspace) + 1;
    std::uint64_t its_weight = ClampWeight(weight);
    for (auto flow = this->flows.begin(); flow != this->flows.end(); ++flow) {
      if (flow->first == workspace) continue;
      const std::uint64_t queued = flow->second.entries.size();
      if (queued * its_weight <= longest * flow->second.weight) continue;
      victim = flow;
      longest = queued;
      its_weight = flow->second.weight;
    }
    return victim;
  }

  /// Waiting requests whose turn comes before that of a request which the
  /// workspace pushes now.
  std::size_t CountBefore(const common::WorkspaceId& workspace) const {
    VirtualTime start = this->virtual_now;
    const auto own = this->flows.find(workspace);
    if (own != this->flows.end()) {
      const Flow& flow = own->second;
      start = std::max(start, flow.next_start + flow.queued_cost);
    }
    std::size_t count = 0;
    for (const auto& [other, flow] : this->flows) {
      if (other == workspace) {
        count += flow.entries.size();
        continue;
      }
      if (flow.entries.empty() || flow.next_start > start) continue;
      const std::size_t queued = flow.entries.size();
      const VirtualTime mean_cost =
          std::max<VirtualTime>(flow.queued_cost / queued, 1);
      const VirtualTime turns = (start - flow.next_start) / mean_cost + 1;
      count += std::min<VirtualTime>(queued, turns);
    }
    return count;
  }

  FairQueueLimits limits;
  std::size_t slots = 1;
  std::size_t running = 0;
  std::size_t length = 0;
  std::uint64_t next_sequence = 0;
  /// Start tag of the request that was popped last.
  VirtualTime virtual_now = 0;
  Flows flows;
  std::map<std::pair<common::SteadyTime, std::uint64_t>, Place> deadlines;
  std::optional<common::Duration> service_time;
};

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_FAIR_QUEUE_H_
