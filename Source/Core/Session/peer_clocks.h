#ifndef CAMPHORFERRY_SESSION_PEER_CLOCKS_H_
#define CAMPHORFERRY_SESSION_PEER_CLOCKS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Common/common.h"

namespace camphorferry::session {

/// A time of the steady clock of one process. Only that process can compare it
/// with its clock.
struct ProcessTime {
  /// Tells the process from earlier ones at the same address; 0 if unknown.
  std::uint64_t process = 0;
  std::chrono::milliseconds time{0};

  bool operator==(const ProcessTime&) const = default;
};

/// Text of a time as calls between daemons carry it.
std::string ToText(const ProcessTime& time);

/// The time that a text states; none if it is malformed.
std::optional<ProcessTime> ParseProcessTime(std::string_view text);

/// The steady clock of this process, as its peers are told of it.
class OwnClock {
 public:
  explicit OwnClock(std::uint64_t process) : process(process) {}

  ProcessTime At(common::SteadyTime at) const;

  /// The time at which a peer's call to this process expires; one that has
  /// passed if it was meant for an earlier process.
  common::SteadyTime FromPeer(const ProcessTime& time) const;

 private:
  std::uint64_t process;
};

/// Estimates what the steady clocks of peers show, from what they have stated.
/// A call that a link holds back arrives with all of the time that its caller
/// gave it, so the caller names the end of that time by the receiver's clock.
class PeerClocks {
 public:
  /// A peer has stated its time in a message that was received at the given
  /// time.
  void OnStated(const std::string& address, const ProcessTime& stated,
                common::SteadyTime received);

  /// What a peer's clock shows at the given time of this process's clock. Never
  /// ahead of it, but for the drift of the clocks within a minute. None if the
  /// peer has not stated its time.
  std::optional<ProcessTime> At(const std::string& address,
                                common::SteadyTime at) const;

  /// Forgets a peer.
  void Forget(const std::string& address) { this->clocks.erase(address); }

 private:
  struct Clock {
    ProcessTime stated;
    common::SteadyTime received;
  };

  /// What a clock shows at the given time.
  static ProcessTime Advance(const Clock& clock, common::SteadyTime at);

  std::map<std::string, Clock> clocks;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_PEER_CLOCKS_H_
