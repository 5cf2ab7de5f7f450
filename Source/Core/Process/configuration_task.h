#ifndef CAMPHORFERRY_PROCESS_CONFIGURATION_TASK_H_
#define CAMPHORFERRY_PROCESS_CONFIGURATION_TASK_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Process/event_log.h"
#include "Process/peer_client.h"
#include "Version/version.h"

namespace camphorferry::process {

/// Keeps this daemon's configuration up to date: watches the store if this
/// daemon is one of its domain's watchers, pushes new versions to the other
/// daemons of the domain, and pulls from a peer that reports a higher version.
class ConfigurationTask {
 public:
  using ChangeCallback =
      std::function<void(const version::ConfigurationPointer&)>;

  ConfigurationTask(connection::EventLoop* loop, connection::ObjectStore* store,
                    PeerClient* peers, EventLog* events,
                    ChangeCallback on_change);

  /// Reads the configuration from the store, or from peers if the store does
  /// not respond.
  void Start();

  /// Sets the peers of the own failure domain.
  void SetDomainPeers(const std::set<common::HostId>& domain_peers);

  /// Sets whether this daemon keeps a watch open at the store.
  void SetWatching(bool watching);

  /// Handles a version that a peer reported in a heartbeat.
  void OnPeerVersion(const common::HostId& peer,
                     version::ConfigurationVersion reported);

  /// Handles a document that a peer pushed; returns the version in force.
  version::ConfigurationVersion OnPush(const PeerConfiguration& pushed);

  /// Handles a peer's pull request.
  PeerConfiguration OnPull(version::ConfigurationVersion have_version) const;

  /// Applies a configuration that this daemon itself wrote to the store.
  void OnWritten(version::ConfigurationPointer configuration);

  const version::ConfigurationPointer& Current() const {
    return this->tracker.Current();
  }

  /// True once the configuration of the store or of the peers has been
  /// determined (see ConfigurationTracker::Ready).
  bool Ready() const { return this->tracker.Ready(); }

 private:
  enum class Source { kStore, kPeer };

  void ReadStore();
  void Watch();
  void OnStoreRead(const connection::ReadResult& result);
  void PullFromPeers();
  void PullFrom(const common::HostId& peer, bool bootstrap);
  version::ConfigurationPointer Parse(const std::string& document);
  void ApplyOffer(const version::OfferResult& result, Source source);
  void PushToPeers();

  connection::EventLoop* loop;
  connection::ObjectStore* store;
  PeerClient* peers;
  EventLog* events;
  ChangeCallback on_change;
  version::ConfigurationTracker tracker;
  std::set<common::HostId> domain_peers;
  std::set<common::HostId> pending_pulls;
  connection::ObjectVersion store_version = 0;
  std::string document;
  bool watching = false;
  bool watch_pending = false;
  std::unique_ptr<connection::Timer> retry_timer;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_CONFIGURATION_TASK_H_
