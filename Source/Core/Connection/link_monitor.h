#ifndef CAMPHORFERRY_CONNECTION_LINK_MONITOR_H_
#define CAMPHORFERRY_CONNECTION_LINK_MONITOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/common.h"

namespace camphorferry::connection {

/// Identifies one open connection to an endpoint; never used again after the
/// connection is closed.
using LinkId = std::uint64_t;

/// A request was sent on a link, which MayUse allowed.
struct LinkSent {
  LinkId link = 0;
  std::string request_id;
};

/// A whole answer arrived on a link.
struct LinkAnswered {
  LinkId link = 0;
  std::string request_id;
};

/// The caller gave up waiting for the answer, for example at the deadline.
struct LinkAbandoned {
  LinkId link = 0;
};

/// The connection was closed by either side.
struct LinkClosed {
  LinkId link = 0;
};

/// The probe was answered on its new connection.
struct ProbeAnswered {
  std::uint64_t probe = 0;
};

/// The probe got no connection or no answer.
struct ProbeFailed {
  std::uint64_t probe = 0;
};

/// Time has passed.
struct LinkTick {};

using LinkEvent =
    std::variant<LinkSent, LinkAnswered, LinkAbandoned, LinkClosed,
                 ProbeAnswered, ProbeFailed, LinkTick>;

/// Ask the endpoint for its status on a new connection.
struct OpenProbe {
  std::uint64_t probe = 0;

  bool operator==(const OpenProbe&) const = default;
};

/// Close a link; a request that is outstanding on it gets no answer any more.
struct CloseLink {
  LinkId link = 0;

  bool operator==(const CloseLink&) const = default;
};

/// Send nothing to the endpoint until IsDown is false again.
struct MarkEndpointDown {
  bool operator==(const MarkEndpointDown&) const = default;
};

using LinkAction = std::variant<OpenProbe, CloseLink, MarkEndpointDown>;

/// A request was sent on a link with an outstanding answer, or that was closed.
class LinkNotUsableError : public common::Error {
 public:
  explicit LinkNotUsableError(LinkId link);

  LinkId Link() const { return this->link; }

 private:
  LinkId link;
};

/// A request without an answer for this long makes its link suspect, unless
/// the endpoint's recent answers were slow.
inline constexpr common::Duration kSilenceLimit =
    std::chrono::milliseconds(500);
/// Largest limit for an endpoint that answers slowly.
inline constexpr common::Duration kMaxSilenceLimit = std::chrono::seconds(5);
/// A probe without an answer for this long has failed.
inline constexpr common::Duration kProbeTimeout =
    std::chrono::milliseconds(500);
/// Time between a failed probe and the next one. Each probe takes one of the
/// endpoint's scarce connections.
inline constexpr common::Duration kProbeInterval =
    std::chrono::milliseconds(500);

/// Detects open connections to one endpoint that have gone silent while new
/// connections work, and tells them from an endpoint that is down. A link
/// carries one request at a time, so a late answer never meets a later request.
class LinkMonitor {
 public:
  /// Takes an event and returns what has to be done now. Throws
  /// LinkNotUsableError if a request was sent on a link that MayUse refuses.
  std::vector<LinkAction> Handle(const LinkEvent& event,
                                 common::SteadyTime now);

  /// True if a request may be sent on the link: it has no outstanding answer
  /// and wasn't closed by this monitor.
  bool MayUse(LinkId link) const;

  /// True from a failed probe until the endpoint answers anything.
  bool IsDown() const { return this->down; }

 private:
  struct Outstanding {
    std::string request_id;
    common::SteadyTime sent;
  };

  struct Link {
    std::optional<Outstanding> outstanding;
    std::optional<common::SteadyTime> last_answer;
    /// Set once CloseLink was returned, until LinkClosed confirms it.
    bool closing = false;
  };

  struct Probe {
    std::uint64_t id = 0;
    common::SteadyTime opened;
  };

  void On(const LinkSent& event, common::SteadyTime now);
  void On(const LinkAnswered& event, common::SteadyTime now);
  void On(const LinkAbandoned& event, common::SteadyTime now);
  void On(const LinkClosed& event, common::SteadyTime now);
  void On(const ProbeAnswered& event, common::SteadyTime now);
  void On(const ProbeFailed& event, common::SteadyTime now);
  void On(const LinkTick& event, common::SteadyTime now);

  void CloseSilentLinks(common::SteadyTime probe_opened);
  void FailProbe(common::SteadyTime now);
  void OpenProbeIfDue(common::SteadyTime now);
  bool IsSilent(const Link& link, common::SteadyTime now) const;
  void LearnLatency(common::Duration latency);
  void Close(LinkId id, Link* link);

  std::map<LinkId, Link> links;
  std::optional<Probe> probe;
  std::uint64_t next_probe = 1;
  common::SteadyTime probe_not_before;
  bool down = false;
  /// Slowest recent answer, reduced by each faster one. A probe can't tell a
  /// slow statement from a silent link, so the limit follows the statements.
  common::Duration slowest = common::Duration::zero();
  common::Duration silence_limit = kSilenceLimit;
  std::vector<LinkAction> actions;
};

}  // namespace camphorferry::connection

#endif  // CAMPHORFERRY_CONNECTION_LINK_MONITOR_H_
