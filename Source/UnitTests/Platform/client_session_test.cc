#include <gtest/gtest.h>
#include <sys/socket.h>

#include "test_clients.h"
#include "wire_format.h"

namespace camphorferry::platform {
namespace {

/// A session with a client that has a key, without databases.
class ClientSessionTest : public testing::Test,
                          public session::SessionDelegate {
 protected:
  ClientSessionTest() {
    int sockets[2] = {};
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), 0);
    this->client =
        std::make_shared<session::MessageStream>(&this->loop, sockets[0]);
    this->client->Start({});
    this->configuration->routes["open"].open = true;
    this->GiveKeyTo("tenant");
    this->tested = std::make_shared<session::ClientSession>(
        &this->loop, &this->format, this, sockets[1]);
    this->tested->Start();
    this->Send("STARTUP open key");
  }
  ~ClientSessionTest() override { this->client->Close(); }

  void Send(const std::string& line) {
    this->client->Send(line + "\r\n");
    const auto timer = this->loop.After(std::chrono::milliseconds(20),
                                        [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  void GiveKeyTo(const std::string& workspace) {
    this->configuration->workspace_of_key["key"] =
        common::WorkspaceId(workspace);
  }

  std::string CountedFor() const {
    return this->tested->Usage().workspace.Value();
  }

  std::shared_ptr<const session::DirectoryConfiguration> Configuration()
      const override {
    return this->configuration;
  }
  std::shared_ptr<session::ServiceGroup> GroupOf(
      const common::ServiceId&) override {
    return nullptr;
  }
  void Admit(const common::WorkspaceId&,
             std::function<void(session::AdmissionDecision)> done) override {
    done({});
  }
  void CountAnswer(const session::DatabaseRoute&,
                   std::optional<session::StatementError>,
                   common::Duration) override {}
  std::shared_ptr<session::BufferMeter> Meter() override { return this->meter; }
  std::shared_ptr<session::LargeMessageQueue> LargeMessages() override {
    return this->large_messages;
  }
  void CheckMeter() override {}
  bool ClosesSessions() const override { return false; }
  void OnSessionEnded(session::ClientSession*) override {}

  connection::EventLoop loop;
  WireFormat format;
  std::shared_ptr<session::DirectoryConfiguration> configuration =
      std::make_shared<session::DirectoryConfiguration>();
  std::shared_ptr<session::BufferMeter> meter =
      std::make_shared<session::BufferMeter>();
  std::shared_ptr<session::LargeMessageQueue> large_messages =
      std::make_shared<session::LargeMessageQueue>(1);
  std::shared_ptr<session::MessageStream> client;
  std::shared_ptr<session::ClientSession> tested;
};

// Guards against an idle session that counts in the room of a workspace that
// doesn't have its key any more.
TEST_F(ClientSessionTest, IdleSession_KeyMovedOrWithdrawn_CountsForNewCaller) {
  EXPECT_EQ(this->CountedFor(), "tenant");
  this->GiveKeyTo("other");
  EXPECT_EQ(this->CountedFor(), "other");
  this->configuration->workspace_of_key.clear();
  EXPECT_EQ(this->CountedFor(), "");
}

// Guards against a transaction that counts for another caller than the one that
// its database knows.
TEST_F(ClientSessionTest, OpenTransaction_KeyMoved_CountsForItsCaller) {
  this->Send("QUERY 1 BEGIN");
  this->GiveKeyTo("other");
  EXPECT_EQ(this->CountedFor(), "tenant");
}

}  // namespace
}  // namespace camphorferry::platform
