#ifndef CAMPHORFERRY_SESSION_CHANNEL_STATE_H_
#define CAMPHORFERRY_SESSION_CHANNEL_STATE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Session/statement.h"

namespace camphorferry::session {

/// Drops all values and prepared statements of a channel.
struct ResetChannel {
  bool operator==(const ResetChannel&) const = default;
};

/// Sets one session value.
struct SetChannelValue {
  std::string name;
  std::string value;

  bool operator==(const SetChannelValue&) const = default;
};

/// Prepares a statement under a name of the daemon's own.
struct PrepareOnChannel {
  std::string endpoint_name;
  PreparedShape shape;

  bool operator==(const PrepareOnChannel&) const = default;
};

/// One command that brings a channel closer to a session's state.
using ChannelPreparation =
    std::variant<ResetChannel, SetChannelValue, PrepareOnChannel>;

/// What an endpoint holds for one channel, and what must be sent before a
/// session's statement may run there. Channels are shared by sessions, so each
/// statement finds exactly the values that were acknowledged to its session.
class ChannelState {
 public:
  /// The next command to send before a statement of a session with these
  /// values, and this prepared shape if it executes one; none when the channel
  /// is ready.
  std::optional<ChannelPreparation> NextPreparation(
      const SessionValues& values,
      const std::optional<PreparedShape>& shape) const;

  /// Number of commands until the channel is ready for these values.
  std::size_t PreparationCount(const SessionValues& values) const;

  /// Records a command that the endpoint has acknowledged.
  void OnApplied(const ChannelPreparation& preparation);

  /// Forgets a shape which the endpoint says it does not know.
  void ForgetPrepared(const PreparedShape& shape);

  /// The daemon's name of a shape that is prepared on this channel.
  const std::string& PreparedName(const PreparedShape& shape) const;

 private:
  bool NeedsReset(const SessionValues& values) const;

  SessionValues applied_values;
  std::map<PreparedShape, std::string> prepared;
  std::size_t next_name = 1;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_CHANNEL_STATE_H_
