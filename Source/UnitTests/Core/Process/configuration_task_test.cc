#include <gtest/gtest.h>

#include <deque>

#include "Process/process.h"

namespace camphorferry::process {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kChangeBound(4);
/// Timeout of a call to the store, apart from the time that a watch waits.
constexpr seconds kStoreTimeout(1);
/// Pause after a failed call, and the next call.
constexpr milliseconds kNextCall(600);

/// Store without a configuration, whose watches are answered by the test.
class FakeObjectStore : public connection::ObjectStore {
 public:
  struct WatchCall {
    common::Duration timeout;
    std::function<void(connection::ReadResult)> done;
  };

  void Read(const std::string& /*path*/,
            std::function<void(connection::ReadResult)> done) override {
    done(connection::StoredObject());
  }
  void Watch(const std::string& /*path*/, connection::ObjectVersion /*after*/,
             common::Duration timeout,
             std::function<void(connection::ReadResult)> done) override {
    this->watches.push_back({timeout, std::move(done)});
  }
  void Write(const std::string& /*path*/,
             connection::ObjectVersion /*if_version*/,
             const std::string& /*value*/,
             std::function<void(connection::WriteResult)> done) override {
    done(connection::StoreNoAnswer());
  }
  void ReadHosts(
      std::function<void(connection::HostListResult)> done) override {
    done(connection::StoreNoAnswer());
  }

  std::deque<WatchCall> watches;
};

class ConfigurationTaskTest : public testing::Test {
 protected:
  connection::EventLoop loop;
  FakeObjectStore store;
  EventLog events{common::HostId("own"), 16};
  ConfigurationTask task{&this->loop, &this->store, nullptr, &this->events,
                         [](const version::ConfigurationPointer&) {}};
};

// Guards against a change that is in force late because the store went silent
// and lost the watch: the same loss as in review/4.
TEST_F(ConfigurationTaskTest, StoreLosesWatch_NextCall_IsWithinTheChangeBound) {
  this->task.Start();
  this->task.SetWatching(true);
  ASSERT_EQ(this->store.watches.size(), 1U);
  EXPECT_LE(this->store.watches.front().timeout + kStoreTimeout + kNextCall,
            kChangeBound);
}

}  // namespace
}  // namespace camphorferry::process
