#include "Session/wait_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorferry::session {

namespace {

/// The newest interval counts for this fraction (1/n) in the average.
constexpr int kIntervalDivisor = 8;
/// A service rate that was measured longer ago says nothing: the endpoint may
/// have been replaced or cut off meanwhile.
constexpr std::chrono::seconds kMaxRateAge(2);

}  // namespace

bool WaitQueue::WouldBeLate(const WaitingRequest& request,
                            common::SteadyTime now) const {
  if (!request.deadline.has_value()) return false;
  if (*request.deadline <= now) return true;
  if (!this->service_interval.has_value() || this->entries.empty() ||
      now - this->last_service > kMaxRateAge) {
    return false;
  }
  // All requests of a lower or the same priority value are ahead, but for those
  // of the same priority in later rounds.
  const auto lane = this->lanes.find({request.priority, request.workspace});
  const std::uint64_t own = lane == this->lanes.end() ? 0 : lane->second.size();
  const auto current = this->rounds.find(request.priority);
  const std::uint64_t round =
      (current == this->rounds.end() ? 0 : current->second) + own;
  const Place place{request.priority, round, common::SteadyTime::max(), 0};
  const auto ahead =
      std::distance(this->entries.begin(), this->entries.upper_bound(place));
  return now + *this->service_interval * ahead > *request.deadline;
}

void WaitQueue::AssignRounds(const Lane& lane) {
  const auto found = this->lanes.find(lane);
  if (found == this->lanes.end()) return;
  std::uint64_t round = this->rounds[lane.first];
  for (const auto& [since, id] : found->second) {
    Place& place = this->places.at(id);
    if (place.round != round) {
      auto entry = this->entries.extract(place);
      place.round = round;
      entry.key() = place;
      this->entries.insert(std::move(entry));
    }
    ++round;
  }
}

void WaitQueue::Add(const WaitingRequest& request, common::SteadyTime now) {
  const common::SteadyTime since = request.waiting_since.value_or(now);
  const Lane lane{request.priority, request.workspace};
  Place place{request.priority, this->rounds[request.priority], since,
              request.id};
  bool youngest = true;
  if (request.waiting_since.has_value()) {
    auto& members = this->lanes[lane];
    place.round += members.size();
    members.emplace(since, request.id);
    youngest = members.rbegin()->second == request.id;
  }
  this->entries.emplace(place, request);
  this->places[request.id] = place;
  // An operation that has waited for longer takes the place of a younger one.
  if (!youngest) this->AssignRounds(lane);
}

void WaitQueue::Erase(std::uint64_t id) {
  const auto place = this->places.find(id);
  if (place == this->places.end()) return;
  const auto entry = this->entries.find(place->second);
  const WaitingRequest request = entry->second;
  this->entries.erase(entry);
  if (request.waiting_since.has_value()) {
    const auto lane = this->lanes.find({request.priority, request.workspace});
    lane->second.erase({*request.waiting_since, id});
    if (lane->second.empty()) this->lanes.erase(lane);
  }
  this->places.erase(place);
}

void WaitQueue::OnServed(std::uint64_t id, common::SteadyTime now) {
  const auto place = this->places.find(id);
  if (place == this->places.end()) return;
  std::uint64_t& current = this->rounds[place->second.priority];
  current = std::max(current, place->second.round);
  if (this->busy) {
    const common::Duration interval = now - this->last_service;
    const common::Duration former = this->service_interval.value_or(interval);
    this->service_interval = former + (interval - former) / kIntervalDivisor;
  }
  this->Erase(id);
  this->last_service = now;
  this->busy = !this->entries.empty();
}

void WaitQueue::Remove(std::uint64_t id) {
  const auto place = this->places.find(id);
  if (place == this->places.end()) return;
  const WaitingRequest request = this->entries.at(place->second);
  this->Erase(id);
  if (request.waiting_since.has_value()) {
    this->AssignRounds({request.priority, request.workspace});
  }
  if (this->entries.empty()) this->busy = false;
}

std::vector<std::uint64_t> WaitQueue::TakeExpired(common::SteadyTime now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [place, request] : this->entries) {
    if (request.deadline.has_value() && *request.deadline <= now) {
      expired.push_back(request.id);
    }
  }
  for (const std::uint64_t id : expired) this->Remove(id);
  return expired;
}

std::vector<std::uint64_t> WaitQueue::Order() const {
  std::vector<std::uint64_t> order;
  order.reserve(this->entries.size());
  for (const auto& [place, request] : this->entries) order.push_back(place.id);
  return order;
}

std::optional<std::uint64_t> WaitQueue::Next(
    std::optional<std::uint64_t> after) const {
  auto next = this->entries.begin();
  if (after.has_value()) {
    const auto place = this->places.find(*after);
    if (place == this->places.end()) return std::nullopt;
    next = this->entries.upper_bound(place->second);
  }
  if (next == this->entries.end()) return std::nullopt;
  return next->first.id;
}

}  // namespace camphorferry::session
