#include "Process/configuration_task.h"

#include <utility>

namespace camphorferry::process {

namespace {

constexpr char kConfigurationPath[] = "config";
/// Length of a watch. A store that goes silent may lose one without a trace,
/// which is noticed a call's timeout (1,000 ms) after its end; a change must be
/// in force within 4,000 ms all the same.
constexpr std::chrono::milliseconds kWatchTimeout(2000);
/// Delay before the next call after the store did not respond.
constexpr std::chrono::milliseconds kStoreRetryDelay(500);

}  // namespace

ConfigurationTask::ConfigurationTask(connection::EventLoop* loop,
                                     connection::ObjectStore* store,
                                     PeerClient* peers, EventLog* events,
                                     ChangeCallback on_change)
    : loop(loop),
      store(store),
      peers(peers),
      events(events),
      on_change(std::move(on_change)) {}

void ConfigurationTask::Start() { this->ReadStore(); }

void ConfigurationTask::SetDomainPeers(
    const std::set<common::HostId>& domain_peers) {
  if (this->domain_peers == domain_peers) return;
  this->domain_peers = domain_peers;
  this->tracker.SetDomainPeers(domain_peers);
}

void ConfigurationTask::SetWatching(bool watching) {
  this->watching = watching;
  if (watching) this->Watch();
}

void ConfigurationTask::ReadStore() {
  this->store->Read(kConfigurationPath,
                    [this](const connection::ReadResult& result) {
                      this->OnStoreRead(result);
                    });
}

void ConfigurationTask::Watch() {
  if (!this->watching || this->watch_pending || !this->tracker.Ready()) return;
  this->watch_pending = true;
  this->store->Watch(kConfigurationPath, this->store_version, kWatchTimeout,
                     [this](const connection::ReadResult& result) {
                       this->watch_pending = false;
                       this->OnStoreRead(result);
                     });
}

void ConfigurationTask::OnStoreRead(const connection::ReadResult& result) {
  if (std::holds_alternative<connection::StoreNoAnswer>(result)) {
    this->tracker.StoreUnavailable();
    this->PullFromPeers();
    this->retry_timer = this->loop->After(kStoreRetryDelay, [this] {
      if (this->tracker.Ready() && this->watching) {
        this->Watch();
      } else if (!this->tracker.Ready()) {
        this->ReadStore();
      }
    });
    return;
  }
  if (const auto* object = std::get_if<connection::StoredObject>(&result)) {
    this->store_version = object->version;
    const version::ConfigurationPointer configuration =
        object->version == 0 ? nullptr : this->Parse(object->value);
    this->ApplyOffer(this->tracker.StoreAnswered(configuration),
                     Source::kStore);
  }
  this->Watch();
}

void ConfigurationTask::PullFromPeers() {
  if (this->tracker.Ready()) return;
  for (const common::HostId& peer : this->tracker.PeersToQuery()) {
    this->PullFrom(peer, /*bootstrap=*/true);
  }
}

void ConfigurationTask::OnPeerVersion(const common::HostId& peer,
                                      version::ConfigurationVersion reported) {
  if (this->tracker.IsBehind(reported)) this->PullFrom(peer, false);
}

void ConfigurationTask::PullFrom(const common::HostId& peer, bool bootstrap) {
  if (!this->pending_pulls.insert(peer).second) return;
  this->peers->PullConfiguration(
      peer, this->tracker.Version(),
      [this, peer, bootstrap](const std::optional<PeerConfiguration>& reply) {
        this->pending_pulls.erase(peer);
        if (!reply) {
          this->tracker.PeerUnavailable(peer);
          return;
        }
        const version::ConfigurationPointer configuration =
            reply->document.empty() ? this->tracker.Current()
                                    : this->Parse(reply->document);
        if (bootstrap) {
          this->ApplyOffer(this->tracker.PeerAnswered(peer, configuration),
                           Source::kPeer);
        } else {
          this->ApplyOffer(this->tracker.Offer(configuration), Source::kPeer);
        }
        this->Watch();
      });
}

version::ConfigurationVersion ConfigurationTask::OnPush(
    const PeerConfiguration& pushed) {
  if (this->tracker.IsBehind(pushed.version)) {
    this->ApplyOffer(this->tracker.Offer(this->Parse(pushed.document)),
                     Source::kPeer);
  }
  return this->tracker.Version();
}

PeerConfiguration ConfigurationTask::OnPull(
    version::ConfigurationVersion have_version) const {
  const version::ConfigurationVersion current_version = this->tracker.Version();
  if (current_version <= have_version) return {current_version, ""};
  return {current_version, this->document};
}

void ConfigurationTask::OnWritten(version::ConfigurationPointer configuration) {
  this->ApplyOffer(this->tracker.Offer(std::move(configuration)),
                   Source::kStore);
}

version::ConfigurationPointer ConfigurationTask::Parse(
    const std::string& document) {
  try {
    return std::make_shared<version::Configuration>(
        version::ParseConfiguration(document));
  } catch (const version::BadConfigurationError& error) {
    this->events->Record(
        common::WallNow(), common::Subsystem::kVersion,
        "configuration_rejected",
        {{"fault", version::ToString(error.Fault())}, {"path", error.Path()}});
    return nullptr;
  }
}

void ConfigurationTask::ApplyOffer(const version::OfferResult& result,
                                   Source source) {
  if (const auto* conflict = std::get_if<version::OfferConflict>(&result)) {
    this->events->Record(common::WallNow(), common::Subsystem::kVersion,
                         "configuration_conflict",
                         {{"version", conflict->version}});
    return;
  }
  const auto* accepted = std::get_if<version::OfferAccepted>(&result);
  if (accepted == nullptr) return;
  this->document =
      version::ConfigurationToJson(*this->tracker.Current()).dump();
  this->events->Record(
      common::WallNow(), common::Subsystem::kVersion, "configuration_in_force",
      {{"version", accepted->version},
       {"source", source == Source::kStore ? "store" : "peer"}});
  this->on_change(this->tracker.Current());
  if (source == Source::kStore) this->PushToPeers();
}

void ConfigurationTask::PushToPeers() {
  const PeerConfiguration pushed{this->tracker.Version(), this->document};
  for (const common::HostId& peer : this->domain_peers) {
    this->peers->PushConfiguration(peer, pushed);
  }
}

}  // namespace camphorferry::process
