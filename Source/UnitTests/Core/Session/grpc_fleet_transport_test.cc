#include <gtest/gtest.h>

#include "Session/session.h"

namespace camphorferry::session {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class GrpcFleetTransportTest : public testing::Test {
 protected:
  static std::unique_ptr<FleetTransport> NewTransport(
      connection::EventLoop* loop, const std::string& name) {
    FleetHandlers handlers;
    handlers.exchange = [name](const FleetReport& report) {
      FleetReport own;
      own.host.id = common::HostId(name);
      own.proofs = report.proofs;
      own.configuration_version = report.configuration_version;
      own.store_era = report.store_era;
      return own;
    };
    handlers.admit = [](const AdmissionRequest& request) {
      AdmissionReply reply;
      if (request.workspace.Value() == "full") reply.retry_after = seconds(2);
      return reply;
    };
    handlers.read_directory = [](const DirectoryQuery& query) {
      SharedDirectory shared;
      shared.revision = {query.revision.era, query.revision.number + 1};
      shared.objects.push_back(
          {ToString(query.kind), {query.revision.era, 4}, std::nullopt});
      // Documents may contain any bytes.
      shared.objects.push_back(
          {"bytes", {query.revision.era, 5}, std::string("\0\xff", 2)});
      shared.objects.push_back(
          {"version", {query.revision.era, query.version}, std::nullopt});
      return shared;
    };
    handlers.relay_command = [loop](const CommandRelay& request,
                                    const RelayCallback& done) {
      if (request.endpoint.Value() == "lost") return;
      if (request.endpoint.Value() == "silent") {
        done(std::nullopt);
        return;
      }
      EndpointStatus status;
      status.role = request.command.kind == MemberCommandKind::kStatus
                        ? GroupRole::kPrimary
                        : GroupRole::kReplica;
      status.term = 3;
      status.received = {2, 1207};
      status.held = request.command.term;
      // The member answers later.
      loop->RunLater(milliseconds(5), [status, done] { done(status); });
    };
    return NewGrpcFleetTransport(loop, {"127.0.0.1", 0}, std::move(handlers));
  }

  static std::optional<EndpointStatus> Relay(connection::EventLoop* loop,
                                             FleetTransport* from,
                                             const FleetTransport& to,
                                             const std::string& endpoint,
                                             const MemberCommand& command) {
    std::optional<EndpointStatus> answer;
    from->RelayCommand(
        Address(to),
        {common::ServiceId("s"), common::EndpointId(endpoint), command},
        milliseconds(500), [&](const auto& status) {
          answer = status;
          loop->Stop();
        });
    loop->Run();
    return answer;
  }

  static std::string Address(const FleetTransport& transport) {
    return connection::ToString({"127.0.0.1", transport.Port()});
  }
};

TEST_F(GrpcFleetTransportTest, TwoDaemons_Exchange_CarriesReports) {
  connection::EventLoop loop;
  const auto first = NewTransport(&loop, "first");
  const auto second = NewTransport(&loop, "second");
  FleetReport report;
  report.configuration_version = 7;
  report.store_era = 3;
  report.proofs.push_back(
      {common::ServiceId("s"), {3, 1207}, milliseconds(40)});
  std::optional<FleetReport> answer;
  first->Exchange(Address(*second), report, seconds(5), [&](const auto& got) {
    answer = got;
    loop.Stop();
  });
  loop.Run();
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->host.id.Value(), "second");
  EXPECT_EQ(answer->configuration_version, 7U);
  EXPECT_EQ(answer->store_era, 3U);
  ASSERT_EQ(answer->proofs.size(), 1U);
  EXPECT_EQ(answer->proofs[0].position, (common::LogPosition{3, 1207}));
  EXPECT_GE(answer->proofs[0].age, milliseconds(40));
}

TEST_F(GrpcFleetTransportTest, TwoWorkspaces_Admit_CarriesBothAnswers) {
  connection::EventLoop loop;
  const auto requester = NewTransport(&loop, "asker");
  const auto rate_owner = NewTransport(&loop, "keeper");
  std::vector<std::optional<AdmissionReply>> replies;
  for (const char* workspace : {"free", "full"}) {
    requester->Admit(Address(*rate_owner),
                     {common::HostId("asker"), common::WorkspaceId(workspace)},
                     seconds(5), [&](const auto& reply) {
                       replies.push_back(reply);
                       loop.Stop();
                     });
    loop.Run();
  }
  ASSERT_EQ(replies.size(), 2U);
  ASSERT_TRUE(replies[0].has_value() && replies[1].has_value());
  EXPECT_FALSE(replies[0]->retry_after.has_value());
  EXPECT_EQ(replies[1]->retry_after, seconds(2));
}

TEST_F(GrpcFleetTransportTest, EachKind_ReadDirectory_CarriesItsObjects) {
  connection::EventLoop loop;
  const auto requester = NewTransport(&loop, "asker");
  const auto peer = NewTransport(&loop, "peer");
  for (const DirectoryKind kind :
       {DirectoryKind::kConfiguration, DirectoryKind::kMembers}) {
    std::optional<SharedDirectory> answer;
    requester->ReadDirectory(Address(*peer), {kind, {3, 8}, 6}, seconds(5),
                             [&](const auto& got) {
                               answer = got;
                               loop.Stop();
                             });
    loop.Run();
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->revision, (StoreRevision{3, 9}));
    ASSERT_EQ(answer->objects.size(), 3U);
    EXPECT_EQ(answer->objects[0].name, ToString(kind));
    EXPECT_FALSE(answer->objects[0].document.has_value());
    EXPECT_EQ(answer->objects[1].revision, (StoreRevision{3, 5}));
    EXPECT_EQ(answer->objects[1].document, std::string("\0\xff", 2));
    EXPECT_EQ(answer->objects[2].revision, (StoreRevision{3, 6}));
  }
}

// Guards against an operation that waits for a rate owner that no longer
// exists.
TEST_F(GrpcFleetTransportTest, EachCommand_RelayCommand_CarriesTheStatus) {
  connection::EventLoop loop;
  const auto first = NewTransport(&loop, "first");
  const auto second = NewTransport(&loop, "second");
  const auto asked = Relay(&loop, first.get(), *second, "a", {});
  ASSERT_TRUE(asked.has_value());
  EXPECT_EQ(asked->role, GroupRole::kPrimary);
  EXPECT_EQ(asked->term, 3U);
  EXPECT_EQ(asked->received, (common::LogPosition{2, 1207}));
  for (const MemberCommandKind kind :
       {MemberCommandKind::kStepDown, MemberCommandKind::kHold,
        MemberCommandKind::kResume}) {
    const auto held = Relay(&loop, first.get(), *second, "a", {kind, 4});
    ASSERT_TRUE(held.has_value());
    EXPECT_EQ(held->role, GroupRole::kReplica);
    EXPECT_EQ(held->held, 4U);
  }
}

// Guards against a promotion that waits forever for a member that no peer
// reaches, and against a process that does not end because a relayed command is
// not answered.
TEST_F(GrpcFleetTransportTest, MemberSilent_RelayCommand_CallsBackWithNothing) {
  connection::EventLoop loop;
  const auto first = NewTransport(&loop, "first");
  const auto second = NewTransport(&loop, "second");
  EXPECT_FALSE(Relay(&loop, first.get(), *second, "silent", {}).has_value());
  EXPECT_FALSE(Relay(&loop, first.get(), *second, "lost", {}).has_value());
}

TEST_F(GrpcFleetTransportTest, OwnerGone_Admit_CallsBackWithNothing) {
  connection::EventLoop loop;
  const auto requester = NewTransport(&loop, "asker");
  auto gone = NewTransport(&loop, "gone");
  const std::string address = Address(*gone);
  gone.reset();
  bool answered = true;
  requester->Admit(address, {common::HostId("asker"), common::WorkspaceId("w")},
                   milliseconds(500), [&](const auto& reply) {
                     answered = reply.has_value();
                     loop.Stop();
                   });
  loop.Run();
  EXPECT_FALSE(answered);
}

// Guards against a process that hangs until it is killed because a peer's call
// was in progress when its event loop ended.
TEST_F(GrpcFleetTransportTest,
       CallInProgressWhenTheLoopEnds_Destruction_Returns) {
  connection::EventLoop caller_loop;
  connection::EventLoop ended_loop;
  const auto caller = NewTransport(&caller_loop, "caller");
  auto ended = NewTransport(&ended_loop, "ended");
  bool answered = false;
  caller->Exchange(Address(*ended), FleetReport(), seconds(20),
                   [&](const std::optional<FleetReport>& report) {
                     answered = report.has_value();
                     caller_loop.Stop();
                   });
  // The call arrives, but the loop that would serve it is not run.
  caller_loop.RunLater(milliseconds(300), [&] { caller_loop.Stop(); });
  caller_loop.Run();
  const common::SteadyTime begun = common::SteadyNow();
  ended.reset();
  EXPECT_LT(common::SteadyNow() - begun, seconds(5));
  EXPECT_FALSE(answered);
}

// Guards against a process that is aborted because a thread of gRPC releases
// the last channel, which joins that thread.
TEST_F(GrpcFleetTransportTest, CallEndsAtDestruction_Destruction_Returns) {
  constexpr int kRepetitions = 2000;
  int ended = 0;
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    connection::EventLoop loop;
    const auto caller = NewTransport(&loop, "caller");
    caller->Exchange("127.0.0.1:1", FleetReport(), seconds(20),
                     [&](const std::optional<FleetReport>&) { ++ended; });
  }
  EXPECT_EQ(ended, 0);
}

}  // namespace
}  // namespace camphorferry::session
