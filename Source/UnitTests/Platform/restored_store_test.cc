#include <gtest/gtest.h>

#include <csignal>
#include <optional>
#include <set>
#include <string>

#include "fake_store.h"
#include "store_client.h"

namespace camphorferry::platform {
namespace {

using session::DirectoryConfiguration;
using session::DirectoryKind;
using session::DirectoryValue;
using session::DirectoryWatcher;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Watchers of a store that comes back from a copy, with all parts between them
/// and the store's HTTP interface.
class RestoredStoreTest : public testing::Test {
 protected:
  // The fake store writes to sockets that it has shut down itself.
  RestoredStoreTest() { std::signal(SIGPIPE, SIG_IGN); }

  ~RestoredStoreTest() override { this->RunFor(milliseconds(1)); }

  void RunFor(common::Duration time) {
    const auto timer = this->loop.After(time, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  void PutConfiguration(std::uint64_t version) {
    DirectoryConfiguration configuration;
    configuration.version = version;
    this->store.Put(configuration);
  }

  void PutMember(const std::string& id) {
    session::GroupMember member;
    member.id = common::EndpointId(id);
    member.service = common::ServiceId("svc");
    member.address = {"127.0.0.1", 9};
    member.domain = common::FailureDomainId("zone");
    this->store.Put(member);
  }

  void Start() {
    this->configurations.Start();
    this->members.Start();
    this->RunFor(milliseconds(300));
  }

  DirectoryWatcher NewWatcher(DirectoryKind kind,
                              DirectoryWatcher::Observer observer) {
    return {&this->loop,
            &this->client,
            &this->metrics,
            {kind, milliseconds(300), {milliseconds(2000)}},
            std::move(observer)};
  }

  connection::EventLoop loop;
  FakeStore store{&this->loop,
                  [](const std::string&, const std::string&) { return true; }};
  StoreClient client{&this->loop, this->store.Address(), this->store.Address()};
  session::ProxyMetrics metrics;
  std::uint64_t version = 0;
  std::set<std::string> member_names;
  DirectoryWatcher configurations =
      this->NewWatcher(DirectoryKind::kConfiguration, [this](const auto& all) {
        for (const auto& [name, value] : all) {
          this->version =
              std::get<std::shared_ptr<const DirectoryConfiguration>>(value)
                  ->version;
        }
      });
  DirectoryWatcher members =
      this->NewWatcher(DirectoryKind::kMembers, [this](const auto& all) {
        this->member_names.clear();
        for (const auto& [name, value] : all) this->member_names.insert(name);
      });
};

// Guards against ignoring the changes of a store that gives revisions out
// again.
TEST_F(RestoredStoreTest, RevisionsGivenOutAgain_LaterChanges_AreReported) {
  this->PutConfiguration(1);
  this->PutMember("a");
  const std::uint64_t copied = this->store.Revision();
  this->PutConfiguration(2);
  this->PutConfiguration(3);
  this->PutMember("b");
  this->Start();
  ASSERT_EQ(this->version, 3U);
  this->store.Restore(copied);
  this->PutConfiguration(4);
  this->PutMember("c");
  this->RunFor(seconds(3));
  EXPECT_EQ(this->version, 4U);
  EXPECT_EQ(this->member_names, (std::set<std::string>{"a", "c"}));
}

// Guards against calls without pause to a store that lacks the revision of
// every watch.
TEST_F(RestoredStoreTest, RevisionUnknown_Calls_AreFew) {
  this->PutConfiguration(1);
  const std::uint64_t copied = this->store.Revision();
  this->PutConfiguration(2);
  this->Start();
  this->store.Restore(copied);
  const std::size_t before = this->store.Calls();
  this->RunFor(seconds(3));
  // A listing and at most two watches of each kind.
  EXPECT_LE(this->store.Calls() - before, 6U);
}

// Guards against dropping a database that registers again as soon as the store
// is back.
TEST_F(RestoredStoreTest, MemberLostAndRegisteredAgain_Members_KeepIt) {
  this->PutMember("a");
  const std::uint64_t copied = this->store.Revision();
  this->PutMember("b");
  this->Start();
  this->store.Restore(copied);
  this->RunFor(milliseconds(150));
  EXPECT_EQ(this->member_names, (std::set<std::string>{"a", "b"}));
  this->PutMember("b");
  this->RunFor(seconds(1));
  EXPECT_EQ(this->member_names, (std::set<std::string>{"a", "b"}));
}

}  // namespace
}  // namespace camphorferry::platform
