#ifndef CAMPHORFERRY_SESSION_MEMBER_COMMAND_H_
#define CAMPHORFERRY_SESSION_MEMBER_COMMAND_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "Session/statement.h"
#include "Session/wire_codec.h"

namespace camphorferry::session {

enum class MemberCommandKind {
  /// Asks for the status.
  kStatus,
  /// Demotes a primary whose term is lower than the given one to a replica.
  kStepDown,
  /// Stops a replica from receiving log entries for the given term.
  kHold,
  /// Lets a held replica receive log entries again.
  kResume
};

/// A command to a member that belongs to no client. The member answers each
/// with its status.
struct MemberCommand {
  MemberCommandKind kind = MemberCommandKind::kStatus;
  /// Only for kStepDown and kHold.
  common::Term term = 0;
};

/// Encodes a command for the member's connection.
std::string Encode(const WireCodec& codec, const MemberCommand& command);

/// How a command to a member has ended.
struct CommandResult {
  /// The member's answer; none if it did not answer in time.
  std::optional<EndpointStatus> status;
  /// The command was sent. Without an answer, it may be executed later.
  bool sent = false;
};

using CommandCallback = std::function<void(const CommandResult&)>;

/// Returns a callback for several attempts to send one command, which each call
/// it once. Passes on the first answer of the member, or that the last attempt
/// has ended without one.
CommandCallback CombineAttempts(std::size_t attempts, CommandCallback done);

/// A command that a daemon asks its peers to send, because it does not reach
/// the member itself.
struct CommandRelay {
  common::ServiceId service;
  common::EndpointId endpoint;
  MemberCommand command;
};

/// Called once with the member's status; none if it gave no answer.
using RelayCallback = std::function<void(const std::optional<EndpointStatus>&)>;

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_MEMBER_COMMAND_H_
