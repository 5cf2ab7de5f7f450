#ifndef CAMPHORFERRY_UNIT_TESTS_PLATFORM_STORE_FIXTURE_H_
#define CAMPHORFERRY_UNIT_TESTS_PLATFORM_STORE_FIXTURE_H_

#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <string>

#include "fake_store.h"
#include "store_client.h"
#include "wire_format.h"

namespace camphorferry::platform {

/// Daemons of one fleet at a fake store, with all parts between them.
class StoreTest : public testing::Test {
 protected:
  /// One daemon and its client of the store.
  struct Daemon {
    std::unique_ptr<StoreClient> client;
    std::unique_ptr<session::Proxy> proxy;
  };

  // The fake store writes to sockets that it has shut down itself.
  StoreTest() { std::signal(SIGPIPE, SIG_IGN); }

  ~StoreTest() override { this->RunFor(std::chrono::milliseconds(1)); }

  void RunFor(common::Duration time) {
    const auto timer = this->loop.After(time, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  Daemon NewDaemon(const std::string& host) {
    session::ProxySettings settings;
    settings.location.host = common::HostId(host);
    settings.location.domain = common::FailureDomainId("zone");
    settings.clients = {"127.0.0.1", 0};
    settings.readiness = {"127.0.0.1", 0};
    settings.readiness_path = "/ready";
    settings.peers = {"127.0.0.1", 0};
    Daemon daemon;
    daemon.client = std::make_unique<StoreClient>(
        &this->loop, this->store.Address(), this->store.Address());
    daemon.proxy = std::make_unique<session::Proxy>(
        &this->loop, &this->format, daemon.client.get(), settings);
    return daemon;
  }

  /// Writes a configuration with a route of the version's name.
  void PutConfiguration(std::uint64_t version) {
    session::DirectoryConfiguration configuration;
    configuration.version = version;
    session::DatabaseRoute route;
    route.service = common::ServiceId("svc");
    configuration.routes["route" + std::to_string(version)] = route;
    configuration.services[route.service].max_connections = 16;
    configuration.workspaces[common::WorkspaceId("tenant")] = {100, 100};
    configuration.workspace_of_key["key"] = common::WorkspaceId("tenant");
    this->store.Put(configuration);
  }

  static std::uint64_t VersionOf(const Daemon& daemon) {
    const auto configuration = daemon.proxy->Configuration();
    return configuration == nullptr ? 0 : configuration->version;
  }

  connection::EventLoop loop;
  FakeStore store{&this->loop,
                  [](const std::string&, const std::string&) { return true; }};
  WireFormat format;
};

}  // namespace camphorferry::platform

#endif  // CAMPHORFERRY_UNIT_TESTS_PLATFORM_STORE_FIXTURE_H_
