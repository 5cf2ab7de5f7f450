#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include <thread>

#include "Session/peer_clocks.h"
#include "Session/session.h"
#include "fleet.grpc.pb.h"

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A daemon whose handlers note that they were called, and a caller whose calls
/// have any expiry and seconds of time left, as after a link that has held them
/// back.
class CallExpiryTest : public testing::Test {
 protected:
  CallExpiryTest() {
    FleetHandlers handlers;
    handlers.exchange = [](const FleetReport&) { return FleetReport(); };
    handlers.admit = [this](const AdmissionRequest&) {
      this->served.emplace_back("admission");
      return AdmissionReply();
    };
    handlers.relay_command = [this](const CommandRelay&,
                                    const RelayCallback& done) {
      this->served.emplace_back("command");
      done(std::nullopt);
    };
    handlers.run_statement = [this](const ForwardedStatement& request,
                                    const ForwardedCallback& done) {
      this->expiries.push_back(request.expires_at);
      done({AttemptFailure::kStopping, 0});
    };
    handlers.end_transaction = [this](const TransactionEnd&) {
      this->served.emplace_back("end");
    };
    handlers.close_term = [this](const CloseTermRequest&) {
      this->served.emplace_back("closing");
      return CloseTermReply();
    };
    this->called = NewGrpcFleetTransport(&this->loop, {"127.0.0.1", 0},
                                         std::move(handlers));
    this->address = connection::ToString({"127.0.0.1", this->called->Port()});
    this->stub = fleet::v1::Fleet::NewStub(
        grpc::CreateChannel(this->address, grpc::InsecureChannelCredentials()));
    fleet::v1::Report reply;
    this->Call(std::nullopt, [&](grpc::ClientContext* context) {
      return this->stub->Exchange(context, {}, &reply);
    });
    this->clock = {reply.clock().process(),
                   milliseconds(reply.clock().time_ms())};
  }

  /// Makes a blocking call in another thread while the loop runs.
  grpc::StatusCode Call(
      const std::optional<ProcessTime>& expiry,
      const std::function<grpc::Status(grpc::ClientContext*)>& call) {
    grpc::Status status;
    std::thread caller([&] {
      grpc::ClientContext context;
      context.set_deadline(std::chrono::system_clock::now() + seconds(5));
      if (expiry.has_value()) context.AddMetadata("expires", ToText(*expiry));
      status = call(&context);
      this->loop.Post([this] { this->loop.Stop(); });
    });
    this->loop.Run();
    caller.join();
    return status.error_code();
  }

  grpc::StatusCode RelayCommand(const std::optional<ProcessTime>& expiry) {
    return this->Call(expiry, [this](grpc::ClientContext* context) {
      fleet::v1::RelayReply reply;
      return this->stub->RelayCommand(context, {}, &reply);
    });
  }

  ProcessTime InPast() const {
    return {this->clock.process, this->clock.time - milliseconds(1)};
  }
  ProcessTime InFuture() const {
    return {this->clock.process, this->clock.time + seconds(60)};
  }

  connection::EventLoop loop;
  std::vector<std::string> served;
  std::vector<std::optional<common::SteadyTime>> expiries;
  std::unique_ptr<FleetTransport> called;
  std::string address;
  std::unique_ptr<fleet::v1::Fleet::Stub> stub;
  /// The clock of the daemon as it has stated it.
  ProcessTime clock;
};

// Guards against calls that are served long after their caller has given up:
// gRPC states the time that remains, so a call that a link has held back still
// has all of it.
TEST_F(CallExpiryTest, ExpiredCalls_Arrive_AreNotServed) {
  EXPECT_EQ(this->RelayCommand(this->InPast()),
            grpc::StatusCode::DEADLINE_EXCEEDED);
  EXPECT_EQ(this->Call(this->InPast(),
                       [this](grpc::ClientContext* context) {
                         fleet::v1::AdmissionReply reply;
                         return this->stub->Admit(context, {}, &reply);
                       }),
            grpc::StatusCode::DEADLINE_EXCEEDED);
  EXPECT_EQ(this->Call(this->InPast(),
                       [this](grpc::ClientContext* context) {
                         fleet::v1::CloseTermReply reply;
                         return this->stub->CloseTerm(context, {}, &reply);
                       }),
            grpc::StatusCode::DEADLINE_EXCEEDED);
  EXPECT_TRUE(this->served.empty());
}

// Guards against a call that a link delivers to the next process at an address.
TEST_F(CallExpiryTest, CallForFormerProcess_Arrives_IsNotServed) {
  ProcessTime expiry = this->InFuture();
  ++expiry.process;
  EXPECT_EQ(this->RelayCommand(expiry), grpc::StatusCode::DEADLINE_EXCEEDED);
  EXPECT_TRUE(this->served.empty());
}

// Guards against calls that are refused in time, or because their caller is of
// an earlier version.
TEST_F(CallExpiryTest, OtherCalls_Arrive_AreServed) {
  EXPECT_EQ(this->RelayCommand(this->InFuture()), grpc::StatusCode::OK);
  EXPECT_EQ(this->RelayCommand(std::nullopt), grpc::StatusCode::OK);
  EXPECT_EQ(this->served.size(), 2U);
}

// Guards against a refusal of a late statement that leaves open whether it has
// run: its handler has to know.
TEST_F(CallExpiryTest, ExpiredStatement_Arrives_IsKnownToBeLate) {
  fleet::v1::StatementReply reply;
  const auto run = [&](grpc::ClientContext* context) {
    return this->stub->RunStatement(context, {}, &reply);
  };
  EXPECT_EQ(this->Call(this->InPast(), run), grpc::StatusCode::OK);
  EXPECT_EQ(this->Call(std::nullopt, run), grpc::StatusCode::OK);
  ASSERT_EQ(this->expiries.size(), 2U);
  ASSERT_TRUE(this->expiries[0].has_value());
  EXPECT_LT(*this->expiries[0], common::SteadyNow());
  EXPECT_FALSE(this->expiries[1].has_value());
}

// Guards against a daemon that doesn't state when its calls expire.
TEST_F(CallExpiryTest, KnownPeer_RunStatement_StatesExpiry) {
  const auto caller =
      NewGrpcFleetTransport(&this->loop, {"127.0.0.1", 0}, FleetHandlers());
  caller->Exchange(this->address, {}, seconds(2),
                   [this](const auto&) { this->loop.Stop(); });
  this->loop.Run();
  const common::SteadyTime asked = common::SteadyNow();
  caller->RunStatement(this->address, {}, seconds(3),
                       [this](const auto&) { this->loop.Stop(); });
  this->loop.Run();
  ASSERT_EQ(this->expiries.size(), 1U);
  ASSERT_TRUE(this->expiries[0].has_value());
  EXPECT_GT(*this->expiries[0], asked + seconds(2));
  EXPECT_LE(*this->expiries[0], common::SteadyNow() + seconds(3));
}

}  // namespace
}  // namespace camphorferry::session
