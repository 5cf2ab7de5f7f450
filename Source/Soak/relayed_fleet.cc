#include "relayed_fleet.h"

#include <unistd.h>

namespace camphorferry::soak {

namespace {

/// The first parts of the proxies' addresses, which no concurrent run uses.
std::string ProxyNetwork() {
  const auto id = static_cast<unsigned>(getpid());
  constexpr unsigned kNetworks = 250;
  return "127." + std::to_string(1 + id % kNetworks) + ".200.";
}

/// The same for the relays over which a proxy calls the others.
std::string RelayNetwork(std::size_t from) {
  std::string network = ProxyNetwork();
  const std::string own = "200.";
  return network.replace(network.size() - own.size(), own.size(),
                         std::to_string(201 + from) + ".");
}

std::string HostPart(std::size_t index) { return std::to_string(100 + index); }

/// Leads a proxy, which learns the others' addresses from the directory and
/// from their reports, over its relays.
TcpRelay::Replacement SeenBy(std::size_t proxy) {
  return {ProxyNetwork(), RelayNetwork(proxy)};
}

}  // namespace

common::FailureDomainId RelayedFleet::DomainOf(std::size_t index) {
  return common::FailureDomainId("domain-" + std::to_string(index % kDomains));
}

RelayedFleet::RelayedFleet(connection::EventLoop* loop,
                           const std::string& program,
                           const std::string& folder, std::size_t count,
                           const connection::SocketAddress& store)
    : peer_relays(count) {
  for (std::size_t index = 0; index < count; ++index) {
    this->store_relays.push_back(std::make_unique<TcpRelay>(loop, store));
    this->store_relays.back()->SetReplacement(false, SeenBy(index));
    const auto store_address = this->store_relays.back()->Address();
    this->proxies.push_back(std::make_unique<ProxyProcess>(
        program, folder, static_cast<int>(index), store_address, store_address,
        std::nullopt, DomainOf(index), ProxyNetwork() + HostPart(index)));
  }
  for (std::size_t from = 0; from < count; ++from) {
    for (std::size_t to = 0; to < count; ++to) {
      const connection::SocketAddress peer = this->proxies[to]->PeerAddress();
      auto relay = std::make_unique<TcpRelay>(
          loop, peer,
          connection::SocketAddress{RelayNetwork(from) + HostPart(to),
                                    peer.port});
      relay->SetReplacement(true, SeenBy(to));
      relay->SetReplacement(false, SeenBy(from));
      this->peer_relays[from].push_back(std::move(relay));
    }
  }
}

void RelayedFleet::Start() {
  for (const auto& proxy : this->proxies) proxy->Start();
}

void RelayedFleet::RestartEnded() {
  for (const auto& proxy : this->proxies) {
    if (!proxy->Running()) proxy->Start();
  }
}

void RelayedFleet::SetStoreLink(std::size_t index, LinkState state) {
  this->store_relays[index]->SetState(state);
}

void RelayedFleet::SetPeerLink(std::size_t from, std::size_t to,
                               LinkState state) {
  this->peer_relays[from][to]->SetState(state);
}

void RelayedFleet::OpenLinks() {
  for (const auto& relay : this->store_relays) {
    relay->SetState(LinkState::kOpen);
  }
  for (const auto& relays : this->peer_relays) {
    for (const auto& relay : relays) relay->SetState(LinkState::kOpen);
  }
}

std::size_t RelayedFleet::PairsWithoutRelay() const {
  std::size_t pairs = 0;
  for (std::size_t one = 0; one < this->proxies.size(); ++one) {
    for (std::size_t other = 0; other < one; ++other) {
      const bool relayed = this->peer_relays[one][other]->Accepted() > 0 ||
                           this->peer_relays[other][one]->Accepted() > 0;
      if (!relayed) ++pairs;
    }
  }
  return pairs;
}

}  // namespace camphorferry::soak
