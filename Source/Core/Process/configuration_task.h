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

/// Brings the configuration in force to this daemon: watches the store if it
/// is one of its domain's watchers, pushes new versions to the domain's other
/// daemons, and pulls from a peer that reports a higher version.
class ConfigurationTask {
 public:
  using Listener = std::function<void(const version::ConfigurationPointer&)>;

  ConfigurationTask(connection::EventLoop* loop, connection::ObjectStore* store,
                    PeerClient* peers, EventLog* events, Listener on_change);

  /// Reads the store, and asks peers if it does not answer.
  void Start();

  /// Peers of the own failure domain.
  void SetDomainPeers(const std::set<common::HostId>& domain_peers);

  /// Whether this daemon keeps a watch open at the store.
  void SetWatching(bool watching);

  /// Handles a version that a peer reported in a heartbeat.
  void OnPeerVersion(const common::HostId& peer,
                     version::ConfigurationVersion reported);

  /// Takes a document that a peer pushed; returns the version in force.
  version::ConfigurationVersion OnPush(const PeerConfiguration& pushed);

  /// Answers a peer's pull.
  PeerConfiguration OnPull(version::ConfigurationVersion have_version) const;

  /// Takes a configuration that this daemon itself wrote to the store.
  void OnWritten(version::ConfigurationPointer configuration);

  const version::ConfigurationPointer& Current() const {
    return this->tracker.Current();
  }

  /// Version of the store's object at the last read, for conditional updates.
  bool Ready() const { return this->tracker.Ready(); }

 private:
  enum class Source { kStore, kPeer };

  void ReadStore();
  void Watch();
  void OnStoreRead(const connection::ReadResult& result);
  void AskPeers();
  void PullFrom(const common::HostId& peer, bool bootstrap);
  version::ConfigurationPointer Parse(const std::string& document);
  void Report(const version::OfferResult& result, Source source);
  void PushToPeers();

  connection::EventLoop* loop;
  connection::ObjectStore* store;
  PeerClient* peers;
  EventLog* events;
  Listener on_change;
  version::ConfigurationTracker tracker;
  std::set<common::HostId> domain_peers;
  std::set<common::HostId> pulling;
  connection::ObjectVersion store_version = 0;
  std::string document;
  bool watching = false;
  bool watch_open = false;
  std::unique_ptr<connection::Timer> retry;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_CONFIGURATION_TASK_H_
