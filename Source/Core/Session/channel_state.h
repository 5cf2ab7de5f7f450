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

/// Drops all session values and prepared statements of a channel.
struct ResetChannel {
  bool operator==(const ResetChannel&) const = default;
};

/// Sets one session value.
struct SetChannelValue {
  std::string name;
  std::string value;

  bool operator==(const SetChannelValue&) const = default;
};

/// Prepares a statement under a name that the daemon has chosen.
struct PrepareOnChannel {
  std::string endpoint_name;
  PreparedShape shape;

  bool operator==(const PrepareOnChannel&) const = default;
};

/// One command that brings a channel closer to the state that a session needs.
using ChannelPreparation =
    std::variant<ResetChannel, SetChannelValue, PrepareOnChannel>;

/// Tracks the session values and prepared statements that an endpoint has for
/// one channel, and computes the commands that are needed before a statement of
/// a session may run there. Channels are shared by sessions, so each statement
/// must find exactly the values that were acknowledged to its session.
class ChannelState {
 public:
  /// The next command to send before a statement of a session with these
  /// values, which executes the prepared shape if one is given; none when the
  /// channel is ready.
  std::optional<ChannelPreparation> NextPreparation(
      const SessionValues& values,
      const std::optional<PreparedShape>& shape) const;

  /// Number of commands that are needed until the channel has exactly these
  /// values.
  std::size_t PreparationCount(const SessionValues& values) const;

  /// Records a command that the endpoint has acknowledged.
  void OnApplied(const ChannelPreparation& preparation);

  /// Forgets a prepared statement that the endpoint reports as unknown.
  void ForgetPrepared(const PreparedShape& shape);

  /// The name under which a shape is prepared on this channel. It must have
  /// been prepared.
  const std::string& PreparedName(const PreparedShape& shape) const;

  /// Bytes of all values and prepared statements.
  std::size_t Bytes() const;

 private:
  bool NeedsReset(const SessionValues& values) const;

  SessionValues applied_values;
  std::map<PreparedShape, std::string> prepared;
  std::size_t next_name = 1;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_CHANNEL_STATE_H_
