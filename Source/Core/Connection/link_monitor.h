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

/// Identifies a link, which is one open connection to an endpoint. Identifiers
/// are never reused.
using LinkId = std::uint64_t;

/// A request was sent on a link for which CanSend was true.
struct LinkRequestSent {
  LinkId link = 0;
  std::string request_id;
};

/// A complete response arrived on a link.
struct LinkResponseReceived {
  LinkId link = 0;
  std::string request_id;
};

/// The caller stopped waiting for the response, for example at its deadline.
struct LinkRequestAbandoned {
  LinkId link = 0;
};

/// The connection was closed by either side.
struct LinkClosed {
  LinkId link = 0;
};

/// The endpoint answered the probe on its new connection.
struct ProbeAnswered {
  std::uint64_t probe = 0;
};

/// The probe could not connect or got no response.
struct ProbeFailed {
  std::uint64_t probe = 0;
};

/// Periodic event that lets the monitor check its time limits.
struct LinkTick {};

using LinkEvent =
    std::variant<LinkRequestSent, LinkResponseReceived, LinkRequestAbandoned,
                 LinkClosed, ProbeAnswered, ProbeFailed, LinkTick>;

/// Action: request the endpoint's status on a new connection.
struct OpenProbe {
  std::uint64_t probe = 0;

  bool operator==(const OpenProbe&) const = default;
};

/// Action: close a link; the request that is pending on it fails.
struct CloseLink {
  LinkId link = 0;

  bool operator==(const CloseLink&) const = default;
};

/// Action: send nothing to the endpoint until IsDown is false again.
struct MarkEndpointDown {
  bool operator==(const MarkEndpointDown&) const = default;
};

using LinkAction = std::variant<OpenProbe, CloseLink, MarkEndpointDown>;

/// A request was sent on a link that has a pending request or was closed.
class LinkNotUsableError : public common::Error {
 public:
  explicit LinkNotUsableError(LinkId link);

  LinkId Link() const { return this->link; }

 private:
  LinkId link;
};

/// A link is suspected of having failed when its request is pending for this
/// long. The limit is longer if the endpoint's recent responses were slow.
inline constexpr common::Duration kMinSuspicionTimeout =
    std::chrono::milliseconds(500);
/// Upper bound of the limit for an endpoint that responds slowly.
inline constexpr common::Duration kMaxSuspicionTimeout =
    std::chrono::seconds(5);
/// A probe without a response for this long has failed.
inline constexpr common::Duration kProbeTimeout =
    std::chrono::milliseconds(500);
/// Time between a failed probe and the next one, since each probe takes up one
/// of the few connections that the endpoint accepts.
inline constexpr common::Duration kProbeInterval =
    std::chrono::milliseconds(500);

/// Failure detector for the open connections to one endpoint. It distinguishes
/// connections that have become unresponsive while new ones work from an
/// endpoint that is down. A link carries one request at a time, so a late
/// response can never be matched to a later request.
class LinkMonitor {
 public:
  /// Processes an event and returns the actions to take now. Throws
  /// LinkNotUsableError if a request was sent on a link for which CanSend is
  /// false.
  std::vector<LinkAction> Handle(const LinkEvent& event,
                                 common::SteadyTime now);

  /// True if a request may be sent on the link: it has no pending request, and
  /// this monitor has not asked to close it.
  bool CanSend(LinkId link) const;

  /// True from a failed probe until the endpoint responds to any request.
  bool IsDown() const { return this->down; }

 private:
  struct PendingRequest {
    std::string request_id;
    common::SteadyTime sent;
  };

  struct Link {
    std::optional<PendingRequest> pending;
    std::optional<common::SteadyTime> last_response;
    /// True from the CloseLink action until LinkClosed confirms it.
    bool closing = false;
  };

  struct Probe {
    std::uint64_t id = 0;
    common::SteadyTime opened;
  };

  void On(const LinkRequestSent& event, common::SteadyTime now);
  void On(const LinkResponseReceived& event, common::SteadyTime now);
  void On(const LinkRequestAbandoned& event, common::SteadyTime now);
  void On(const LinkClosed& event, common::SteadyTime now);
  void On(const ProbeAnswered& event, common::SteadyTime now);
  void On(const ProbeFailed& event, common::SteadyTime now);
  void On(const LinkTick& event, common::SteadyTime now);

  void CloseUnresponsiveLinks(common::SteadyTime probe_opened);
  void OnProbeFailure(common::SteadyTime now);
  void OpenProbeIfDue(common::SteadyTime now);
  bool IsUnresponsive(const Link& link, common::SteadyTime now) const;
  void UpdateSuspicionTimeout(common::Duration latency);
  void Close(LinkId id, Link* link);

  std::map<LinkId, Link> links;
  std::optional<Probe> probe;
  std::uint64_t next_probe_id = 1;
  common::SteadyTime next_probe_time;
  bool down = false;
  /// Highest recent latency, which decays with each faster response. A probe
  /// cannot tell a slow statement from an unresponsive link, so the limit
  /// follows the latency of the statements.
  common::Duration peak_latency = common::Duration::zero();
  common::Duration suspicion_timeout = kMinSuspicionTimeout;
  std::vector<LinkAction> actions;
};

}  // namespace camphorferry::connection

#endif  // CAMPHORFERRY_CONNECTION_LINK_MONITOR_H_
