#ifndef CAMPHORFERRY_SESSION_CLIENT_LIMITS_H_
#define CAMPHORFERRY_SESSION_CLIENT_LIMITS_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "Common/common.h"

namespace camphorferry::session {

/// What the host allows one process.
struct HostResources {
  std::size_t memory_bytes = 256ULL * 1024 * 1024;
  std::size_t descriptors = 4096;
};

/// Limits that the process enforces on its clients, so that clients that nobody
/// controls can't use up its memory or its descriptors.
struct ClientLimits {
  std::size_t max_sessions = 0;
  /// Bytes that all sessions together may keep: input that is not processed
  /// yet, responses that are not sent yet, session values and prepared
  /// statements.
  std::size_t max_buffered_bytes = 0;
  /// Messages of clients, and responses of endpoints, above the size of a small
  /// message that may be in progress at a time.
  std::size_t large_messages = 1;
  std::size_t large_responses = 1;
  /// Time from the connection until its first message is complete.
  common::Duration first_message_timeout = std::chrono::seconds(10);
  /// Time from the first byte of a message until its end.
  common::Duration message_timeout = std::chrono::seconds(20);
  /// Time until a client has read all of its responses.
  common::Duration unread_timeout = std::chrono::seconds(30);
};

/// Derives the limits from what the host allows.
ClientLimits ChooseClientLimits(const HostResources& resources);

/// Why a session is closed because of the limits.
enum class LimitCause {
  /// Another connection needs its place.
  kSessions,
  /// It keeps more than others while the memory is short.
  kMemory,
  kFirstMessage,
  kMessage,
  kUnread
};

/// Name as used in logs and metrics.
const char* ToString(LimitCause cause);

/// Times of a session that the limits apply to; none where nothing is awaited.
struct SessionTimes {
  /// When the connection was accepted, while its first message is incomplete.
  std::optional<common::SteadyTime> unopened_since;
  /// When an incomplete message began.
  std::optional<common::SteadyTime> incomplete_since;
  /// Since when responses are unread.
  std::optional<common::SteadyTime> unread_since;
};

/// Decides whether a session has exceeded a time limit. Answers crowds of
/// clients that send or read very slowly, or stop half-way.
std::optional<LimitCause> CheckTimes(const ClientLimits& limits,
                                     const SessionTimes& times,
                                     common::SteadyTime now);

/// A session as the decisions below see it.
struct SessionUsage {
  bool opened = false;
  /// No statement is in progress and no transaction is open.
  bool idle = false;
  common::WorkspaceId workspace;
  /// When it was accepted or had its last message.
  common::SteadyTime last_message;
  std::size_t buffered_bytes = 0;
};

/// Chooses the session that makes room for a new connection, as an index: the
/// connection that has sent no first message for longest; otherwise, of the
/// workspace with most sessions, the one that has been idle for longest. None
/// if that workspace has no idle session. Answers crowds that only connect, or
/// that open many sessions with one key.
std::optional<std::size_t> ChooseSessionToReplace(
    const std::vector<SessionUsage>& sessions);

/// Chooses the sessions to close when all together keep more than the limit, as
/// indices: those that keep most, until the rest is below the limit. Answers
/// clients that send many statements ahead without reading the responses.
std::vector<std::size_t> ChooseSessionsToClose(
    const std::vector<SessionUsage>& sessions, std::size_t limit);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_CLIENT_LIMITS_H_
