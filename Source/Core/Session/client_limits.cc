#include "Session/client_limits.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace camphorferry::session {

namespace {

constexpr std::size_t kMiB = 1024ULL * 1024;
/// Memory that a message of the largest size takes while its statement is in
/// progress: the input, its decoded form, the copies of the run and of its
/// attempt, and the output to the endpoint.
constexpr std::size_t kLargeMessageBytes = 6 * kMiB;
/// The same for a response: the input, its rows and the output to the client.
constexpr std::size_t kLargeResponseBytes = 4 * kMiB;
/// Descriptors that the platform reserves for files.
constexpr std::size_t kFileDescriptors = 200;

}  // namespace

ClientLimits ChooseClientLimits(const HostResources& resources) {
  // The other half is for the program, the peers, and the fixed part of each
  // session.
  const std::size_t memory = resources.memory_bytes / 2;
  ClientLimits limits;
  limits.max_buffered_bytes = memory / 8 * 3;
  limits.large_messages =
      std::max<std::size_t>(memory / 8 * 3 / kLargeMessageBytes, 1);
  limits.large_responses =
      std::max<std::size_t>(memory / 4 / kLargeResponseBytes, 1);
  const std::size_t sockets =
      std::max(resources.descriptors, 2 * kFileDescriptors) - kFileDescriptors;
  // An eighth is for endpoints, peers, store, readiness and metrics.
  limits.max_sessions = sockets / 8 * 7;
  return limits;
}

const char* ToString(LimitCause cause) {
  switch (cause) {
    case LimitCause::kSessions:
      return "sessions";
    case LimitCause::kMemory:
      return "memory";
    case LimitCause::kFirstMessage:
      return "first_message";
    case LimitCause::kMessage:
      return "message";
    case LimitCause::kUnread:
      return "unread";
  }
  return "unknown";
}

std::optional<LimitCause> CheckTimes(const ClientLimits& limits,
                                     const SessionTimes& times,
                                     common::SteadyTime now) {
  const auto exceeded = [now](const std::optional<common::SteadyTime>& since,
                              common::Duration limit) {
    return since.has_value() && now - *since >= limit;
  };
  if (exceeded(times.unopened_since, limits.first_message_timeout)) {
    return LimitCause::kFirstMessage;
  }
  if (exceeded(times.incomplete_since, limits.message_timeout)) {
    return LimitCause::kMessage;
  }
  if (exceeded(times.unread_since, limits.unread_timeout)) {
    return LimitCause::kUnread;
  }
  return std::nullopt;
}

std::optional<std::size_t> ChooseSessionToReplace(
    const std::vector<SessionUsage>& sessions) {
  std::map<common::WorkspaceId, std::size_t> counts;
  for (const SessionUsage& session : sessions) {
    if (session.opened) ++counts[session.workspace];
  }
  const auto largest = std::max_element(counts.begin(), counts.end(),
                                        [](const auto& one, const auto& other) {
                                          return one.second < other.second;
                                        });
  std::optional<std::size_t> unopened;
  std::optional<std::size_t> idle;
  for (std::size_t index = 0; index < sessions.size(); ++index) {
    const SessionUsage& session = sessions[index];
    const bool candidate =
        !session.opened || (session.idle && largest != counts.end() &&
                            session.workspace == largest->first);
    if (!candidate) continue;
    std::optional<std::size_t>& oldest = session.opened ? idle : unopened;
    if (!oldest.has_value() ||
        session.last_message < sessions[*oldest].last_message) {
      oldest = index;
    }
  }
  return unopened.has_value() ? unopened : idle;
}

std::vector<std::size_t> ChooseSessionsToClose(
    const std::vector<SessionUsage>& sessions, std::size_t limit) {
  std::vector<std::size_t> order(sessions.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t one, std::size_t two) {
    return sessions[one].buffered_bytes > sessions[two].buffered_bytes;
  });
  std::size_t total = 0;
  for (const SessionUsage& session : sessions) total += session.buffered_bytes;
  std::vector<std::size_t> closed;
  for (const std::size_t index : order) {
    if (total <= limit) break;
    total -= sessions[index].buffered_bytes;
    closed.push_back(index);
  }
  return closed;
}

}  // namespace camphorferry::session
