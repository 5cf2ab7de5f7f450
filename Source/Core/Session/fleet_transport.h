#ifndef CAMPHORFERRY_SESSION_FLEET_TRANSPORT_H_
#define CAMPHORFERRY_SESSION_FLEET_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Connection/connection.h"
#include "Session/directory.h"
#include "Session/member_command.h"

namespace camphorferry::session {

/// A proof of leadership as exchanged between daemons.
struct SharedProof {
  common::ServiceId service;
  common::LogPosition position;
  /// Age of the proof when the report was written.
  common::Duration age = common::Duration::zero();
};

/// Report of one daemon to another.
struct FleetReport {
  FleetHost host;
  std::vector<SharedProof> proofs;
  /// Version of the configuration that the daemon uses; 0 for none.
  std::uint64_t configuration_version = 0;
  /// Latest era of the store that the daemon knows; 0 for none.
  std::uint64_t store_era = 0;
};

/// Request of a daemon to the owner of a workspace's rate to admit one
/// operation.
struct AdmissionRequest {
  common::HostId requester;
  common::WorkspaceId workspace;
};

/// The rate owner's answer.
struct AdmissionReply {
  /// Time until the next operation would be admitted; none if this one is
  /// admitted.
  std::optional<common::Duration> retry_after;
};

/// Request for a part of the directory by a daemon that the store does not
/// answer.
struct DirectoryQuery {
  DirectoryKind kind = DirectoryKind::kConfiguration;
  /// The revision that the requester already knows.
  StoreRevision revision;
  /// The version of the configuration that the requester already knows; 0 for
  /// none.
  std::uint64_t version = 0;
};

/// Interface to the other daemons. Callbacks come from the event loop.
class FleetTransport {
 public:
  virtual ~FleetTransport() = default;

  /// Sends a report. Calls back once with the peer's report, or with nothing if
  /// it gave none in time.
  virtual void Exchange(
      const std::string& address, const FleetReport& report,
      common::Duration timeout,
      std::function<void(std::optional<FleetReport>)> done) = 0;

  /// Asks a rate owner to admit an operation. Calls back once, with nothing if
  /// it gave no answer in time.
  virtual void Admit(
      const std::string& address, const AdmissionRequest& request,
      common::Duration timeout,
      std::function<void(std::optional<AdmissionReply>)> done) = 0;

  /// Asks a peer for a part of the directory. Calls back once, with nothing if
  /// it gave no answer in time.
  virtual void ReadDirectory(
      const std::string& address, const DirectoryQuery& query,
      common::Duration timeout,
      std::function<void(std::optional<SharedDirectory>)> done) = 0;

  /// Asks a peer to send a command to a member. Calls back once, with nothing
  /// if the peer or the member gave no answer in time.
  virtual void RelayCommand(const std::string& address,
                            const CommandRelay& request,
                            common::Duration timeout, RelayCallback done) = 0;

  /// The local port that peers connect to.
  virtual std::uint16_t Port() const = 0;

  /// Drops the connection to a peer that has been removed.
  virtual void Disconnect(const std::string& address) = 0;
};

/// Functions that serve the calls of peers.
struct FleetHandlers {
  /// Takes a peer's report and returns this daemon's report.
  std::function<FleetReport(const FleetReport&)> exchange;
  std::function<AdmissionReply(const AdmissionRequest&)> admit;
  std::function<SharedDirectory(const DirectoryQuery&)> read_directory;
  /// Sends a command to a member for a peer.
  std::function<void(const CommandRelay&, RelayCallback)> relay_command;
};

/// Thrown if the address for peers cannot be listened on.
class FleetListenError : public common::Error {
 public:
  explicit FleetListenError(const connection::SocketAddress& address);
};

/// Creates a fleet transport over gRPC, which also serves the peers' calls.
/// Throws FleetListenError.
std::unique_ptr<FleetTransport> NewGrpcFleetTransport(
    connection::EventLoop* loop, const connection::SocketAddress& listen,
    FleetHandlers handlers);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_FLEET_TRANSPORT_H_
