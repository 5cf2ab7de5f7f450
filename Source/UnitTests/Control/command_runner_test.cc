#include "Control/command_runner.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace camphorferry::control {
namespace {

using connection::HttpRequest;
using connection::HttpResponse;
using connection::HttpResult;
using nlohmann::json;
using version::Configuration;

/// Simulates a daemon and its store with one configuration.
class FakeDaemon {
 public:
  HttpResult Answer(const HttpRequest& request) {
    if (request.path == "/operator/v1/status") {
      return Response(200,
                      json{{"configuration_version", this->current.version}});
    }
    if (request.path == "/operator/v1/configuration") {
      return Response(200, ConfigurationToJson(this->current));
    }
    const json body = json::parse(request.body);
    const Configuration declared =
        version::DeclarationsFromJson(body.at("declarations"));
    if (request.path == "/operator/v1/plan") {
      return Response(200, PlanToJson(MakePlan(this->current, declared)));
    }
    return this->Apply(declared, body.at("digest").get<std::string>());
  }

  Configuration current;
  bool lose_answer = false;

 private:
  static HttpResponse Response(int status, const json& body) {
    HttpResponse response;
    response.status = status;
    response.body = body.dump();
    return response;
  }

  HttpResult Apply(const Configuration& declared, const std::string& digest) {
    const version::ApplyDecision decision =
        DecideApply(this->current, declared, digest);
    if (const auto* write =
            std::get_if<version::WriteConfiguration>(&decision)) {
      this->current = write->next;
      if (this->lose_answer) return connection::HttpFailure::kNoAnswer;
      return Response(
          200, {{"version", write->next.version}, {"result", "applied"}});
    }
    if (const auto* applied = std::get_if<version::AlreadyApplied>(&decision)) {
      return Response(
          200, {{"version", applied->version}, {"result", "already_applied"}});
    }
    return Response(
        409, {{"reason", "stale"}, {"base_version", this->current.version}});
  }
};

class CommandRunnerTest : public testing::Test {
 protected:
  void SetUp() override {
    this->daemon.current.version = 4;
    const common::WorkspaceId workspace("trust");
    this->daemon.current.workspaces[workspace] = version::Workspace{100, 20, 1};
    this->daemon.current.keys[common::KeyId("office")] =
        version::Key{workspace, common::Sha256Hex("secret")};
    std::filesystem::remove_all(this->directory);
    std::filesystem::create_directory(this->directory);
  }

  void TearDown() override { std::filesystem::remove_all(this->directory); }

  CommandResult Run(Command command) {
    CommandLine line;
    line.command = std::move(command);
    line.operators = this->operators;
    const auto transport = [this](const connection::SocketAddress& address,
                                  const HttpRequest& request,
                                  common::Duration /*timeout*/) {
      return this->daemons.at(address.port).Answer(request);
    };
    const auto random = [] {
      return std::array<unsigned char, version::kKeyBytes>{};
    };
    return CommandRunner(line, transport, random).Run();
  }

  Sources WriteDeclarations(const std::string& text) const {
    std::ofstream(this->directory / "declarations.toml") << text;
    return {this->directory};
  }

  // Includes the process id, because tests run in parallel processes.
  const std::filesystem::path directory =
      std::filesystem::path(testing::TempDir()) /
      ("camphorferry_control." + std::to_string(getpid()));
  const common::KeyId key_id{"office"};
  std::vector<connection::SocketAddress> operators{{"127.0.0.1", 0}};
  std::vector<FakeDaemon> daemons{2};
  FakeDaemon& daemon = this->daemons.front();
};

// Guards against a digest that is shown by plan but not accepted by apply.
TEST_F(CommandRunnerTest, Plan_ThenApply_PutsDeclarationsInForce) {
  const Sources sources =
      this->WriteDeclarations("[workspace.trust]\nrate = 50\nburst = 20\n");
  const CommandResult plan = this->Run(PlanCommand{sources});
  EXPECT_NE(plan.text.find("rate: 100 -> 50"), std::string::npos);
  EXPECT_NE(plan.text.find("! key_withdrawn: key office"), std::string::npos);
  const auto digest = plan.document.at("digest").get<std::string>();
  const CommandResult apply = this->Run(ApplyCommand{sources, digest});
  EXPECT_EQ(apply.exit_code, ExitCode::kOk);
  EXPECT_EQ(this->daemon.current.version, 5U);
  EXPECT_TRUE(this->daemon.current.keys.empty());
}

// Guards against applying a plan after another operator has changed the
// configuration.
TEST_F(CommandRunnerTest, ConfigurationChanged_Apply_ExitsWithPlanStale) {
  const Sources sources =
      this->WriteDeclarations("[workspace.trust]\nrate = 50\nburst = 20\n");
  const CommandResult plan = this->Run(PlanCommand{sources});
  this->daemon.current.version = 5;
  const CommandResult apply = this->Run(
      ApplyCommand{sources, plan.document.at("digest").get<std::string>()});
  EXPECT_EQ(apply.exit_code, ExitCode::kPlanStale);
  EXPECT_EQ(apply.document.at("base_version"), 5);
}

// Guards against sending invalid declarations to a daemon.
TEST_F(CommandRunnerTest, FaultyFile_Plan_ReportsFaultsLocally) {
  const CommandResult plan = this->Run(
      PlanCommand{this->WriteDeclarations("[workspace.trust]\nrate = 0\n")});
  EXPECT_EQ(plan.exit_code, ExitCode::kInvalidInput);
  EXPECT_EQ(plan.document.at("faults").size(), 2U);
}

// Guards against a key that is not accepted after its declaration was applied,
// and against a declaration that contains the text of the key.
TEST_F(CommandRunnerTest, KeysIssue_DeclarationApplied_KeyWorks) {
  const CommandResult issued = this->Run(
      KeysIssueCommand{common::WorkspaceId("trust"), common::KeyId("new.k")});
  const auto key = issued.document.at("key").get<std::string>();
  const auto declaration = issued.document.at("declaration").get<std::string>();
  EXPECT_EQ(declaration.find(key), std::string::npos);
  const Configuration declared = version::ParseDeclarations(
      {{"f", "[workspace.trust]\nrate = 1\nburst = 1\n" + declaration}});
  EXPECT_EQ(version::KeyRing(declared).WorkspaceOf(key),
            common::WorkspaceId("trust"));
  EXPECT_TRUE(declared.keys.contains(common::KeyId("new.k")));
}

// Guards against a withdrawal that changes other objects or takes effect before
// it is confirmed.
TEST_F(CommandRunnerTest, KeysWithdraw_Confirmed_RemovesOnlyTheKey) {
  Configuration expected = this->daemon.current;
  const CommandResult plan =
      this->Run(KeysWithdrawCommand{this->key_id, std::nullopt});
  EXPECT_EQ(this->daemon.current, expected);
  const auto digest = plan.document.at("digest").get<std::string>();
  const CommandResult applied =
      this->Run(KeysWithdrawCommand{this->key_id, digest});
  EXPECT_EQ(applied.exit_code, ExitCode::kOk);
  expected.version = 5;
  expected.keys.clear();
  expected.applied_plans = {digest};
  EXPECT_EQ(this->daemon.current, expected);
}

// Guards against a withdrawal that cannot be confirmed again after its answer
// was lost.
TEST_F(CommandRunnerTest, KeysWithdrawAnswerLost_Repeated_IsAlreadyApplied) {
  const CommandResult plan =
      this->Run(KeysWithdrawCommand{this->key_id, std::nullopt});
  const KeysWithdrawCommand confirm{
      this->key_id, plan.document.at("digest").get<std::string>()};
  this->daemon.lose_answer = true;
  EXPECT_EQ(this->Run(confirm).exit_code, ExitCode::kNoAnswer);
  const CommandResult repeated = this->Run(confirm);
  EXPECT_EQ(repeated.exit_code, ExitCode::kOk);
  EXPECT_EQ(repeated.document.at("result"), "already_applied");
}

// Guards against a withdrawal that seems complete although a daemon still
// accepts the key.
TEST_F(CommandRunnerTest, KeysWithdrawOneDaemonBehind_Run_ReportsIt) {
  this->daemons[1].current = this->daemon.current;
  this->operators = {{"127.0.0.1", 0}, {"127.0.0.1", 1}};
  const CommandResult plan =
      this->Run(KeysWithdrawCommand{this->key_id, std::nullopt});
  const CommandResult applied = this->Run(KeysWithdrawCommand{
      this->key_id, plan.document.at("digest").get<std::string>()});
  const json in_force = {"127.0.0.1:0"};
  const json not_yet = {"127.0.0.1:1"};
  EXPECT_EQ(applied.document.at("in_force"), in_force);
  EXPECT_EQ(applied.document.at("not_yet"), not_yet);
  EXPECT_NE(applied.text.find("not_yet: 127.0.0.1:1"), std::string::npos);
}

// Guards against reporting success for the withdrawal of a mistyped key name.
TEST_F(CommandRunnerTest, KeysWithdrawUnknownName_Run_Fails) {
  const common::KeyId mistyped("offise");
  EXPECT_EQ(this->Run(KeysWithdrawCommand{mistyped, std::nullopt}).exit_code,
            ExitCode::kInvalidInput);
  const CommandResult plan =
      this->Run(KeysWithdrawCommand{this->key_id, std::nullopt});
  const auto digest = plan.document.at("digest").get<std::string>();
  EXPECT_EQ(this->Run(KeysWithdrawCommand{mistyped, digest}).exit_code,
            ExitCode::kPlanStale);
  EXPECT_TRUE(this->daemon.current.keys.contains(this->key_id));
}

}  // namespace
}  // namespace camphorferry::control
