#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "crowd.h"
#include "fake_database.h"
#include "fake_store.h"
#include "proxy_process.h"

namespace camphorferry::client_limits {
namespace {

using platform::FakeDatabase;

/// The machine of the proxy: less memory than the smallest in use, so that a
/// small crowd can use it up.
constexpr soak::MachineLimits kMachine{64, 1024};
constexpr std::size_t kMemoryBound = kMachine.memory_mb * 1024 * 1024;
/// A machine on which a small crowd can use up the descriptors, and the most
/// that may be open there.
constexpr soak::MachineLimits kFewDescriptors{64, 400};
constexpr std::size_t kDescriptorBound = 380;
constexpr std::size_t kCrowdSize = 64;
constexpr std::size_t kConnectionCrowdSize = 450;
/// Just below the largest message of the protocol, 1 MiB.
constexpr std::size_t kLegalBytes = 1'000'000;
/// The crowd has done what it can when it has made no progress for this long.
constexpr std::chrono::milliseconds kStall(2000);
constexpr std::chrono::milliseconds kSlice(20);

/// A proxy process in front of one service of three fake databases, on loopback
/// addresses.
class ClientLimitsTest : public testing::Test {
 protected:
  ClientLimitsTest()
      : folder(testing::TempDir() + "client_limits_test_" +
               std::to_string(common::WallNow().time_since_epoch().count())),
        store(&this->loop,
              [](const std::string&, const std::string&) { return false; }) {
    std::filesystem::create_directories(this->folder);
    this->primary.primary = true;
    this->primary.on_commit = [this] {
      for (FakeDatabase* replica : {&this->replica_a, &this->replica_b}) {
        replica->position = this->primary.position;
      }
    };
    for (FakeDatabase* database : this->Databases()) {
      this->store.Put(database->Registration());
    }
    this->PutConfiguration();
  }

  ~ClientLimitsTest() override {
    this->proxy.reset();
    std::filesystem::remove_all(this->folder);
  }

  std::vector<FakeDatabase*> Databases() {
    return {&this->primary, &this->replica_a, &this->replica_b};
  }

  void PutConfiguration() {
    session::DirectoryConfiguration configuration;
    configuration.version = 1;
    configuration.transaction_idle_limit = std::chrono::seconds(2);
    const common::ServiceId service("svc");
    configuration.services[service].max_connections = 64;
    session::DatabaseRoute route;
    route.service = service;
    route.guarantee = session::ReadGuarantee::kLatest;
    route.statement_timeout = std::chrono::seconds(2);
    route.latency_objective = std::chrono::seconds(2);
    configuration.routes["latest"] = route;
    const common::WorkspaceId workspace("tenant");
    configuration.workspaces[workspace] = {100000, 100000};
    configuration.workspace_of_key["key"] = workspace;
    this->store.Put(configuration);
  }

  void StartProxy(soak::MachineLimits limits) {
    this->proxy = std::make_unique<soak::ProxyProcess>(
        CAMPHORFERRY_PROXY, this->folder, 0, this->store.Address(),
        this->store.Address(), limits);
    this->proxy->Start();
    this->ExpectOrdinaryRequestAnswered();
  }

  void RunFor(common::Duration time) {
    const auto timer = this->loop.After(time, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  /// Lets the crowd do what it can.
  void Play(Crowd* crowd) {
    const auto pump = this->loop.Every(std::chrono::milliseconds(1), [&] {
      if (crowd->Step()) this->last_progress = common::SteadyNow();
    });
    this->last_progress = common::SteadyNow();
    while (common::SteadyNow() - this->last_progress < kStall) {
      this->RunFor(kSlice);
    }
  }

  /// Sends one write in a session of its own. Returns whether it succeeded.
  bool TryOrdinaryRequest() {
    auto stream = std::make_shared<session::MessageStream>(
        &this->loop, this->proxy->ClientAddress());
    bool opened = false;
    bool served = false;
    bool ended = false;
    session::StreamEvents events;
    events.message = [&](std::string_view line) {
      if (!opened && line.starts_with("READY")) {
        opened = true;
        stream->Send("QUERY ordinary WRITE item small\r\n");
        return;
      }
      served = served || line.starts_with("COMPLETE");
      ended = served || line.starts_with("ERROR");
    };
    events.closed = [&] { ended = true; };
    stream->Start(std::move(events));
    stream->Send("STARTUP latest key\r\n");
    constexpr int kSlices = 250;
    for (int slice = 0; slice < kSlices && !ended; ++slice) {
      this->RunFor(kSlice);
    }
    stream->Close();
    return served;
  }

  /// Retries like a client, until the test's own time limit.
  void ExpectOrdinaryRequestAnswered() {
    constexpr int kAttempts = 8;
    bool served = false;
    for (int attempt = 0; attempt < kAttempts && !served; ++attempt) {
      served = this->TryOrdinaryRequest();
      if (!served) this->RunFor(kSlice);
    }
    EXPECT_TRUE(served);
  }

  /// Checks what must hold while the crowd is still connected.
  void ExpectUnharmed(std::size_t descriptor_bound) {
    this->ExpectOrdinaryRequestAnswered();
    ASSERT_TRUE(this->proxy->Running());
    EXPECT_LE(this->proxy->PeakResidentBytes().value_or(0), kMemoryBound);
    EXPECT_LE(this->proxy->OpenDescriptors(), descriptor_bound);
  }

  /// Plays a crowd of clients against a proxy and checks it.
  void PlayAndCheck(CrowdBehavior behavior) {
    this->StartProxy(kMachine);
    Crowd crowd(this->proxy->ClientAddress(), kCrowdSize, std::move(behavior));
    this->Play(&crowd);
    this->ExpectUnharmed(kMachine.descriptors);
  }

  /// A session's first message and one statement.
  static std::string Session(const std::string& statement) {
    return "STARTUP latest key\r\nQUERY crowd " + statement + "\r\n";
  }

  /// Stores a row that each read of the item returns.
  void StoreRow(const std::string& item, std::size_t bytes) {
    for (FakeDatabase* database : this->Databases()) {
      database->log.push_back({"0", item, std::string(bytes, 'x')});
    }
  }

  connection::EventLoop loop;
  std::string folder;
  platform::FakeStore store;
  FakeDatabase primary{&this->loop, "svc", "p"};
  FakeDatabase replica_a{&this->loop, "svc", "a"};
  FakeDatabase replica_b{&this->loop, "svc", "b"};
  std::unique_ptr<soak::ProxyProcess> proxy;
  common::SteadyTime last_progress;
};

// Guards against a proxy that fails a single message inside the limits.
TEST_F(ClientLimitsTest, LegalMessage_Alone_IsServed) {
  this->StartProxy(kMachine);
  Crowd one(this->proxy->ClientAddress(), 1,
            {Session("WRITE item " + std::string(kLegalBytes, 'x'))});
  this->Play(&one);
  ASSERT_FALSE(this->primary.log.empty());
  const bool written =
      std::any_of(this->primary.log.begin(), this->primary.log.end(),
                  [](const platform::Commit& commit) {
                    return commit.data.size() == kLegalBytes;
                  });
  EXPECT_TRUE(written);
}

// Guards against running out of memory when many clients send the largest
// message at once.
TEST_F(ClientLimitsTest, LegalMessages_AllAtOnce_ProxyStaysWithinMemory) {
  this->PlayAndCheck({Session("WRITE item " + std::string(kLegalBytes, 'x'))});
}

// Guards against running out of memory when many large messages arrive in small
// pieces, so that all are incomplete for long.
TEST_F(ClientLimitsTest, LegalMessages_SmallPieces_ProxyStaysWithinMemory) {
  this->PlayAndCheck(
      {Session("WRITE item " + std::string(kLegalBytes, 'x')), 4096});
}

// Guards against running out of memory when many clients stop in the middle of
// a large message.
TEST_F(ClientLimitsTest, LegalMessages_StopHalfWay_ProxyStaysWithinMemory) {
  this->PlayAndCheck({"STARTUP latest key\r\nQUERY crowd WRITE item " +
                      std::string(kLegalBytes, 'x')});
}

// Guards against running out of memory when many clients send messages far over
// the limit.
TEST_F(ClientLimitsTest, OversizedMessages_AllAtOnce_ProxyStaysWithinMemory) {
  this->PlayAndCheck(
      {Session("WRITE item " + std::string(8 * kLegalBytes, 'x'))});
}

// Guards against running out of memory when clients send many reads ahead and
// don't read the responses.
TEST_F(ClientLimitsTest, ReadsSentAhead_NotRead_ProxyStaysWithinMemory) {
  constexpr std::size_t kRowBytes = 200'000;
  constexpr int kReads = 100;
  this->StoreRow("big", kRowBytes);
  std::string bytes = "STARTUP latest key\r\n";
  for (int number = 0; number < kReads; ++number) {
    bytes += "QUERY crowd" + std::to_string(number) + " READ big\r\n";
  }
  this->PlayAndCheck({bytes, bytes.size(), 0});
}

// Guards against running out of memory when many clients ask for large rows and
// read them very slowly.
TEST_F(ClientLimitsTest, LargeRows_ReadSlowly_ProxyStaysWithinMemory) {
  this->StoreRow("big", kLegalBytes);
  constexpr std::size_t kSlowReadBytes = 16;
  this->StartProxy(kMachine);
  std::string bytes = Session("READ big");
  for (int number = 1; number < 4; ++number) {
    bytes += "QUERY crowd" + std::to_string(number) + " READ big\r\n";
  }
  Crowd crowd(this->proxy->ClientAddress(), kCrowdSize,
              {bytes, 64 * 1024, kSlowReadBytes});
  // Reading never ends, so the crowd plays for a fixed time.
  constexpr std::chrono::seconds kLength(6);
  const auto pump =
      this->loop.Every(std::chrono::milliseconds(20), [&] { crowd.Step(); });
  this->RunFor(kLength);
  this->ExpectUnharmed(kMachine.descriptors);
}

// Guards against running out of memory when many sessions each keep a prepared
// statement of the largest size.
TEST_F(ClientLimitsTest, LargePreparedStatements_Kept_ProxyStaysWithinMemory) {
  this->PlayAndCheck(
      {Session("PREPARE name WRITE " + std::string(kLegalBytes, 'x'))});
}

// Guards against running out of descriptors when a crowd connects and sends
// nothing.
TEST_F(ClientLimitsTest, SilentConnections_Many_DescriptorsAreLeft) {
  this->StartProxy(kFewDescriptors);
  Crowd crowd(this->proxy->ClientAddress(), kConnectionCrowdSize, {"", 1, 1});
  this->Play(&crowd);
  this->ExpectUnharmed(kDescriptorBound);
}

// Guards against running out of descriptors when a crowd stops in the middle of
// its first message.
TEST_F(ClientLimitsTest, HalfFirstMessages_Many_DescriptorsAreLeft) {
  this->StartProxy(kFewDescriptors);
  Crowd crowd(this->proxy->ClientAddress(), kConnectionCrowdSize,
              {"STARTUP lat", 1, 1});
  this->Play(&crowd);
  this->ExpectUnharmed(kDescriptorBound);
}

// Guards against running out of descriptors when a crowd opens sessions and
// keeps them.
TEST_F(ClientLimitsTest, OpenSessions_Many_DescriptorsAreLeft) {
  this->StartProxy(kFewDescriptors);
  Crowd crowd(this->proxy->ClientAddress(), kConnectionCrowdSize,
              {"STARTUP latest key\r\n"});
  this->Play(&crowd);
  this->ExpectUnharmed(kDescriptorBound);
}

}  // namespace
}  // namespace camphorferry::client_limits
