#include "Session/reader_placement.h"

#include <algorithm>
#include <tuple>

namespace camphorferry::session {

namespace {

/// Expected delay per waiting request; about one statement.
constexpr std::chrono::milliseconds kDelayPerWaitingRequest(12);
/// Expected delay of opening a connection.
constexpr std::chrono::milliseconds kOpenDelay(14);
/// The caller whose channel is closed opens another one later.
constexpr std::chrono::milliseconds kReplaceDelay(2 * kOpenDelay);
/// Members whose delays differ by less than this are equally good for a caller
/// that has no channel yet: about the round trip within a region.
constexpr std::chrono::milliseconds kSimilarDelay(5);

common::Duration ExpectedDelay(const ReaderCandidate& candidate) {
  common::Duration delay = candidate.round_trip +
                           kDelayPerWaitingRequest * candidate.waiting +
                           candidate.expected_failure_delay;
  if (!candidate.has_idle) {
    delay += candidate.has_room ? kOpenDelay : kReplaceDelay;
  }
  return delay;
}

}  // namespace

std::optional<common::EndpointId> PlaceRead(
    const std::string& caller, const std::vector<ReaderCandidate>& candidates) {
  const ReaderCandidate* best = nullptr;
  for (const ReaderCandidate& candidate : candidates) {
    if (best == nullptr || ExpectedDelay(candidate) < ExpectedDelay(*best)) {
      best = &candidate;
    }
  }
  if (best == nullptr) return std::nullopt;
  if (best->has_idle) return best->id;
  const common::Duration similar = ExpectedDelay(*best) + kSimilarDelay;
  std::vector<common::HostId> equals;
  for (const ReaderCandidate& candidate : candidates) {
    if (ExpectedDelay(candidate) <= similar) {
      equals.emplace_back(candidate.id.Value());
    }
  }
  return common::EndpointId(common::RendezvousFirst(caller, equals)->Value());
}

}  // namespace camphorferry::session
