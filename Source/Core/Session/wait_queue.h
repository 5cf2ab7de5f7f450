#ifndef CAMPHORFERRY_SESSION_WAIT_QUEUE_H_
#define CAMPHORFERRY_SESSION_WAIT_QUEUE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Common/common.h"

namespace camphorferry::session {

/// A request that waits for a channel to an endpoint.
struct WaitingRequest {
  std::uint64_t id = 0;
  /// Name of the caller's workspace.
  std::string workspace;
  /// Requests with a lower value are served first.
  std::uint32_t priority = 0;
  /// Since when its operation has been waiting, over all attempts. None for
  /// requests that are served in order of arrival.
  std::optional<common::SteadyTime> waiting_since;
  /// The request is of no use after this time; none if it has no such time.
  std::optional<common::SteadyTime> deadline;
};

/// Order in which the requests for one endpoint are served, and which of them
/// are rejected. Answers bursts that are larger than the endpoint can serve, of
/// which one workspace sends most: the order is by priority, then in rounds
/// with one request of each workspace, and within a workspace by the time since
/// which an operation has been waiting. So a retry does not start at the end,
/// and a workspace does not wait behind one that floods. Has no clock of its
/// own.
class WaitQueue {
 public:
  /// Whether a new request would be served after its deadline, as far as the
  /// queue ahead of it and the recent service rate tell. False without a recent
  /// rate.
  bool WouldBeLate(const WaitingRequest& request, common::SteadyTime now) const;

  void Add(const WaitingRequest& request, common::SteadyTime now);

  /// Removes a request that has been served.
  void OnServed(std::uint64_t id, common::SteadyTime now);

  /// Removes a request that is not to be served any more.
  void Remove(std::uint64_t id);

  /// Removes the requests whose deadlines have passed, as after a pause of the
  /// process, and returns their identifiers.
  std::vector<std::uint64_t> TakeExpired(common::SteadyTime now);

  /// Identifiers of all requests in order.
  std::vector<std::uint64_t> Order() const;

  /// The request after the given one in order, or the first; none at the end.
  std::optional<std::uint64_t> Next(std::optional<std::uint64_t> after) const;

 private:
  /// Place in the order.
  struct Place {
    std::uint32_t priority = 0;
    std::uint64_t round = 0;
    common::SteadyTime since;
    std::uint64_t id = 0;

    auto operator<=>(const Place&) const = default;
  };
  using Lane = std::pair<std::uint32_t, std::string>;

  /// Gives the requests of one workspace and priority the rounds from the
  /// current one on, in the order of their waiting times.
  void AssignRounds(const Lane& lane);
  void Erase(std::uint64_t id);

  std::map<Place, WaitingRequest> entries;
  std::map<std::uint64_t, Place> places;
  /// Requests of each workspace and priority by waiting time.
  std::map<Lane, std::set<std::pair<common::SteadyTime, std::uint64_t>>> lanes;
  /// The round that is being served, by priority.
  std::map<std::uint32_t, std::uint64_t> rounds;
  /// Average time between two services while requests wait.
  std::optional<common::Duration> service_interval;
  common::SteadyTime last_service;
  /// Requests were waiting after the last service.
  bool busy = false;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_WAIT_QUEUE_H_
